/**
 * @file
 * Decides how a non-idempotent request with an idempotency key is run at most
 * once across daemons. A claim object in the platform's store carries the
 * key's state; this state machine is told how each store call and each
 * attempt at an endpoint ended and answers with the next step. It makes no
 * calls itself.
 */
#ifndef CORE_CLAIM_H
#define CORE_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

#define CLAIM_ATTEMPT_MAX_BYTES 40u
#define CLAIM_FINGERPRINT_HEX_BYTES 64u
/** Store calls before a step, which bound its time with the call's timeout. */
#define CLAIM_STORE_CALLS_MAX_COUNT 6u

/** State of a key, as the claim object tells it. */
enum claim_state {
	CLAIM_CLAIMED, /**< held by a daemon, not sent */
	CLAIM_SENT, /**< may have reached an endpoint */
	CLAIM_DONE, /**< answered; the answer is recorded */
	CLAIM_UNKNOWN, /**< sent, and its outcome is not known */
	CLAIM_STATE_COUNT
};

/** What a claim object says, as far as decisions need it. */
struct claim_metadata {
	char attempt_id[CLAIM_ATTEMPT_MAX_BYTES + 1];
	char fingerprint[CLAIM_FINGERPRINT_HEX_BYTES + 1]; /**< of the request
							    */
	enum claim_state state;
	uint64_t changed_at_ms; /**< wall clock */
};

enum claim_event_type {
	CLAIM_EVENT_WRITTEN, /**< the write took effect at a version */
	CLAIM_EVENT_CONFLICT, /**< the write's condition did not hold */
	CLAIM_EVENT_INDETERMINATE, /**< the write may have taken effect */
	CLAIM_EVENT_STORE_UNAVAILABLE, /**< the call had no effect */
	CLAIM_EVENT_READ, /**< the object was read */
	CLAIM_EVENT_NOT_FOUND, /**< there is no such object */
	CLAIM_EVENT_GRANTED, /**< a slot is held */
	CLAIM_EVENT_NOT_GRANTED, /**< the wait for a slot was refused */
	CLAIM_EVENT_NOT_RUN, /**< no endpoint ran the request */
	CLAIM_EVENT_RESPONSE, /**< an endpoint answered */
	CLAIM_EVENT_NO_RESPONSE /**< sent, without an answer */
};

struct claim_event {
	enum claim_event_type type;
	uint64_t version; /**< of WRITTEN and READ */
	struct claim_metadata metadata; /**< of READ */
};

/** What to do next. The steps up to REMOVE are store calls. */
enum claim_step {
	CLAIM_STEP_CREATE, /**< write CLAIMED if the object is absent */
	CLAIM_STEP_TAKE_OVER, /**< write CLAIMED over a lapsed claim */
	CLAIM_STEP_READ,
	CLAIM_STEP_MARK_SENT, /**< write SENT */
	CLAIM_STEP_RECORD_DONE, /**< write DONE with the answer */
	CLAIM_STEP_RECORD_UNKNOWN, /**< write UNKNOWN */
	CLAIM_STEP_REMOVE, /**< remove the object */
	CLAIM_STEP_ACQUIRE_SLOT, /**< wait for a slot */
	CLAIM_STEP_SEND, /**< send to an endpoint */
	/* the rest ends the request */
	CLAIM_STEP_REPLAY, /**< give the recorded answer */
	CLAIM_STEP_IN_PROGRESS, /**< tell that another attempt runs */
	CLAIM_STEP_OUTCOME_UNKNOWN, /**< tell that it may have run */
	CLAIM_STEP_KEY_REUSED, /**< the key belongs to another request */
	CLAIM_STEP_STORE_UNAVAILABLE, /**< refuse as not run */
	CLAIM_STEP_NOT_RUN, /**< refuse as not run, as it ended */
	CLAIM_STEP_END
};

/** Where an attempt stands between two events. */
enum claim_phase {
	CLAIM_PHASE_CREATING,
	CLAIM_PHASE_READING,
	CLAIM_PHASE_ACQUIRING_SLOT,
	CLAIM_PHASE_MARKING_SENT,
	CLAIM_PHASE_VERIFYING_SENT,
	CLAIM_PHASE_SENDING,
	CLAIM_PHASE_RECORDING,
	CLAIM_PHASE_REMOVING,
	CLAIM_PHASE_VERIFYING_REMOVAL,
	CLAIM_PHASE_ENDED
};

struct claim_config {
	char attempt_id[CLAIM_ATTEMPT_MAX_BYTES + 1];
	char fingerprint[CLAIM_FINGERPRINT_HEX_BYTES + 1];
	uint32_t lease_ms; /**< an unsent claim lapses after it */
	uint32_t clock_margin_ms; /**< bound of the clocks' difference */
	uint32_t running_max_ms; /**< a sent claim is unknown after it */
	uint32_t keep_ms; /**< other claims expire after it */
};

/** One attempt of one daemon at one key. */
struct claim {
	struct claim_config config;
	enum claim_phase phase;
	enum claim_step record_step;
	uint64_t version; /**< for the next conditional write; 0: absent */
	uint64_t claimed_at_ms;
	uint32_t store_calls_count; /**< since the last step without one */
	bool was_sent;
	bool maybe_removed; /**< the answer of a removal was lost */
};

/** Begins an attempt. @return the first step */
enum claim_step claim_init(struct claim *claim,
    const struct claim_config *config, uint64_t now_ms);

/** @return the next step; now_ms is the wall clock */
enum claim_step claim_handle(struct claim *claim,
    const struct claim_event *event, uint64_t now_ms);

/** @return whether a claim object may be removed or taken over */
bool claim_expired(const struct claim_metadata *metadata,
    const struct claim_config *config, uint64_t now_ms);

#endif
