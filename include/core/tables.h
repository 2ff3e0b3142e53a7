/**
 * @file
 * The two tables of the operators: routes and pools, as plain structs, with
 * their validation as a whole.
 */
#ifndef CORE_TABLES_H
#define CORE_TABLES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/finding.h"
#include "core/limits.h"

#define ROUTE_KEYS_MAX_COUNT 4u
#define KEY_HASH_HEX_BYTES 64u
#define PATH_MAX_BYTES 128u
#define ROUTE_WEIGHT_MAX 1000u
#define ROUTE_WAITING_MAX_COUNT 1024u
#define POOL_SLOTS_MAX_COUNT 4096u
#define POOL_TOKENS_MAX 1000000u

/** Which of a route's calls may be repeated. */
enum route_repeat {
	REPEAT_BY_METHOD, /**< as HTTP defines it for the method */
	REPEAT_ALWAYS, /**< every call is idempotent */
	REPEAT_NEVER /**< no call is idempotent */
};

/** One row of the routes table: a client account's way to a pool. */
struct route {
	char account[NAME_MAX_BYTES];
	char team[NAME_MAX_BYTES];
	char path[PATH_MAX_BYTES]; /**< path prefix */
	char pool[NAME_MAX_BYTES];
	char key_sha256[ROUTE_KEYS_MAX_COUNT][KEY_HASH_HEX_BYTES + 1];
	uint64_t account_id;
	uint64_t pool_id;
	uint32_t key_count;
	uint32_t weight;
	uint32_t waiting_max_count; /**< per daemon */
	enum route_repeat repeat;
};

enum pool_kind { POOL_MODEL, POOL_SERVICE };

/** One endpoint of a pool. */
struct endpoint {
	char address[ADDRESS_MAX_BYTES]; /**< "ip:port" */
	char domain[NAME_MAX_BYTES];
	uint64_t endpoint_id;
	bool leaving;
	bool fenced; /**< refuses orders with an old fencing number */
};

/** One row of the pools table. */
struct pool {
	char name[NAME_MAX_BYTES];
	uint64_t pool_id;
	enum pool_kind kind;
	uint32_t slots_per_endpoint;
	uint32_t
	    extra_slots_per_endpoint; /**< for accounts under their share */
	uint32_t estimate_tokens; /**< charged when a request starts */
	uint32_t request_max_tokens;
	bool resume; /**< its engines resume a broken stream */
	struct endpoint *endpoints;
	uint32_t endpoint_count;
};

/** Both tables, validated together. */
struct tables {
	struct route *routes;
	struct pool *pools;
	uint32_t route_count;
	uint32_t pool_count;
	uint64_t routes_version;
	uint64_t pools_version;
};

void tables_init(struct tables *tables);
void tables_finish(struct tables *tables);

/**
 * Checks both tables as a whole and fills in the identifiers.
 * @return true if nothing was found
 */
bool tables_validate(struct tables *tables, struct findings *findings);

/** @return the pool of that identifier, or NULL */
const struct pool *tables_find_pool(const struct tables *tables,
    uint64_t pool_id);

/** @return the endpoint of that identifier in the pool, or NULL */
const struct endpoint *pool_find_endpoint(const struct pool *pool,
    uint64_t endpoint_id);

/** Outcome of looking up a caller's route. */
enum route_match { ROUTE_FOUND, ROUTE_UNKNOWN_KEY, ROUTE_NO_PATH };

/**
 * Finds the route of a caller by the hash of its key and its path; the
 * longest matching path prefix wins. Key hashes are compared in constant time.
 */
enum route_match tables_match_route(const struct tables *tables,
    const char *key_sha256_hex, const char *path, const struct route **route);

#endif
