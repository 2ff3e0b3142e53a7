#include "core/catalog.h"

#include <string.h>

struct catalog *
catalog_new(void)
{
	struct catalog *catalog = g_new0(struct catalog, 1);

	catalog->routes = g_array_new(FALSE, TRUE,
	    sizeof(struct catalog_route));
	catalog->pools = g_array_new(FALSE, TRUE, sizeof(struct catalog_pool));
	catalog->accounts = g_array_new(FALSE, TRUE,
	    sizeof(struct catalog_account));
	catalog->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
	    NULL);
	catalog->references = 1;
	return catalog;
}

struct catalog *
catalog_ref(struct catalog *catalog)
{
	g_atomic_int_inc(&catalog->references);
	return catalog;
}

void
catalog_unref(struct catalog *catalog)
{
	if (catalog == NULL || !g_atomic_int_dec_and_test(&catalog->references))
		return;
	g_array_free(catalog->routes, TRUE);
	g_array_free(catalog->pools, TRUE);
	g_array_free(catalog->accounts, TRUE);
	g_hash_table_destroy(catalog->keys);
	g_free(catalog);
}

void
catalog_add_key(struct catalog *catalog, const char *key,
    uint32_t account_index)
{
	g_hash_table_insert(catalog->keys, g_strdup(key),
	    GUINT_TO_POINTER(account_index + 1));
}

/* By host, then the longer prefix first. */
static gint
compare_routes(gconstpointer a, gconstpointer b)
{
	const struct catalog_route *left = a, *right = b;
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
catalog_seal(struct catalog *catalog)
{
	g_array_sort(catalog->routes, compare_routes);
}

/* Index of the first route whose host is not before the one given. */
static guint
first_route(const GArray *routes, const char *host)
{
	guint low = 0, high = routes->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;
		if (strcmp(g_array_index(routes, struct catalog_route, middle)
			       .host,
			host) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

const struct catalog_route *
catalog_find_route(const struct catalog *catalog, const char *host,
    const char *path)
{
	const GArray *routes = catalog->routes;

	for (guint i = first_route(routes, host); i < routes->len; i++) {
		const struct catalog_route *route = &g_array_index(routes,
		    struct catalog_route, i);
		if (strcmp(route->host, host) != 0)
			return NULL;
		if (strncmp(path, route->path_prefix,
			strlen(route->path_prefix)) == 0)
			return route;
	}
	return NULL;
}

const struct catalog_account *
catalog_find_key(const struct catalog *catalog, const char *key)
{
	guint index = GPOINTER_TO_UINT(g_hash_table_lookup(catalog->keys, key));

	if (index == 0)
		return NULL;
	return &g_array_index(catalog->accounts, struct catalog_account,
	    index - 1);
}

const struct catalog_pool *
catalog_find_pool(const struct catalog *catalog, uint64_t pool_id)
{
	for (guint i = 0; i < catalog->pools->len; i++) {
		const struct catalog_pool *pool = &g_array_index(catalog->pools,
		    struct catalog_pool, i);
		if (pool->pool_id == pool_id)
			return pool;
	}
	return NULL;
}

uint64_t
catalog_pick_pool(const struct catalog_route *route, uint64_t hash)
{
	uint64_t total = 0, at;

	for (uint32_t i = 0; i < route->targets_count; i++)
		total += route->targets[i].weight;
	if (total == 0)
		return 0;
	at = hash % total;
	for (uint32_t i = 0; i < route->targets_count; i++) {
		if (at < route->targets[i].weight)
			return route->targets[i].pool_id;
		at -= route->targets[i].weight;
	}
	return 0;
}
