#include "core/endpoint_limit.h"

#include <glib.h>

/* What the endpoint takes in this time may be saved up, and one request: in 4 s
 * it gets at most 4.5 times its limit and one request. */
#define SAVED_MS 500u
/* An endpoint that was not heard of for this long, or for the time of some
 * requests, is tried again without a limit. */
#define LIMIT_KEEP_MS 10000u
#define LIMIT_KEEP_REQUESTS_COUNT 4u

/* Endpoints name the limit again with each response: only changes are news. */
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
	if (limit->per_1000_s == 0)
		token_bucket_start(&limit->bucket, now_ms);
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
		LIMIT_KEEP_REQUESTS_COUNT * TOKEN_BUCKET_REQUEST_UREQ /
		    limit->per_1000_s;
}

uint64_t
endpoint_limit_wait_ms(struct endpoint_limit *limit, uint64_t now_ms)
{
	const struct token_bucket_rate rate = {
		.per_1000_s = limit->per_1000_s,
		.burst_ureq = TOKEN_BUCKET_REQUEST_UREQ +
		    (uint64_t)limit->per_1000_s * SAVED_MS,
	};

	return endpoint_limit_in_force(limit, now_ms)
	    ? token_bucket_wait_ms(&limit->bucket, &rate, now_ms)
	    : 0;
}

void
endpoint_limit_take(struct endpoint_limit *limit)
{
	if (limit->per_1000_s > 0)
		token_bucket_take(&limit->bucket);
}
