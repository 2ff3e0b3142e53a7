/**
 * @file
 * Records the service of each account over time and computes fairness metrics:
 * the service gap of backlogged accounts, and starvation. Does no I/O.
 */
#ifndef BENCH_SERVICE_TRACKER_H
#define BENCH_SERVICE_TRACKER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SERVICE_SAMPLE_PERIOD_US 100000u

/** State of one account at one sample. */
struct service_sample {
	uint64_t service_tokens; /**< received by its callers since the start */
	/** Requests waited without a break since the previous sample. */
	bool backlogged;
};

struct service_tracker {
	uint32_t account_count;
	const uint32_t *weights;
	uint64_t *service_tokens;
	/** Requests of each account that wait for their first token. */
	uint32_t *waiting_count;
	/** No request waited at some moment since the latest sample. */
	bool *was_idle;
	GArray *samples; /**< struct service_sample, by sample and account */
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
 * Largest service gap: the difference in weighted service that two accounts
 * build up while both are backlogged, over all pairs and samples.
 * @param first,second set to the pair of accounts
 * @return tokens per unit of weight, or -1 if no two accounts were backlogged
 * at the same time
 */
double service_tracker_gap_tokens(const struct service_tracker *tracker,
    uint32_t *first, uint32_t *second);

/** Tokens that an account received from the first to the last sample. */
uint64_t service_tracker_received_tokens(const struct service_tracker *tracker,
    uint32_t account);

/** Number of accounts that got no token in starved_us while backlogged. */
uint32_t service_tracker_starved_count(const struct service_tracker *tracker,
    uint64_t starved_us);

#endif
