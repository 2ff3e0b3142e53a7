/**
 * @file
 * Snapshot of the configuration in force: the routes, pools and client
 * accounts. Immutable once it is frozen; shared between threads by reference.
 */
#ifndef CORE_CONFIG_SNAPSHOT_H
#define CORE_CONFIG_SNAPSHOT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/limits.h"

/** Kind of a route's requests, which decides whether they may be retried. */
enum request_kind {
	REQUEST_IDEMPOTENT,
	REQUEST_AT_MOST_ONCE,
	REQUEST_STREAM /**< the response is an event stream */
};

/** A pool that receives a part of a route's requests. */
struct config_target {
	uint64_t pool_id;
	uint32_t weight;
};

/** Texts of routes and accounts are of any length and belong to the snapshot. */
struct config_route {
	const char *name;
	const char *host; /**< lower case */
	const char *path_prefix;
	GArray *targets; /**< struct config_target; the route's own */
	enum request_kind request_kind;
	uint32_t timeout_ms; /**< until the end of the response */
	uint32_t latency_target_ms;
	uint32_t attempts_max_count; /**< including the first one */
	bool anonymous; /**< needs no key */
	bool resumable; /**< a broken stream may resume at another endpoint */
};

struct config_pool {
	uint64_t pool_id;
	uint32_t slots; /**< concurrent requests of an endpoint, 0 if unknown */
	uint64_t kv_capacity_tokens; /**< of one engine, 0 for a service */
	/** Requests in 1,000 s that an endpoint takes while it is cold; 0: as
	 * many as it is sent. */
	uint32_t cold_per_1000_s;
	uint32_t
	    cold_start_ms; /**< an endpoint is cold so long after a start */
	bool engine;
};

struct config_account {
	uint64_t account_id;
	const char *name;
};

/** Limits on requests. */
struct config_limits {
	uint32_t header_max_bytes; /**< request line and headers together */
	uint32_t body_max_bytes;
	uint32_t idle_timeout_ms;
};

struct config_snapshot {
	uint64_t version;
	GArray *routes; /**< struct config_route, sorted once frozen */
	GArray *pools; /**< struct config_pool */
	GArray *accounts; /**< struct config_account */
	GHashTable *keys; /**< key text to account index + 1 */
	/** Routes need a key unless they are anonymous; true with no account, too,
	 * so that a configuration that takes the last one away opens nothing. */
	bool keys_required;
	GStringChunk *texts; /**< of routes and accounts */
	struct config_limits limits;
	/** Parts that could not be read: routes, targets, pools, accounts, keys. */
	uint32_t left_out_count;
	gint reference_count;
};

/** @return an empty snapshot with one reference */
struct config_snapshot *config_snapshot_new(void);
struct config_snapshot *config_snapshot_ref(
    struct config_snapshot *configuration);
void config_snapshot_unref(struct config_snapshot *configuration);

/** @return a copy of a text that lives as long as the snapshot; "" for NULL */
const char *config_snapshot_add_text(struct config_snapshot *configuration,
    const char *text);

/** Adds a key for the account at an index. A request without a key has the empty
 * text, so that is no key.
 * @return false if the key is empty */
bool config_snapshot_add_key(struct config_snapshot *configuration,
    const char *key, uint32_t account_index);

/** Sorts the routes for lookups; ends the changes to the snapshot. */
void config_snapshot_freeze(struct config_snapshot *configuration);

/**
 * Finds the route of a host with the longest prefix of a path.
 * @return NULL if none matches
 */
const struct config_route *
config_snapshot_find_route(const struct config_snapshot *configuration,
    const char *host, const char *path);

/** @return whether a route's requests need the key of an account */
bool config_snapshot_needs_key(const struct config_snapshot *configuration,
    const struct config_route *route);

/** @return the account that holds a key, or NULL */
const struct config_account *
config_snapshot_find_account(const struct config_snapshot *configuration,
    const char *key);

/** @return the account's name for logs and dumps, "-" if it is unknown or the
 * configuration is NULL */
const char *
config_snapshot_account_name(const struct config_snapshot *configuration,
    uint64_t account_id);

/** @return the pool, or NULL */
const struct config_pool *
config_snapshot_find_pool(const struct config_snapshot *configuration,
    uint64_t pool_id);

/** Picks a pool of the route by weight, always the same one for a hash. */
uint64_t config_route_pick_pool(const struct config_route *route,
    uint64_t hash);

#endif
