#include "core/members.h"

#include <stdio.h>
#include <string.h>

#include "core/hash.h"

void
members_init(struct members *members, const struct members_config *config)
{
	memset(members, 0, sizeof(*members));
	members->config = *config;
	members->config.self.node_id = hash_name(config->self.address);
	members->config.self.state = MEMBER_LIVE;
	members->peers = g_array_new(FALSE, TRUE, sizeof(struct member));
}

void
members_finish(struct members *members)
{
	g_array_free(members->peers, TRUE);
	memset(members, 0, sizeof(*members));
}

static struct member *
members_peer(const struct members *members, uint64_t node_id)
{
	for (guint i = 0; i < members->peers->len; i++) {
		struct member *member = &g_array_index(members->peers,
		    struct member, i);
		if (member->node_id == node_id)
			return member;
	}
	return NULL;
}

const struct member *
members_find(const struct members *members, uint64_t node_id)
{
	if (node_id == members->config.self.node_id)
		return &members->config.self;
	return members_peer(members, node_id);
}

static struct member *
members_add(struct members *members, const char *address)
{
	uint64_t node_id = hash_name(address);
	struct member member = { .node_id = node_id };

	if (node_id == members->config.self.node_id ||
	    members->peers->len >= MEMBERS_MAX_COUNT)
		return NULL;
	if (members_peer(members, node_id) == NULL) {
		snprintf(member.address, sizeof(member.address), "%s", address);
		g_array_append_val(members->peers, member);
	}
	return members_peer(members, node_id);
}

void
members_add_seed(struct members *members, const char *address)
{
	members_add(members, address);
}

static void
members_fill(const struct members *members, struct msg_heartbeat *heartbeat)
{
	const struct member *self = &members->config.self;

	heartbeat->routes_version = self->routes_version;
	heartbeat->pools_version = self->pools_version;
	heartbeat->leaving = self->leaving;
	snprintf(heartbeat->address, sizeof(heartbeat->address), "%s",
	    self->address);
	snprintf(heartbeat->domain, sizeof(heartbeat->domain), "%s",
	    self->domain);
}

static void
member_set_state(struct members *members, struct member *member,
    enum member_state state, struct effects *effects)
{
	enum effect_type type = state == MEMBER_LIVE ? EFFECT_MEMBER_UP
						     : EFFECT_MEMBER_DOWN;

	if (member->state == state)
		return;
	member->state = state;
	members->changed = true;
	effects_add(effects, type)->to_node_id = member->node_id;
}

void
members_handle(struct members *members, const struct msg *msg, uint64_t now_ms,
    struct effects *effects)
{
	const struct msg_heartbeat *heartbeat = &msg->u.heartbeat;
	struct member *member;
	struct msg *answer;

	if (msg->type != MSG_HEARTBEAT && msg->type != MSG_HEARTBEAT_ACK)
		return;
	member = members_add(members, heartbeat->address);
	if (member == NULL || msg->from_incarnation < member->incarnation)
		return;
	if (msg->from_incarnation > member->incarnation)
		member_set_state(members, member, MEMBER_DOWN, effects);
	member->incarnation = msg->from_incarnation;
	member->heard_ms = now_ms;
	member->routes_version = heartbeat->routes_version;
	member->pools_version = heartbeat->pools_version;
	if (member->leaving != heartbeat->leaving)
		members->changed = true;
	member->leaving = heartbeat->leaving;
	snprintf(member->domain, sizeof(member->domain), "%s",
	    heartbeat->domain);
	member_set_state(members, member, MEMBER_LIVE, effects);
	if (msg->type == MSG_HEARTBEAT_ACK)
		return;
	answer = effects_send(effects, member->node_id, MSG_HEARTBEAT_ACK);
	members_fill(members, &answer->u.heartbeat);
	answer->u.heartbeat.probe_seq = heartbeat->probe_seq;
}

void
members_tick(struct members *members, uint64_t now_ms, struct effects *effects)
{
	bool due = now_ms >= members->heartbeat_due_ms;

	if (due)
		members->heartbeat_due_ms = now_ms +
		    members->config.heartbeat_period_ms;
	for (guint i = 0; i < members->peers->len; i++) {
		struct member *member = &g_array_index(members->peers,
		    struct member, i);
		if (member->state == MEMBER_LIVE &&
		    now_ms > member->heard_ms + members->config.down_after_ms)
			member_set_state(members, member, MEMBER_DOWN, effects);
		if (due) {
			struct msg *msg = effects_send(effects, member->node_id,
			    MSG_HEARTBEAT);
			members_fill(members, &msg->u.heartbeat);
			msg->u.heartbeat.probe_seq = ++members->probe_seq;
		}
	}
}

size_t
members_live(const struct members *members, uint64_t *node_ids,
    size_t max_count)
{
	size_t count = 0;

	if (!members->config.self.leaving && count < max_count)
		node_ids[count++] = members->config.self.node_id;
	for (guint i = 0; i < members->peers->len && count < max_count; i++) {
		const struct member *member = &g_array_index(members->peers,
		    struct member, i);
		if (member->state == MEMBER_LIVE && !member->leaving)
			node_ids[count++] = member->node_id;
	}
	return count;
}
