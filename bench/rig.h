/**
 * @file
 * The fleet under test: platform stand-in, engines and daemons as processes
 * on loopback, with both tables loaded over the administration API.
 */
#ifndef TESTS_BENCH_RIG_H
#define TESTS_BENCH_RIG_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "bench.h"
#include "scenario.h"

#define RIG_DAEMONS_MAX_COUNT 64u
#define RIG_ENGINES_MAX_COUNT 32u
#define RIG_ADDRESS_BYTES 32
#define RIG_POOL "model"
#define RIG_PATH "/v1/chat/completions"

struct rig_engine {
	pid_t pid;
	char address[RIG_ADDRESS_BYTES];
};

struct rig_daemon {
	pid_t pid;
	bool alive;
	char listen[RIG_ADDRESS_BYTES];
	char admin[RIG_ADDRESS_BYTES];
	char peer[RIG_ADDRESS_BYTES];
};

/** How the daemons of a run are set. */
struct rig_config {
	const struct bench_options *options;
	const struct scenario *scenario;
	const char *policy; /**< share.policy */
	const char *extra_settings; /**< further lines, or "" */
	uint32_t daemon_count;
	uint32_t worker_threads_count;
};

struct rig {
	struct rig_config config;
	char platform[RIG_ADDRESS_BYTES];
	struct rig_daemon daemons[RIG_DAEMONS_MAX_COUNT];
	struct rig_engine engines[RIG_ENGINES_MAX_COUNT];
	uint32_t daemon_count;
	uint32_t engine_count;
};

/** Counters of the daemons' metrics, for differences over a window. */
struct rig_usage {
	uint64_t at_us;
	uint64_t peer_bytes[RIG_DAEMONS_MAX_COUNT];
	uint64_t control_cpu_us[RIG_DAEMONS_MAX_COUNT];
	uint64_t platform_calls[RIG_DAEMONS_MAX_COUNT];
	uint64_t resident_kib[RIG_DAEMONS_MAX_COUNT];
	bool known[RIG_DAEMONS_MAX_COUNT];
};

/** Starts everything and returns once all daemons see each other. */
void rig_init(struct rig *rig, const struct rig_config *config);
/** Ends all processes. */
void rig_finish(struct rig *rig);

/** Replaces a table; the process ends if it is refused. */
void rig_put_table(struct rig *rig, const char *table, json_t *document);
/** Builds the pools table, with extra rows for the tables' size alone. */
json_t *rig_pools_table(const struct rig *rig, uint32_t extra_pools_count,
    uint32_t extra_endpoints_count);
json_t *rig_routes_table(const struct rig *rig, uint32_t extra_routes_count);

/** One call. @return the body's JSON, or NULL; to be released */
json_t *rig_get_json(const char *address, const char *path);

/** Calls a daemon's administration API by POST. @return whether it agreed */
bool rig_post(struct rig *rig, uint32_t index, const char *path);

/** @return the index of the daemon that owns the model pool, or -1 */
int rig_owner(struct rig *rig);

void rig_read_usage(struct rig *rig, struct rig_usage *usage);

#endif
