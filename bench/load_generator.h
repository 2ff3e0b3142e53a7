/**
 * @file
 * Generates the load of a scenario with many concurrent requests and records
 * what the callers receive: tokens of each account over time, time to first
 * token, and lost, misdelivered or out-of-order responses.
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

/** Called at each sample; elapsed_us is the time since the window started. */
typedef void (*load_generator_sample_fn)(void *context, uint64_t elapsed_us);

/** State of the generator for one workload. */
struct load_source {
	const struct scenario_workload *workload;
	gsl_rng *rng;
	/** Next arrival of an open loop or next initial request of a closed one. */
	uint64_t next_send_us;
	/** Closed loop: initial requests that are not sent yet. */
	uint32_t initial_requests_count;
	/** Closed loop: failed requests to be replaced at retry_at_us. */
	uint32_t retry_count;
	uint64_t retry_at_us;
	uint32_t next_daemon_index;
};

/**
 * Outcomes of the requests. A finished request counts as complete, refused,
 * interrupted or, in all other cases, lost. Requests with misdelivered or
 * out-of-order tokens are counted in addition.
 */
struct load_counts {
	uint64_t sent, complete, lost, misdelivered, out_of_order;
	uint64_t refused; /**< the response says that the request did not run */
	uint64_t interrupted; /**< the daemon was killed by the experiment */
	uint64_t tokens;
};

struct load_generator {
	struct testbed *testbed;
	const struct scenario *scenario;
	CURLM *multi;
	GPtrArray *free_requests; /**< finished requests for reuse */
	GPtrArray *requests; /**< all requests that were allocated */
	struct load_source sources[SCENARIO_WORKLOADS_MAX_COUNT];
	uint32_t weights[SCENARIO_ACCOUNTS_MAX_COUNT];
	struct service_tracker tracker;
	struct histogram first_token; /**< time to first token, interactive */
	struct load_counts counts;
	uint64_t window_start_us; /**< 0 outside the measurement window */
	uint32_t running_requests_count;
	uint64_t next_id;
	bool stopping;
};

void load_generator_init(struct load_generator *generator,
    struct testbed *testbed, uint32_t seed);
void load_generator_finish(struct load_generator *generator);

/** Generates load without measuring, so that the slots fill up. */
void load_generator_warm_up(struct load_generator *generator,
    uint32_t duration_ms);
/** Generates load and measures it; on_sample may be NULL. */
void load_generator_run(struct load_generator *generator, uint32_t duration_ms,
    load_generator_sample_fn on_sample, void *context);
/** Waits for the running requests without sending new ones. */
void load_generator_drain(struct load_generator *generator,
    uint32_t timeout_ms);

#endif
