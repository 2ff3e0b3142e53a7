#include "core/config_snapshot.h"

#include <string.h>

/* Block size of the allocation of texts, not a limit. */
#define TEXTS_BLOCK_BYTES 1024u

static void
route_finish(gpointer pointer)
{
	struct config_route *route = pointer;

	g_array_free(route->targets, TRUE);
}

struct config_snapshot *
config_snapshot_new(void)
{
	struct config_snapshot *configuration = g_new0(struct config_snapshot,
	    1);

	configuration->routes = g_array_new(FALSE, TRUE,
	    sizeof(struct config_route));
	g_array_set_clear_func(configuration->routes, route_finish);
	configuration->pools = g_array_new(FALSE, TRUE,
	    sizeof(struct config_pool));
	configuration->accounts = g_array_new(FALSE, TRUE,
	    sizeof(struct config_account));
	configuration->keys = g_hash_table_new_full(g_str_hash, g_str_equal,
	    g_free, NULL);
	configuration->texts = g_string_chunk_new(TEXTS_BLOCK_BYTES);
	configuration->reference_count = 1;
	return configuration;
}

struct config_snapshot *
config_snapshot_ref(struct config_snapshot *configuration)
{
	g_atomic_int_inc(&configuration->reference_count);
	return configuration;
}

void
config_snapshot_unref(struct config_snapshot *configuration)
{
	if (configuration == NULL ||
	    !g_atomic_int_dec_and_test(&configuration->reference_count))
		return;
	g_array_free(configuration->routes, TRUE);
	g_array_free(configuration->pools, TRUE);
	g_array_free(configuration->accounts, TRUE);
	g_hash_table_destroy(configuration->keys);
	g_string_chunk_free(configuration->texts);
	g_free(configuration);
}

const char *
config_snapshot_add_text(struct config_snapshot *configuration,
    const char *text)
{
	return g_string_chunk_insert_const(configuration->texts,
	    text == NULL ? "" : text);
}

bool
config_snapshot_add_key(struct config_snapshot *configuration, const char *key,
    uint32_t account_index)
{
	if (key[0] == '\0')
		return false;
	g_hash_table_insert(configuration->keys, g_strdup(key),
	    GUINT_TO_POINTER(account_index + 1));
	return true;
}

/* Sorts by host, then by prefix length, longest first. */
static gint
compare_routes(gconstpointer a, gconstpointer b)
{
	const struct config_route *left = a, *right = b;
	int order = strcmp(left->host, right->host);
	size_t left_bytes = strlen(left->path_prefix);
	size_t right_bytes = strlen(right->path_prefix);

	if (order != 0)
		return order;
	if (left_bytes != right_bytes)
		return left_bytes > right_bytes ? -1 : 1;
	return strcmp(left->path_prefix, right->path_prefix);
}

void
config_snapshot_freeze(struct config_snapshot *configuration)
{
	g_array_sort(configuration->routes, compare_routes);
}

/* @return index of the first route whose host does not sort before the given
 * one */
static guint
first_route(const GArray *routes, const char *host)
{
	guint low = 0, high = routes->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;
		if (strcmp(g_array_index(routes, struct config_route, middle)
			       .host,
			host) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

const struct config_route *
config_snapshot_find_route(const struct config_snapshot *configuration,
    const char *host, const char *path)
{
	const GArray *routes = configuration->routes;

	for (guint i = first_route(routes, host); i < routes->len; i++) {
		const struct config_route *route = &g_array_index(routes,
		    struct config_route, i);
		if (strcmp(route->host, host) != 0)
			return NULL;
		if (strncmp(path, route->path_prefix,
			strlen(route->path_prefix)) == 0)
			return route;
	}
	return NULL;
}

bool
config_snapshot_needs_key(const struct config_snapshot *configuration,
    const struct config_route *route)
{
	return configuration->keys_required && !route->anonymous;
}

const struct config_account *
config_snapshot_find_account(const struct config_snapshot *configuration,
    const char *key)
{
	guint index = GPOINTER_TO_UINT(
	    g_hash_table_lookup(configuration->keys, key));

	if (index == 0)
		return NULL;
	return &g_array_index(configuration->accounts, struct config_account,
	    index - 1);
}

const char *
config_snapshot_account_name(const struct config_snapshot *configuration,
    uint64_t account_id)
{
	for (guint i = 0;
	     configuration != NULL && i < configuration->accounts->len; i++) {
		const struct config_account *account =
		    &g_array_index(configuration->accounts,
			struct config_account, i);
		if (account->account_id == account_id)
			return account->name;
	}
	return "-";
}

const struct config_pool *
config_snapshot_find_pool(const struct config_snapshot *configuration,
    uint64_t pool_id)
{
	for (guint i = 0; i < configuration->pools->len; i++) {
		const struct config_pool *pool =
		    &g_array_index(configuration->pools, struct config_pool, i);
		if (pool->pool_id == pool_id)
			return pool;
	}
	return NULL;
}

uint64_t
config_route_pick_pool(const struct config_route *route, uint64_t hash)
{
	const struct config_target *target;
	uint64_t total = 0, offset;

	for (guint i = 0; i < route->targets->len; i++)
		total += g_array_index(route->targets, struct config_target, i)
			     .weight;
	if (total == 0)
		return 0;
	offset = hash % total;
	target = &g_array_index(route->targets, struct config_target, 0);
	while (offset >= target->weight)
		offset -= target++->weight;
	return target->pool_id;
}
