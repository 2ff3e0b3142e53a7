#include "bamboorudderd/control_private.h"
#include "bamboorudderd/gateway.h"
#include "common/metric.h"
#include "core/hash.h"
#include "core/owner.h"

void
control_owner_free(gpointer owner)
{
	owner_finish(owner);
	g_free(owner);
}

static struct owner *
owner_create(struct control *control, uint64_t pool_id, uint64_t now_ms)
{
	uint64_t live_ids[MEMBERS_MAX_COUNT];
	size_t live_count = members_list_live(&control->members, live_ids,
	    MEMBERS_MAX_COUNT);
	struct owner_config config = {
		.node_id = control->members.config.self.node_id,
		.pool_id = pool_id,
		.order = fair_find(control->settings->share_order),
		.sync_timeout_ms = control->settings->sync_timeout_ms,
		.grant_settle_ms = control->settings->grant_settle_ms,
		.report_period_ms = control->settings->report_period_ms,
	};
	struct owner *owner = g_new0(struct owner, 1);

	owner_init(owner, &config,
	    MAX(clk_wall_ms(&control->clk),
		entry_epoch_seen(&control->entry, pool_id) + 1),
	    now_ms, live_ids, live_count, &control->effects);
	g_hash_table_insert(control->owners, &owner->config.pool_id, owner);
	return owner;
}

static gboolean
owner_is_obsolete(gpointer key, gpointer value, gpointer context)
{
	const struct control *control = context;
	uint64_t pool_id = *(uint64_t *)key;

	(void)value;
	return tables_find_pool(&control->snapshot->tables, pool_id) == NULL ||
	    entry_pool_owner_id(&control->entry, pool_id) !=
	    control->members.config.self.node_id;
}

void
control_update_owners(struct control *control, uint64_t now_ms)
{
	const struct tables *tables = &control->snapshot->tables;

	g_hash_table_foreach_remove(control->owners, owner_is_obsolete,
	    control);
	for (uint32_t i = 0; i < tables->pool_count; i++) {
		uint64_t pool_id = tables->pools[i].pool_id;
		struct owner *owner = g_hash_table_lookup(control->owners,
		    &pool_id);

		if (entry_pool_owner_id(&control->entry, pool_id) !=
		    control->members.config.self.node_id)
			continue;
		if (owner == NULL)
			owner = owner_create(control, pool_id, now_ms);
		owner_set_tables(owner, tables, now_ms, &control->effects);
	}
}

static void
update_dispatch_membership(struct control *control, const uint64_t *live_ids,
    size_t live_count)
{
	struct dispatch_daemon daemons[MEMBERS_MAX_COUNT];

	for (size_t i = 0; i < live_count; i++) {
		const struct member *member = members_find(&control->members,
		    live_ids[i]);
		daemons[i].node_id = live_ids[i];
		daemons[i].domain_id = hash_name(member->domain);
		daemons[i].high_cpu = member->high_cpu;
	}
	dispatch_set_daemons(&control->dispatch, daemons, live_count);
}

void
control_update_membership(struct control *control, uint64_t now_ms)
{
	uint64_t live_ids[MEMBERS_MAX_COUNT];
	size_t live_count = members_list_live(&control->members, live_ids,
	    MEMBERS_MAX_COUNT);

	control->members.live_set_changed = false;
	metric_set(METRIC_MEMBERS_LIVE, live_count);
	update_dispatch_membership(control, live_ids, live_count);
	gw_peers_update(control);
	entry_set_members(&control->entry, live_ids, live_count, now_ms,
	    &control->effects);
	control_update_owners(control, now_ms);
}
