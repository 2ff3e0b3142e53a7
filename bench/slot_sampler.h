/**
 * @file
 * Samples on a thread of its own how many slots of the engines are busy.
 */
#ifndef BENCH_SLOT_SAMPLER_H
#define BENCH_SLOT_SAMPLER_H

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>

#include "testbed.h"

#define SLOT_SAMPLE_PERIOD_MS 100u

struct slot_sample {
	uint64_t taken_at_us;
	uint32_t busy_slots; /**< at most the efficient slots of each engine */
	uint32_t responding_engines_count; /**< engines that answered */
};

struct slot_sampler {
	const struct testbed *testbed;
	pthread_t thread;
	_Atomic uint32_t stopping;
	GArray *samples; /**< struct slot_sample; to be read after stop */
};

void slot_sampler_start(struct slot_sampler *sampler,
    const struct testbed *testbed);
void slot_sampler_stop(struct slot_sampler *sampler);
void slot_sampler_finish(struct slot_sampler *sampler);

/** Busy slots over a stretch of time, -1 if nothing was sampled. */
double slot_sampler_utilisation_pct(const struct slot_sampler *sampler,
    uint64_t from_us, uint64_t until_us);

/**
 * Time after a fault until the mean of a full second of samples is at
 * target_pct again.
 * @return milliseconds, 0 if it never fell below, -1 if it stayed below
 */
int64_t slot_sampler_recovery_ms(const struct slot_sampler *sampler,
    uint64_t fault_us, double target_pct);

#endif
