/**
 * @file
 * State machine that runs a non-idempotent request with an idempotency key at
 * most once across all daemons. The state of a key is stored in a claim
 * object in the platform's object store. The machine makes no calls itself:
 * its caller carries out each step and reports the result as an event, which
 * yields the next step.
 */
#ifndef CORE_CLAIM_H
#define CORE_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

#define CLAIM_ATTEMPT_MAX_BYTES 40u
#define CLAIM_FINGERPRINT_HEX_BYTES 64u
/** Maximum number of store calls in a row. Together with the timeout of a call
 * it bounds the time until the next step of another kind. */
#define CLAIM_STORE_CALLS_MAX_COUNT 6u

/** State of a key as stored in its claim object. */
enum claim_state {
	CLAIM_CLAIMED, /**< held by an attempt that has not sent the request */
	CLAIM_SENT, /**< the request may have reached an endpoint */
	CLAIM_DONE, /**< complete; the response is recorded */
	CLAIM_UNKNOWN, /**< sent, with an unknown outcome */
	CLAIM_STATE_COUNT
};

/** Contents of a claim object except for the recorded response. */
struct claim_metadata {
	char attempt_id[CLAIM_ATTEMPT_MAX_BYTES + 1];
	/** Hash of the request, to detect reuse of a key. */
	char fingerprint[CLAIM_FINGERPRINT_HEX_BYTES + 1];
	enum claim_state state;
	uint64_t changed_at_ms; /**< wall clock */
};

/** Result of a step. */
enum claim_event_type {
	CLAIM_EVENT_WRITTEN, /**< the write or removal took effect */
	CLAIM_EVENT_CONFLICT, /**< the object has another version */
	CLAIM_EVENT_INDETERMINATE, /**< the write may have taken effect */
	CLAIM_EVENT_STORE_UNAVAILABLE, /**< the call had no effect */
	CLAIM_EVENT_READ, /**< the object was read */
	CLAIM_EVENT_NOT_FOUND, /**< the object does not exist */
	CLAIM_EVENT_GRANTED, /**< a slot was granted */
	CLAIM_EVENT_NOT_GRANTED, /**< the slot request was refused */
	CLAIM_EVENT_NOT_RUN, /**< no endpoint ran the request */
	CLAIM_EVENT_RESPONSE, /**< an endpoint sent a response */
	CLAIM_EVENT_NO_RESPONSE /**< sent, but no response was received */
};

struct claim_event {
	enum claim_event_type type;
	uint64_t version; /**< set for WRITTEN and READ */
	struct claim_metadata metadata; /**< set for READ */
};

/** Next action of the caller. The steps up to REMOVE are store calls. */
enum claim_step {
	CLAIM_STEP_CREATE, /**< write CLAIMED if the object does not exist */
	CLAIM_STEP_TAKE_OVER, /**< write CLAIMED over an expired claim */
	CLAIM_STEP_READ,
	CLAIM_STEP_MARK_SENT, /**< write SENT */
	CLAIM_STEP_RECORD_DONE, /**< write DONE with the response */
	CLAIM_STEP_RECORD_UNKNOWN, /**< write UNKNOWN */
	CLAIM_STEP_REMOVE, /**< remove the object */
	CLAIM_STEP_ACQUIRE_SLOT, /**< wait for a slot */
	CLAIM_STEP_SEND, /**< send the request to an endpoint */
	/* The remaining steps end the attempt. */
	CLAIM_STEP_REPLAY, /**< respond with the recorded response */
	CLAIM_STEP_IN_PROGRESS, /**< respond that another attempt is running */
	CLAIM_STEP_OUTCOME_UNKNOWN, /**< respond that it may have been run */
	CLAIM_STEP_KEY_REUSED, /**< the key belongs to another request */
	CLAIM_STEP_STORE_UNAVAILABLE, /**< refuse as not run */
	CLAIM_STEP_NOT_RUN, /**< refuse as not run, with the attempt's reason */
	CLAIM_STEP_END
};

/** What an attempt is waiting for. */
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
	uint32_t lease_ms; /**< lifetime of a claim in state CLAIMED */
	uint32_t clock_margin_ms; /**< maximum difference of two clocks */
	uint32_t running_max_ms; /**< a claim in state SENT counts as UNKNOWN
				   * after this time */
	uint32_t keep_ms; /**< lifetime of a claim in any other state than
			    * CLAIMED */
};

/** One attempt of a daemon to run the request of a key. */
struct claim {
	struct claim_config config;
	enum claim_phase phase;
	enum claim_step record_step;
	uint64_t version; /**< that the next write expects; 0: no object */
	uint64_t claimed_at_ms;
	uint32_t store_calls_count; /**< since the last step of another kind */
	bool was_sent;
	bool maybe_removed; /**< a removal had an indeterminate result */
};

/** Starts an attempt. @return the first step */
enum claim_step claim_init(struct claim *claim,
    const struct claim_config *config, uint64_t now_ms);

/**
 * Handles the result of the last step.
 * @param now_ms wall clock
 * @return the next step
 */
enum claim_step claim_handle(struct claim *claim,
    const struct claim_event *event, uint64_t now_ms);

/** @return whether a claim object may be removed or taken over */
bool claim_expired(const struct claim_metadata *metadata,
    const struct claim_config *config, uint64_t now_ms);

#endif
