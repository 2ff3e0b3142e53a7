#include "core/gossip.h"

#include <stdio.h>
#include <string.h>

#include "core/hash.h"

#define NEWS_SENDS_FACTOR 2u
#define VERSIONS_SENDS_FACTOR 1u
/* Members that a message describes though nothing changed: heals lost news. */
#define ROTATION_COUNT 2u

/* Enough sends to reach every member with high probability. */
static uint32_t
sends_needed(const struct members *members, uint32_t factor)
{
	uint32_t sends_count = 1;

	for (guint left = members->peers->len; left > 0; left /= 2)
		sends_count++;
	return factor * sends_count;
}

void
gossip_spread_state(struct members *members, struct member *member)
{
	member->news_sends_left = sends_needed(members, NEWS_SENDS_FACTOR);
}

void
gossip_spread_versions(struct members *members, struct member *member)
{
	member->versions_sends_left = sends_needed(members,
	    VERSIONS_SENDS_FACTOR);
}

bool
gossip_has_news(const struct members *members)
{
	const struct member *self = &members->config.self;

	if (self->news_sends_left > 0 || self->versions_sends_left > 0)
		return true;
	for (guint i = 0; i < members->peers->len; i++) {
		const struct member *member = &g_array_index(members->peers,
		    struct member, i);
		if (member->news_sends_left > 0 ||
		    (member->versions_sends_left > 0 && member_is_up(member)))
			return true;
	}
	return false;
}

void
gossip_describe(const struct member *member, struct member_news *news)
{
	memset(news, 0, sizeof(*news));
	news->node_id = member->node_id;
	if (member->state == MEMBER_LIVE) {
		snprintf(news->address, sizeof(news->address), "%s",
		    member->address);
		snprintf(news->domain, sizeof(news->domain), "%s",
		    member->domain);
	}
	news->incarnation = member->incarnation;
	news->revision = member->revision;
	news->state = (uint8_t)member->state;
	if (member->leaving)
		news->flags |= MEMBER_FLAG_LEAVING;
	if (member->platform_lost)
		news->flags |= MEMBER_FLAG_PLATFORM_LOST;
	if (member->strong)
		news->flags |= MEMBER_FLAG_STRONG;
}

static bool
is_told(const struct msg_heartbeat *heartbeat, const struct member *member)
{
	for (uint32_t i = 0; i < heartbeat->news_count; i++)
		if (heartbeat->news[i].node_id == member->node_id)
			return true;
	return false;
}

static void
tell(struct msg_heartbeat *heartbeat, struct member *member)
{
	if (heartbeat->news_count == GOSSIP_NEWS_MAX_COUNT ||
	    member->state == MEMBER_UNKNOWN || is_told(heartbeat, member))
		return;
	gossip_describe(member, &heartbeat->news[heartbeat->news_count++]);
	if (member->news_sends_left > 0)
		member->news_sends_left--;
}

/* The member whose state was spread the fewest times, or NULL. */
static struct member *
freshest_state(const struct members *members,
    const struct msg_heartbeat *heartbeat)
{
	struct member *best = NULL;

	for (guint i = 0; i < members->peers->len; i++) {
		struct member *member = &g_array_index(members->peers,
		    struct member, i);
		if (member->news_sends_left > 0 &&
		    member->state != MEMBER_UNKNOWN &&
		    (best == NULL ||
			member->news_sends_left > best->news_sends_left) &&
		    !is_told(heartbeat, member))
			best = member;
	}
	return best;
}

static void
fill_news(struct members *members, uint64_t to_node_id,
    struct msg_heartbeat *heartbeat)
{
	struct member *target = members_peer(members, to_node_id);
	struct member *member;

	/* a member must hear of its own suspicion to refute it */
	if (target != NULL && target->state != MEMBER_LIVE)
		tell(heartbeat, target);
	while (heartbeat->news_count < GOSSIP_NEWS_MAX_COUNT &&
	    (member = freshest_state(members, heartbeat)) != NULL)
		tell(heartbeat, member);
	for (uint32_t i = 0; i < ROTATION_COUNT && members->peers->len > 0; i++)
		tell(heartbeat,
		    &g_array_index(members->peers, struct member,
			members->rotation++ % members->peers->len));
}

static void
tell_versions(struct msg_heartbeat *heartbeat, struct member *member)
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
	if (member->versions_sends_left > 0)
		member->versions_sends_left--;
}

static void
fill_versions(struct members *members, struct msg_heartbeat *heartbeat)
{
	guint count = members->peers->len;
	guint first = count == 0 ? 0 : (guint)(members_random(members) % count);

	for (guint i = 0; i < count; i++) {
		struct member *member = &g_array_index(members->peers,
		    struct member, (first + i) % count);
		if (member->versions_sends_left > 0)
			tell_versions(heartbeat, member);
	}
	for (uint32_t i = 0; i < ROTATION_COUNT && count > 0; i++)
		tell_versions(heartbeat,
		    &g_array_index(members->peers, struct member,
			(members->rotation + i) % count));
}

void
gossip_fill(struct members *members, uint64_t to_node_id,
    struct msg_heartbeat *heartbeat)
{
	struct member *self = &members->config.self;

	gossip_describe(self, &heartbeat->self);
	snprintf(heartbeat->self.address, sizeof(heartbeat->self.address), "%s",
	    self->address);
	heartbeat->routes_version = self->routes_version;
	heartbeat->pools_version = self->pools_version;
	if (self->news_sends_left > 0)
		self->news_sends_left--;
	if (self->versions_sends_left > 0)
		self->versions_sends_left--;
	fill_news(members, to_node_id, heartbeat);
	fill_versions(members, heartbeat);
}

struct msg_heartbeat *
gossip_send(struct members *members, uint64_t to_node_id, enum msg_type type,
    struct effects *effects)
{
	struct msg *msg = effects_send(effects, to_node_id, type);

	gossip_fill(members, to_node_id, &msg->u.heartbeat);
	return &msg->u.heartbeat;
}

void
gossip_send_list(struct members *members, uint64_t to_node_id,
    struct effects *effects)
{
	struct member_news *items = g_new0(struct member_news,
	    members->peers->len + 1);
	struct msg *msg = effects_send(effects, to_node_id, MSG_MEMBER_LIST);
	uint32_t count = 0;

	gossip_describe(&members->config.self, &items[count++]);
	for (guint i = 0; i < members->peers->len; i++) {
		const struct member *member = &g_array_index(members->peers,
		    struct member, i);
		if (member_is_up(member))
			gossip_describe(member, &items[count++]);
	}
	msg->u.member_list.items = items;
	msg->u.member_list.item_count = MIN(count, MEMBERS_MAX_COUNT);
}

/* This daemon's answer to what others believe of it. */
static void
refute(struct members *members, const struct member_news *news)
{
	struct member *self = &members->config.self;

	if (news->incarnation > self->incarnation) {
		/* an earlier process had a clock ahead of ours */
		self->incarnation = news->incarnation + 1;
		self->revision = 0;
	} else if (news->incarnation == self->incarnation &&
	    news->revision >= self->revision && news->state != MEMBER_LIVE &&
	    self->state == MEMBER_LIVE)
		self->revision = news->revision + 1;
	else
		return;
	gossip_spread_state(members, self);
}

static bool
is_newer(const struct member *member, const struct member_news *news,
    enum member_state state)
{
	if (news->incarnation != member->incarnation)
		return news->incarnation > member->incarnation;
	if (news->revision != member->revision)
		return news->revision > member->revision;
	return state > member->state;
}

/*
 * What is to be believed of a member. After a partition both sides hold each
 * other for down: a member that is up here gets the time to refute, unless it
 * said itself that it ends.
 */
static enum member_state
believed_state(const struct member *member, const struct member_news *news)
{
	enum member_state state = (enum member_state)news->state;

	if (state == MEMBER_DOWN && member_is_up(member) &&
	    (news->flags & MEMBER_FLAG_LEAVING) == 0)
		return MEMBER_SUSPECT;
	return state;
}

static void
take_over(struct members *members, struct member *member,
    const struct member_news *news)
{
	bool leaving = (news->flags & MEMBER_FLAG_LEAVING) != 0;
	bool platform_lost = (news->flags & MEMBER_FLAG_PLATFORM_LOST) != 0;
	bool strong = (news->flags & MEMBER_FLAG_STRONG) != 0;

	if (member->leaving != leaving || member->strong != strong)
		members->changed = true;
	member->incarnation = news->incarnation;
	member->revision = news->revision;
	member->leaving = leaving;
	member->platform_lost = platform_lost;
	member->strong = strong;
	if (news->state == MEMBER_LIVE)
		snprintf(member->domain, sizeof(member->domain), "%s",
		    news->domain);
	gossip_spread_state(members, member);
}

void
gossip_apply(struct members *members, const struct member_news *news,
    uint64_t now_ms, struct effects *effects)
{
	enum member_state state;
	struct member *member;

	if (news->address[0] != '\0' &&
	    hash_name(news->address) != news->node_id)
		return;
	if (news->node_id == members->config.self.node_id) {
		refute(members, news);
		return;
	}
	member = members_peer(members, news->node_id);
	if (member == NULL && news->state == MEMBER_LIVE &&
	    news->address[0] != '\0')
		member = members_add(members, news->address);
	if (member == NULL || news->state == MEMBER_UNKNOWN)
		return;
	state = believed_state(member, news);
	if (!is_newer(member, news, state))
		return;
	if (news->incarnation > member->incarnation) {
		/* nothing of the earlier process holds any longer */
		members_set_state(members, member, MEMBER_DOWN, now_ms,
		    effects);
		member->routes_version = 0;
		member->pools_version = 0;
	}
	take_over(members, member, news);
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
	gossip_spread_versions(members, member);
}

void
gossip_apply_record(struct members *members,
    const struct member_versions *versions)
{
	for (guint i = 0; i < members->peers->len; i++) {
		struct member *member = &g_array_index(members->peers,
		    struct member, i);
		if ((uint32_t)member->node_id == versions->node_id_low &&
		    (uint32_t)member->incarnation == versions->incarnation_low)
			gossip_apply_versions(members, member,
			    versions->routes_version, versions->pools_version);
	}
}
