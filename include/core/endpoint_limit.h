/**
 * @file
 * Rate of requests that an endpoint in need takes from all daemons together, and
 * this daemon's part of it.
 *
 * A limit is shared by few daemons, its holders, so that the single requests
 * that each may send at any time stay few in all. The holders of an endpoint
 * are the live daemons that come first by rendezvous hashing, so that daemons
 * agree on them without messages.
 */
#ifndef CORE_ENDPOINT_LIMIT_H
#define CORE_ENDPOINT_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

struct endpoint_limit {
	uint32_t per_1000_s; /**< requests in 1,000 s; 0: no limit */
	/** When the endpoint last named the limit, or responded without. */
	uint64_t evidence_ms;
	uint32_t holders_count;
	bool is_holder; /**< this daemon is one of them */
	uint64_t allowance_ureq; /**< millionths of a request */
	uint64_t refilled_ms;
	bool to_announce; /**< not sent to other daemons yet */
	bool to_log;
};

/** @return how many daemons share a limit
 * @param daemons_count number of daemons, at least 1 */
uint32_t endpoint_limit_holders(uint32_t per_1000_s, uint32_t daemons_count);

/** Records that the endpoint named a limit, or responded without one (0). Older
 * evidence than what is known changes nothing. */
void endpoint_limit_set(struct endpoint_limit *limit, uint32_t per_1000_s,
    uint64_t evidence_ms, uint64_t now_ms);

/** @return whether a limit is in force */
bool endpoint_limit_in_force(const struct endpoint_limit *limit,
    uint64_t now_ms);

/** Sets how many daemons share the limit and whether this is one of them. */
void endpoint_limit_set_holders(struct endpoint_limit *limit, uint32_t count,
    bool is_holder);

/** @return time until this daemon may send a request; 0: now */
uint64_t endpoint_limit_wait_ms(struct endpoint_limit *limit, uint64_t now_ms);

/** Takes one request from this daemon's part. */
void endpoint_limit_take(struct endpoint_limit *limit);

#endif
