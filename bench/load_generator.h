/**
 * @file
 * Drives a scenario's load over many streams at once and watches what the
 * callers receive: who got how many tokens when, first tokens, and answers
 * that were lost, misdelivered or out of order.
 */
#ifndef BENCH_LOAD_GENERATOR_H
#define BENCH_LOAD_GENERATOR_H

#include <curl/curl.h>
#include <glib.h>
#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>

#include "histogram.h"
#include "scenario.h"
#include "service_tracker.h"
#include "testbed.h"

/** Called before each sample; elapsed counts from the window's start. */
typedef void (*load_generator_sample_fn)(void *context, uint64_t elapsed_us);

struct load_source {
	const struct scenario_workload *workload;
	gsl_rng *rng;
	uint64_t next_send_us; /**< next arrival of an open loop, or next of the
			  * first requests of a closed one */
	uint32_t
	    initial_requests_count; /**< closed loop: first requests to come */
	uint32_t retry_count; /**< closed loop: to be sent again */
	uint64_t retry_at_us;
	uint32_t next_daemon_index;
};

/** What happened to the answers; each request is counted once. */
struct load_counts {
	uint64_t sent, complete, lost, misdelivered, out_of_order;
	uint64_t refused; /**< not run, as the answer says */
	uint64_t interrupted; /**< their daemon was killed */
	uint64_t tokens;
};

struct load_generator {
	struct testbed *testbed;
	const struct scenario *scenario;
	CURLM *multi;
	GPtrArray *free_requests;
	GPtrArray *requests;
	struct load_source sources[SCENARIO_WORKLOADS_MAX_COUNT];
	uint32_t weights[SCENARIO_ACCOUNTS_MAX_COUNT];
	struct service_tracker
	    tracker; /**< service and backlog of the accounts */
	struct histogram first_token; /**< of interactive work */
	struct load_counts counts;
	uint64_t window_start_us; /**< 0 before the window */
	uint32_t running_requests_count;
	uint64_t next_id;
	bool stopping;
};

void load_generator_init(struct load_generator *generator,
    struct testbed *testbed, uint32_t seed);
void load_generator_finish(struct load_generator *generator);

/** Sends without measuring, to fill the slots. */
void load_generator_warm_up(struct load_generator *generator,
    uint32_t duration_ms);
/** Measures; on_sample may be NULL. */
void load_generator_run(struct load_generator *generator, uint32_t duration_ms,
    load_generator_sample_fn on_sample, void *context);
/** Sends nothing new and waits for what is under way. */
void load_generator_drain(struct load_generator *generator,
    uint32_t timeout_ms);

#endif
