#include "core/token_bucket.h"

#include <glib.h>

void
token_bucket_start(struct token_bucket *bucket, uint64_t now_ms)
{
	bucket->level_ureq = TOKEN_BUCKET_REQUEST_UREQ;
	bucket->refilled_ms = now_ms;
}

static void
refill(struct token_bucket *bucket, const struct token_bucket_rate *rate,
    uint64_t now_ms)
{
	uint64_t elapsed_ms = now_ms - MIN(bucket->refilled_ms, now_ms);

	bucket->level_ureq = MIN(bucket->level_ureq +
		elapsed_ms * rate->per_1000_s,
	    rate->burst_ureq);
	bucket->refilled_ms = now_ms;
}

uint64_t
token_bucket_wait_ms(struct token_bucket *bucket,
    const struct token_bucket_rate *rate, uint64_t now_ms)
{
	refill(bucket, rate, now_ms);
	if (bucket->level_ureq >= TOKEN_BUCKET_REQUEST_UREQ)
		return 0;
	return (TOKEN_BUCKET_REQUEST_UREQ - bucket->level_ureq) /
	    rate->per_1000_s +
	    1;
}

void
token_bucket_take(struct token_bucket *bucket)
{
	bucket->level_ureq -= MIN(bucket->level_ureq,
	    TOKEN_BUCKET_REQUEST_UREQ);
}
