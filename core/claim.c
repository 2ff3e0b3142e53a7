#include "core/claim.h"

#include <string.h>

static enum claim_step
claim_end(struct claim *claim, enum claim_step step)
{
	claim->phase = CLAIM_PHASE_ENDED;
	return step;
}

/* Continues with a store call. */
static enum claim_step
claim_store_call(struct claim *claim, enum claim_phase phase,
    enum claim_step step)
{
	claim->phase = phase;
	claim->store_calls_count++;
	return step;
}

static bool
claim_call_limit_reached(const struct claim *claim)
{
	return claim->store_calls_count >= CLAIM_STORE_CALLS_MAX_COUNT;
}

/* Continues with another kind of step, which resets the count of store
 * calls. */
static enum claim_step
claim_step_outside_store(struct claim *claim, enum claim_phase phase,
    enum claim_step step)
{
	claim->phase = phase;
	claim->store_calls_count = 0;
	return step;
}

static enum claim_step
claim_create(struct claim *claim, uint64_t now_ms)
{
	claim->version = 0;
	claim->claimed_at_ms = now_ms;
	return claim_store_call(claim, CLAIM_PHASE_CREATING, CLAIM_STEP_CREATE);
}

enum claim_step
claim_init(struct claim *claim, const struct claim_config *config,
    uint64_t now_ms)
{
	memset(claim, 0, sizeof(*claim));
	claim->config = *config;
	return claim_create(claim, now_ms);
}

static bool
claim_is_own(const struct claim *claim, const struct claim_metadata *metadata)
{
	return strcmp(metadata->attempt_id, claim->config.attempt_id) == 0;
}

bool
claim_expired(const struct claim_metadata *metadata,
    const struct claim_config *config, uint64_t now_ms)
{
	uint64_t limit_ms = metadata->state == CLAIM_CLAIMED
	    ? (uint64_t)config->lease_ms + config->clock_margin_ms
	    : config->keep_ms;

	return now_ms >= metadata->changed_at_ms &&
	    now_ms - metadata->changed_at_ms >= limit_ms;
}

/* Whether another daemon may have taken over this claim. The clock margin is
 * left out here: other daemons add it to the lease. */
static bool
claim_lease_expired(const struct claim *claim, uint64_t now_ms)
{
	return now_ms < claim->claimed_at_ms ||
	    now_ms - claim->claimed_at_ms >= claim->config.lease_ms;
}

/* Refuses a request that this attempt has not run. The outcome is unknown if
 * this attempt may have lost its claim, since another attempt may then have run
 * the request. */
static enum claim_step
claim_refuse_not_run(struct claim *claim, enum claim_step step, uint64_t now_ms)
{
	bool lease_expired = !claim->was_sent &&
	    claim_lease_expired(claim, now_ms);

	if (lease_expired || claim->maybe_removed)
		step = CLAIM_STEP_OUTCOME_UNKNOWN;
	return claim_end(claim, step);
}

/* Responds to a duplicate request by the state that another attempt stored. */
static enum claim_step
claim_respond_to_duplicate(struct claim *claim,
    const struct claim_metadata *metadata, uint64_t now_ms)
{
	if (strcmp(metadata->fingerprint, claim->config.fingerprint) != 0)
		return claim_end(claim, CLAIM_STEP_KEY_REUSED);
	switch (metadata->state) {
	case CLAIM_CLAIMED:
		return claim_end(claim, CLAIM_STEP_IN_PROGRESS);
	case CLAIM_SENT:
		if (now_ms >=
		    metadata->changed_at_ms + claim->config.running_max_ms)
			return claim_end(claim, CLAIM_STEP_OUTCOME_UNKNOWN);
		return claim_end(claim, CLAIM_STEP_IN_PROGRESS);
	case CLAIM_DONE:
		return claim_end(claim, CLAIM_STEP_REPLAY);
	default:
		return claim_end(claim, CLAIM_STEP_OUTCOME_UNKNOWN);
	}
}

static enum claim_step
claim_handle_object(struct claim *claim, const struct claim_event *event,
    uint64_t now_ms)
{
	const struct claim_metadata *metadata = &event->metadata;

	claim->version = event->version;
	if (claim_is_own(claim, metadata) && metadata->state == CLAIM_CLAIMED) {
		claim->claimed_at_ms = metadata->changed_at_ms;
		return claim_step_outside_store(claim,
		    CLAIM_PHASE_ACQUIRING_SLOT, CLAIM_STEP_ACQUIRE_SLOT);
	}
	if (!claim_expired(metadata, &claim->config, now_ms))
		return claim_respond_to_duplicate(claim, metadata, now_ms);
	if (claim_call_limit_reached(claim))
		return claim_end(claim, CLAIM_STEP_STORE_UNAVAILABLE);
	claim->claimed_at_ms = now_ms;
	return claim_store_call(claim, CLAIM_PHASE_CREATING,
	    CLAIM_STEP_TAKE_OVER);
}

static enum claim_step
claim_handle_creating(struct claim *claim, const struct claim_event *event)
{
	switch (event->type) {
	case CLAIM_EVENT_WRITTEN:
		claim->version = event->version;
		return claim_step_outside_store(claim,
		    CLAIM_PHASE_ACQUIRING_SLOT, CLAIM_STEP_ACQUIRE_SLOT);
	case CLAIM_EVENT_CONFLICT:
	case CLAIM_EVENT_INDETERMINATE:
		if (!claim_call_limit_reached(claim))
			return claim_store_call(claim, CLAIM_PHASE_READING,
			    CLAIM_STEP_READ);
		return claim_end(claim, CLAIM_STEP_STORE_UNAVAILABLE);
	default:
		return claim_end(claim, CLAIM_STEP_STORE_UNAVAILABLE);
	}
}

static enum claim_step
claim_handle_reading(struct claim *claim, const struct claim_event *event,
    uint64_t now_ms)
{
	if (event->type == CLAIM_EVENT_READ)
		return claim_handle_object(claim, event, now_ms);
	if (event->type == CLAIM_EVENT_NOT_FOUND &&
	    !claim_call_limit_reached(claim))
		return claim_create(claim, now_ms);
	return claim_end(claim, CLAIM_STEP_STORE_UNAVAILABLE);
}

static enum claim_step
claim_handle_acquiring_slot(struct claim *claim,
    const struct claim_event *event)
{
	if (event->type == CLAIM_EVENT_GRANTED)
		return claim_store_call(claim, CLAIM_PHASE_MARKING_SENT,
		    CLAIM_STEP_MARK_SENT);
	return claim_store_call(claim, CLAIM_PHASE_REMOVING, CLAIM_STEP_REMOVE);
}

static enum claim_step
claim_start_sending(struct claim *claim, uint64_t version)
{
	claim->version = version;
	claim->was_sent = true;
	return claim_step_outside_store(claim, CLAIM_PHASE_SENDING,
	    CLAIM_STEP_SEND);
}

static enum claim_step
claim_handle_marking_sent(struct claim *claim, const struct claim_event *event,
    uint64_t now_ms)
{
	if (event->type == CLAIM_EVENT_WRITTEN)
		return claim_start_sending(claim, event->version);
	if (event->type == CLAIM_EVENT_STORE_UNAVAILABLE ||
	    claim_call_limit_reached(claim))
		return claim_refuse_not_run(claim, CLAIM_STEP_STORE_UNAVAILABLE,
		    now_ms);
	return claim_store_call(claim, CLAIM_PHASE_VERIFYING_SENT,
	    CLAIM_STEP_READ);
}

/* Determines whether SENT was written, after the write had a conflict or an
 * indeterminate result. */
static enum claim_step
claim_handle_verifying_sent(struct claim *claim,
    const struct claim_event *event, uint64_t now_ms)
{
	const struct claim_metadata *metadata = &event->metadata;

	if (event->type == CLAIM_EVENT_NOT_FOUND)
		return claim_end(claim, CLAIM_STEP_OUTCOME_UNKNOWN);
	if (event->type != CLAIM_EVENT_READ)
		return claim_refuse_not_run(claim, CLAIM_STEP_STORE_UNAVAILABLE,
		    now_ms);
	if (!claim_is_own(claim, metadata))
		return claim_respond_to_duplicate(claim, metadata, now_ms);
	if (metadata->state == CLAIM_SENT)
		return claim_start_sending(claim, event->version);
	if (claim_call_limit_reached(claim))
		return claim_refuse_not_run(claim, CLAIM_STEP_STORE_UNAVAILABLE,
		    now_ms);
	claim->version = event->version;
	return claim_store_call(claim, CLAIM_PHASE_MARKING_SENT,
	    CLAIM_STEP_MARK_SENT);
}

static enum claim_step
claim_handle_sending(struct claim *claim, const struct claim_event *event)
{
	if (event->type == CLAIM_EVENT_NOT_RUN)
		return claim_store_call(claim, CLAIM_PHASE_REMOVING,
		    CLAIM_STEP_REMOVE);
	claim->record_step = event->type == CLAIM_EVENT_RESPONSE
	    ? CLAIM_STEP_RECORD_DONE
	    : CLAIM_STEP_RECORD_UNKNOWN;
	return claim_store_call(claim, CLAIM_PHASE_RECORDING,
	    claim->record_step);
}

/* Retries the write at the same version, so that it takes effect at most
 * once. */
static enum claim_step
claim_handle_recording(struct claim *claim, const struct claim_event *event)
{
	bool failed = event->type == CLAIM_EVENT_INDETERMINATE ||
	    event->type == CLAIM_EVENT_STORE_UNAVAILABLE;

	if (failed && !claim_call_limit_reached(claim))
		return claim_store_call(claim, CLAIM_PHASE_RECORDING,
		    claim->record_step);
	return claim_end(claim, CLAIM_STEP_END);
}

static enum claim_step
claim_handle_removing(struct claim *claim, const struct claim_event *event,
    uint64_t now_ms)
{
	if (event->type == CLAIM_EVENT_WRITTEN)
		return claim_end(claim, CLAIM_STEP_NOT_RUN);
	if (event->type == CLAIM_EVENT_INDETERMINATE)
		claim->maybe_removed = true;
	if (claim_call_limit_reached(claim))
		return claim_refuse_not_run(claim, CLAIM_STEP_NOT_RUN, now_ms);
	if (event->type == CLAIM_EVENT_CONFLICT ||
	    event->type == CLAIM_EVENT_NOT_FOUND)
		return claim_store_call(claim, CLAIM_PHASE_VERIFYING_REMOVAL,
		    CLAIM_STEP_READ);
	return claim_store_call(claim, CLAIM_PHASE_REMOVING, CLAIM_STEP_REMOVE);
}

/* Determines why the removal of the claim failed: another attempt has taken
 * over the claim, or an earlier removal took effect. */
static enum claim_step
claim_handle_verifying_removal(struct claim *claim,
    const struct claim_event *event, uint64_t now_ms)
{
	bool own = event->type == CLAIM_EVENT_READ &&
	    claim_is_own(claim, &event->metadata);

	if (own || event->type == CLAIM_EVENT_NOT_FOUND)
		return claim_end(claim, CLAIM_STEP_NOT_RUN);
	if (event->type == CLAIM_EVENT_READ)
		return claim_respond_to_duplicate(claim, &event->metadata,
		    now_ms);
	claim->maybe_removed = true;
	return claim_refuse_not_run(claim, CLAIM_STEP_NOT_RUN, now_ms);
}

enum claim_step
claim_handle(struct claim *claim, const struct claim_event *event,
    uint64_t now_ms)
{
	switch (claim->phase) {
	case CLAIM_PHASE_CREATING:
		return claim_handle_creating(claim, event);
	case CLAIM_PHASE_READING:
		return claim_handle_reading(claim, event, now_ms);
	case CLAIM_PHASE_ACQUIRING_SLOT:
		return claim_handle_acquiring_slot(claim, event);
	case CLAIM_PHASE_MARKING_SENT:
		return claim_handle_marking_sent(claim, event, now_ms);
	case CLAIM_PHASE_VERIFYING_SENT:
		return claim_handle_verifying_sent(claim, event, now_ms);
	case CLAIM_PHASE_SENDING:
		return claim_handle_sending(claim, event);
	case CLAIM_PHASE_RECORDING:
		return claim_handle_recording(claim, event);
	case CLAIM_PHASE_REMOVING:
		return claim_handle_removing(claim, event, now_ms);
	case CLAIM_PHASE_VERIFYING_REMOVAL:
		return claim_handle_verifying_removal(claim, event, now_ms);
	default:
		return CLAIM_STEP_END;
	}
}
