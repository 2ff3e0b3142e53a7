#include "core/tablesync.h"

#include <string.h>

#define NEWS_FANOUT 4u
#define PULL_RETRY_MS 1000u
/* At most five reads of each table a second by a fleet of any size. */
#define POLL_MS_PER_MEMBER 200u

void
tablesync_init(struct tablesync *sync)
{
	memset(sync, 0, sizeof(*sync));
}

void
tablesync_set_held(struct tablesync *sync,
    const uint64_t versions[TABLE_KIND_COUNT], struct members *members,
    struct effects *effects)
{
	bool newer = false;

	for (int kind = 0; kind < TABLE_KIND_COUNT; kind++) {
		newer |= versions[kind] > sync->held[kind];
		sync->held[kind] = MAX(sync->held[kind], versions[kind]);
	}
	for (uint32_t i = 0; newer && i < NEWS_FANOUT; i++) {
		const struct member *member = members_pick(members, 0);
		struct msg *msg;

		if (member == NULL)
			return;
		msg = effects_send(effects, member->node_id, MSG_TABLES_NEWS);
		msg->u.tables.routes_version = sync->held[TABLE_ROUTES];
		msg->u.tables.pools_version = sync->held[TABLE_POOLS];
	}
}

void
tablesync_learn(struct tablesync *sync, uint64_t from_node_id,
    uint64_t routes_version, uint64_t pools_version, uint64_t now_ms,
    struct effects *effects)
{
	const uint64_t versions[] = { routes_version, pools_version };
	bool lacking = false, unasked = false;
	struct msg *msg;

	for (int kind = 0; kind < TABLE_KIND_COUNT; kind++) {
		lacking |= versions[kind] > sync->held[kind];
		unasked |= versions[kind] > sync->wanted[kind];
	}
	if (!lacking || (!unasked && now_ms < sync->pull_due_ms))
		return;
	for (int kind = 0; kind < TABLE_KIND_COUNT; kind++)
		sync->wanted[kind] = MAX(sync->wanted[kind], versions[kind]);
	sync->pull_due_ms = now_ms + PULL_RETRY_MS;
	msg = effects_send(effects, from_node_id, MSG_TABLES_PULL);
	msg->u.tables.routes_version = sync->held[TABLE_ROUTES];
	msg->u.tables.pools_version = sync->held[TABLE_POOLS];
}

void
tablesync_answer(const struct tablesync *sync, const struct msg *pull,
    const struct tablesync_texts *texts, struct effects *effects)
{
	const uint64_t theirs[] = { pull->u.tables.routes_version,
		pull->u.tables.pools_version };

	/* pools first: routes name them */
	for (int kind = TABLE_KIND_COUNT - 1; kind >= 0; kind--) {
		struct msg_tables_data *data;

		if (sync->held[kind] <= theirs[kind])
			continue;
		data = &effects_send(effects, pull->from_node_id,
		    MSG_TABLES_DATA)
			    ->u.tables_data;
		data->kind = (uint8_t)kind;
		data->version = sync->held[kind];
		data->text = texts->texts[kind];
		data->text_bytes = (uint32_t)strlen(data->text);
	}
}

uint32_t
tablesync_poll_period_ms(size_t live_count, uint32_t least_ms)
{
	return MAX(least_ms, (uint32_t)live_count * POLL_MS_PER_MEMBER);
}
