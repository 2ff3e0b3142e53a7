#include <math.h>

#include "core/dispatch_private.h"
#include "core/hash.h"

/* The endpoints of a pool are divided into groups of about this size, each of
 * which one hub decides on. */
#define GROUP_ENDPOINTS_COUNT 24u
/* Number of values of a hash that is shortened to the precision of a double. */
#define HASH_SHIFT 11
#define HASH_VALUES_COUNT 9007199254740992.0

void
dispatch_pool_free(gpointer pointer)
{
	struct dispatch_pool *pool = pointer;

	g_array_free(pool->groups, TRUE);
	g_ptr_array_free(pool->endpoints, TRUE);
	g_ptr_array_free(pool->own_endpoints, TRUE);
	g_free(pool);
}

static struct dispatch_pool *
get_pool(struct dispatch *dispatch, uint64_t pool_id)
{
	struct dispatch_pool *pool = g_hash_table_lookup(dispatch->pools,
	    &pool_id);

	if (pool != NULL)
		return pool;
	pool = g_new0(struct dispatch_pool, 1);
	pool->pool_id = pool_id;
	pool->groups = g_array_new(FALSE, FALSE, sizeof(struct dispatch_group));
	pool->endpoints = g_ptr_array_new();
	pool->own_endpoints = g_ptr_array_new();
	g_hash_table_insert(dispatch->pools, &pool->pool_id, pool);
	return pool;
}

static void
collect_pools(struct dispatch *dispatch)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_remove_all(dispatch->pools);
	g_hash_table_iter_init(&iter, dispatch->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct dispatch_endpoint *endpoint = value;
		if (endpoint->listed)
			g_ptr_array_add(get_pool(dispatch,
					    endpoint->info.pool_id)
					    ->endpoints,
			    endpoint);
	}
}

static guint
count_uses(const struct dispatch_pool *pool, uint64_t hub_id)
{
	guint uses_count = 0;

	for (guint i = 0; i < pool->groups->len; i++)
		uses_count += g_array_index(pool->groups, struct dispatch_group,
				  i)
				  .hub_id == hub_id;
	return uses_count;
}

/* Chooses a hub for the next group of a pool: one with few of its groups, by
 * rendezvous hashing. */
static uint64_t
choose_hub(const struct dispatch *dispatch, const struct dispatch_pool *pool)
{
	uint64_t best_id = 0, best_score = 0;
	guint fewest_uses = G_MAXUINT;

	for (guint i = 0; i < dispatch->hub_ids->len; i++) {
		uint64_t hub_id = g_array_index(dispatch->hub_ids, uint64_t, i);
		uint64_t words[] = { pool->pool_id, pool->groups->len, hub_id };
		uint64_t score = hash_bytes(words, sizeof(words));
		guint uses_count = count_uses(pool, hub_id);

		if (uses_count > fewest_uses ||
		    (uses_count == fewest_uses && score <= best_score))
			continue;
		fewest_uses = uses_count;
		best_id = hub_id;
		best_score = score;
	}
	return best_id;
}

static struct dispatch_group *
group_of(const struct dispatch_pool *pool,
    const struct dispatch_endpoint *endpoint)
{
	uint64_t best_score = 0;
	guint best = 0;

	for (guint i = 0; i < pool->groups->len; i++) {
		uint64_t score = dispatch_rendezvous_score(endpoint, i);
		if (score <= best_score)
			continue;
		best = i;
		best_score = score;
	}
	return &g_array_index(pool->groups, struct dispatch_group, best);
}

static void
assign_pool(const struct dispatch *dispatch, struct dispatch_pool *pool)
{
	guint groups_count = (pool->endpoints->len + GROUP_ENDPOINTS_COUNT -
				 1) /
	    GROUP_ENDPOINTS_COUNT;

	while (pool->groups->len < groups_count) {
		struct dispatch_group group = { choose_hub(dispatch, pool), 0 };
		g_array_append_val(pool->groups, group);
	}
	for (guint i = 0; i < pool->endpoints->len; i++) {
		struct dispatch_endpoint *endpoint = pool->endpoints->pdata[i];
		struct dispatch_group *group = group_of(pool, endpoint);

		endpoint->hub_id = group->hub_id;
		group->endpoints_count += dispatch_takes_requests(dispatch,
		    endpoint);
		if (group->hub_id == dispatch->config.node_id)
			g_ptr_array_add(pool->own_endpoints, endpoint);
	}
}

void
dispatch_assign_endpoints(struct dispatch *dispatch)
{
	GHashTableIter iter;
	gpointer value;

	if (!dispatch->assignment_due)
		return;
	dispatch->assignment_due = false;
	collect_pools(dispatch);
	g_hash_table_iter_init(&iter, dispatch->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		assign_pool(dispatch, value);
}

const struct dispatch_pool *
dispatch_find_pool(const struct dispatch *dispatch, uint64_t pool_id)
{
	return g_hash_table_lookup(dispatch->pools, &pool_id);
}

double
dispatch_group_score(const struct dispatch_group *group, uint32_t index,
    uint64_t key)
{
	uint64_t words[] = { key, index };
	double fraction = ((double)(hash_bytes(words, sizeof(words)) >>
			       HASH_SHIFT) +
			      0.5) /
	    HASH_VALUES_COUNT;

	return -(double)group->endpoints_count / log(fraction);
}
