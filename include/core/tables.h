/**
 * @file
 * The operators' two configuration tables, routes and pools, as plain structs,
 * and their joint validation.
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

/** Which requests of a route may be retried after they may have run. */
enum route_repeat {
	REPEAT_BY_METHOD, /**< those whose HTTP method is idempotent */
	REPEAT_ALWAYS, /**< all requests are idempotent */
	REPEAT_NEVER /**< no request is idempotent */
};

/** Row of the routes table: maps a client account and path to a pool. */
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
	uint32_t waiting_max_count; /**< at each daemon */
	enum route_repeat repeat;
};

enum pool_kind { POOL_MODEL, POOL_SERVICE };

struct endpoint {
	char address[ADDRESS_MAX_BYTES]; /**< "ip:port" */
	char domain[NAME_MAX_BYTES];
	uint64_t endpoint_id;
	bool leaving; /**< gets no new requests */
	bool fenced; /**< rejects requests with an outdated fencing token */
};

/** Row of the pools table. */
struct pool {
	char name[NAME_MAX_BYTES];
	uint64_t pool_id;
	enum pool_kind kind;
	uint32_t slots_per_endpoint;
	/** reserved for accounts below their fair share */
	uint32_t extra_slots_per_endpoint;
	uint32_t estimate_tokens; /**< charged when a request starts */
	uint32_t request_max_tokens;
	bool resume; /**< the engines can resume a broken stream */
	struct endpoint *endpoints;
	uint32_t endpoint_count;
};

/** Both tables with their versions. */
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
 * Validates both tables and the references between them, and sets the
 * identifiers that are hashes of names.
 * @return true without findings
 */
bool tables_validate(struct tables *tables, struct findings *findings);

/** @return the pool, or NULL */
const struct pool *tables_find_pool(const struct tables *tables,
    uint64_t pool_id);

/** @return the endpoint, or NULL */
const struct endpoint *pool_find_endpoint(const struct pool *pool,
    uint64_t endpoint_id);

enum route_match { ROUTE_FOUND, ROUTE_UNKNOWN_KEY, ROUTE_NO_PATH };

/**
 * Finds the route for a caller's key and path. If several routes of the account
 * match, the one with the longest path prefix is used. Key hashes are compared
 * in constant time.
 */
enum route_match tables_match_route(const struct tables *tables,
    const char *key_sha256_hex, const char *path, const struct route **route);

#endif
