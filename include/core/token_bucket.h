/**
 * @file
 * Token bucket: lets requests pass at a rate, and a bounded number at once.
 */
#ifndef CORE_TOKEN_BUCKET_H
#define CORE_TOKEN_BUCKET_H

#include <stdint.h>

/** One request, in the unit of buckets. */
#define TOKEN_BUCKET_REQUEST_UREQ 1000000u

/** What a bucket lets pass: in any second the rate and the burst at most. */
struct token_bucket_rate {
	uint32_t per_1000_s; /**< requests in 1,000 s, above 0 */
	uint64_t burst_ureq; /**< most that is saved up; a request or more */
};

struct token_bucket {
	uint64_t level_ureq; /**< millionths of a request */
	uint64_t refilled_ms;
};

/** Starts a bucket with one request. */
void token_bucket_start(struct token_bucket *bucket, uint64_t now_ms);

/** @return time until a request may pass; 0: now */
uint64_t token_bucket_wait_ms(struct token_bucket *bucket,
    const struct token_bucket_rate *rate, uint64_t now_ms);

/** Counts a request that passes. */
void token_bucket_take(struct token_bucket *bucket);

#endif
