#include "core/tablesync.h"

#include <string.h>

#define ANNOUNCE_FANOUT 4u
#define PULL_RETRY_MS 1000u
/* Bounds the reads of each table by all daemons together to five a second. */
#define POLL_MS_PER_MEMBER 200u

void
tablesync_init(struct tablesync *sync)
{
	memset(sync, 0, sizeof(*sync));
}

void
tablesync_set_in_force(struct tablesync *sync,
    const uint64_t versions[TABLE_KIND_COUNT], struct members *members,
    struct effects *effects)
{
	bool newer = false;

	for (int kind = 0; kind < TABLE_KIND_COUNT; kind++) {
		newer |= versions[kind] > sync->in_force[kind];
		sync->in_force[kind] = MAX(sync->in_force[kind],
		    versions[kind]);
	}
	for (uint32_t i = 0; newer && i < ANNOUNCE_FANOUT; i++) {
		const struct member *member = members_pick_random(members, 0);
		struct msg *msg;

		if (member == NULL)
			return;
		msg = effects_send(effects, member->node_id,
		    MSG_TABLES_ANNOUNCE);
		msg->u.versions.routes_version = sync->in_force[TABLE_ROUTES];
		msg->u.versions.pools_version = sync->in_force[TABLE_POOLS];
	}
}

void
tablesync_handle_versions(struct tablesync *sync, uint64_t from_node_id,
    uint64_t routes_version, uint64_t pools_version, uint64_t now_ms,
    struct effects *effects)
{
	const uint64_t versions[] = { routes_version, pools_version };
	bool outdated = false, not_requested = false;
	struct msg *msg;

	for (int kind = 0; kind < TABLE_KIND_COUNT; kind++) {
		outdated |= versions[kind] > sync->in_force[kind];
		not_requested |= versions[kind] > sync->requested[kind];
	}
	if (!outdated || (!not_requested && now_ms < sync->pull_retry_at_ms))
		return;
	for (int kind = 0; kind < TABLE_KIND_COUNT; kind++)
		sync->requested[kind] = MAX(sync->requested[kind],
		    versions[kind]);
	sync->pull_retry_at_ms = now_ms + PULL_RETRY_MS;
	msg = effects_send(effects, from_node_id, MSG_TABLES_PULL);
	msg->u.versions.routes_version = sync->in_force[TABLE_ROUTES];
	msg->u.versions.pools_version = sync->in_force[TABLE_POOLS];
}

void
tablesync_handle_pull(const struct tablesync *sync, const struct msg *pull,
    const struct tablesync_texts *texts, struct effects *effects)
{
	const uint64_t peer_versions[] = { pull->u.versions.routes_version,
		pull->u.versions.pools_version };

	/* pools first, since routes refer to them */
	for (int kind = TABLE_KIND_COUNT - 1; kind >= 0; kind--) {
		struct msg_tables_data *data;

		if (sync->in_force[kind] <= peer_versions[kind])
			continue;
		data = &effects_send(effects, pull->from_node_id,
		    MSG_TABLES_DATA)
			    ->u.tables_data;
		data->kind = (uint8_t)kind;
		data->version = sync->in_force[kind];
		data->text = texts->texts[kind];
		data->text_bytes = (uint32_t)strlen(data->text);
	}
}

uint32_t
tablesync_poll_period_ms(size_t live_count, uint32_t min_period_ms)
{
	return MAX(min_period_ms, (uint32_t)live_count * POLL_MS_PER_MEMBER);
}
