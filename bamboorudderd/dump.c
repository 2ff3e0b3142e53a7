#include "bamboorudderd/dump.h"

#include "bamboorudderd/control_private.h"
#include "core/owner.h"

static const char *
member_state_name(enum member_state state)
{
	static const char *const names[] = { "unknown", "live", "suspect",
		"down" };

	return names[state];
}

static json_t *
dump_member(const struct member *member, uint64_t now_ms)
{
	return json_pack("{s:s, s:s, s:s, s:b, s:I, s:I, s:I, s:I}", "address",
	    member->address, "domain", member->domain, "state",
	    member_state_name(member->state), "leaving", member->leaving,
	    "incarnation", (json_int_t)member->incarnation, "heard_ms_ago",
	    member->last_heard_ms == 0
		? (json_int_t)-1
		: (json_int_t)(now_ms - member->last_heard_ms),
	    "routes_version", (json_int_t)member->routes_version,
	    "pools_version", (json_int_t)member->pools_version);
}

/* Describes this daemon as a member that is live and was heard just now. */
static json_t *
dump_self(const struct member *self, uint64_t now_ms)
{
	json_t *object = dump_member(self, now_ms);

	json_object_set_new(object, "state", json_string("live"));
	json_object_set_new(object, "heard_ms_ago", json_integer(0));
	return object;
}

static json_t *
dump_members(const struct members *members, uint64_t now_ms)
{
	json_t *list = json_array();

	for (guint i = 0; i < members->peers->len; i++)
		json_array_append_new(list,
		    dump_member(&g_array_index(members->peers, struct member,
				    i),
			now_ms));
	return list;
}

static const char *
account_name(const struct tables *tables, uint64_t account_id)
{
	for (uint32_t i = 0; i < tables->route_count; i++)
		if (tables->routes[i].account_id == account_id)
			return tables->routes[i].account;
	return "?";
}

/* Counts the slots of the endpoints that take new requests. */
static uint32_t
usable_slots_count(const struct owner *owner)
{
	uint32_t count = 0;

	for (guint i = 0; i < owner->endpoints->len; i++) {
		const struct owner_endpoint *endpoint =
		    &g_array_index(owner->endpoints, struct owner_endpoint, i);
		if (endpoint->listed && !endpoint->leaving &&
		    endpoint->eject_ms == 0)
			count += endpoint->slots;
	}
	return count;
}

static bool
account_is_active(const struct fair_account *account)
{
	return account->waiting_count + account->running_count > 0;
}

/* Explains in plain text why requests of an account wait; null if none do. */
static json_t *
waiting_reason(const struct owner *owner, const struct fair_account *account)
{
	uint32_t slots = usable_slots_count(owner);

	if (account->waiting_count == 0)
		return json_null();
	if (owner->syncing)
		return json_string("the pool's new owner waits for the reports "
				   "of the other daemons");
	if (slots == 0)
		return json_string("the pool has no endpoint that takes new "
				   "work");
	return json_sprintf("the pool's %u slots are taken; the account holds "
			    "%u, its share is %u.%u",
	    slots, account->running_count,
	    slots * account->weight /
		(uint32_t)fair_queue_active_weight(&owner->queue),
	    slots * account->weight * 10 /
		(uint32_t)fair_queue_active_weight(&owner->queue) % 10);
}

static json_t *
dump_accounts(const struct owner *owner, const struct tables *tables)
{
	uint32_t weight = (uint32_t)fair_queue_active_weight(&owner->queue);
	json_t *list = json_array();

	for (guint i = 0; i < owner->queue.accounts->len; i++) {
		const struct fair_account *account =
		    fair_queue_account(&owner->queue, i);
		json_array_append_new(list,
		    json_pack("{s:s, s:i, s:f, s:i, s:i, s:I, s:I, s:o}",
			"account", account_name(tables, account->account_id),
			"weight", (int)account->weight, "share",
			account_is_active(account)
			    ? (double)account->weight / weight
			    : 0.0,
			"waiting", (int)account->waiting_count, "running",
			(int)account->running_count, "served_tokens",
			(json_int_t)owner_served_tokens(owner, i), "vtime",
			(json_int_t)account->vtime, "waits_because",
			waiting_reason(owner, account)));
	}
	return list;
}

static json_t *
dump_endpoints(const struct owner *owner, const struct pool *pool)
{
	json_t *list = json_array();

	for (guint i = 0; i < owner->endpoints->len; i++) {
		const struct owner_endpoint *state =
		    &g_array_index(owner->endpoints, struct owner_endpoint, i);
		const struct endpoint *endpoint = pool_find_endpoint(pool,
		    state->endpoint_id);
		json_array_append_new(list,
		    json_pack("{s:s, s:i, s:i, s:b, s:b}", "address",
			endpoint == NULL ? "?" : endpoint->address, "slots",
			(int)state->slots, "running", (int)state->running_count,
			"leaving", state->leaving, "ejected",
			state->eject_ms != 0));
	}
	return list;
}

/* Dumps the pools that this daemon owns. */
static json_t *
dump_owners(struct control *control)
{
	const struct tables *tables = &control->snapshot->tables;
	json_t *list = json_array();

	for (uint32_t i = 0; i < tables->pool_count; i++) {
		const struct pool *pool = &tables->pools[i];
		const struct owner *owner = g_hash_table_lookup(control->owners,
		    &pool->pool_id);
		if (owner == NULL)
			continue;
		json_array_append_new(list,
		    json_pack("{s:s, s:I, s:b, s:I, s:I, s:i, s:o, s:o}",
			"pool", pool->name, "epoch", (json_int_t)owner->epoch,
			"syncing", owner->syncing, "grants",
			(json_int_t)owner->grants_count, "releases_lost",
			(json_int_t)owner->reclaimed_slots_count, "slots",
			(int)usable_slots_count(owner), "accounts",
			dump_accounts(owner, tables), "endpoints",
			dump_endpoints(owner, pool)));
	}
	return list;
}

static const char *
owner_address(struct control *control, uint64_t pool_id)
{
	return control_node_address(control,
	    entry_pool_owner_id(&control->entry, pool_id));
}

/* Dumps all pools and the address of the owner of each. */
static json_t *
dump_pools(struct control *control)
{
	const struct tables *tables = &control->snapshot->tables;
	json_t *list = json_array();

	for (uint32_t i = 0; i < tables->pool_count; i++) {
		const struct pool *pool = &tables->pools[i];
		bool owned_here = g_hash_table_contains(control->owners,
		    &pool->pool_id);
		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:s, s:b}", "pool", pool->name,
			"kind", pool->kind == POOL_MODEL ? "model" : "service",
			"owner", owner_address(control, pool->pool_id),
			"owned_here", owned_here));
	}
	return list;
}

/* Names the pools for which no owner can be reached, so that this daemon uses
 * its local share of the slots. */
static json_t *
dump_fallback_pools(struct control *control)
{
	const struct tables *tables = &control->snapshot->tables;
	json_t *list = json_array();

	for (uint32_t i = 0; i < tables->pool_count; i++)
		if (entry_in_fallback(&control->entry,
			tables->pools[i].pool_id))
			json_array_append_new(list,
			    json_string(tables->pools[i].name));
	return list;
}

json_t *
dump_control(struct control *control)
{
	uint64_t now_ms = clk_monotonic_ms(&control->clk);
	uint32_t waiting_count, running_count;

	entry_counts(&control->entry, &waiting_count, &running_count);
	return json_pack("{s:o, s:o, s:o, s:o, s:o, s:{s:i, s:i, s:I, s:I, "
			 "s:I, "
			 "s:o, "
			 "s:b}}",
	    "dispatch", dump_dispatch(&control->dispatch, now_ms), "self",
	    dump_self(&control->members.config.self, now_ms), "members",
	    dump_members(&control->members, now_ms), "pools",
	    dump_pools(control), "owners", dump_owners(control), "entry",
	    "waiting", (int)waiting_count, "running", (int)running_count,
	    "refused", (json_int_t)control->entry.refused_count, "stale_grants",
	    (json_int_t)control->entry.stale_grants_count, "fallback_starts",
	    (json_int_t)control->entry.fallback_starts_count, "fallback_pools",
	    dump_fallback_pools(control), "draining", control->entry.draining);
}
