#include "core/members.h"

#include <stdio.h>
#include <string.h>

#include "core/gossip.h"
#include "core/hash.h"
#include "core/probe.h"

#define GOSSIP_FANOUT 3u
#define GOSSIPS_PER_PERIOD 3u
#define JOIN_SEEDS_COUNT 3u
#define JOINS_PER_PERIOD 2u
#define ANNOUNCE_FANOUT 16u
#define DOWN_PROBE_PERIODS 4u
#define REAP_AFTER_MS (30u * 60u * 1000u)
#define WATCHERS_MIN_COUNT 2u

static const char WATCH_KEY[] = "watch";

void
members_init(struct members *members, const struct members_config *config)
{
	struct member *self = &members->config.self;

	memset(members, 0, sizeof(*members));
	members->config = *config;
	self->node_id = hash_name(config->self.address);
	self->state = MEMBER_LIVE;
	members->random_state = self->node_id ^ self->incarnation;
	members->peers = g_array_new(FALSE, TRUE, sizeof(struct member));
	members->probes = g_array_new(FALSE, TRUE, sizeof(struct member_probe));
	members->probe_order = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	gossip_queue_update(members, self);
}

void
members_finish(struct members *members)
{
	g_array_free(members->peers, TRUE);
	g_array_free(members->probes, TRUE);
	g_array_free(members->probe_order, TRUE);
	memset(members, 0, sizeof(*members));
}

uint64_t
members_random(struct members *members)
{
	members->random_state++;
	return hash_bytes(&members->random_state,
	    sizeof(members->random_state));
}

bool
member_is_up(const struct member *member)
{
	return member->state == MEMBER_LIVE || member->state == MEMBER_SUSPECT;
}

/* Returns the index of the first peer with an identifier of at least
 * node_id. */
static guint
peer_index(const struct members *members, uint64_t node_id)
{
	guint low = 0, high = members->peers->len;

	while (low < high) {
		guint middle = (low + high) / 2;
		if (g_array_index(members->peers, struct member, middle)
			.node_id < node_id)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

struct member *
members_find_peer(const struct members *members, uint64_t node_id)
{
	guint index = peer_index(members, node_id);
	struct member *member;

	if (index == members->peers->len)
		return NULL;
	member = &g_array_index(members->peers, struct member, index);
	return member->node_id == node_id ? member : NULL;
}

const struct member *
members_find(const struct members *members, uint64_t node_id)
{
	if (node_id == members->config.self.node_id)
		return &members->config.self;
	return members_find_peer(members, node_id);
}

struct member *
members_add(struct members *members, const char *address)
{
	uint64_t node_id = hash_name(address);
	struct member member = { .node_id = node_id };

	if (node_id == members->config.self.node_id ||
	    members->peers->len >= MEMBERS_MAX_COUNT - 1)
		return NULL;
	if (members_find_peer(members, node_id) == NULL) {
		snprintf(member.address, sizeof(member.address), "%s", address);
		g_array_insert_val(members->peers, peer_index(members, node_id),
		    member);
	}
	return members_find_peer(members, node_id);
}

void
members_add_seed(struct members *members, const char *address)
{
	struct member *member = members_add(members, address);

	if (member != NULL)
		member->seed = true;
}

void
members_set_state(struct members *members, struct member *member,
    enum member_state state, uint64_t now_ms, struct effects *effects)
{
	bool was_up = member_is_up(member), is_up;

	if (member->state == state)
		return;
	member->state = state;
	member->state_since_ms = now_ms;
	is_up = member_is_up(member);
	if (was_up == is_up)
		return;
	members->live_set_changed = true;
	effects_add(effects, is_up ? EFFECT_MEMBER_UP : EFFECT_MEMBER_DOWN)
	    ->to_node_id = member->node_id;
}

/* Returns a random member that matches a predicate, or NULL. */
static struct member *
pick_matching(struct members *members, bool (*matches)(const struct member *),
    uint64_t except_node_id)
{
	guint count = members->peers->len;
	guint first = count == 0 ? 0 : (guint)(members_random(members) % count);

	for (guint i = 0; i < count; i++) {
		struct member *member = &g_array_index(members->peers,
		    struct member, (first + i) % count);
		if (member->node_id != except_node_id && matches(member))
			return member;
	}
	return NULL;
}

struct member *
members_pick_random(struct members *members, uint64_t except_node_id)
{
	return pick_matching(members, member_is_up, except_node_id);
}

static bool
member_is_down(const struct member *member)
{
	return !member_is_up(member);
}

static bool
member_is_seed(const struct member *member)
{
	return member->seed;
}

static bool
handle_member_list(struct members *members, const struct msg *msg,
    uint64_t now_ms, struct effects *effects)
{
	const struct msg_member_list *list = &msg->u.member_list;

	if (members_find_peer(members, msg->from_node_id) == NULL)
		return false;
	members->joined = true;
	for (uint32_t i = 0; i < list->item_count; i++)
		gossip_apply_update(members, &list->items[i], now_ms, effects);
	return true;
}

/* Applies the sender's own state. Returns the sender, or NULL. */
static struct member *
handle_sender(struct members *members, const struct msg *msg, uint64_t now_ms,
    struct effects *effects)
{
	const struct msg_heartbeat *heartbeat = &msg->u.heartbeat;
	struct member *member;

	gossip_apply_update(members, &heartbeat->self, now_ms, effects);
	member = members_find_peer(members, msg->from_node_id);
	if (member == NULL ||
	    member->incarnation != heartbeat->self.incarnation)
		return member;
	member->last_heard_ms = now_ms;
	gossip_apply_versions(members, member, heartbeat->routes_version,
	    heartbeat->pools_version);
	return member;
}

/* Applies the updates of a message. If one of them was refuted, the refutation
 * is sent to the sender at once. */
static void
handle_updates(struct members *members, const struct msg *msg, uint64_t now_ms,
    struct effects *effects)
{
	const struct msg_heartbeat *heartbeat = &msg->u.heartbeat;
	uint32_t revision = members->config.self.revision;
	uint64_t incarnation = members->config.self.incarnation;

	for (uint32_t i = 0; i < heartbeat->updates_count; i++)
		gossip_apply_update(members, &heartbeat->updates[i], now_ms,
		    effects);
	for (uint32_t i = 0; i < heartbeat->versions_count; i++)
		gossip_apply_versions_record(members, &heartbeat->versions[i]);
	if (revision != members->config.self.revision ||
	    incarnation != members->config.self.incarnation)
		gossip_send(members, msg->from_node_id, MSG_GOSSIP, effects);
}

static bool
is_consistent(const struct msg *msg)
{
	const struct msg_heartbeat *heartbeat = &msg->u.heartbeat;

	return heartbeat->self.node_id == msg->from_node_id &&
	    hash_name(heartbeat->self.address) == msg->from_node_id &&
	    heartbeat->self.incarnation == msg->from_incarnation;
}

bool
members_handle_message(struct members *members, const struct msg *msg,
    uint64_t now_ms, struct effects *effects)
{
	const struct msg_heartbeat *heartbeat = &msg->u.heartbeat;
	uint64_t sender_id = msg->from_node_id;

	if (msg->type == MSG_MEMBER_LIST)
		return handle_member_list(members, msg, now_ms, effects);
	if (!is_consistent(msg))
		return false;
	if (handle_sender(members, msg, now_ms, effects) == NULL)
		return true;
	handle_updates(members, msg, now_ms, effects);
	if (msg->type == MSG_HEARTBEAT)
		gossip_send(members, sender_id, MSG_HEARTBEAT_ACK, effects)
		    ->probe_seq = heartbeat->probe_seq;
	else if (msg->type == MSG_HEARTBEAT_ACK)
		probe_handle_ack(members, heartbeat->probe_seq, effects);
	else if (msg->type == MSG_PROBE_REQUEST)
		probe_on_behalf(members, heartbeat->target_node_id, sender_id,
		    heartbeat->probe_seq, now_ms, effects);
	else if (msg->type == MSG_JOIN)
		gossip_send_member_list(members, sender_id, effects);
	return true;
}

bool
members_verify_sender(struct members *members, const struct msg *msg,
    uint64_t now_ms, struct effects *effects)
{
	struct member *member = members_find_peer(members, msg->from_node_id);
	struct member_update update;

	if (msg->from_node_id == members->config.self.node_id)
		return true;
	if (member == NULL || member->state == MEMBER_UNKNOWN)
		return false;
	if (msg->from_incarnation > member->incarnation) {
		gossip_make_update(member, &update);
		snprintf(update.address, sizeof(update.address), "%s",
		    member->address);
		snprintf(update.domain, sizeof(update.domain), "%s",
		    member->domain);
		update.incarnation = msg->from_incarnation;
		update.revision = 0;
		update.state = MEMBER_LIVE;
		update.flags &= MEMBER_FLAG_HIGH_CPU;
		gossip_apply_update(members, &update, now_ms, effects);
	}
	if (msg->from_incarnation < member->incarnation)
		return false;
	member->last_heard_ms = now_ms;
	return member_is_up(member);
}

/* Requests the member list from random seeds until one was received. */
static void
request_member_list(struct members *members, uint64_t now_ms,
    struct effects *effects)
{
	if (members->joined || now_ms < members->join_due_ms)
		return;
	members->join_due_ms = now_ms +
	    members->config.heartbeat_period_ms / JOINS_PER_PERIOD;
	for (uint32_t i = 0; i < JOIN_SEEDS_COUNT; i++) {
		const struct member *seed = pick_matching(members,
		    member_is_seed, 0);
		if (seed != NULL)
			gossip_send(members, seed->node_id, MSG_JOIN, effects);
	}
}

/* Probes a random down member, so that the sides of a healed partition find
 * each other again. */
static void
probe_down_member(struct members *members, uint64_t now_ms,
    struct effects *effects)
{
	const struct member *down_member;

	if (now_ms < members->down_probe_due_ms)
		return;
	members->down_probe_due_ms = now_ms +
	    DOWN_PROBE_PERIODS * members->config.heartbeat_period_ms;
	down_member = pick_matching(members, member_is_down, 0);
	if (down_member != NULL)
		gossip_send(members, down_member->node_id, MSG_HEARTBEAT,
		    effects);
}

static void
spread_updates(struct members *members, uint64_t now_ms,
    struct effects *effects)
{
	if (now_ms < members->gossip_due_ms)
		return;
	members->gossip_due_ms = now_ms +
	    members->config.heartbeat_period_ms / GOSSIPS_PER_PERIOD;
	for (uint32_t i = 0; i < GOSSIP_FANOUT && gossip_has_pending(members);
	     i++) {
		const struct member *member = members_pick_random(members, 0);
		if (member == NULL)
			return;
		gossip_send(members, member->node_id, MSG_GOSSIP, effects);
	}
}

static void
reap_down_members(struct members *members, uint64_t now_ms)
{
	const struct member *peers = members_peers(members);

	for (guint i = members->peers->len; i > 0; i--) {
		const struct member *member = &peers[i - 1];
		if (member->state == MEMBER_DOWN && !member->seed &&
		    now_ms >= member->state_since_ms + REAP_AFTER_MS)
			g_array_remove_index(members->peers, i - 1);
	}
}

void
members_tick(struct members *members, uint64_t now_ms, struct effects *effects)
{
	request_member_list(members, now_ms, effects);
	probe_tick(members, now_ms, effects);
	probe_down_member(members, now_ms, effects);
	spread_updates(members, now_ms, effects);
	reap_down_members(members, now_ms);
}

void
members_set_versions(struct members *members, uint64_t routes_version,
    uint64_t pools_version)
{
	struct member *self = &members->config.self;

	self->routes_version = routes_version;
	self->pools_version = pools_version;
	gossip_queue_versions(members, self);
}

void
members_set_platform_lost(struct members *members, bool platform_lost)
{
	struct member *self = &members->config.self;

	if (self->platform_lost == platform_lost)
		return;
	self->platform_lost = platform_lost;
	self->revision++;
	gossip_queue_update(members, self);
}

/* Sends this daemon's state to some members at once; gossip reaches the
 * others. */
static void
announce_self(struct members *members, struct effects *effects)
{
	guint count = members->peers->len, sent_count = 0;
	guint first = count == 0 ? 0 : (guint)(members_random(members) % count);

	for (guint i = 0; i < count && sent_count < ANNOUNCE_FANOUT; i++) {
		const struct member *member = &g_array_index(members->peers,
		    struct member, (first + i) % count);
		if (!member_is_up(member))
			continue;
		gossip_send(members, member->node_id, MSG_GOSSIP, effects);
		sent_count++;
	}
}

void
members_leave(struct members *members, struct effects *effects)
{
	struct member *self = &members->config.self;

	if (self->leaving)
		return;
	self->leaving = true;
	self->revision++;
	members->live_set_changed = true;
	gossip_queue_update(members, self);
	announce_self(members, effects);
}

void
members_announce_shutdown(struct members *members, struct effects *effects)
{
	struct member *self = &members->config.self;

	self->leaving = true;
	self->revision++;
	self->state = MEMBER_DOWN;
	announce_self(members, effects);
}

size_t
members_list_live(const struct members *members, uint64_t *node_ids,
    size_t max_count)
{
	const struct member *self = &members->config.self;
	guint self_index = peer_index(members, self->node_id);
	size_t count = 0;

	for (guint i = 0; i <= members->peers->len && count < max_count; i++) {
		const struct member *member;

		if (i == self_index && !self->leaving)
			node_ids[count++] = self->node_id;
		if (i == members->peers->len || count == max_count)
			break;
		member = &g_array_index(members->peers, struct member, i);
		if (member_is_up(member) && !member->leaving)
			node_ids[count++] = member->node_id;
	}
	return count;
}

static bool
has_watch_priority(const struct member *a, const struct member *b)
{
	const uint64_t pair[] = { a->node_id, b->node_id };

	if (a->platform_lost != b->platform_lost)
		return b->platform_lost;
	return hash_rendezvous(hash_name(WATCH_KEY), pair, 2) == a->node_id;
}

bool
members_is_watcher(const struct members *members)
{
	const struct member *self = &members->config.self;
	uint32_t preferred_count = 0, preferred_in_domain_count = 0;

	for (guint i = 0; i < members->peers->len; i++) {
		const struct member *member = &g_array_index(members->peers,
		    struct member, i);
		if (!member_is_up(member) || member->leaving ||
		    !has_watch_priority(member, self))
			continue;
		preferred_count++;
		if (strcmp(member->domain, self->domain) == 0)
			preferred_in_domain_count++;
	}
	return preferred_in_domain_count == 0 ||
	    preferred_count < WATCHERS_MIN_COUNT;
}
