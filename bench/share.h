/**
 * @file
 * Service of each account over time, and what follows from it: the gap
 * between backlogged accounts and starvation. Without input or output.
 */
#ifndef TESTS_BENCH_SHARE_H
#define TESTS_BENCH_SHARE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SHARE_SAMPLE_US 100000u

/** One account at one sample. */
struct share_point {
	uint64_t service_tokens; /**< received by its callers so far */
	bool backlogged; /**< work waited all the time since the last sample */
};

struct share {
	uint32_t account_count;
	const uint32_t *weights;
	uint64_t *service_tokens;
	uint32_t *waiting_count; /**< requests without a first token */
	bool *was_idle; /**< nothing waited at some time since the sample */
	GArray *points; /**< struct share_point, account_count a sample */
};

void share_init(struct share *share, const uint32_t *weights,
    uint32_t account_count);
void share_finish(struct share *share);

void share_add_waiting(struct share *share, uint32_t account);
void share_remove_waiting(struct share *share, uint32_t account);
void share_add_token(struct share *share, uint32_t account);
void share_sample(struct share *share);

uint32_t share_samples_count(const struct share *share);
const struct share_point *share_at(const struct share *share, uint32_t sample,
    uint32_t account);

/**
 * Largest difference of service by weight, over all samples and pairs of
 * accounts, since both became backlogged.
 * @param first, second receive the pair
 * @return tokens per weight, or -1 if no two accounts were backlogged
 */
double share_gap_tokens(const struct share *share, uint32_t *first,
    uint32_t *second);

/** Tokens that an account received between the first and the last sample. */
uint64_t share_service_tokens(const struct share *share, uint32_t account);

/** Accounts backlogged for starved_us on end without a token. */
uint32_t share_starved_count(const struct share *share, uint64_t starved_us);

#endif
