/**
 * @file
 * One run of a scenario under one policy, with an optional fault during the
 * measurement window.
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

/** A fault, injected once and removed after a time if remove is not NULL. */
struct trial_fault {
	const char *name;
	const char *extra_settings;
	/** @return false if the fault could not be injected */
	bool (*inject)(struct trial *trial);
	void (*remove)(struct trial *trial);
	uint32_t remove_after_ms;
};

struct trial {
	const struct bench_options *options;
	const struct scenario *scenario;
	const struct trial_fault *fault; /**< may be NULL */
	struct testbed testbed;
	struct load_generator generator;
	struct slot_sampler sampler;
	struct testbed_usage usage_before, usage_after;
	uint64_t window_start_us, window_end_us;
	uint64_t fault_us; /**< time of injection, 0 before */
	bool fault_removed;
	int owner; /**< daemon that owned the pool at fault_us, or -1 */
	/** Why the trial has no valid result, or NULL. */
	const char *not_measured_reason;
};

void trial_init(struct trial *trial, const struct bench_options *options,
    const struct scenario *scenario, const char *policy,
    const struct trial_fault *fault);
/** Runs warm-up, measurement window and fault, then drains the load. */
void trial_run(struct trial *trial);
void trial_finish(struct trial *trial);

/** Prints gap, starvation, utilisation, time to first token and outcomes. */
void trial_print_service(const struct trial *trial, const char *prefix);
/** Prints the control plane overhead of the daemons. */
void trial_print_control(const struct trial *trial, const char *prefix);

/** @return upper bound of the service gap that the fair queue guarantees */
uint64_t trial_gap_bound_tokens(const struct scenario *scenario,
    uint32_t owner_changes_count);

#endif
