/**
 * @file
 * Testbed of real processes on loopback: the platform stand-in, engine
 * stand-ins, and daemons whose tables are loaded over the administration API.
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

/** Configuration of a testbed. */
struct testbed_config {
	const struct bench_options *options;
	const struct scenario *scenario;
	const char *policy; /**< setting share.policy */
	const char *extra_settings; /**< additional lines of settings */
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

/** Resource usage of the daemons, for differences over a window. */
struct testbed_usage {
	uint64_t measured_at_us;
	uint64_t peer_bytes[TESTBED_DAEMONS_MAX_COUNT];
	uint64_t control_cpu_us[TESTBED_DAEMONS_MAX_COUNT];
	uint64_t platform_calls[TESTBED_DAEMONS_MAX_COUNT];
	uint64_t resident_kib[TESTBED_DAEMONS_MAX_COUNT];
	/** Whether the metrics of the daemon could be read. */
	bool measured[TESTBED_DAEMONS_MAX_COUNT];
};

/** Starts all processes and waits until the daemons know each other. */
void testbed_init(struct testbed *testbed, const struct testbed_config *config);
/** Kills all processes. */
void testbed_finish(struct testbed *testbed);

/** Replaces a table and releases the document; exits if it is rejected. */
void testbed_put_table(struct testbed *testbed, const char *table,
    json_t *document);
/** Pools table with extra rows that only increase its size. */
json_t *testbed_pools_table(const struct testbed *testbed,
    uint32_t extra_pools_count, uint32_t extra_endpoints_count);
/** Routes table with extra rows that only increase its size. */
json_t *testbed_routes_table(const struct testbed *testbed,
    uint32_t extra_routes_count);

/** @return the JSON document of a response, to be released, or NULL */
json_t *testbed_get_json(const char *address, const char *path);

/** Sends a POST to the administration API. @return true on success */
bool testbed_post(struct testbed *testbed, uint32_t index, const char *path);

/** @return the index of the daemon that owns the model pool, or -1 */
int testbed_pool_owner(struct testbed *testbed);

void testbed_read_usage(struct testbed *testbed, struct testbed_usage *usage);

#endif
