/**
 * @file
 * Samples on a thread of its own how many slots of the engines are busy.
 */
#ifndef TESTS_BENCH_SAMPLER_H
#define TESTS_BENCH_SAMPLER_H

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>

#include "rig.h"

#define SAMPLER_PERIOD_MS 100u

struct sampler_point {
	uint64_t at_us;
	uint32_t busy_slots; /**< at most the efficient slots of each engine */
	uint32_t answered_count; /**< engines that answered */
};

struct sampler {
	const struct rig *rig;
	pthread_t thread;
	_Atomic uint32_t stopping;
	GArray *points; /**< struct sampler_point; to be read after stop */
};

void sampler_start(struct sampler *sampler, const struct rig *rig);
void sampler_stop(struct sampler *sampler);
void sampler_finish(struct sampler *sampler);

/** Busy slots over a stretch of time, -1 if nothing was sampled. */
double sampler_utilisation_pct(const struct sampler *sampler, uint64_t from_us,
    uint64_t until_us);

/**
 * Time after a fault until the mean of a full second of samples is at
 * full_pct again.
 * @return milliseconds, 0 if it never fell below, -1 if it stayed below
 */
int64_t sampler_recovery_ms(const struct sampler *sampler, uint64_t fault_us,
    double full_pct);

#endif
