/**
 * @file
 * Samples the number of busy engine slots on a separate thread.
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
	uint32_t busy_slots; /**< without the extra slots of the engines */
	uint32_t responding_engines_count;
};

struct slot_sampler {
	const struct testbed *testbed;
	pthread_t thread;
	_Atomic uint32_t stopping;
	GArray *samples; /**< struct slot_sample; read only after the stop */
};

void slot_sampler_start(struct slot_sampler *sampler,
    const struct testbed *testbed);
void slot_sampler_stop(struct slot_sampler *sampler);
void slot_sampler_finish(struct slot_sampler *sampler);

/** Mean utilisation in an interval, or -1 without a sample of all engines. */
double slot_sampler_utilisation_pct(const struct slot_sampler *sampler,
    uint64_t from_us, uint64_t until_us);

/**
 * Time from a fault until the mean utilisation of five consecutive samples
 * reaches target_pct again.
 * @return 0 if the mean never fell below the target, -1 if it stayed below
 */
int64_t slot_sampler_recovery_ms(const struct slot_sampler *sampler,
    uint64_t fault_us, double target_pct);

#endif
