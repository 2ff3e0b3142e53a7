/**
 * @file
 * Scenario of an experiment, read from a JSON file: the size of the testbed,
 * the accounts and their workloads.
 */
#ifndef BENCH_SCENARIO_H
#define BENCH_SCENARIO_H

#include <stdbool.h>
#include <stdint.h>

#define SCENARIO_NAME_BYTES 64
#define SCENARIO_ACCOUNTS_MAX_COUNT 64u
#define SCENARIO_WORKLOADS_MAX_COUNT 128u
#define SCENARIO_ENTRY_DAEMONS_MAX_COUNT 8u

struct scenario_account {
	char name[SCENARIO_NAME_BYTES];
	uint32_t weight;
	bool large; /**< drawn with a thicker line in plots */
};

/**
 * Requests of one account: a closed loop, or an open loop with Poisson
 * arrivals.
 */
struct scenario_workload {
	char kind[SCENARIO_NAME_BYTES];
	uint32_t account; /**< index in the accounts of the scenario */
	uint32_t tokens_min, tokens_max;
	uint32_t outstanding_count; /**< concurrency of a closed loop, or 0 */
	double requests_per_s; /**< arrival rate of an open loop */
	bool interactive; /**< time to first token is measured */
	/** Indices of the daemons that receive the requests. */
	uint32_t entry_daemons[SCENARIO_ENTRY_DAEMONS_MAX_COUNT];
	uint32_t entry_daemons_count;
};

struct scenario {
	char name[SCENARIO_NAME_BYTES];
	uint32_t daemon_count;
	uint32_t failure_domain_count;
	uint32_t replica_count;
	uint32_t slots_per_replica;
	uint32_t extra_slots_per_replica;
	uint32_t token_us;
	uint32_t estimate_tokens;
	uint32_t request_max_tokens;
	uint32_t warm_up_ms; /**< load before the measurement window */
	struct scenario_account accounts[SCENARIO_ACCOUNTS_MAX_COUNT];
	uint32_t account_count;
	struct scenario_workload workloads[SCENARIO_WORKLOADS_MAX_COUNT];
	uint32_t workloads_count;
};

/** Reads a scenario file; exits with a message if it is invalid. */
void scenario_read(struct scenario *scenario, const char *path);

#endif
