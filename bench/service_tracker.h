/**
 * @file
 * Service of each account over time, and what follows from it: the gap
 * between backlogged accounts and starvation. Without input or output.
 */
#ifndef BENCH_SERVICE_TRACKER_H
#define BENCH_SERVICE_TRACKER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SERVICE_SAMPLE_PERIOD_US 100000u

/** One account at one sample. */
struct service_sample {
	uint64_t service_tokens; /**< received by its callers so far */
	bool backlogged; /**< work waited all the time since the last sample */
};

struct service_tracker {
	uint32_t account_count;
	const uint32_t *weights;
	uint64_t *service_tokens;
	uint32_t *waiting_count; /**< requests without a first token */
	bool *was_idle; /**< nothing waited at some time since the sample */
	GArray *samples; /**< struct service_sample, account_count a sample */
};

void service_tracker_init(struct service_tracker *tracker,
    const uint32_t *weights, uint32_t account_count);
void service_tracker_finish(struct service_tracker *tracker);

void service_tracker_add_waiting(struct service_tracker *tracker,
    uint32_t account);
void service_tracker_remove_waiting(struct service_tracker *tracker,
    uint32_t account);
void service_tracker_add_token(struct service_tracker *tracker,
    uint32_t account);
void service_tracker_sample(struct service_tracker *tracker);

uint32_t service_tracker_samples_count(const struct service_tracker *tracker);
const struct service_sample *
service_tracker_at(const struct service_tracker *tracker, uint32_t sample,
    uint32_t account);

/**
 * Largest difference of service by weight, over all samples and pairs of
 * accounts, since both became backlogged.
 * @param first, second receive the pair
 * @return tokens per weight, or -1 if no two accounts were backlogged
 */
double service_tracker_gap_tokens(const struct service_tracker *tracker,
    uint32_t *first, uint32_t *second);

/** Tokens that an account received between the first and the last sample. */
uint64_t service_tracker_received_tokens(const struct service_tracker *tracker,
    uint32_t account);

/** Accounts backlogged for starved_us on end without a token. */
uint32_t service_tracker_starved_count(const struct service_tracker *tracker,
    uint64_t starved_us);

#endif
