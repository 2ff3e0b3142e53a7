#include "core/claim.h"

#include <string.h>

static enum claim_step
claim_end(struct claim *claim, enum claim_step step)
{
	claim->phase = CLAIM_PHASE_ENDED;
	return step;
}

/* Goes on with a store call, unless too many were made. */
static enum claim_step
claim_call(struct claim *claim, enum claim_phase phase, enum claim_step step)
{
	claim->phase = phase;
	claim->store_calls_count++;
	return step;
}

static bool
claim_out_of_calls(const struct claim *claim)
{
	return claim->store_calls_count >= CLAIM_STORE_CALLS_MAX_COUNT;
}

static enum claim_step
claim_pause_calls(struct claim *claim, enum claim_phase phase,
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
	return claim_call(claim, CLAIM_PHASE_CREATING, CLAIM_STEP_CREATE);
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
claim_is_mine(const struct claim *claim, const struct claim_view *view)
{
	return strcmp(view->attempt_id, claim->config.attempt_id) == 0;
}

bool
claim_expired(const struct claim_view *view, const struct claim_config *config,
    uint64_t now_ms)
{
	uint64_t limit_ms = view->state == CLAIM_CLAIMED
	    ? (uint64_t)config->lease_ms + config->lease_margin_ms
	    : config->keep_ms;

	return now_ms >= view->changed_at_ms &&
	    now_ms - view->changed_at_ms >= limit_ms;
}

/* Whether another daemon may have taken this claim over. */
static bool
claim_lapsed(const struct claim *claim, uint64_t now_ms)
{
	return now_ms < claim->claimed_at_ms ||
	    now_ms - claim->claimed_at_ms >= claim->config.lease_ms;
}

/* Refuses what this attempt has not run; not as "not run" if another attempt
 * may have run it since, under a claim that this one no longer holds. */
static enum claim_step
claim_refuse_not_run(struct claim *claim, enum claim_step step, uint64_t now_ms)
{
	bool lapsed = !claim->was_sent && claim_lapsed(claim, now_ms);

	if (lapsed || claim->maybe_removed)
		step = CLAIM_STEP_OUTCOME_UNKNOWN;
	return claim_end(claim, step);
}

/* Answers a duplicate from what another attempt has left. */
static enum claim_step
claim_answer_duplicate(struct claim *claim, const struct claim_view *view,
    uint64_t now_ms)
{
	if (strcmp(view->fingerprint, claim->config.fingerprint) != 0)
		return claim_end(claim, CLAIM_STEP_MISMATCH);
	switch (view->state) {
	case CLAIM_CLAIMED:
		return claim_end(claim, CLAIM_STEP_IN_PROGRESS);
	case CLAIM_SENT:
		if (now_ms >=
		    view->changed_at_ms + claim->config.running_max_ms)
			return claim_end(claim, CLAIM_STEP_OUTCOME_UNKNOWN);
		return claim_end(claim, CLAIM_STEP_IN_PROGRESS);
	case CLAIM_DONE:
		return claim_end(claim, CLAIM_STEP_REPLAY);
	default:
		return claim_end(claim, CLAIM_STEP_OUTCOME_UNKNOWN);
	}
}

static enum claim_step
claim_judge_read(struct claim *claim, const struct claim_event *event,
    uint64_t now_ms)
{
	const struct claim_view *view = &event->view;

	claim->version = event->version;
	if (claim_is_mine(claim, view) && view->state == CLAIM_CLAIMED) {
		claim->claimed_at_ms = view->changed_at_ms;
		return claim_pause_calls(claim, CLAIM_PHASE_WAITING,
		    CLAIM_STEP_ACQUIRE);
	}
	if (!claim_expired(view, &claim->config, now_ms))
		return claim_answer_duplicate(claim, view, now_ms);
	if (claim_out_of_calls(claim))
		return claim_end(claim, CLAIM_STEP_STORE_DOWN);
	claim->claimed_at_ms = now_ms;
	return claim_call(claim, CLAIM_PHASE_CREATING, CLAIM_STEP_TAKE_OVER);
}

static enum claim_step
claim_handle_creating(struct claim *claim, const struct claim_event *event)
{
	switch (event->type) {
	case CLAIM_EVENT_WRITTEN:
		claim->version = event->version;
		return claim_pause_calls(claim, CLAIM_PHASE_WAITING,
		    CLAIM_STEP_ACQUIRE);
	case CLAIM_EVENT_CONFLICT:
	case CLAIM_EVENT_LOST:
		if (!claim_out_of_calls(claim))
			return claim_call(claim, CLAIM_PHASE_READING,
			    CLAIM_STEP_READ);
		return claim_end(claim, CLAIM_STEP_STORE_DOWN);
	default:
		return claim_end(claim, CLAIM_STEP_STORE_DOWN);
	}
}

static enum claim_step
claim_handle_reading(struct claim *claim, const struct claim_event *event,
    uint64_t now_ms)
{
	if (event->type == CLAIM_EVENT_READ)
		return claim_judge_read(claim, event, now_ms);
	if (event->type == CLAIM_EVENT_ABSENT && !claim_out_of_calls(claim))
		return claim_create(claim, now_ms);
	return claim_end(claim, CLAIM_STEP_STORE_DOWN);
}

static enum claim_step
claim_handle_waiting(struct claim *claim, const struct claim_event *event)
{
	if (event->type == CLAIM_EVENT_GRANTED)
		return claim_call(claim, CLAIM_PHASE_MARKING,
		    CLAIM_STEP_MARK_SENT);
	return claim_call(claim, CLAIM_PHASE_REMOVING, CLAIM_STEP_REMOVE);
}

static enum claim_step
claim_send(struct claim *claim, uint64_t version)
{
	claim->version = version;
	claim->was_sent = true;
	return claim_pause_calls(claim, CLAIM_PHASE_SENDING, CLAIM_STEP_SEND);
}

static enum claim_step
claim_handle_marking(struct claim *claim, const struct claim_event *event,
    uint64_t now_ms)
{
	if (event->type == CLAIM_EVENT_WRITTEN)
		return claim_send(claim, event->version);
	if (event->type == CLAIM_EVENT_UNREACHED || claim_out_of_calls(claim))
		return claim_refuse_not_run(claim, CLAIM_STEP_STORE_DOWN,
		    now_ms);
	return claim_call(claim, CLAIM_PHASE_READING_MARK, CLAIM_STEP_READ);
}

/* Settles a mark whose answer was lost or that met another version. */
static enum claim_step
claim_handle_reading_mark(struct claim *claim, const struct claim_event *event,
    uint64_t now_ms)
{
	const struct claim_view *view = &event->view;

	if (event->type == CLAIM_EVENT_ABSENT)
		return claim_end(claim, CLAIM_STEP_OUTCOME_UNKNOWN);
	if (event->type != CLAIM_EVENT_READ)
		return claim_refuse_not_run(claim, CLAIM_STEP_STORE_DOWN,
		    now_ms);
	if (!claim_is_mine(claim, view))
		return claim_answer_duplicate(claim, view, now_ms);
	if (view->state == CLAIM_SENT)
		return claim_send(claim, event->version);
	if (claim_out_of_calls(claim))
		return claim_refuse_not_run(claim, CLAIM_STEP_STORE_DOWN,
		    now_ms);
	claim->version = event->version;
	return claim_call(claim, CLAIM_PHASE_MARKING, CLAIM_STEP_MARK_SENT);
}

static enum claim_step
claim_handle_sending(struct claim *claim, const struct claim_event *event)
{
	if (event->type == CLAIM_EVENT_NOT_RUN)
		return claim_call(claim, CLAIM_PHASE_REMOVING,
		    CLAIM_STEP_REMOVE);
	claim->record_step = event->type == CLAIM_EVENT_ANSWERED
	    ? CLAIM_STEP_RECORD_DONE
	    : CLAIM_STEP_RECORD_UNKNOWN;
	return claim_call(claim, CLAIM_PHASE_RECORDING, claim->record_step);
}

/* A record is repeated at the same version: it can take effect once. */
static enum claim_step
claim_handle_recording(struct claim *claim, const struct claim_event *event)
{
	bool failed = event->type == CLAIM_EVENT_LOST ||
	    event->type == CLAIM_EVENT_UNREACHED;

	if (failed && !claim_out_of_calls(claim))
		return claim_call(claim, CLAIM_PHASE_RECORDING,
		    claim->record_step);
	return claim_end(claim, CLAIM_STEP_END);
}

static enum claim_step
claim_handle_removing(struct claim *claim, const struct claim_event *event,
    uint64_t now_ms)
{
	if (event->type == CLAIM_EVENT_WRITTEN)
		return claim_end(claim, CLAIM_STEP_NOT_RUN);
	if (event->type == CLAIM_EVENT_LOST)
		claim->maybe_removed = true;
	if (claim_out_of_calls(claim))
		return claim_refuse_not_run(claim, CLAIM_STEP_NOT_RUN, now_ms);
	if (event->type == CLAIM_EVENT_CONFLICT ||
	    event->type == CLAIM_EVENT_ABSENT)
		return claim_call(claim, CLAIM_PHASE_READING_OTHER,
		    CLAIM_STEP_READ);
	return claim_call(claim, CLAIM_PHASE_REMOVING, CLAIM_STEP_REMOVE);
}

/* The claim was not there to be removed: another attempt has taken it over,
 * or an earlier removal took effect. */
static enum claim_step
claim_handle_reading_other(struct claim *claim, const struct claim_event *event,
    uint64_t now_ms)
{
	bool mine = event->type == CLAIM_EVENT_READ &&
	    claim_is_mine(claim, &event->view);

	if (mine || event->type == CLAIM_EVENT_ABSENT)
		return claim_end(claim, CLAIM_STEP_NOT_RUN);
	if (event->type == CLAIM_EVENT_READ)
		return claim_answer_duplicate(claim, &event->view, now_ms);
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
	case CLAIM_PHASE_WAITING:
		return claim_handle_waiting(claim, event);
	case CLAIM_PHASE_MARKING:
		return claim_handle_marking(claim, event, now_ms);
	case CLAIM_PHASE_READING_MARK:
		return claim_handle_reading_mark(claim, event, now_ms);
	case CLAIM_PHASE_SENDING:
		return claim_handle_sending(claim, event);
	case CLAIM_PHASE_RECORDING:
		return claim_handle_recording(claim, event);
	case CLAIM_PHASE_REMOVING:
		return claim_handle_removing(claim, event, now_ms);
	case CLAIM_PHASE_READING_OTHER:
		return claim_handle_reading_other(claim, event, now_ms);
	default:
		return CLAIM_STEP_END;
	}
}
