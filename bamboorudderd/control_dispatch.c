#include "bamboorudderd/control_private.h"
#include "bamboorudderd/gateway.h"
#include "common/codec.h"
#include "common/log.h"
#include "common/metric.h"
#include "core/owner.h"

#define TEXT_BYTES 24

static void
ticket_set_result(struct ticket *ticket, enum ticket_state state,
    const struct effect *effect)
{
	pthread_mutex_lock(&ticket->mutex);
	ticket->state = state;
	ticket->endpoint_id = effect->endpoint_id;
	ticket->reason = effect->reason;
	ticket->retry_after_ms = effect->retry_after_ms;
	pthread_cond_signal(&ticket->changed);
	pthread_mutex_unlock(&ticket->mutex);
}

static void handle_message(struct control *control, const struct msg *msg,
    uint64_t now_ms);

static void
send_msg(struct control *control, uint64_t to_node_id, struct msg *msg,
    uint64_t now_ms)
{
	const struct member *member;

	msg->from_node_id = control->members.config.self.node_id;
	msg->from_incarnation = control->members.config.self.incarnation;
	if (to_node_id == msg->from_node_id) {
		handle_message(control, msg, now_ms);
		return;
	}
	member = members_find(&control->members, to_node_id);
	if (member == NULL)
		return;
	g_byte_array_set_size(control->send_buffer, 0);
	codec_encode(msg, control->send_buffer);
	control->peer.ops->send(&control->peer, member->address,
	    control->send_buffer->data, control->send_buffer->len);
}

static void
complete_ticket(struct control *control, const struct effect *effect)
{
	struct ticket *ticket = g_hash_table_lookup(control->tickets,
	    &effect->seq);

	if (ticket != NULL)
		ticket_set_result(ticket,
		    effect->type == EFFECT_START ? TICKET_GRANTED
						 : TICKET_REFUSED,
		    effect);
}

static void
on_member_down(struct control *control, uint64_t node_id, uint64_t now_ms)
{
	const struct member *member = members_find(&control->members, node_id);
	GHashTableIter iter;
	gpointer owner;

	log_event(LOG_LEVEL_WARN, "member_down", "address",
	    member == NULL ? "?" : member->address, NULL);
	if (member != NULL)
		control->peer.ops->disconnect(&control->peer, member->address);
	g_hash_table_iter_init(&iter, control->owners);
	while (g_hash_table_iter_next(&iter, NULL, &owner))
		owner_node_down(owner, node_id, now_ms, &control->effects);
}

static void
on_member_up(struct control *control, uint64_t node_id)
{
	const struct member *member = members_find(&control->members, node_id);

	log_event(LOG_LEVEL_INFO, "member_up", "address",
	    member == NULL ? "?" : member->address, NULL);
}

static void
log_suspect(const struct effect *effect)
{
	char segment[TEXT_BYTES], crashes[TEXT_BYTES];

	g_snprintf(segment, TEXT_BYTES, "%" G_GINT64_MODIFIER "x",
	    effect->segment_id);
	g_snprintf(crashes, TEXT_BYTES, "%u", effect->crashes_count);
	/* each crash of an engine has segments that are watched and cleared */
	log_event(effect->phase == SUSPECT_BLOCKED ? LOG_LEVEL_WARN
						   : LOG_LEVEL_INFO,
	    "prompt_segment", "segment", segment, "state",
	    suspect_phase_name(effect->phase), "crashes", crashes, NULL);
}

static const char *
endpoint_name(const struct control *control, uint64_t endpoint_id)
{
	const struct dispatch_endpoint *endpoint =
	    g_hash_table_lookup(control->dispatch.endpoints, &endpoint_id);

	return endpoint == NULL ? "-" : endpoint->info.name;
}

static void
log_health(const struct control *control, const struct effect *effect)
{
	char failing_permille[TEXT_BYTES], eject_ms[TEXT_BYTES];

	g_snprintf(failing_permille, TEXT_BYTES, "%u",
	    effect->failing_permille);
	g_snprintf(eject_ms, TEXT_BYTES, "%u", effect->eject_ms);
	log_event(LOG_LEVEL_WARN,
	    effect->ejected ? "endpoint_ejected" : "endpoint_back", "name",
	    endpoint_name(control, effect->endpoint_id), "failing_permille",
	    failing_permille, "for_ms", eject_ms, NULL);
}

void
control_log_notice(const char *endpoint, bool leaving, uint32_t pause_ms)
{
	char pause[TEXT_BYTES];

	g_snprintf(pause, TEXT_BYTES, "%u", pause_ms);
	log_event(LOG_LEVEL_WARN, "endpoint_notice", "name", endpoint,
	    "leaving", leaving ? "yes" : "no", "pause_ms", pause, NULL);
}

static void
log_limit(const struct control *control, const struct effect *effect)
{
	const struct dispatch_endpoint *endpoint =
	    g_hash_table_lookup(control->dispatch.endpoints,
		&effect->endpoint_id);
	char per_s[TEXT_BYTES];

	if (endpoint == NULL)
		return;
	g_snprintf(per_s, TEXT_BYTES, "%u.%03u",
	    effect->limit_per_1000_s / 1000, effect->limit_per_1000_s % 1000);
	log_event(LOG_LEVEL_WARN, "endpoint_limit", "name", endpoint->info.name,
	    "per_s", effect->limit_per_1000_s == 0 ? "-" : per_s, "kept_here",
	    endpoint->hub_id == control->dispatch.config.node_id ? "yes" : "no",
	    NULL);
}

static void
log_cold(const struct control *control, const struct effect *effect)
{
	char cold_ms[TEXT_BYTES];

	g_snprintf(cold_ms, TEXT_BYTES, "%u", effect->cold_ms);
	log_event(LOG_LEVEL_INFO, "endpoint_cold", "name",
	    endpoint_name(control, effect->endpoint_id), "for_ms",
	    effect->unconfirmed ? "-" : cold_ms, NULL);
}

void
control_run_effects(struct control *control, uint64_t now_ms)
{
	for (size_t i = 0; i < control->effects.count; i++) {
		struct effect effect = control->effects.items[i];

		switch (effect.type) {
		case EFFECT_SEND:
			send_msg(control, effect.to_node_id, &effect.msg,
			    now_ms);
			break;
		case EFFECT_START:
		case EFFECT_REFUSE:
			complete_ticket(control, &effect);
			break;
		case EFFECT_MEMBER_UP:
			on_member_up(control, effect.to_node_id);
			break;
		case EFFECT_MEMBER_DOWN:
			on_member_down(control, effect.to_node_id, now_ms);
			break;
		case EFFECT_SUSPECT_CHANGED:
			log_suspect(&effect);
			break;
		case EFFECT_LIMIT_CHANGED:
			log_limit(control, &effect);
			break;
		case EFFECT_HEALTH_CHANGED:
			log_health(control, &effect);
			break;
		case EFFECT_STATEMENT:
			control_log_notice(endpoint_name(control,
					       effect.endpoint_id),
			    effect.leaving, effect.pause_ms);
			break;
		case EFFECT_ENDPOINT_COLD:
			log_cold(control, &effect);
			break;
		case EFFECT_DECIDED:
			gw_dispatch_on_decided(control, effect.seq);
			break;
		}
	}
	effects_clear(&control->effects);
}

static void
deliver_to_owner(struct control *control, uint64_t pool_id,
    const struct msg *msg, uint64_t now_ms)
{
	struct owner *owner = g_hash_table_lookup(control->owners, &pool_id);

	if (owner != NULL)
		owner_handle(owner, msg, now_ms, &control->effects);
}

static void
handle_membership(struct control *control, const struct msg *msg,
    uint64_t now_ms)
{
	const struct msg_heartbeat *heartbeat = &msg->u.heartbeat;

	if (!members_handle_message(&control->members, msg, now_ms,
		&control->effects))
		metric_add(METRIC_PEER_MALFORMED, 1);
	else if (msg->type != MSG_MEMBER_LIST)
		tablesync_handle_versions(&control->tablesync,
		    msg->from_node_id, heartbeat->routes_version,
		    heartbeat->pools_version, now_ms, &control->effects);
}

static void
handle_tables(struct control *control, const struct msg *msg, uint64_t now_ms)
{
	const struct msg_tables_data *data = &msg->u.tables_data;
	struct tablesync_texts texts = {
		{ control->snapshot->texts[TABLE_ROUTES],
		    control->snapshot->texts[TABLE_POOLS] }
	};

	if (msg->type == MSG_TABLES_ANNOUNCE)
		tablesync_handle_versions(&control->tablesync,
		    msg->from_node_id, msg->u.versions.routes_version,
		    msg->u.versions.pools_version, now_ms, &control->effects);
	else if (msg->type == MSG_TABLES_PULL)
		tablesync_handle_pull(&control->tablesync, msg, &texts,
		    &control->effects);
	else
		tablestore_update(control->store, (enum table_kind)data->kind,
		    data->version, data->text);
}

/* A report may confirm that the local copy of a resource is the newest, or name a
 * newer version. */
static void
handle_report(struct control *control, const struct msg *msg, uint64_t now_ms)
{
	struct dispatch_freshness freshness[RESOURCE_KIND_COUNT];

	dispatch_handle_report(&control->dispatch, msg, now_ms, freshness);
	for (int kind = 0;
	     control->gateway != NULL && kind < RESOURCE_KIND_COUNT; kind++)
		if (freshness[kind].version > 0)
			feed_offer_freshness(&control->gateway->feed,
			    (enum resource_kind)kind, &freshness[kind]);
}

static bool
is_membership_message(enum msg_type type)
{
	return type <= MSG_MEMBER_LIST;
}

static void
handle_dispatch_message(struct control *control, const struct msg *msg,
    uint64_t now_ms)
{
	switch (msg->type) {
	case MSG_REPORT:
		handle_report(control, msg, now_ms);
		break;
	case MSG_PLACE_REQUEST:
		dispatch_handle_place_request(&control->dispatch, msg, now_ms,
		    &control->effects);
		break;
	case MSG_PLACEMENT:
		delegation_handle_placement(&control->delegation, msg, now_ms,
		    &control->effects);
		break;
	case MSG_ATTEMPT_EVENTS:
		dispatch_handle_attempt_events(&control->dispatch, msg, now_ms,
		    &control->effects);
		break;
	case MSG_RUNNING_ATTEMPTS:
		dispatch_handle_running_attempts(&control->dispatch, msg,
		    now_ms);
		break;
	case MSG_CRASH_RECORDS:
		dispatch_handle_crash_records(&control->dispatch, msg, now_ms);
		break;
	case MSG_ENDPOINT_LIMITS:
		dispatch_handle_endpoint_limits(&control->dispatch, msg,
		    now_ms);
		break;
	case MSG_HANDOFF_STOP:
		gw_handoff_on_stop(control, msg);
		break;
	default:
		break;
	}
}

static void
handle_message(struct control *control, const struct msg *msg, uint64_t now_ms)
{
	if (!is_membership_message(msg->type) &&
	    !members_verify_sender(&control->members, msg, now_ms,
		&control->effects))
		return;
	switch (msg->type) {
	case MSG_HEARTBEAT:
	case MSG_HEARTBEAT_ACK:
	case MSG_PROBE_REQUEST:
	case MSG_GOSSIP:
	case MSG_JOIN:
	case MSG_MEMBER_LIST:
		handle_membership(control, msg, now_ms);
		break;
	case MSG_TABLES_ANNOUNCE:
	case MSG_TABLES_PULL:
	case MSG_TABLES_DATA:
		handle_tables(control, msg, now_ms);
		break;
	case MSG_SLOT_REQUEST:
		deliver_to_owner(control, msg->u.slot_request.pool_id, msg,
		    now_ms);
		break;
	case MSG_CANCEL:
		deliver_to_owner(control, msg->u.cancel.pool_id, msg, now_ms);
		break;
	case MSG_DONE:
		deliver_to_owner(control, msg->u.done.pool_id, msg, now_ms);
		break;
	case MSG_REQUEST_REPORT:
		deliver_to_owner(control, msg->u.request_report.pool_id, msg,
		    now_ms);
		break;
	case MSG_STALE_OWNER:
		deliver_to_owner(control, msg->u.stale_owner.pool_id, msg,
		    now_ms);
		break;
	case MSG_SYNC:
	case MSG_GRANT:
	case MSG_REFUSE:
		entry_handle(&control->entry, msg, now_ms, &control->effects);
		break;
	default:
		handle_dispatch_message(control, msg, now_ms);
		break;
	}
}

void
control_on_message(void *context, const void *bytes, size_t length_bytes)
{
	struct control *control = context;
	uint64_t now_ms = clk_monotonic_ms(&control->clk);
	struct msg msg;

	if (!codec_decode(bytes, length_bytes, &msg)) {
		metric_add(METRIC_PEER_MALFORMED, 1);
		return;
	}
	handle_message(control, &msg, now_ms);
	control_run_effects(control, now_ms);
	codec_release(&msg);
}
