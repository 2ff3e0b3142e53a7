#include "core/endpoint_limit.h"

#include <glib.h>

#define UREQ_PER_REQUEST 1000000u
/* A holder may save up what it gets in this time, and one request. With a limit
 * of L requests a second and L + 3 holders, all of them together send at most
 * 5.5 L + 3 requests in 4 s. */
#define SAVED_MS 500u
#define HOLDERS_EXTRA_COUNT 3u
/* An endpoint that was not heard of for this long, or for the time of some
 * requests, is tried again without a limit. */
#define LIMIT_KEEP_MS 10000u
#define LIMIT_KEEP_REQUESTS_COUNT 4u
/* Time until a daemon that is no holder may have become one, or its caller has
 * come to another daemon. */
#define NO_PART_WAIT_MS 500u

uint32_t
endpoint_limit_holders(uint32_t per_1000_s, uint32_t daemons_count)
{
	return MIN(per_1000_s / 1000 + HOLDERS_EXTRA_COUNT, daemons_count);
}

/* Holders name the limit again with each response: only changes are news. */
static bool
is_news(uint32_t known, uint32_t named)
{
	uint32_t difference = MAX(known, named) - MIN(known, named);

	return (known == 0) != (named == 0) || difference > known / 10;
}

void
endpoint_limit_set(struct endpoint_limit *limit, uint32_t per_1000_s,
    uint64_t evidence_ms, uint64_t now_ms)
{
	if (evidence_ms <= limit->evidence_ms)
		return;
	limit->evidence_ms = evidence_ms;
	if (limit->per_1000_s == 0) {
		limit->allowance_ureq = UREQ_PER_REQUEST;
		limit->refilled_ms = now_ms;
	}
	if (is_news(limit->per_1000_s, per_1000_s)) {
		limit->to_announce = true;
		limit->to_log = true;
	}
	limit->per_1000_s = per_1000_s;
}

bool
endpoint_limit_in_force(const struct endpoint_limit *limit, uint64_t now_ms)
{
	return limit->per_1000_s > 0 &&
	    now_ms < limit->evidence_ms + LIMIT_KEEP_MS +
		LIMIT_KEEP_REQUESTS_COUNT * UREQ_PER_REQUEST /
		    limit->per_1000_s;
}

void
endpoint_limit_set_holders(struct endpoint_limit *limit, uint32_t count,
    bool is_holder)
{
	limit->holders_count = count;
	limit->is_holder = is_holder;
}

static void
refill(struct endpoint_limit *limit, uint64_t now_ms)
{
	uint64_t holders = MAX(limit->holders_count, 1u);
	uint64_t saved_max_ureq = UREQ_PER_REQUEST +
	    (uint64_t)limit->per_1000_s * SAVED_MS / holders;
	uint64_t elapsed_ms = now_ms - MIN(limit->refilled_ms, now_ms);

	limit->allowance_ureq = MIN(limit->allowance_ureq +
		elapsed_ms * limit->per_1000_s / holders,
	    saved_max_ureq);
	limit->refilled_ms = now_ms;
}

uint64_t
endpoint_limit_wait_ms(struct endpoint_limit *limit, uint64_t now_ms)
{
	uint64_t missing_ureq;

	if (!endpoint_limit_in_force(limit, now_ms))
		return 0;
	if (!limit->is_holder)
		return NO_PART_WAIT_MS;
	refill(limit, now_ms);
	if (limit->allowance_ureq >= UREQ_PER_REQUEST)
		return 0;
	missing_ureq = UREQ_PER_REQUEST - limit->allowance_ureq;
	return missing_ureq * limit->holders_count / limit->per_1000_s + 1;
}

void
endpoint_limit_take(struct endpoint_limit *limit)
{
	if (limit->per_1000_s > 0)
		limit->allowance_ureq -= MIN(limit->allowance_ureq,
		    UREQ_PER_REQUEST);
}
