/**
 * @file
 * Finds the prompt segments that crash each engine which begins a response to
 * them, and keeps requests with them away from the engines.
 *
 * When an engine crashes, the segments of the requests without a first token
 * there are watched. The last segment of a prompt is the request's own, or its
 * session's; callers repeat it with the request. A response that begins clears its segments. A segment
 * that was in the crashes of two engine processes is blocked, unless a deeper
 * segment of the same prompts explains them. After some time one request may
 * try whether it still crashes engines; if so, the segment
 * stays blocked for much longer.
 *
 * Daemons exchange their records. Merging two records of a segment gives the
 * same result in any order, so that all daemons agree.
 */
#ifndef CORE_CRASH_SUSPECTS_H
#define CORE_CRASH_SUSPECTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/msg.h"

enum suspect_phase {
	SUSPECT_CLEARED,
	SUSPECT_WATCHED, /**< in one crash: requests are sent as usual */
	SUSPECT_BLOCKED, /**< requests are refused */
	SUSPECT_ON_TRIAL /**< single requests are sent, others refused */
};

/** What is known of a segment. */
struct suspect {
	struct crash_record record; /**< its age_ms is not kept up to date */
	uint64_t changed_ms; /**< time of the latest evidence */
	uint64_t trial_ms; /**< start of this daemon's last trial, or 0 */
	/** The last segment of its prompts: other daemons are not told of it
	 * before it is blocked, as few others have it. */
	bool own;
	bool to_announce; /**< not sent to other daemons yet */
	bool announced; /**< was sent to other daemons before */
	bool to_log;
};

/** Whether a request may be sent. */
struct suspect_verdict {
	bool blocked; /**< refused, and not even a trial is due */
	bool refuse;
	uint32_t retry_after_ms; /**< if refused */
	uint64_t trial_segment_id; /**< the request is a trial of it; 0: none */
};

struct crash_suspects {
	GHashTable *suspects; /**< segment_id to struct suspect */
	/** segment_id to the time in ms when a response to it last began */
	GHashTable *begun;
	uint64_t refresh_due_ms;
};

void crash_suspects_init(struct crash_suspects *suspects);
void crash_suspects_finish(struct crash_suspects *suspects);

/** Records that a response to a prompt with the segments began, the last of them
 * the request's own. */
void crash_suspects_record_begin(struct crash_suspects *suspects,
    const uint64_t *segment_ids, uint32_t count, uint64_t now_ms);

/**
 * Records that an engine process crashed with a request that had no first
 * token.
 * @param crash_id identifies the process
 * @param segment_ids segments of the request, the last one its own
 * @param trial_segment_id the segment that the request was a trial of, or 0
 */
void crash_suspects_record_crash(struct crash_suspects *suspects,
    uint64_t crash_id, const uint64_t *segment_ids, uint32_t count,
    uint64_t trial_segment_id, uint64_t now_ms);

/**
 * Decides about a request.
 * @param lot number below the count of daemons, drawn for the request: so few
 * requests of the fleet are trials, whichever daemon they enter at
 */
void crash_suspects_check(const struct crash_suspects *suspects,
    const uint64_t *segment_ids, uint32_t count, uint64_t lot, uint64_t now_ms,
    struct suspect_verdict *verdict);

/** Records that a trial of a segment was sent. */
void crash_suspects_start_trial(struct crash_suspects *suspects,
    uint64_t segment_id, uint64_t now_ms);

/** Merges a record of another daemon. */
void crash_suspects_merge(struct crash_suspects *suspects,
    const struct crash_record *record, uint64_t now_ms);

/** @return whether requests with the segment are refused, or were until its last
 * change */
bool crash_suspects_was_blocked(const struct suspect *suspect);

/** Marks the blocked segments to be announced, since a daemon has joined. */
void crash_suspects_announce_again(struct crash_suspects *suspects);

/** Removes old records and appends those to be sent to other daemons, at most
 * CRASH_RECORDS_MAX_COUNT, to an array of struct crash_record. */
void crash_suspects_collect(struct crash_suspects *suspects, uint64_t now_ms,
    GArray *records);

/** @return the name of a phase in logs and dumps */
const char *suspect_phase_name(enum suspect_phase phase);

enum suspect_phase suspect_phase(const struct suspect *suspect,
    uint64_t now_ms);

#endif
