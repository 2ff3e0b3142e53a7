#include <mpack.h>
#include <string.h>

#include "common/codec.h"
#include "common/codec_dispatch.h"
#include "common/codec_format.h"
#include "common/codec_writer.h"

/* The seq is encoded relative to the newest one, as a small number. */
static void
write_report_item(GByteArray *out, const struct msg_request_report *report,
    const struct report_item *item)
{
	writer_token(out,
	    mpack_pack_array(
		report->full ? REPORT_ITEM_FIELDS : REPORT_BRIEF_ITEM_FIELDS));
	writer_uint(out, report->seq_max - item->seq);
	writer_uint(out, item->tokens);
	writer_uint(out, item->state);
	if (!report->full)
		return;
	writer_uint(out, item->account_id);
	writer_uint(out, item->endpoint_id);
	writer_uint(out, item->prefix_hash);
	writer_uint(out, item->estimate_tokens);
}

static void
write_request_report(GByteArray *out, const struct msg_request_report *report)
{
	writer_uint(out, report->pool_id);
	writer_uint(out, report->epoch_seen);
	writer_uint(out, report->owner_seen);
	writer_uint(out, report->send_seq);
	writer_uint(out, report->seq_max);
	writer_uint(out, report->full);
	writer_uint(out, report->wants_ack);
	writer_token(out, mpack_pack_array(report->item_count));
	for (uint32_t i = 0; i < report->item_count; i++)
		write_report_item(out, report, &report->items[i]);
	writer_token(out, mpack_pack_array(report->vtime_count));
	for (uint32_t i = 0; i < report->vtime_count; i++) {
		writer_token(out, mpack_pack_array(REPORT_VTIME_FIELDS));
		writer_uint(out, report->vtimes[i].account_id);
		writer_int(out, report->vtimes[i].vtime);
	}
}

static void
write_member_update(GByteArray *out, const struct member_update *update)
{
	writer_uint(out, update->node_id);
	writer_text(out, update->address, strlen(update->address));
	writer_text(out, update->domain, strlen(update->domain));
	writer_uint(out, update->incarnation);
	writer_uint(out, update->revision);
	writer_uint(out, update->state);
	writer_uint(out, update->flags);
}

/* Takes one byte for the common case of equal values: most members have the
 * versions of the sender in force. */
static void
write_difference(GByteArray *out, uint64_t value, uint64_t base)
{
	writer_int(out, (int64_t)(value - base));
}

static void
write_heartbeat(GByteArray *out, const struct msg_heartbeat *heartbeat)
{
	writer_uint(out, heartbeat->probe_seq);
	writer_uint(out, heartbeat->target_node_id);
	write_member_update(out, &heartbeat->self);
	writer_uint(out, heartbeat->routes_version);
	writer_uint(out, heartbeat->pools_version);
	writer_token(out, mpack_pack_array(heartbeat->updates_count));
	for (uint32_t i = 0; i < heartbeat->updates_count; i++)
		write_member_update(out, &heartbeat->updates[i]);
	writer_token(out, mpack_pack_array(heartbeat->versions_count));
	for (uint32_t i = 0; i < heartbeat->versions_count; i++) {
		const struct member_versions *item = &heartbeat->versions[i];
		writer_uint(out, item->node_id_low);
		writer_uint(out, item->incarnation_low);
		write_difference(out, item->routes_version,
		    heartbeat->routes_version);
		write_difference(out, item->pools_version,
		    heartbeat->pools_version);
	}
}

static void
write_member_list(GByteArray *out, const struct msg_member_list *list)
{
	writer_token(out, mpack_pack_array(list->item_count));
	for (uint32_t i = 0; i < list->item_count; i++)
		write_member_update(out, &list->items[i]);
}

static void
write_slot_request(GByteArray *out, const struct msg_slot_request *request)
{
	writer_uint(out, request->pool_id);
	writer_uint(out, request->account_id);
	writer_uint(out, request->seq);
	writer_uint(out, request->prefix_hash);
	writer_uint(out, request->avoid_endpoint_id);
	writer_uint(out, request->estimate_tokens);
}

static void
write_grant(GByteArray *out, const struct msg_grant *grant)
{
	writer_uint(out, grant->pool_id);
	writer_uint(out, grant->epoch);
	writer_uint(out, grant->seq);
	writer_uint(out, grant->endpoint_id);
	writer_int(out, grant->account_vtime);
	writer_uint(out, grant->grant_seq);
}

static void
write_refusal(GByteArray *out, const struct msg_refuse *refuse)
{
	writer_uint(out, refuse->pool_id);
	writer_uint(out, refuse->epoch);
	writer_uint(out, refuse->seq);
	writer_uint(out, refuse->retry_after_ms);
	writer_uint(out, refuse->reason);
}

static void
write_done(GByteArray *out, const struct msg_done *done)
{
	writer_uint(out, done->pool_id);
	writer_uint(out, done->seq);
	writer_uint(out, done->tokens);
	writer_uint(out, done->send_seq);
	writer_uint(out, done->outcome);
}

static void
write_cancel(GByteArray *out, const struct msg_cancel *cancel)
{
	writer_uint(out, cancel->pool_id);
	writer_uint(out, cancel->seq);
	writer_uint(out, cancel->send_seq);
	writer_uint(out, cancel->endpoint_id);
	writer_uint(out, cancel->grant_seq);
}

static void
write_sync(GByteArray *out, const struct msg_sync *sync)
{
	writer_uint(out, sync->pool_id);
	writer_uint(out, sync->epoch);
	writer_uint(out, sync->wants_report);
}

static void
write_stale_owner(GByteArray *out, const struct msg_stale_owner *stale)
{
	writer_uint(out, stale->pool_id);
	writer_uint(out, stale->epoch_seen);
	writer_uint(out, stale->owner_seen);
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
		writer_uint(out, msg->u.versions.routes_version);
		writer_uint(out, msg->u.versions.pools_version);
		break;
	case MSG_TABLES_DATA:
		writer_uint(out, msg->u.tables_data.kind);
		writer_uint(out, msg->u.tables_data.version);
		writer_text(out, msg->u.tables_data.text,
		    msg->u.tables_data.text_bytes);
		break;
	default:
		codec_write_dispatch(out, msg);
		break;
	}
}

void
codec_encode(const struct msg *msg, GByteArray *out)
{
	writer_uint(out, CODEC_VERSION);
	writer_uint(out, msg->type);
	writer_uint(out, msg->from_node_id);
	writer_uint(out, msg->from_incarnation);
	write_body(out, msg);
}
