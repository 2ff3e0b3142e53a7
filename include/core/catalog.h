/**
 * @file
 * The configuration in force as the daemon's own types: which request goes to
 * which pool, and which client account a key belongs to. Immutable once built;
 * shared between threads by reference.
 */
#ifndef CORE_CATALOG_H
#define CORE_CATALOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/limits.h"

#define CATALOG_PATH_MAX_BYTES 128u
#define CATALOG_TARGETS_MAX_COUNT 16u

/** What a route's requests are, which decides what may be repeated. */
enum call_kind {
	CALL_SAFE, /**< idempotent */
	CALL_UNSAFE, /**< at most once */
	CALL_STREAM /**< an answer in events */
};

/** One pool that a route sends a part of its requests to. */
struct catalog_target {
	uint64_t pool_id;
	uint32_t weight;
};

struct catalog_route {
	char name[NAME_MAX_BYTES];
	char host[NAME_MAX_BYTES];
	char path_prefix[CATALOG_PATH_MAX_BYTES];
	struct catalog_target targets[CATALOG_TARGETS_MAX_COUNT];
	uint32_t targets_count;
	enum call_kind kind;
	uint32_t timeout_ms; /**< longest time until the answer's end */
	uint32_t aim_ms; /**< latency target */
	uint32_t attempts_max_count; /**< endpoints a request may be sent to */
	bool anonymous; /**< needs no key */
	bool resumable; /**< a broken stream may go on elsewhere */
};

struct catalog_pool {
	uint64_t pool_id;
	char name[NAME_MAX_BYTES];
	uint32_t slots; /**< requests an endpoint runs at once, 0 if untold */
	uint64_t memory_tokens; /**< of one engine, 0 for a plain service */
	bool engine;
};

struct catalog_account {
	uint64_t account_id;
	char name[NAME_MAX_BYTES];
};

/** Bounds on what callers may send. */
struct catalog_limits {
	uint32_t body_max_bytes;
	uint32_t idle_timeout_ms;
};

struct catalog {
	uint64_t version;
	GArray *routes; /**< struct catalog_route; sorted by catalog_seal */
	GArray *pools; /**< struct catalog_pool */
	GArray *accounts; /**< struct catalog_account */
	GHashTable *keys; /**< key text to account index + 1 */
	struct catalog_limits limits;
	gint references;
};

/** @return an empty catalog with one reference */
struct catalog *catalog_new(void);
struct catalog *catalog_ref(struct catalog *catalog);
void catalog_unref(struct catalog *catalog);

/** Adds a key of the account at an index. */
void catalog_add_key(struct catalog *catalog, const char *key,
    uint32_t account_index);

/** Sorts the routes for lookups; nothing may be added later. */
void catalog_seal(struct catalog *catalog);

/**
 * Finds the route with the longest prefix of a path among those of a host.
 * @return NULL if none matches
 */
const struct catalog_route *catalog_find_route(const struct catalog *catalog,
    const char *host, const char *path);

/** @return the account that holds a key, or NULL */
const struct catalog_account *catalog_find_key(const struct catalog *catalog,
    const char *key);

/** @return the pool, or NULL */
const struct catalog_pool *catalog_find_pool(const struct catalog *catalog,
    uint64_t pool_id);

/** Picks a route's pool by weight; the same hash gives the same pool. */
uint64_t catalog_pick_pool(const struct catalog_route *route, uint64_t hash);

#endif
