/**
 * @file
 * The fleet under test: platform stand-in, engines and daemons as processes
 * on loopback, with both tables loaded over the administration API.
 */
#ifndef BENCH_TESTBED_H
#define BENCH_TESTBED_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "bench.h"
#include "scenario.h"

#define TESTBED_DAEMONS_MAX_COUNT 64u
#define TESTBED_ENGINES_MAX_COUNT 32u
#define TESTBED_ADDRESS_BYTES 32
#define TESTBED_POOL "model"
#define TESTBED_PATH "/v1/chat/completions"

struct testbed_engine {
	pid_t pid;
	char address[TESTBED_ADDRESS_BYTES];
};

struct testbed_daemon {
	pid_t pid;
	bool alive;
	char listen[TESTBED_ADDRESS_BYTES];
	char admin[TESTBED_ADDRESS_BYTES];
	char peer[TESTBED_ADDRESS_BYTES];
};

/** How the daemons of a run are set. */
struct testbed_config {
	const struct bench_options *options;
	const struct scenario *scenario;
	const char *policy; /**< tracker.policy */
	const char *extra_settings; /**< further lines, or "" */
	uint32_t daemon_count;
	uint32_t worker_threads_count;
};

struct testbed {
	struct testbed_config config;
	char platform[TESTBED_ADDRESS_BYTES];
	struct testbed_daemon daemons[TESTBED_DAEMONS_MAX_COUNT];
	struct testbed_engine engines[TESTBED_ENGINES_MAX_COUNT];
	uint32_t daemon_count;
	uint32_t engine_count;
};

/** Counters of the daemons' metrics, for differences over a window. */
struct testbed_usage {
	uint64_t measured_at_us;
	uint64_t peer_bytes[TESTBED_DAEMONS_MAX_COUNT];
	uint64_t control_cpu_us[TESTBED_DAEMONS_MAX_COUNT];
	uint64_t platform_calls[TESTBED_DAEMONS_MAX_COUNT];
	uint64_t resident_kib[TESTBED_DAEMONS_MAX_COUNT];
	bool measured[TESTBED_DAEMONS_MAX_COUNT];
};

/** Starts everything and returns once all daemons see each other. */
void testbed_init(struct testbed *testbed, const struct testbed_config *config);
/** Ends all processes. */
void testbed_finish(struct testbed *testbed);

/** Replaces a table; the process ends if it is refused. */
void testbed_put_table(struct testbed *testbed, const char *table,
    json_t *document);
/** Builds the pools table, with extra rows for the tables' size alone. */
json_t *testbed_pools_table(const struct testbed *testbed,
    uint32_t extra_pools_count, uint32_t extra_endpoints_count);
json_t *testbed_routes_table(const struct testbed *testbed,
    uint32_t extra_routes_count);

/** One call. @return the body's JSON, or NULL; to be released */
json_t *testbed_get_json(const char *address, const char *path);

/** Calls a daemon's administration API by POST. @return whether it agreed */
bool testbed_post(struct testbed *testbed, uint32_t index, const char *path);

/** @return the index of the daemon that owns the model pool, or -1 */
int testbed_pool_owner(struct testbed *testbed);

void testbed_read_usage(struct testbed *testbed, struct testbed_usage *usage);

#endif
