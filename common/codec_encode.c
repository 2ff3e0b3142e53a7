#include <mpack.h>
#include <string.h>

#include "common/codec.h"
#include "common/codec_format.h"

static void
write_token(GByteArray *out, mpack_token_t token)
{
	mpack_tokbuf_t tokbuf = MPACK_TOKBUF_INITIAL_VALUE;
	char buffer[MPACK_MAX_TOKEN_LEN];
	size_t remaining_bytes = sizeof(buffer);
	char *end = buffer;

	mpack_write(&tokbuf, &end, &remaining_bytes, &token);
	g_byte_array_append(out, (const guint8 *)buffer, (guint)(end - buffer));
}

static void
write_uint(GByteArray *out, uint64_t value)
{
	write_token(out, mpack_pack_uint(value));
}

static void
write_int(GByteArray *out, int64_t value)
{
	if (value < 0)
		write_token(out, mpack_pack_sint(value));
	else
		write_uint(out, (uint64_t)value);
}

static void
write_text(GByteArray *out, const char *text, size_t length_bytes)
{
	write_token(out, mpack_pack_str((mpack_uint32_t)length_bytes));
	g_byte_array_append(out, (const guint8 *)text, (guint)length_bytes);
}

/* The seq is encoded relative to the newest one, as a small number. */
static void
write_report_item(GByteArray *out, const struct msg_request_report *report,
    const struct report_item *item)
{
	write_token(out,
	    mpack_pack_array(
		report->full ? REPORT_ITEM_FIELDS : REPORT_BRIEF_ITEM_FIELDS));
	write_uint(out, report->seq_max - item->seq);
	write_uint(out, item->tokens);
	write_uint(out, item->state);
	if (!report->full)
		return;
	write_uint(out, item->account_id);
	write_uint(out, item->endpoint_id);
	write_uint(out, item->prefix_hash);
	write_uint(out, item->estimate_tokens);
}

static void
write_request_report(GByteArray *out, const struct msg_request_report *report)
{
	write_uint(out, report->pool_id);
	write_uint(out, report->epoch_seen);
	write_uint(out, report->owner_seen);
	write_uint(out, report->send_seq);
	write_uint(out, report->seq_max);
	write_uint(out, report->full);
	write_uint(out, report->wants_ack);
	write_token(out, mpack_pack_array(report->item_count));
	for (uint32_t i = 0; i < report->item_count; i++)
		write_report_item(out, report, &report->items[i]);
	write_token(out, mpack_pack_array(report->vtime_count));
	for (uint32_t i = 0; i < report->vtime_count; i++) {
		write_token(out, mpack_pack_array(REPORT_VTIME_FIELDS));
		write_uint(out, report->vtimes[i].account_id);
		write_int(out, report->vtimes[i].vtime);
	}
}

static void
write_member_update(GByteArray *out, const struct member_update *update)
{
	write_uint(out, update->node_id);
	write_text(out, update->address, strlen(update->address));
	write_text(out, update->domain, strlen(update->domain));
	write_uint(out, update->incarnation);
	write_uint(out, update->revision);
	write_uint(out, update->state);
	write_uint(out, update->flags);
}

/* Takes one byte for the common case of equal values: most members have the
 * versions of the sender in force. */
static void
write_difference(GByteArray *out, uint64_t value, uint64_t base)
{
	write_int(out, (int64_t)(value - base));
}

static void
write_heartbeat(GByteArray *out, const struct msg_heartbeat *heartbeat)
{
	write_uint(out, heartbeat->probe_seq);
	write_uint(out, heartbeat->target_node_id);
	write_member_update(out, &heartbeat->self);
	write_uint(out, heartbeat->routes_version);
	write_uint(out, heartbeat->pools_version);
	write_token(out, mpack_pack_array(heartbeat->updates_count));
	for (uint32_t i = 0; i < heartbeat->updates_count; i++)
		write_member_update(out, &heartbeat->updates[i]);
	write_token(out, mpack_pack_array(heartbeat->versions_count));
	for (uint32_t i = 0; i < heartbeat->versions_count; i++) {
		const struct member_versions *item = &heartbeat->versions[i];
		write_uint(out, item->node_id_low);
		write_uint(out, item->incarnation_low);
		write_difference(out, item->routes_version,
		    heartbeat->routes_version);
		write_difference(out, item->pools_version,
		    heartbeat->pools_version);
	}
}

static void
write_member_list(GByteArray *out, const struct msg_member_list *list)
{
	write_token(out, mpack_pack_array(list->item_count));
	for (uint32_t i = 0; i < list->item_count; i++)
		write_member_update(out, &list->items[i]);
}

static void
write_slot_request(GByteArray *out, const struct msg_slot_request *request)
{
	write_uint(out, request->pool_id);
	write_uint(out, request->account_id);
	write_uint(out, request->seq);
	write_uint(out, request->prefix_hash);
	write_uint(out, request->avoid_endpoint_id);
	write_uint(out, request->estimate_tokens);
}

static void
write_grant(GByteArray *out, const struct msg_grant *grant)
{
	write_uint(out, grant->pool_id);
	write_uint(out, grant->epoch);
	write_uint(out, grant->seq);
	write_uint(out, grant->endpoint_id);
	write_int(out, grant->account_vtime);
	write_uint(out, grant->grant_seq);
}

static void
write_refusal(GByteArray *out, const struct msg_refuse *refuse)
{
	write_uint(out, refuse->pool_id);
	write_uint(out, refuse->epoch);
	write_uint(out, refuse->seq);
	write_uint(out, refuse->retry_after_ms);
	write_uint(out, refuse->reason);
}

static void
write_done(GByteArray *out, const struct msg_done *done)
{
	write_uint(out, done->pool_id);
	write_uint(out, done->seq);
	write_uint(out, done->tokens);
	write_uint(out, done->send_seq);
	write_uint(out, done->outcome);
}

static void
write_report(GByteArray *out, const struct msg_report *report)
{
	write_uint(out, report->stamp_ms);
	write_uint(out, report->echo_ms);
	for (int kind = 0; kind < RESOURCE_KIND_COUNT; kind++) {
		write_uint(out, report->freshness[kind].version);
		write_uint(out, report->freshness[kind].age_ms);
	}
	write_uint(out, report->has_accounts);
	write_token(out, mpack_pack_array(report->accounts_count));
	for (uint32_t i = 0; i < report->accounts_count; i++) {
		write_token(out, mpack_pack_array(LOAD_ACCOUNT_FIELDS));
		write_uint(out, report->accounts[i].account_id);
		write_uint(out, report->accounts[i].asked_tokens);
		write_uint(out, report->accounts[i].served_tokens);
	}
}

static void
write_place_request(GByteArray *out, const struct msg_place_request *request)
{
	write_uint(out, request->attempt_id);
	write_uint(out, request->pool_id);
	write_uint(out, request->account_id);
	write_uint(out, request->request_hash);
	write_token(out, mpack_pack_array(request->segments_count));
	for (uint32_t i = 0; i < request->segments_count; i++) {
		write_token(out, mpack_pack_array(PROMPT_SEGMENT_FIELDS));
		write_uint(out, request->segments[i].segment_id);
		write_uint(out, request->segments[i].tokens);
	}
	write_token(out, mpack_pack_array(request->tried_count));
	for (uint32_t i = 0; i < request->tried_count; i++)
		write_uint(out, request->tried_ids[i]);
	write_uint(out, request->prompt_tokens);
	write_uint(out, request->response_tokens);
	write_uint(out, request->latency_target_ms);
	write_uint(out, request->remaining_ms);
	write_uint(out, request->asked_before);
}

static void
write_placement(GByteArray *out, const struct msg_placement *placement)
{
	write_uint(out, placement->attempt_id);
	write_uint(out, placement->endpoint_id);
	write_uint(out, placement->prefill_tokens);
	write_uint(out, placement->kv_tokens);
	write_uint(out, placement->retry_after_ms);
	write_uint(out, placement->rejection_hold_ms);
	write_uint(out, placement->backlog_ms);
	write_uint(out, placement->prefill_ms);
	write_uint(out, placement->first_token_ms);
	write_uint(out, placement->admission_limit_ms);
	write_uint(out, placement->running_count);
	write_uint(out, placement->share_permille);
	write_uint(out, placement->limit_per_1000_s);
	write_uint(out, placement->start);
	write_uint(out, placement->reason);
	write_uint(out, placement->over_share);
}

static void
write_attempt_events(GByteArray *out, const struct msg_attempt_events *events)
{
	write_token(out, mpack_pack_array(events->count));
	for (uint32_t i = 0; i < events->count; i++) {
		const struct attempt_event *event = &events->items[i];

		write_token(out, mpack_pack_array(ATTEMPT_EVENT_FIELDS));
		write_uint(out, event->attempt_id);
		write_uint(out, event->kind);
		write_uint(out, event->outcome);
		write_uint(out, event->taken_ms);
		write_uint(out, event->limit_per_1000_s);
		write_uint(out, event->pause_ms);
		write_uint(out, event->leaving);
	}
}

static void
write_running_attempts(GByteArray *out,
    const struct msg_running_attempts *attempts)
{
	write_token(out, mpack_pack_array(attempts->count));
	for (uint32_t i = 0; i < attempts->count; i++) {
		write_token(out, mpack_pack_array(RUNNING_ATTEMPT_FIELDS));
		write_uint(out, attempts->items[i].attempt_id);
		write_uint(out, attempts->items[i].endpoint_id);
		write_uint(out, attempts->items[i].prefill_tokens);
		write_uint(out, attempts->items[i].kv_tokens);
	}
}

static void
write_crash_record(GByteArray *out, const struct crash_record *record)
{
	write_token(out, mpack_pack_array(CRASH_RECORD_FIELDS));
	write_uint(out, record->segment_id);
	write_token(out, mpack_pack_array(record->crashes_count));
	for (uint32_t i = 0; i < record->crashes_count; i++)
		write_uint(out, record->crash_ids[i]);
	write_uint(out, record->failed_trials_count);
	write_uint(out, record->epoch);
	write_uint(out, record->age_ms);
	write_uint(out, record->depth);
	write_uint(out, record->cleared);
}

static void
write_crash_records(GByteArray *out, const struct msg_crash_records *records)
{
	write_token(out, mpack_pack_array(records->count));
	for (uint32_t i = 0; i < records->count; i++)
		write_crash_record(out, &records->items[i]);
}

static void
write_endpoint_limits(GByteArray *out, const struct msg_endpoint_limits *limits)
{
	write_token(out, mpack_pack_array(limits->count));
	for (uint32_t i = 0; i < limits->count; i++) {
		write_token(out, mpack_pack_array(REPORTED_LIMIT_FIELDS));
		write_uint(out, limits->items[i].endpoint_id);
		write_uint(out, limits->items[i].per_1000_s);
		write_uint(out, limits->items[i].age_ms);
	}
}

static void
write_cancel(GByteArray *out, const struct msg_cancel *cancel)
{
	write_uint(out, cancel->pool_id);
	write_uint(out, cancel->seq);
	write_uint(out, cancel->send_seq);
	write_uint(out, cancel->endpoint_id);
	write_uint(out, cancel->grant_seq);
}

static void
write_sync(GByteArray *out, const struct msg_sync *sync)
{
	write_uint(out, sync->pool_id);
	write_uint(out, sync->epoch);
	write_uint(out, sync->wants_report);
}

static void
write_stale_owner(GByteArray *out, const struct msg_stale_owner *stale)
{
	write_uint(out, stale->pool_id);
	write_uint(out, stale->epoch_seen);
	write_uint(out, stale->owner_seen);
}

static void
write_body(GByteArray *out, const struct msg *msg)
{
	switch (msg->type) {
	case MSG_HEARTBEAT:
	case MSG_HEARTBEAT_ACK:
	case MSG_PROBE_REQUEST:
	case MSG_GOSSIP:
	case MSG_JOIN:
		write_heartbeat(out, &msg->u.heartbeat);
		break;
	case MSG_MEMBER_LIST:
		write_member_list(out, &msg->u.member_list);
		break;
	case MSG_SLOT_REQUEST:
		write_slot_request(out, &msg->u.slot_request);
		break;
	case MSG_CANCEL:
		write_cancel(out, &msg->u.cancel);
		break;
	case MSG_DONE:
		write_done(out, &msg->u.done);
		break;
	case MSG_REQUEST_REPORT:
		write_request_report(out, &msg->u.request_report);
		break;
	case MSG_SYNC:
		write_sync(out, &msg->u.sync);
		break;
	case MSG_GRANT:
		write_grant(out, &msg->u.grant);
		break;
	case MSG_REFUSE:
		write_refusal(out, &msg->u.refuse);
		break;
	case MSG_STALE_OWNER:
		write_stale_owner(out, &msg->u.stale_owner);
		break;
	case MSG_TABLES_ANNOUNCE:
	case MSG_TABLES_PULL:
		write_uint(out, msg->u.versions.routes_version);
		write_uint(out, msg->u.versions.pools_version);
		break;
	case MSG_TABLES_DATA:
		write_uint(out, msg->u.tables_data.kind);
		write_uint(out, msg->u.tables_data.version);
		write_text(out, msg->u.tables_data.text,
		    msg->u.tables_data.text_bytes);
		break;
	case MSG_REPORT:
		write_report(out, &msg->u.report);
		break;
	case MSG_CRASH_RECORDS:
		write_crash_records(out, &msg->u.crash_records);
		break;
	case MSG_ENDPOINT_LIMITS:
		write_endpoint_limits(out, &msg->u.endpoint_limits);
		break;
	case MSG_PLACE_REQUEST:
		write_place_request(out, &msg->u.place_request);
		break;
	case MSG_PLACEMENT:
		write_placement(out, &msg->u.placement);
		break;
	case MSG_ATTEMPT_EVENTS:
		write_attempt_events(out, &msg->u.attempt_events);
		break;
	case MSG_RUNNING_ATTEMPTS:
		write_running_attempts(out, &msg->u.running_attempts);
		break;
	case MSG_TYPE_COUNT:
		break;
	}
}

void
codec_encode(const struct msg *msg, GByteArray *out)
{
	write_uint(out, CODEC_VERSION);
	write_uint(out, msg->type);
	write_uint(out, msg->from_node_id);
	write_uint(out, msg->from_incarnation);
	write_body(out, msg);
}
