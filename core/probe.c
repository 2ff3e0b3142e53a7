#include "core/probe.h"

#include "core/gossip.h"

#define INDIRECT_PROBES_COUNT 3u
#define PROBES_MAX_COUNT 64u
#define PROBES_PER_PERIOD 2u
/* Fraction of the heartbeat period to wait for a direct acknowledgement before
 * other members are asked to probe. */
#define DIRECT_WAIT_NUMERATOR 2u
#define DIRECT_WAIT_DENOMINATOR 5u

static void
probe_send(struct members *members, uint64_t target_node_id,
    uint64_t requester_node_id, uint64_t requester_seq, uint64_t now_ms,
    struct effects *effects)
{
	struct member_probe probe = { .target_node_id = target_node_id,
		.seq = ++members->probe_seq,
		.sent_at_ms = now_ms,
		.requester_node_id = requester_node_id,
		.requester_seq = requester_seq };

	if (members->probes->len < PROBES_MAX_COUNT)
		g_array_append_val(members->probes, probe);
	gossip_send(members, target_node_id, MSG_HEARTBEAT, effects)
	    ->probe_seq = probe.seq;
}

/* Starts a round over all members that are up, in random order. */
static void
start_probe_round(struct members *members)
{
	GArray *order = members->probe_order;

	for (guint i = 0; i < members->peers->len; i++) {
		const struct member *member = &g_array_index(members->peers,
		    struct member, i);
		if (member_is_up(member))
			g_array_append_val(order, member->node_id);
	}
	for (guint i = order->len; i > 1; i--) {
		guint j = (guint)(members_random(members) % i);
		uint64_t swapped = g_array_index(order, uint64_t, i - 1);
		g_array_index(order, uint64_t, i - 1) = g_array_index(order,
		    uint64_t, j);
		g_array_index(order, uint64_t, j) = swapped;
	}
}

static const struct member *
next_probe_target(struct members *members)
{
	GArray *order = members->probe_order;

	if (order->len == 0)
		start_probe_round(members);
	while (order->len > 0) {
		const struct member *member = members_find_peer(members,
		    g_array_index(order, uint64_t, order->len - 1));
		g_array_set_size(order, order->len - 1);
		if (member != NULL && member_is_up(member))
			return member;
	}
	return NULL;
}

static void
send_indirect_probes(struct members *members, const struct member_probe *probe,
    struct effects *effects)
{
	for (uint32_t i = 0; i < INDIRECT_PROBES_COUNT; i++) {
		const struct member *other = members_pick_random(members,
		    probe->target_node_id);
		struct msg_heartbeat *request;

		if (other == NULL)
			return;
		request = gossip_send(members, other->node_id,
		    MSG_PROBE_REQUEST, effects);
		request->probe_seq = probe->seq;
		request->target_node_id = probe->target_node_id;
	}
}

static void
mark_suspect(struct members *members, const struct member_probe *probe,
    uint64_t now_ms, struct effects *effects)
{
	struct member *member = members_find_peer(members,
	    probe->target_node_id);

	if (probe->requester_node_id != 0 || member == NULL ||
	    member->state != MEMBER_LIVE ||
	    member->last_heard_ms >= probe->sent_at_ms)
		return;
	members_set_state(members, member, MEMBER_SUSPECT, now_ms, effects);
	gossip_queue_update(members, member);
	/* a member that still receives messages can refute at once */
	gossip_send(members, member->node_id, MSG_GOSSIP, effects);
}

static void
check_probes(struct members *members, uint64_t now_ms, struct effects *effects)
{
	uint32_t period_ms = members->config.heartbeat_period_ms;
	uint32_t direct_wait_ms = period_ms * DIRECT_WAIT_NUMERATOR /
	    DIRECT_WAIT_DENOMINATOR;

	for (guint i = 0; i < members->probes->len;) {
		struct member_probe *probe = &g_array_index(members->probes,
		    struct member_probe, i);

		if (now_ms >= probe->sent_at_ms + period_ms) {
			mark_suspect(members, probe, now_ms, effects);
			g_array_remove_index_fast(members->probes, i);
			continue;
		}
		if (!probe->indirect && probe->requester_node_id == 0 &&
		    now_ms >= probe->sent_at_ms + direct_wait_ms) {
			probe->indirect = true;
			send_indirect_probes(members, probe, effects);
		}
		i++;
	}
}

static void
expire_suspicions(struct members *members, uint64_t now_ms,
    struct effects *effects)
{
	uint32_t period_ms = members->config.heartbeat_period_ms;
	uint32_t suspicion_ms = MAX(period_ms,
	    members->config.down_after_ms - 2 * period_ms);
	struct member *peers = members_peers(members);
	guint count = members->peers->len;

	for (guint i = 0; i < count; i++) {
		struct member *member = &peers[i];
		if (member->state != MEMBER_SUSPECT ||
		    now_ms < member->state_since_ms + suspicion_ms)
			continue;
		/* not spread by gossip: every member that knows of the
		 * suspicion lets it expire by itself */
		members_set_state(members, member, MEMBER_DOWN, now_ms,
		    effects);
	}
}

void
probe_tick(struct members *members, uint64_t now_ms, struct effects *effects)
{
	const struct member *target;

	check_probes(members, now_ms, effects);
	expire_suspicions(members, now_ms, effects);
	if (now_ms < members->probe_due_ms)
		return;
	members->probe_due_ms = now_ms +
	    members->config.heartbeat_period_ms / PROBES_PER_PERIOD;
	target = next_probe_target(members);
	if (target != NULL)
		probe_send(members, target->node_id, 0, 0, now_ms, effects);
}

void
probe_handle_ack(struct members *members, uint64_t seq, struct effects *effects)
{
	for (guint i = 0; i < members->probes->len; i++) {
		struct member_probe probe = g_array_index(members->probes,
		    struct member_probe, i);

		if (probe.seq != seq)
			continue;
		g_array_remove_index_fast(members->probes, i);
		if (probe.requester_node_id != 0)
			gossip_send(members, probe.requester_node_id,
			    MSG_HEARTBEAT_ACK, effects)
			    ->probe_seq = probe.requester_seq;
		return;
	}
}

void
probe_on_behalf(struct members *members, uint64_t target_node_id,
    uint64_t requester_node_id, uint64_t requester_seq, uint64_t now_ms,
    struct effects *effects)
{
	if (members_find_peer(members, target_node_id) != NULL)
		probe_send(members, target_node_id, requester_node_id,
		    requester_seq, now_ms, effects);
}
