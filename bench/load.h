/**
 * @file
 * Drives a scenario's load over many streams at once and watches what the
 * callers receive: who got how many tokens when, first tokens, and answers
 * that were lost, crossed or out of order.
 */
#ifndef TESTS_BENCH_LOAD_H
#define TESTS_BENCH_LOAD_H

#include <curl/curl.h>
#include <glib.h>
#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>

#include "hist.h"
#include "rig.h"
#include "scenario.h"
#include "share.h"

/** Called before each sample; elapsed counts from the window's start. */
typedef void (*load_fn)(void *context, uint64_t elapsed_us);

struct load_source {
	const struct scenario_work *work;
	gsl_rng *rng;
	uint64_t due_us; /**< next arrival of an open loop, or next of the
			  * first requests of a closed one */
	uint32_t unstarted_count; /**< closed loop: first requests to come */
	uint32_t paused_count; /**< closed loop: to be sent again */
	uint64_t paused_until_us;
	uint32_t entry_next;
};

/** What happened to the answers; each request is counted once. */
struct load_counts {
	uint64_t sent, whole, lost, crossed, disordered;
	uint64_t refused; /**< not run, as the answer says */
	uint64_t cut; /**< their daemon was killed */
	uint64_t tokens;
};

struct load {
	struct rig *rig;
	const struct scenario *scenario;
	CURLM *multi;
	GPtrArray *free_calls;
	GPtrArray *calls;
	struct load_source sources[SCENARIO_WORKS_MAX_COUNT];
	uint32_t weights[SCENARIO_ACCOUNTS_MAX_COUNT];
	struct share share; /**< service and backlog of the accounts */
	struct hist first_token; /**< of interactive work */
	struct load_counts counts;
	uint64_t window_start_us; /**< 0 before the window */
	uint32_t running_calls;
	uint64_t next_id;
	bool stopping;
};

void load_init(struct load *load, struct rig *rig, uint32_t seed);
void load_finish(struct load *load);

/** Sends without measuring, to fill the slots. */
void load_warm_up(struct load *load, uint32_t duration_ms);
/** Measures; on_sample may be NULL. */
void load_run(struct load *load, uint32_t duration_ms, load_fn on_sample,
    void *context);
/** Sends nothing new and waits for what is under way. */
void load_drain(struct load *load, uint32_t limit_ms);

#endif
