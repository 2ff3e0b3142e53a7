#include <string.h>

#include "common/codec.h"
#include "common/codec_dispatch.h"
#include "common/codec_format.h"
#include "common/codec_reader.h"

static void
read_report_item(struct reader *reader, const struct msg_request_report *report,
    struct report_item *item)
{
	uint32_t field_count = report->full ? REPORT_ITEM_FIELDS
					    : REPORT_BRIEF_ITEM_FIELDS;

	if (reader_count(reader, field_count) != field_count)
		reader->failed = true;
	item->seq = report->seq_max - reader_uint(reader, UINT64_MAX);
	item->tokens = reader_uint(reader, UINT32_MAX);
	item->state = (uint8_t)reader_uint(reader, REPORT_RUNNING);
	if (!report->full)
		return;
	item->account_id = reader_uint(reader, UINT64_MAX);
	item->endpoint_id = reader_uint(reader, UINT64_MAX);
	item->prefix_hash = reader_uint(reader, UINT64_MAX);
	item->estimate_tokens = (uint32_t)reader_uint(reader, UINT32_MAX);
}

static void
read_request_report(struct reader *reader, struct msg_request_report *report)
{
	struct report_vtime *vtimes;
	struct report_item *items;

	report->pool_id = reader_uint(reader, UINT64_MAX);
	report->epoch_seen = reader_uint(reader, UINT64_MAX);
	report->owner_seen = reader_uint(reader, UINT64_MAX);
	report->send_seq = reader_uint(reader, UINT64_MAX);
	report->seq_max = reader_uint(reader, UINT64_MAX);
	report->full = (uint8_t)reader_uint(reader, 1);
	report->wants_ack = (uint8_t)reader_uint(reader, 1);
	report->item_count = reader_count(reader, REPORT_ITEMS_MAX_COUNT);
	items = g_new0(struct report_item, report->item_count);
	report->items = items;
	for (uint32_t i = 0; i < report->item_count && !reader->failed; i++)
		read_report_item(reader, report, &items[i]);
	report->vtime_count = reader_count(reader, REPORT_ITEMS_MAX_COUNT);
	vtimes = g_new0(struct report_vtime, report->vtime_count);
	report->vtimes = vtimes;
	for (uint32_t i = 0; i < report->vtime_count && !reader->failed; i++) {
		if (reader_count(reader, REPORT_VTIME_FIELDS) !=
		    REPORT_VTIME_FIELDS)
			reader->failed = true;
		vtimes[i].account_id = reader_uint(reader, UINT64_MAX);
		vtimes[i].vtime = reader_int(reader);
	}
}

static void
read_member_update(struct reader *reader, struct member_update *update)
{
	update->node_id = reader_uint(reader, UINT64_MAX);
	reader_text(reader, update->address, sizeof(update->address));
	reader_text(reader, update->domain, sizeof(update->domain));
	update->incarnation = reader_uint(reader, UINT64_MAX);
	update->revision = (uint32_t)reader_uint(reader, UINT32_MAX);
	update->state = (uint8_t)reader_uint(reader, MEMBER_DOWN);
	update->flags = (uint8_t)reader_uint(reader, MEMBER_FLAGS_MAX);
}

static void
read_heartbeat(struct reader *reader, struct msg_heartbeat *heartbeat)
{
	heartbeat->probe_seq = reader_uint(reader, UINT64_MAX);
	heartbeat->target_node_id = reader_uint(reader, UINT64_MAX);
	read_member_update(reader, &heartbeat->self);
	heartbeat->routes_version = reader_uint(reader, UINT64_MAX);
	heartbeat->pools_version = reader_uint(reader, UINT64_MAX);
	heartbeat->updates_count = reader_count(reader,
	    GOSSIP_UPDATES_MAX_COUNT);
	for (uint32_t i = 0; i < heartbeat->updates_count; i++)
		read_member_update(reader, &heartbeat->updates[i]);
	heartbeat->versions_count = reader_count(reader,
	    GOSSIP_VERSIONS_MAX_COUNT);
	for (uint32_t i = 0; i < heartbeat->versions_count; i++) {
		struct member_versions *versions = &heartbeat->versions[i];
		versions->node_id_low = (uint32_t)reader_uint(reader,
		    UINT32_MAX);
		versions->incarnation_low = (uint32_t)reader_uint(reader,
		    UINT32_MAX);
		versions->routes_version = heartbeat->routes_version +
		    (uint64_t)reader_int(reader);
		versions->pools_version = heartbeat->pools_version +
		    (uint64_t)reader_int(reader);
	}
}

static void
read_member_list(struct reader *reader, struct msg_member_list *list)
{
	struct member_update *items;

	list->item_count = reader_count(reader, MEMBERS_MAX_COUNT);
	items = g_new0(struct member_update, list->item_count);
	list->items = items;
	for (uint32_t i = 0; i < list->item_count && !reader->failed; i++)
		read_member_update(reader, &items[i]);
}

static void
read_slot_request(struct reader *reader, struct msg_slot_request *request)
{
	request->pool_id = reader_uint(reader, UINT64_MAX);
	request->account_id = reader_uint(reader, UINT64_MAX);
	request->seq = reader_uint(reader, UINT64_MAX);
	request->prefix_hash = reader_uint(reader, UINT64_MAX);
	request->avoid_endpoint_id = reader_uint(reader, UINT64_MAX);
	request->estimate_tokens = (uint32_t)reader_uint(reader, UINT32_MAX);
}

static void
read_grant(struct reader *reader, struct msg_grant *grant)
{
	grant->pool_id = reader_uint(reader, UINT64_MAX);
	grant->epoch = reader_uint(reader, UINT64_MAX);
	grant->seq = reader_uint(reader, UINT64_MAX);
	grant->endpoint_id = reader_uint(reader, UINT64_MAX);
	grant->account_vtime = reader_int(reader);
	grant->grant_seq = reader_uint(reader, UINT64_MAX);
}

static void
read_refusal(struct reader *reader, struct msg_refuse *refuse)
{
	refuse->pool_id = reader_uint(reader, UINT64_MAX);
	refuse->epoch = reader_uint(reader, UINT64_MAX);
	refuse->seq = reader_uint(reader, UINT64_MAX);
	refuse->retry_after_ms = (uint32_t)reader_uint(reader, UINT32_MAX);
	refuse->reason = (uint8_t)reader_uint(reader, REFUSE_REASON_COUNT - 1);
}

static void
read_tables_data(struct reader *reader, struct msg_tables_data *data)
{
	const char *text = "";

	data->kind = (uint8_t)reader_uint(reader, TABLE_KIND_COUNT - 1);
	data->version = reader_uint(reader, UINT64_MAX);
	data->text_bytes = (uint32_t)reader_bytes(reader,
	    CODEC_MESSAGE_MAX_BYTES, &text);
	data->text = g_strndup(text, data->text_bytes);
}

static void
read_cancel(struct reader *reader, struct msg_cancel *cancel)
{
	cancel->pool_id = reader_uint(reader, UINT64_MAX);
	cancel->seq = reader_uint(reader, UINT64_MAX);
	cancel->send_seq = reader_uint(reader, UINT64_MAX);
	cancel->endpoint_id = reader_uint(reader, UINT64_MAX);
	cancel->grant_seq = reader_uint(reader, UINT64_MAX);
}

static void
read_done(struct reader *reader, struct msg_done *done)
{
	done->pool_id = reader_uint(reader, UINT64_MAX);
	done->seq = reader_uint(reader, UINT64_MAX);
	done->tokens = reader_uint(reader, UINT32_MAX);
	done->send_seq = reader_uint(reader, UINT64_MAX);
	done->outcome = (uint8_t)reader_uint(reader, DONE_OUTCOME_COUNT - 1);
}

static void
read_sync(struct reader *reader, struct msg_sync *sync)
{
	sync->pool_id = reader_uint(reader, UINT64_MAX);
	sync->epoch = reader_uint(reader, UINT64_MAX);
	sync->wants_report = (uint8_t)reader_uint(reader, 1);
}

static void
read_body(struct reader *reader, struct msg *msg)
{
	switch (msg->type) {
	case MSG_HEARTBEAT:
	case MSG_HEARTBEAT_ACK:
	case MSG_PROBE_REQUEST:
	case MSG_GOSSIP:
	case MSG_JOIN:
		read_heartbeat(reader, &msg->u.heartbeat);
		break;
	case MSG_MEMBER_LIST:
		read_member_list(reader, &msg->u.member_list);
		break;
	case MSG_SLOT_REQUEST:
		read_slot_request(reader, &msg->u.slot_request);
		break;
	case MSG_CANCEL:
		read_cancel(reader, &msg->u.cancel);
		break;
	case MSG_DONE:
		read_done(reader, &msg->u.done);
		break;
	case MSG_REQUEST_REPORT:
		read_request_report(reader, &msg->u.request_report);
		break;
	case MSG_SYNC:
		read_sync(reader, &msg->u.sync);
		break;
	case MSG_GRANT:
		read_grant(reader, &msg->u.grant);
		break;
	case MSG_REFUSE:
		read_refusal(reader, &msg->u.refuse);
		break;
	case MSG_STALE_OWNER:
		msg->u.stale_owner.pool_id = reader_uint(reader, UINT64_MAX);
		msg->u.stale_owner.epoch_seen = reader_uint(reader, UINT64_MAX);
		msg->u.stale_owner.owner_seen = reader_uint(reader, UINT64_MAX);
		break;
	case MSG_TABLES_ANNOUNCE:
	case MSG_TABLES_PULL:
		msg->u.versions.routes_version = reader_uint(reader,
		    UINT64_MAX);
		msg->u.versions.pools_version = reader_uint(reader, UINT64_MAX);
		break;
	case MSG_TABLES_DATA:
		read_tables_data(reader, &msg->u.tables_data);
		break;
	default:
		codec_read_dispatch(reader, msg);
		break;
	}
}

static bool
read_header(struct reader *reader, const void *bytes, size_t length_bytes,
    struct msg *msg)
{
	memset(reader, 0, sizeof(*reader));
	memset(msg, 0, sizeof(*msg));
	reader->bytes = bytes;
	reader->remaining_bytes = length_bytes;
	mpack_tokbuf_init(&reader->tokbuf);
	if (length_bytes > CODEC_MESSAGE_MAX_BYTES ||
	    reader_uint(reader, UINT32_MAX) != CODEC_VERSION)
		return false;
	msg->type = (enum msg_type)reader_uint(reader, MSG_TYPE_COUNT - 1);
	msg->from_node_id = reader_uint(reader, UINT64_MAX);
	msg->from_incarnation = reader_uint(reader, UINT64_MAX);
	return !reader->failed;
}

bool
codec_decode_sender(const void *bytes, size_t length_bytes,
    uint64_t *from_node_id)
{
	struct reader reader;
	struct msg msg;

	if (!read_header(&reader, bytes, length_bytes, &msg))
		return false;
	*from_node_id = msg.from_node_id;
	return true;
}

bool
codec_decode(const void *bytes, size_t length_bytes, struct msg *msg)
{
	struct reader reader;

	if (!read_header(&reader, bytes, length_bytes, msg))
		return false;
	read_body(&reader, msg);
	if (!reader.failed && reader.remaining_bytes == 0)
		return true;
	codec_release(msg);
	return false;
}

void
codec_release(struct msg *msg)
{
	if (msg->type == MSG_REQUEST_REPORT) {
		g_free((gpointer)msg->u.request_report.items);
		g_free((gpointer)msg->u.request_report.vtimes);
		msg->u.request_report.items = NULL;
		msg->u.request_report.vtimes = NULL;
	} else if (msg->type == MSG_MEMBER_LIST) {
		g_free((gpointer)msg->u.member_list.items);
		msg->u.member_list.items = NULL;
	} else if (msg->type == MSG_REPORT) {
		g_free((gpointer)msg->u.report.accounts);
		msg->u.report.accounts = NULL;
	} else if (msg->type == MSG_ATTEMPT_EVENTS) {
		g_free((gpointer)msg->u.attempt_events.items);
		msg->u.attempt_events.items = NULL;
	} else if (msg->type == MSG_RUNNING_ATTEMPTS) {
		g_free((gpointer)msg->u.running_attempts.items);
		msg->u.running_attempts.items = NULL;
	} else if (msg->type == MSG_CRASH_RECORDS) {
		g_free((gpointer)msg->u.crash_records.items);
		msg->u.crash_records.items = NULL;
	} else if (msg->type == MSG_ENDPOINT_LIMITS) {
		g_free((gpointer)msg->u.endpoint_limits.items);
		msg->u.endpoint_limits.items = NULL;
	} else if (msg->type == MSG_TABLES_DATA) {
		g_free((gpointer)msg->u.tables_data.text);
		msg->u.tables_data.text = NULL;
	}
}
