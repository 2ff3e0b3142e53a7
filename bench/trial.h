/**
 * @file
 * One run of a scenario under one policy, with an optional fault in its
 * middle, and what was measured in its window.
 */
#ifndef BENCH_TRIAL_H
#define BENCH_TRIAL_H

#include <stdbool.h>
#include <stdint.h>

#include "bench.h"
#include "load_generator.h"
#include "scenario.h"
#include "slot_sampler.h"
#include "testbed.h"

struct trial;

/** A fault: brought in once, and removed once if remove is not NULL. */
struct trial_fault {
	const char *name;
	const char *extra_settings;
	/** @return false with trial->not_measured_reason set if it can't be caused */
	bool (*inject)(struct trial *trial);
	void (*remove)(struct trial *trial);
	uint32_t remove_after_ms;
};

struct trial {
	const struct bench_options *options;
	const struct scenario *scenario;
	const struct trial_fault *fault; /**< or NULL */
	struct testbed testbed;
	struct load_generator generator;
	struct slot_sampler sampler;
	struct testbed_usage usage_before, usage_after;
	uint64_t window_start_us, window_end_us;
	uint64_t fault_us; /**< 0: not yet */
	bool fault_removed;
	int owner; /**< the pool's owner when the fault came */
	const char
	    *not_measured_reason; /**< why the fault was not caused, or NULL */
};

void trial_init(struct trial *trial, const struct bench_options *options,
    const struct scenario *scenario, const char *policy,
    const struct trial_fault *fault);
/** Runs load and fault; afterwards only the measured values are left. */
void trial_run(struct trial *trial);
void trial_finish(struct trial *trial);

/** Prints gap, starvation, utilisation, first tokens and answers. */
void trial_print_service(const struct trial *trial, const char *prefix);
/** Prints what control cost the daemons. */
void trial_print_control(const struct trial *trial, const char *prefix);

/** @return the promised bound of the gap, from the design page's formula */
uint64_t trial_gap_bound_tokens(const struct scenario *scenario,
    uint32_t owner_changes_count);

#endif
