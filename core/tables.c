#include "core/tables.h"

#include <glib.h>
#include <string.h>

#include "core/hash.h"

void
tables_init(struct tables *tables)
{
	memset(tables, 0, sizeof(*tables));
}

void
tables_finish(struct tables *tables)
{
	for (uint32_t i = 0; i < tables->pool_count; i++)
		g_free(tables->pools[i].endpoints);
	g_free(tables->pools);
	g_free(tables->routes);
	memset(tables, 0, sizeof(*tables));
}

const struct pool *
tables_find_pool(const struct tables *tables, uint64_t pool_id)
{
	for (uint32_t i = 0; i < tables->pool_count; i++)
		if (tables->pools[i].pool_id == pool_id)
			return &tables->pools[i];
	return NULL;
}

const struct endpoint *
pool_find_endpoint(const struct pool *pool, uint64_t endpoint_id)
{
	for (uint32_t i = 0; i < pool->endpoint_count; i++)
		if (pool->endpoints[i].endpoint_id == endpoint_id)
			return &pool->endpoints[i];
	return NULL;
}

static void
check_range(struct findings *findings, const char *table, uint32_t row,
    const char *field, uint32_t value, uint32_t low, uint32_t high)
{
	if (value < low || value > high)
		findings_add_row(findings, table, row,
		    "%s is %u, allowed is %u to %u", field, value, low, high);
}

static void
pool_check_endpoints(struct pool *pool, uint32_t row, struct findings *findings)
{
	for (uint32_t i = 0; i < pool->endpoint_count; i++) {
		struct endpoint *endpoint = &pool->endpoints[i];

		endpoint->endpoint_id = hash_name(endpoint->address);
		for (uint32_t j = 0; j < i; j++)
			if (pool->endpoints[j].endpoint_id ==
			    endpoint->endpoint_id)
				findings_add_row(findings, "pools", row,
				    "endpoint %s is listed twice",
				    endpoint->address);
	}
}

static void
pool_check(struct tables *tables, uint32_t index, struct findings *findings)
{
	struct pool *pool = &tables->pools[index];
	uint32_t row = index + 1;

	pool->pool_id = hash_name(pool->name);
	for (uint32_t j = 0; j < index; j++)
		if (tables->pools[j].pool_id == pool->pool_id)
			findings_add_row(findings, "pools", row,
			    "pool %s is listed twice, first in row %u",
			    pool->name, j + 1);
	check_range(findings, "pools", row, "slots_per_endpoint",
	    pool->slots_per_endpoint, 1, POOL_SLOTS_MAX_COUNT);
	check_range(findings, "pools", row, "extra_slots_per_endpoint",
	    pool->extra_slots_per_endpoint, 0, POOL_SLOTS_MAX_COUNT);
	check_range(findings, "pools", row, "request_max_tokens",
	    pool->request_max_tokens, 1, POOL_TOKENS_MAX);
	check_range(findings, "pools", row, "estimate_tokens",
	    pool->estimate_tokens, 1, pool->request_max_tokens);
	pool_check_endpoints(pool, row, findings);
}

static bool
route_shares_key(const struct route *a, const struct route *b)
{
	for (uint32_t i = 0; i < a->key_count; i++)
		for (uint32_t j = 0; j < b->key_count; j++)
			if (strcmp(a->key_sha256[i], b->key_sha256[j]) == 0)
				return true;
	return false;
}

static void
route_check_pair(struct tables *tables, uint32_t index, uint32_t earlier_index,
    struct findings *findings)
{
	struct route *route = &tables->routes[index];
	struct route *other = &tables->routes[earlier_index];
	bool same_account = route->account_id == other->account_id;

	if (same_account && strcmp(route->path, other->path) == 0)
		findings_add_row(findings, "routes", index + 1,
		    "account %s and path %s are listed twice, first in row %u",
		    route->account, route->path, earlier_index + 1);
	if (!same_account && route_shares_key(route, other))
		findings_add_row(findings, "routes", index + 1,
		    "account %s has a key of account %s in row %u",
		    route->account, other->account, earlier_index + 1);
	if (same_account && route->pool_id == other->pool_id &&
	    route->weight != other->weight)
		findings_add_row(findings, "routes", index + 1,
		    "account %s has another weight for pool %s in row %u",
		    route->account, route->pool, earlier_index + 1);
}

static void
route_check(struct tables *tables, uint32_t index, struct findings *findings)
{
	struct route *route = &tables->routes[index];
	uint32_t row = index + 1;

	route->account_id = hash_name(route->account);
	route->pool_id = hash_name(route->pool);
	if (tables_find_pool(tables, route->pool_id) == NULL)
		findings_add_row(findings, "routes", row,
		    "pool %s is not in the pools table", route->pool);
	check_range(findings, "routes", row, "weight", route->weight, 1,
	    ROUTE_WEIGHT_MAX);
	check_range(findings, "routes", row, "waiting_max_count",
	    route->waiting_max_count, 1, ROUTE_WAITING_MAX_COUNT);
	if (route->path[0] != '/')
		findings_add_row(findings, "routes", row,
		    "path must begin with /");
	for (uint32_t j = 0; j < index; j++)
		route_check_pair(tables, index, j, findings);
}

bool
tables_validate(struct tables *tables, struct findings *findings)
{
	size_t before_count = findings->total_count;

	for (uint32_t i = 0; i < tables->pool_count; i++)
		pool_check(tables, i, findings);
	for (uint32_t i = 0; i < tables->route_count; i++)
		route_check(tables, i, findings);
	return findings->total_count == before_count;
}

/* Compares in constant time, so that a caller can't guess a hash byte by byte
 * from response times. */
static bool
hash_equal(const char *a, const char *b)
{
	unsigned char difference = 0;

	for (size_t i = 0; i < KEY_HASH_HEX_BYTES; i++)
		difference |= (unsigned char)(a[i] ^ b[i]);
	return difference == 0;
}

static bool
route_has_key(const struct route *route, const char *key_sha256_hex)
{
	bool found = false;

	for (uint32_t i = 0; i < route->key_count; i++)
		found |= hash_equal(route->key_sha256[i], key_sha256_hex);
	return found;
}

/* A prefix matches whole path segments only: /v1/chat matches /v1/chat/x but
 * not /v1/chatter. */
static bool
path_has_prefix(const char *path, const char *prefix)
{
	size_t length = strlen(prefix);

	if (strncmp(path, prefix, length) != 0)
		return false;
	return prefix[length - 1] == '/' || path[length] == '\0' ||
	    path[length] == '/';
}

enum route_match
tables_match_route(const struct tables *tables, const char *key_sha256_hex,
    const char *path, const struct route **route)
{
	enum route_match match = ROUTE_UNKNOWN_KEY;

	*route = NULL;
	for (uint32_t i = 0; i < tables->route_count; i++) {
		const struct route *candidate = &tables->routes[i];

		if (!route_has_key(candidate, key_sha256_hex))
			continue;
		if (match == ROUTE_UNKNOWN_KEY)
			match = ROUTE_NO_PATH;
		if (!path_has_prefix(path, candidate->path))
			continue;
		if (*route == NULL ||
		    strlen(candidate->path) > strlen((*route)->path))
			*route = candidate;
		match = ROUTE_FOUND;
	}
	return match;
}
