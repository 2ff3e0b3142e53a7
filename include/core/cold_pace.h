/**
 * @file
 * Rate at which an endpoint gets requests while it is cold: after a start, or
 * after it lost its caches. The hub that the endpoint is assigned to keeps it;
 * the rate is that of all daemons together.
 */
#ifndef CORE_COLD_PACE_H
#define CORE_COLD_PACE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/token_bucket.h"

/** How the cold endpoints of a pool are treated. */
struct cold_pace_rule {
	uint32_t per_1000_s; /**< requests in 1,000 s; 0: no rate is kept */
	uint32_t start_ms; /**< an endpoint is cold for so long after a start */
	/** In any second an endpoint may get the rate times this factor, in
	 * thousandths, ... */
	uint32_t overshoot_milli;
	uint32_t slack_milli; /**< ... and so many thousandths of a request */
};

/** State of one endpoint. */
struct cold_pace {
	uint64_t cold_until_ms;
	uint64_t failed_ms; /**< the last failure without a response since */
	bool unconfirmed; /**< it may have restarted: cold until it responds */
	bool to_log; /**< it became cold */
	struct token_bucket bucket;
};

/** Records that an endpoint is cold until a time at least. */
void cold_pace_extend(struct cold_pace *pace, uint64_t until_ms,
    uint64_t now_ms);

/**
 * Records an attempt that ended without a response. If the endpoint may have
 * restarted, it counts as cold from now on.
 * @param progress_ms when the endpoint last gave a response
 */
void cold_pace_record_failure(struct cold_pace *pace,
    const struct cold_pace_rule *rule, uint64_t progress_ms, uint64_t now_ms);

/**
 * Records a response. If the endpoint may have restarted before it, it counts as
 * cold for rule->start_ms.
 * @param progress_ms when the endpoint gave the response before this one
 */
void cold_pace_record_response(struct cold_pace *pace,
    const struct cold_pace_rule *rule, uint64_t progress_ms, uint64_t now_ms);

/** @return whether the rate is to be kept */
bool cold_pace_in_force(const struct cold_pace *pace,
    const struct cold_pace_rule *rule, uint64_t now_ms);

/** @return time until the endpoint may get a request; 0: now */
uint64_t cold_pace_wait_ms(struct cold_pace *pace,
    const struct cold_pace_rule *rule, uint64_t now_ms);

/** Counts a request that is sent. */
void cold_pace_take(struct cold_pace *pace);

#endif
