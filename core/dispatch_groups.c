#include "core/dispatch_private.h"
#include "core/hash.h"

/* The endpoints of a pool are divided into groups of about this size, each of
 * which one hub decides on. */
#define GROUP_ENDPOINTS_COUNT 24u

/** Groups of one pool. */
struct pool_groups {
	uint64_t pool_id;
	guint endpoints_count;
	GArray *hub_ids; /**< of each group */
};

static void
groups_free(gpointer pointer)
{
	struct pool_groups *groups = pointer;

	g_array_free(groups->hub_ids, TRUE);
	g_free(groups);
}

static GHashTable *
count_endpoints(const struct dispatch *dispatch)
{
	GHashTable *pools = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, groups_free);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct dispatch_endpoint *endpoint = value;
		struct pool_groups *groups = g_hash_table_lookup(pools,
		    &endpoint->info.pool_id);

		if (groups == NULL) {
			groups = g_new0(struct pool_groups, 1);
			groups->pool_id = endpoint->info.pool_id;
			groups->hub_ids = g_array_new(FALSE, FALSE,
			    sizeof(uint64_t));
			g_hash_table_insert(pools, &groups->pool_id, groups);
		}
		groups->endpoints_count += endpoint->listed;
	}
	return pools;
}

static guint
count_uses(const GArray *hub_ids, uint64_t hub_id)
{
	guint uses_count = 0;

	for (guint i = 0; i < hub_ids->len; i++)
		uses_count += g_array_index(hub_ids, uint64_t, i) == hub_id;
	return uses_count;
}

/* Chooses a hub for the next group of a pool: one with few of its groups, by
 * rendezvous hashing. */
static uint64_t
choose_hub(const struct dispatch *dispatch, const struct pool_groups *groups)
{
	uint64_t best_id = 0, best_score = 0;
	guint fewest_uses = G_MAXUINT;

	for (guint i = 0; i < dispatch->hub_ids->len; i++) {
		uint64_t hub_id = g_array_index(dispatch->hub_ids, uint64_t, i);
		uint64_t words[] = { groups->pool_id, groups->hub_ids->len,
			hub_id };
		uint64_t score = hash_bytes(words, sizeof(words));
		guint uses_count = count_uses(groups->hub_ids, hub_id);

		if (uses_count > fewest_uses ||
		    (uses_count == fewest_uses && score <= best_score))
			continue;
		fewest_uses = uses_count;
		best_id = hub_id;
		best_score = score;
	}
	return best_id;
}

static void
assign_groups(const struct dispatch *dispatch, struct pool_groups *groups)
{
	guint groups_count = (groups->endpoints_count + GROUP_ENDPOINTS_COUNT -
				 1) /
	    GROUP_ENDPOINTS_COUNT;

	do {
		uint64_t hub_id = choose_hub(dispatch, groups);
		g_array_append_val(groups->hub_ids, hub_id);
	} while (groups->hub_ids->len < groups_count);
}

static uint64_t
hub_of(const struct dispatch_endpoint *endpoint,
    const struct pool_groups *groups)
{
	uint64_t best_score = 0;
	guint best = 0;

	for (guint i = 0; i < groups->hub_ids->len; i++) {
		uint64_t score = dispatch_rendezvous_score(endpoint, i);
		if (score <= best_score)
			continue;
		best = i;
		best_score = score;
	}
	return g_array_index(groups->hub_ids, uint64_t, best);
}

void
dispatch_assign_endpoints(struct dispatch *dispatch)
{
	GHashTable *pools;
	GHashTableIter iter;
	gpointer value;

	if (!dispatch->assignment_due)
		return;
	dispatch->assignment_due = false;
	pools = count_endpoints(dispatch);
	g_hash_table_iter_init(&iter, pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		assign_groups(dispatch, value);
	g_hash_table_iter_init(&iter, dispatch->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct dispatch_endpoint *endpoint = value;
		endpoint->hub_id = hub_of(endpoint,
		    g_hash_table_lookup(pools, &endpoint->info.pool_id));
	}
	g_hash_table_destroy(pools);
}
