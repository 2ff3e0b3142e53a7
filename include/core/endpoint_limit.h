/**
 * @file
 * Rate of requests that an endpoint in need takes from all daemons together. The
 * hub that the endpoint is assigned to keeps it; other daemons, which decide
 * only while they reach no hub, send such an endpoint nothing.
 */
#ifndef CORE_ENDPOINT_LIMIT_H
#define CORE_ENDPOINT_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "core/token_bucket.h"

struct endpoint_limit {
	uint32_t per_1000_s; /**< requests in 1,000 s; 0: no limit */
	/** When the endpoint last named the limit, or responded without. */
	uint64_t evidence_ms;
	struct token_bucket bucket;
	bool to_announce; /**< not sent to other daemons yet */
	bool to_log;
};

/** Records that the endpoint named a limit, or responded without one (0). Older
 * evidence than what is known changes nothing. */
void endpoint_limit_set(struct endpoint_limit *limit, uint32_t per_1000_s,
    uint64_t evidence_ms, uint64_t now_ms);

/** @return whether a limit is in force */
bool endpoint_limit_in_force(const struct endpoint_limit *limit,
    uint64_t now_ms);

/** @return time until the endpoint takes a request; 0: now */
uint64_t endpoint_limit_wait_ms(struct endpoint_limit *limit, uint64_t now_ms);

/** Counts a request that is sent. */
void endpoint_limit_take(struct endpoint_limit *limit);

#endif
