#include "common/codec_dispatch.h"

#include <string.h>

#include "common/codec_format.h"
#include "common/codec_writer.h"

static void
write_freshness(GByteArray *out, const struct reported_freshness *freshness)
{
	writer_uint(out, freshness->version);
	writer_uint(out, freshness->age_ms);
}

static void
write_report(GByteArray *out, const struct msg_report *report)
{
	writer_uint(out, report->stamp);
	writer_uint(out, report->echo);
	for (int kind = 0; kind < RESOURCE_KIND_COUNT; kind++)
		write_freshness(out, &report->freshness[kind]);
	writer_uint(out, report->has_accounts);
	writer_token(out, mpack_pack_array(report->accounts_count));
	for (uint32_t i = 0; i < report->accounts_count; i++) {
		writer_token(out, mpack_pack_array(LOAD_ACCOUNT_FIELDS));
		writer_uint(out, report->accounts[i].account_id);
		writer_uint(out, report->accounts[i].asked_tokens);
		writer_uint(out, report->accounts[i].served_tokens);
	}
}

static void
write_place_request(GByteArray *out, const struct msg_place_request *request)
{
	writer_uint(out, request->attempt_id);
	writer_uint(out, request->pool_id);
	writer_uint(out, request->account_id);
	writer_uint(out, request->request_hash);
	writer_token(out, mpack_pack_array(request->segments_count));
	for (uint32_t i = 0; i < request->segments_count; i++) {
		writer_token(out, mpack_pack_array(PROMPT_SEGMENT_FIELDS));
		writer_uint(out, request->segments[i].segment_id);
		writer_uint(out, request->segments[i].tokens);
	}
	writer_token(out, mpack_pack_array(request->tried_count));
	for (uint32_t i = 0; i < request->tried_count; i++)
		writer_uint(out, request->tried_ids[i]);
	writer_uint(out, request->prompt_tokens);
	writer_uint(out, request->response_tokens);
	writer_uint(out, request->latency_target_ms);
	writer_uint(out, request->remaining_ms);
	writer_uint(out, request->asked_before);
	writer_uint(out, request->body_bytes);
	writer_uint(out, request->domain_id);
	writer_token(out, mpack_pack_array(request->delays.count));
	for (uint32_t i = 0; i < request->delays.count; i++) {
		writer_token(out, mpack_pack_array(DOMAIN_DELAY_FIELDS));
		writer_uint(out, request->delays.items[i].domain_id);
		writer_uint(out, request->delays.items[i].round_trip_us);
	}
}

static void
write_placement(GByteArray *out, const struct msg_placement *placement)
{
	writer_uint(out, placement->attempt_id);
	writer_uint(out, placement->endpoint_id);
	writer_text(out, placement->name, strlen(placement->name));
	writer_text(out, placement->address, strlen(placement->address));
	writer_uint(out, placement->process_start_ms);
	writer_uint(out, placement->endpoint_revision);
	writer_uint(out, placement->prefill_tokens);
	writer_uint(out, placement->kv_tokens);
	writer_uint(out, placement->retry_after_ms);
	writer_uint(out, placement->rejection_hold_ms);
	writer_uint(out, placement->backlog_ms);
	writer_uint(out, placement->prefill_ms);
	writer_uint(out, placement->first_token_ms);
	writer_uint(out, placement->admission_limit_ms);
	writer_uint(out, placement->running_count);
	writer_uint(out, placement->share_permille);
	writer_uint(out, placement->limit_per_1000_s);
	write_freshness(out, &placement->list);
	writer_uint(out, placement->start);
	writer_uint(out, placement->reason);
	writer_uint(out, placement->over_share);
	writer_uint(out, placement->crossing);
}

static void
write_attempt_events(GByteArray *out, const struct msg_attempt_events *events)
{
	writer_token(out, mpack_pack_array(events->count));
	for (uint32_t i = 0; i < events->count; i++) {
		const struct attempt_event *event = &events->items[i];

		writer_token(out, mpack_pack_array(ATTEMPT_EVENT_FIELDS));
		writer_uint(out, event->attempt_id);
		writer_uint(out, event->kind);
		writer_uint(out, event->outcome);
		writer_uint(out, event->taken_ms);
		writer_uint(out, event->limit_per_1000_s);
		writer_uint(out, event->pause_ms);
		writer_uint(out, event->leaving);
		writer_uint(out, event->pace_percent);
	}
}

static void
write_running_attempts(GByteArray *out,
    const struct msg_running_attempts *attempts)
{
	writer_token(out, mpack_pack_array(attempts->count));
	for (uint32_t i = 0; i < attempts->count; i++) {
		writer_token(out, mpack_pack_array(RUNNING_ATTEMPT_FIELDS));
		writer_uint(out, attempts->items[i].attempt_id);
		writer_uint(out, attempts->items[i].endpoint_id);
		writer_uint(out, attempts->items[i].prefill_tokens);
		writer_uint(out, attempts->items[i].kv_tokens);
	}
}

static void
write_crash_record(GByteArray *out, const struct crash_record *record)
{
	writer_token(out, mpack_pack_array(CRASH_RECORD_FIELDS));
	writer_uint(out, record->segment_id);
	writer_token(out, mpack_pack_array(record->crashes_count));
	for (uint32_t i = 0; i < record->crashes_count; i++)
		writer_uint(out, record->crash_ids[i]);
	writer_uint(out, record->failed_trials_count);
	writer_uint(out, record->epoch);
	writer_uint(out, record->age_ms);
	writer_uint(out, record->depth);
	writer_uint(out, record->cleared);
}

static void
write_crash_records(GByteArray *out, const struct msg_crash_records *records)
{
	writer_token(out, mpack_pack_array(records->count));
	for (uint32_t i = 0; i < records->count; i++)
		write_crash_record(out, &records->items[i]);
}

static void
write_endpoint_limits(GByteArray *out, const struct msg_endpoint_limits *limits)
{
	writer_token(out, mpack_pack_array(limits->count));
	for (uint32_t i = 0; i < limits->count; i++) {
		writer_token(out, mpack_pack_array(REPORTED_LIMIT_FIELDS));
		writer_uint(out, limits->items[i].endpoint_id);
		writer_uint(out, limits->items[i].per_1000_s);
		writer_uint(out, limits->items[i].age_ms);
	}
}

void
codec_write_dispatch(GByteArray *out, const struct msg *msg)
{
	switch (msg->type) {
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
	case MSG_HANDOFF_STOP:
		writer_uint(out, msg->u.handoff_stop.elapsed_ms);
		writer_uint(out, msg->u.handoff_stop.grace_ms);
		break;
	default:
		break;
	}
}
