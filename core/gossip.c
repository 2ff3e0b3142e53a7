#include "core/gossip.h"

#include <stdio.h>
#include <string.h>

#include "core/hash.h"

#define UPDATE_SENDS_FACTOR 2u
#define VERSIONS_SENDS_FACTOR 1u
/* Members that each message describes even if they have not changed, to make up
 * for lost updates. */
#define REFRESH_COUNT 2u

/* Number of sends that reaches every member with high probability. */
static uint32_t
sends_needed(const struct members *members, uint32_t factor)
{
	uint32_t sends_count = 1;

	for (guint remaining = members->peers->len; remaining > 0;
	     remaining /= 2)
		sends_count++;
	return factor * sends_count;
}

void
gossip_queue_update(struct members *members, struct member *member)
{
	member->update_sends_remaining = sends_needed(members,
	    UPDATE_SENDS_FACTOR);
}

void
gossip_queue_versions(struct members *members, struct member *member)
{
	member->versions_sends_remaining = sends_needed(members,
	    VERSIONS_SENDS_FACTOR);
}

bool
gossip_has_pending(const struct members *members)
{
	const struct member *self = &members->config.self;
	const struct member *peers = members_peers(members);
	guint count = members->peers->len;

	if (self->update_sends_remaining > 0 ||
	    self->versions_sends_remaining > 0)
		return true;
	for (guint i = 0; i < count; i++) {
		const struct member *member = &peers[i];
		if (member->update_sends_remaining > 0 ||
		    (member->versions_sends_remaining > 0 &&
			member_is_up(member)))
			return true;
	}
	return false;
}

void
gossip_make_update(const struct member *member, struct member_update *update)
{
	memset(update, 0, sizeof(*update));
	update->node_id = member->node_id;
	if (member->state == MEMBER_LIVE) {
		snprintf(update->address, sizeof(update->address), "%s",
		    member->address);
		snprintf(update->domain, sizeof(update->domain), "%s",
		    member->domain);
	}
	update->incarnation = member->incarnation;
	update->revision = member->revision;
	update->state = (uint8_t)member->state;
	if (member->leaving)
		update->flags |= MEMBER_FLAG_LEAVING;
	if (member->platform_lost)
		update->flags |= MEMBER_FLAG_PLATFORM_LOST;
	if (member->high_cpu)
		update->flags |= MEMBER_FLAG_HIGH_CPU;
}

static bool
contains_update(const struct msg_heartbeat *heartbeat,
    const struct member *member)
{
	for (uint32_t i = 0; i < heartbeat->updates_count; i++)
		if (heartbeat->updates[i].node_id == member->node_id)
			return true;
	return false;
}

static void
append_update(struct msg_heartbeat *heartbeat, struct member *member)
{
	if (heartbeat->updates_count == GOSSIP_UPDATES_MAX_COUNT ||
	    member->state == MEMBER_UNKNOWN ||
	    contains_update(heartbeat, member))
		return;
	gossip_make_update(member,
	    &heartbeat->updates[heartbeat->updates_count++]);
	if (member->update_sends_remaining > 0)
		member->update_sends_remaining--;
}

/* Returns the member whose queued state was sent the fewest times, or NULL. */
static struct member *
least_spread_member(const struct members *members,
    const struct msg_heartbeat *heartbeat)
{
	struct member *peers = members_peers(members), *best = NULL;
	guint count = members->peers->len;
	uint32_t best_remaining = 0;

	for (guint i = 0; i < count; i++) {
		struct member *member = &peers[i];
		uint32_t remaining = member->update_sends_remaining;
		if (remaining <= best_remaining ||
		    member->state == MEMBER_UNKNOWN ||
		    contains_update(heartbeat, member))
			continue;
		best = member;
		best_remaining = remaining;
	}
	return best;
}

static void
fill_updates(struct members *members, uint64_t to_node_id,
    struct msg_heartbeat *heartbeat)
{
	struct member *target = members_find_peer(members, to_node_id);
	struct member *member;

	/* a member must learn that it is suspect to be able to refute it */
	if (target != NULL && target->state != MEMBER_LIVE)
		append_update(heartbeat, target);
	while (heartbeat->updates_count < GOSSIP_UPDATES_MAX_COUNT &&
	    (member = least_spread_member(members, heartbeat)) != NULL)
		append_update(heartbeat, member);
	for (uint32_t i = 0; i < REFRESH_COUNT && members->peers->len > 0; i++)
		append_update(heartbeat,
		    &g_array_index(members->peers, struct member,
			members->refresh_index++ % members->peers->len));
}

static void
append_versions(struct msg_heartbeat *heartbeat, struct member *member)
{
	struct member_versions *versions;

	if (heartbeat->versions_count == GOSSIP_VERSIONS_MAX_COUNT ||
	    !member_is_up(member))
		return;
	versions = &heartbeat->versions[heartbeat->versions_count++];
	versions->node_id_low = (uint32_t)member->node_id;
	versions->incarnation_low = (uint32_t)member->incarnation;
	versions->routes_version = member->routes_version;
	versions->pools_version = member->pools_version;
	if (member->versions_sends_remaining > 0)
		member->versions_sends_remaining--;
}

static void
fill_versions(struct members *members, struct msg_heartbeat *heartbeat)
{
	guint count = members->peers->len;
	guint first = count == 0 ? 0 : (guint)(members_random(members) % count);
	struct member *peers = members_peers(members);

	for (guint i = 0;
	     i < count && heartbeat->versions_count < GOSSIP_VERSIONS_MAX_COUNT;
	     i++) {
		struct member *member = &peers[(first + i) % count];
		if (member->versions_sends_remaining > 0)
			append_versions(heartbeat, member);
	}
	for (uint32_t i = 0; i < REFRESH_COUNT && count > 0; i++)
		append_versions(heartbeat,
		    &g_array_index(members->peers, struct member,
			(members->refresh_index + i) % count));
}

void
gossip_fill_heartbeat(struct members *members, uint64_t to_node_id,
    struct msg_heartbeat *heartbeat)
{
	struct member *self = &members->config.self;

	gossip_make_update(self, &heartbeat->self);
	snprintf(heartbeat->self.address, sizeof(heartbeat->self.address), "%s",
	    self->address);
	heartbeat->routes_version = self->routes_version;
	heartbeat->pools_version = self->pools_version;
	if (self->update_sends_remaining > 0)
		self->update_sends_remaining--;
	if (self->versions_sends_remaining > 0)
		self->versions_sends_remaining--;
	fill_updates(members, to_node_id, heartbeat);
	fill_versions(members, heartbeat);
}

struct msg_heartbeat *
gossip_send(struct members *members, uint64_t to_node_id, enum msg_type type,
    struct effects *effects)
{
	struct msg *msg = effects_send(effects, to_node_id, type);

	gossip_fill_heartbeat(members, to_node_id, &msg->u.heartbeat);
	return &msg->u.heartbeat;
}

void
gossip_send_member_list(struct members *members, uint64_t to_node_id,
    struct effects *effects)
{
	struct member_update *items = g_new0(struct member_update,
	    members->peers->len + 1);
	struct msg *msg = effects_send(effects, to_node_id, MSG_MEMBER_LIST);
	uint32_t count = 0;

	gossip_make_update(&members->config.self, &items[count++]);
	for (guint i = 0; i < members->peers->len; i++) {
		const struct member *member = &g_array_index(members->peers,
		    struct member, i);
		if (member_is_up(member))
			gossip_make_update(member, &items[count++]);
	}
	msg->u.member_list.items = items;
	msg->u.member_list.item_count = MIN(count, MEMBERS_MAX_COUNT);
}

/* Refutes an update that reports this daemon as suspect or down. */
static void
refute(struct members *members, const struct member_update *update)
{
	struct member *self = &members->config.self;

	if (update->incarnation > self->incarnation) {
		/* the clock was ahead when an earlier process started */
		self->incarnation = update->incarnation + 1;
		self->revision = 0;
	} else if (update->incarnation == self->incarnation &&
	    update->revision >= self->revision &&
	    update->state != MEMBER_LIVE && self->state == MEMBER_LIVE)
		self->revision = update->revision + 1;
	else
		return;
	gossip_queue_update(members, self);
}

static bool
update_is_newer(const struct member *member, const struct member_update *update,
    enum member_state state)
{
	if (update->incarnation != member->incarnation)
		return update->incarnation > member->incarnation;
	if (update->revision != member->revision)
		return update->revision > member->revision;
	return state > member->state;
}

/*
 * Returns the state to apply from an update. After a partition, each side has
 * recorded the other as down. If such an update concerns a member that is up
 * here, the member becomes suspect and has time to refute it, unless it
 * announced its own shutdown.
 */
static enum member_state
accepted_state(const struct member *member, const struct member_update *update)
{
	enum member_state state = (enum member_state)update->state;

	if (state == MEMBER_DOWN && member_is_up(member) &&
	    (update->flags & MEMBER_FLAG_LEAVING) == 0)
		return MEMBER_SUSPECT;
	return state;
}

static void
apply_state(struct members *members, struct member *member,
    const struct member_update *update)
{
	bool leaving = (update->flags & MEMBER_FLAG_LEAVING) != 0;
	bool platform_lost = (update->flags & MEMBER_FLAG_PLATFORM_LOST) != 0;
	bool high_cpu = (update->flags & MEMBER_FLAG_HIGH_CPU) != 0;

	if (member->leaving != leaving || member->high_cpu != high_cpu ||
	    member->incarnation != update->incarnation)
		members->live_set_changed = true;
	member->incarnation = update->incarnation;
	member->revision = update->revision;
	member->leaving = leaving;
	member->platform_lost = platform_lost;
	member->high_cpu = high_cpu;
	if (update->state == MEMBER_LIVE)
		snprintf(member->domain, sizeof(member->domain), "%s",
		    update->domain);
	gossip_queue_update(members, member);
}

void
gossip_apply_update(struct members *members, const struct member_update *update,
    uint64_t now_ms, struct effects *effects)
{
	enum member_state state;
	struct member *member;

	if (update->address[0] != '\0' &&
	    hash_name(update->address) != update->node_id)
		return;
	if (update->node_id == members->config.self.node_id) {
		refute(members, update);
		return;
	}
	member = members_find_peer(members, update->node_id);
	if (member == NULL && update->state == MEMBER_LIVE &&
	    update->address[0] != '\0')
		member = members_add(members, update->address);
	if (member == NULL || update->state == MEMBER_UNKNOWN)
		return;
	state = accepted_state(member, update);
	if (!update_is_newer(member, update, state))
		return;
	if (update->incarnation > member->incarnation) {
		/* discard the state of the earlier process */
		members_set_state(members, member, MEMBER_DOWN, now_ms,
		    effects);
		member->routes_version = 0;
		member->pools_version = 0;
	}
	apply_state(members, member, update);
	members_set_state(members, member, state, now_ms, effects);
}

void
gossip_apply_versions(struct members *members, struct member *member,
    uint64_t routes_version, uint64_t pools_version)
{
	if (routes_version <= member->routes_version &&
	    pools_version <= member->pools_version)
		return;
	member->routes_version = MAX(member->routes_version, routes_version);
	member->pools_version = MAX(member->pools_version, pools_version);
	gossip_queue_versions(members, member);
}

void
gossip_apply_versions_record(struct members *members,
    const struct member_versions *versions)
{
	struct member *peers = members_peers(members);
	guint count = members->peers->len;
	uint32_t node_id_low = versions->node_id_low;

	for (guint i = 0; i < count; i++) {
		struct member *member = &peers[i];
		if ((uint32_t)member->node_id == node_id_low &&
		    (uint32_t)member->incarnation == versions->incarnation_low)
			gossip_apply_versions(members, member,
			    versions->routes_version, versions->pools_version);
	}
}
