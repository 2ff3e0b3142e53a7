#include <arpa/inet.h>
#include <string.h>

#include "bamboorudderd/control_private.h"
#include "bamboorudderd/gateway_private.h"

/* Daemons with processor time to spare are asked to take connections so often,
 * beside the others. */
#define HIGH_CPU_WEIGHT 4u
/* The peers are told so often of a stop, as a message may be read late. */
#define STOP_PERIOD_MS 200u
/* Time for an answer to reach the daemon that passes it on. */
#define HOP_MS 200u

void
gw_peers_init(struct gateway *gateway)
{
	const struct settings *settings = gateway->settings;
	bool takes = settings->handoff_address[0] != '\0';
	const struct handoff_config config = {
		.pass_idle_percent = takes ? settings->handoff_pass_percent : 0,
		.accept_idle_percent = settings->handoff_accept_percent,
	};

	handoff_init(&gateway->handoff, &config);
	gateway->peers = g_array_new(FALSE, TRUE, sizeof(struct gw_peer));
	gateway->handoff_peers = g_array_new(FALSE, TRUE,
	    sizeof(struct handoff_peer));
	gateway->peer_stops = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, g_free);
	LIST_INIT(&gateway->greetings);
	LIST_INIT(&gateway->handoffs);
	LIST_INIT(&gateway->turned_away);
}

void
gw_peers_finish(struct gateway *gateway)
{
	handoff_finish(&gateway->handoff);
	g_hash_table_destroy(gateway->peer_stops);
	g_array_free(gateway->peers, TRUE);
	g_array_free(gateway->handoff_peers, TRUE);
}

const struct gw_peer *
gw_find_peer(const struct gateway *gateway, uint64_t node_id)
{
	for (guint i = 0; i < gateway->peers->len; i++) {
		const struct gw_peer *peer = &g_array_index(gateway->peers,
		    struct gw_peer, i);
		if (peer->node_id == node_id)
			return peer;
	}
	return NULL;
}

/* A peer that is about to stop. */
struct peer_stop {
	uint64_t node_id;
	uint64_t incarnation;
	struct drain_admission admission;
};

/* @return whether a later process of the peer is known */
static bool
has_successor(const struct gateway *gateway, const struct peer_stop *stop)
{
	const struct gw_peer *peer = gw_find_peer(gateway, stop->node_id);

	return peer != NULL && peer->incarnation > stop->incarnation;
}

/* Lets a connection that a peer passes here end after the request in progress, or
 * when it has been idle for a while. */
static void
stop_connection(struct gw_caller *caller, const struct peer_stop *stop)
{
	if (caller->from_node_id != stop->node_id)
		return;
	caller->close_after = true;
	caller->origin = stop->admission;
}

void
gw_caller_apply_stop(const struct gateway *gateway, struct gw_caller *caller)
{
	const struct peer_stop *stop = g_hash_table_lookup(gateway->peer_stops,
	    &caller->from_node_id);

	if (stop != NULL && !has_successor(gateway, stop))
		stop_connection(caller, stop);
}

/* Keeps what is heard of a stop: the first message of a process, and the earliest
 * signal of later ones.
 * @return the stop of the process, or NULL if another one has followed */
static const struct peer_stop *
keep_stop(struct gateway *gateway, struct peer_stop *heard)
{
	struct peer_stop *stop = g_hash_table_lookup(gateway->peer_stops,
	    &heard->node_id);

	if (has_successor(gateway, heard) ||
	    (stop != NULL && stop->incarnation > heard->incarnation)) {
		g_free(heard);
		return NULL;
	}
	if (stop == NULL || stop->incarnation < heard->incarnation) {
		gw_observe_peer_stop(heard->node_id, &heard->admission,
		    gw_now_ms(gateway));
		g_hash_table_replace(gateway->peer_stops, &heard->node_id,
		    heard);
		return heard;
	}
	drain_admission_begin(&stop->admission, heard->admission.signal_ms,
	    heard->admission.grace_ms);
	g_free(heard);
	return stop;
}

static void
apply_stop(struct gateway *gateway, void *context)
{
	const GPtrArray *holders = gateway->caller_memory.holders;
	const struct peer_stop *stop = keep_stop(gateway, context);

	if (stop == NULL)
		return;
	/* the holder is the first member of its connection */
	for (guint i = 0; i < holders->len; i++)
		stop_connection(holders->pdata[i], stop);
}

void
gw_handoff_on_stop(struct control *control, const struct msg *msg)
{
	struct gateway *gateway = control->gateway;
	struct peer_stop *stop;
	uint64_t now_ms;

	if (gateway == NULL)
		return;
	now_ms = gw_now_ms(gateway);
	stop = g_new0(struct peer_stop, 1);
	stop->node_id = msg->from_node_id;
	stop->incarnation = msg->from_incarnation;
	stop->admission.hop_ms = HOP_MS;
	drain_admission_begin(&stop->admission,
	    now_ms - MIN(now_ms, msg->u.handoff_stop.elapsed_ms),
	    msg->u.handoff_stop.grace_ms);
	gw_mailbox_post(gateway, apply_stop, stop);
}

static bool
is_domain_peer(const struct control *control, const struct member *member)
{
	const struct member *self = &control->members.config.self;

	return member->node_id != self->node_id &&
	    strcmp(member->domain, self->domain) == 0;
}

static void
send_stop(struct control *control, uint64_t node_id)
{
	const struct gateway *gateway = control->gateway;
	struct msg *msg = effects_send(&control->effects, node_id,
	    MSG_HANDOFF_STOP);

	msg->u.handoff_stop.elapsed_ms = (uint32_t)(gw_now_ms(gateway) -
	    gateway->admission.signal_ms);
	msg->u.handoff_stop.grace_ms = gateway->admission.grace_ms;
}

static void
run_stop_handoffs(struct control *control, struct control_task *task)
{
	uint64_t live_ids[MEMBERS_MAX_COUNT];
	size_t live_count = members_list_live(&control->members, live_ids,
	    MEMBERS_MAX_COUNT);

	(void)task;
	if (control->gateway == NULL)
		return;
	for (size_t i = 0; i < live_count; i++)
		if (is_domain_peer(control,
			members_find(&control->members, live_ids[i])))
			send_stop(control, live_ids[i]);
}

void
gw_handoffs_stop(struct gateway *gateway)
{
	gateway->stop_due_ms = gw_now_ms(gateway) + STOP_PERIOD_MS;
	if (gateway->handoffs_count > 0)
		mailbox_post_context(gateway->control, run_stop_handoffs, NULL);
}

static void
apply_peers(struct gateway *gateway, void *context)
{
	g_array_free(gateway->peers, TRUE);
	gateway->peers = context;
	g_array_set_size(gateway->handoff_peers, 0);
	for (guint i = 0; i < gateway->peers->len; i++) {
		const struct gw_peer *peer = &g_array_index(gateway->peers,
		    struct gw_peer, i);
		const struct handoff_peer item = { peer->node_id,
			peer->weight };
		g_array_append_val(gateway->handoff_peers, item);
	}
}

/* All daemons take connections at the same port. */
static void
read_member(const struct member *member, in_port_t port, struct gw_peer *peer)
{
	memset(peer, 0, sizeof(*peer));
	peer->node_id = member->node_id;
	peer->incarnation = member->incarnation;
	peer->weight = member->high_cpu ? HIGH_CPU_WEIGHT : 1;
	gw_parse_address(member->address, &peer->address);
	inet_ntop(AF_INET, &peer->address.sin_addr, peer->host,
	    sizeof(peer->host));
	peer->address.sin_port = port;
}

void
gw_peers_update(struct control *control)
{
	const struct settings *settings = control->settings;
	uint64_t live_ids[MEMBERS_MAX_COUNT];
	size_t live_count = members_list_live(&control->members, live_ids,
	    MEMBERS_MAX_COUNT);
	struct sockaddr_in own_address;
	GArray *peers;

	if (control->gateway == NULL || settings->handoff_address[0] == '\0')
		return;
	gw_parse_address(settings->handoff_address, &own_address);
	peers = g_array_new(FALSE, TRUE, sizeof(struct gw_peer));
	for (size_t i = 0; i < live_count; i++) {
		const struct member *member = members_find(&control->members,
		    live_ids[i]);
		struct gw_peer peer;

		if (!is_domain_peer(control, member))
			continue;
		read_member(member, own_address.sin_port, &peer);
		g_array_append_val(peers, peer);
	}
	gw_mailbox_post(control->gateway, apply_peers, peers);
}
