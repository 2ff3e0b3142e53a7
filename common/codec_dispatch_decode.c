#include "common/codec_dispatch.h"
#include "common/codec_format.h"
#include "common/codec_reader.h"

static void
read_load_account(struct reader *reader, struct load_account *account)
{
	if (reader_count(reader, LOAD_ACCOUNT_FIELDS) != LOAD_ACCOUNT_FIELDS)
		reader->failed = true;
	account->account_id = reader_uint(reader, UINT64_MAX);
	account->asked_tokens = (uint32_t)reader_uint(reader, UINT32_MAX);
	account->served_tokens = (uint32_t)reader_uint(reader, UINT32_MAX);
}

static void
read_freshness(struct reader *reader, struct reported_freshness *freshness)
{
	freshness->version = reader_uint(reader, UINT64_MAX);
	freshness->age_ms = (uint32_t)reader_uint(reader, UINT32_MAX);
}

static void
read_report(struct reader *reader, struct msg_report *report)
{
	struct load_account *accounts;

	report->stamp = reader_uint(reader, UINT64_MAX);
	report->echo = reader_uint(reader, UINT64_MAX);
	for (int kind = 0; kind < RESOURCE_KIND_COUNT; kind++)
		read_freshness(reader, &report->freshness[kind]);
	report->has_accounts = (uint8_t)reader_uint(reader, 1);
	report->accounts_count = reader_count(reader, LOAD_ACCOUNTS_MAX_COUNT);
	accounts = g_new0(struct load_account, report->accounts_count);
	report->accounts = accounts;
	for (uint32_t i = 0; i < report->accounts_count; i++)
		read_load_account(reader, &accounts[i]);
}

static void
read_prompt_segment(struct reader *reader, struct prompt_segment *segment)
{
	if (reader_count(reader, PROMPT_SEGMENT_FIELDS) !=
	    PROMPT_SEGMENT_FIELDS)
		reader->failed = true;
	segment->segment_id = reader_uint(reader, UINT64_MAX);
	segment->tokens = (uint32_t)reader_uint(reader, UINT32_MAX);
}

static void
read_domain_delay(struct reader *reader, struct domain_delay *delay)
{
	if (reader_count(reader, DOMAIN_DELAY_FIELDS) != DOMAIN_DELAY_FIELDS)
		reader->failed = true;
	delay->domain_id = reader_uint(reader, UINT64_MAX);
	delay->round_trip_us = (uint32_t)reader_uint(reader, UINT32_MAX);
}

static void
read_place_request(struct reader *reader, struct msg_place_request *request)
{
	request->attempt_id = reader_uint(reader, UINT64_MAX);
	request->pool_id = reader_uint(reader, UINT64_MAX);
	request->account_id = reader_uint(reader, UINT64_MAX);
	request->request_hash = reader_uint(reader, UINT64_MAX);
	request->segments_count = reader_count(reader,
	    PROMPT_SEGMENTS_MAX_COUNT);
	for (uint32_t i = 0; i < request->segments_count; i++)
		read_prompt_segment(reader, &request->segments[i]);
	request->tried_count = reader_count(reader, TRIED_MAX_COUNT);
	for (uint32_t i = 0; i < request->tried_count; i++)
		request->tried_ids[i] = reader_uint(reader, UINT64_MAX);
	request->prompt_tokens = (uint32_t)reader_uint(reader, UINT32_MAX);
	request->response_tokens = (uint32_t)reader_uint(reader, UINT32_MAX);
	request->latency_target_ms = (uint32_t)reader_uint(reader, UINT32_MAX);
	request->remaining_ms = (uint32_t)reader_uint(reader, UINT32_MAX);
	request->asked_before = (uint8_t)reader_uint(reader, 1);
	request->body_bytes = (uint32_t)reader_uint(reader, UINT32_MAX);
	request->domain_id = reader_uint(reader, UINT64_MAX);
	request->delays.count = reader_count(reader, DOMAIN_DELAYS_MAX_COUNT);
	for (uint32_t i = 0; i < request->delays.count; i++)
		read_domain_delay(reader, &request->delays.items[i]);
}

static void
read_placement(struct reader *reader, struct msg_placement *placement)
{
	placement->attempt_id = reader_uint(reader, UINT64_MAX);
	placement->endpoint_id = reader_uint(reader, UINT64_MAX);
	reader_text(reader, placement->name, sizeof(placement->name));
	reader_text(reader, placement->address, sizeof(placement->address));
	placement->process_start_ms = reader_uint(reader, UINT64_MAX);
	placement->endpoint_revision = reader_uint(reader, UINT64_MAX);
	placement->prefill_tokens = reader_uint(reader, UINT32_MAX);
	placement->kv_tokens = reader_uint(reader, UINT32_MAX);
	placement->retry_after_ms = (uint32_t)reader_uint(reader, UINT32_MAX);
	placement->rejection_hold_ms = (uint32_t)reader_uint(reader,
	    UINT32_MAX);
	placement->backlog_ms = (uint32_t)reader_uint(reader, UINT32_MAX);
	placement->prefill_ms = (uint32_t)reader_uint(reader, UINT32_MAX);
	placement->first_token_ms = (uint32_t)reader_uint(reader, UINT32_MAX);
	placement->admission_limit_ms = (uint32_t)reader_uint(reader,
	    UINT32_MAX);
	placement->running_count = (uint32_t)reader_uint(reader, UINT32_MAX);
	placement->share_permille = (uint32_t)reader_uint(reader, UINT32_MAX);
	placement->limit_per_1000_s = (uint32_t)reader_uint(reader, UINT32_MAX);
	read_freshness(reader, &placement->list);
	placement->start = (uint8_t)reader_uint(reader, 1);
	placement->reason = (uint8_t)reader_uint(reader,
	    REFUSE_REASON_COUNT - 1);
	placement->over_share = (uint8_t)reader_uint(reader, 1);
	placement->crossing = (uint8_t)reader_uint(reader,
	    CROSSING_REASON_COUNT - 1);
}

static void
read_attempt_event(struct reader *reader, struct attempt_event *event)
{
	if (reader_count(reader, ATTEMPT_EVENT_FIELDS) != ATTEMPT_EVENT_FIELDS)
		reader->failed = true;
	event->attempt_id = reader_uint(reader, UINT64_MAX);
	event->kind = (uint8_t)reader_uint(reader,
	    ATTEMPT_EVENT_KIND_COUNT - 1);
	event->outcome = (uint8_t)reader_uint(reader, UINT8_MAX);
	event->taken_ms = (uint32_t)reader_uint(reader, UINT32_MAX);
	event->limit_per_1000_s = (uint32_t)reader_uint(reader, UINT32_MAX);
	event->pause_ms = (uint32_t)reader_uint(reader, UINT32_MAX);
	event->leaving = (uint8_t)reader_uint(reader, 1);
	event->pace_percent = (uint16_t)reader_uint(reader, UINT16_MAX);
}

static void
read_attempt_events(struct reader *reader, struct msg_attempt_events *events)
{
	struct attempt_event *items;

	events->count = reader_count(reader, ATTEMPTS_MAX_COUNT);
	items = g_new0(struct attempt_event, events->count);
	events->items = items;
	for (uint32_t i = 0; i < events->count && !reader->failed; i++)
		read_attempt_event(reader, &items[i]);
}

static void
read_running_attempts(struct reader *reader,
    struct msg_running_attempts *attempts)
{
	struct running_attempt *items;

	attempts->count = reader_count(reader, ATTEMPTS_MAX_COUNT);
	items = g_new0(struct running_attempt, attempts->count);
	attempts->items = items;
	for (uint32_t i = 0; i < attempts->count && !reader->failed; i++) {
		if (reader_count(reader, RUNNING_ATTEMPT_FIELDS) !=
		    RUNNING_ATTEMPT_FIELDS)
			reader->failed = true;
		items[i].attempt_id = reader_uint(reader, UINT64_MAX);
		items[i].endpoint_id = reader_uint(reader, UINT64_MAX);
		items[i].prefill_tokens = (uint32_t)reader_uint(reader,
		    UINT32_MAX);
		items[i].kv_tokens = (uint32_t)reader_uint(reader, UINT32_MAX);
	}
}

static void
read_crash_record(struct reader *reader, struct crash_record *record)
{
	if (reader_count(reader, CRASH_RECORD_FIELDS) != CRASH_RECORD_FIELDS)
		reader->failed = true;
	record->segment_id = reader_uint(reader, UINT64_MAX);
	record->crashes_count = reader_count(reader, CRASH_RECORD_IDS_COUNT);
	for (uint32_t i = 0; i < record->crashes_count; i++)
		record->crash_ids[i] = reader_uint(reader, UINT64_MAX);
	record->failed_trials_count = (uint32_t)reader_uint(reader, UINT32_MAX);
	record->epoch = (uint32_t)reader_uint(reader, UINT32_MAX);
	record->age_ms = (uint32_t)reader_uint(reader, UINT32_MAX);
	record->depth = (uint32_t)reader_uint(reader, UINT32_MAX);
	record->cleared = reader_uint(reader, 1) != 0;
}

static void
read_crash_records(struct reader *reader, struct msg_crash_records *records)
{
	struct crash_record *items;

	records->count = reader_count(reader, CRASH_RECORDS_MAX_COUNT);
	items = g_new0(struct crash_record, records->count);
	records->items = items;
	for (uint32_t i = 0; i < records->count; i++)
		read_crash_record(reader, &items[i]);
}

static void
read_reported_limit(struct reader *reader, struct reported_limit *limit)
{
	if (reader_count(reader, REPORTED_LIMIT_FIELDS) !=
	    REPORTED_LIMIT_FIELDS)
		reader->failed = true;
	limit->endpoint_id = reader_uint(reader, UINT64_MAX);
	limit->per_1000_s = (uint32_t)reader_uint(reader, UINT32_MAX);
	limit->age_ms = (uint32_t)reader_uint(reader, UINT32_MAX);
}

static void
read_endpoint_limits(struct reader *reader, struct msg_endpoint_limits *limits)
{
	struct reported_limit *items;

	limits->count = reader_count(reader, ENDPOINTS_MAX_COUNT);
	items = g_new0(struct reported_limit, limits->count);
	limits->items = items;
	for (uint32_t i = 0; i < limits->count; i++)
		read_reported_limit(reader, &items[i]);
}

static void
read_handoff_stop(struct reader *reader, struct msg_handoff_stop *stop)
{
	stop->elapsed_ms = (uint32_t)reader_uint(reader, UINT32_MAX);
	stop->grace_ms = (uint32_t)reader_uint(reader, UINT32_MAX);
}

void
codec_read_dispatch(struct reader *reader, struct msg *msg)
{
	switch (msg->type) {
	case MSG_REPORT:
		read_report(reader, &msg->u.report);
		break;
	case MSG_CRASH_RECORDS:
		read_crash_records(reader, &msg->u.crash_records);
		break;
	case MSG_ENDPOINT_LIMITS:
		read_endpoint_limits(reader, &msg->u.endpoint_limits);
		break;
	case MSG_PLACE_REQUEST:
		read_place_request(reader, &msg->u.place_request);
		break;
	case MSG_PLACEMENT:
		read_placement(reader, &msg->u.placement);
		break;
	case MSG_ATTEMPT_EVENTS:
		read_attempt_events(reader, &msg->u.attempt_events);
		break;
	case MSG_RUNNING_ATTEMPTS:
		read_running_attempts(reader, &msg->u.running_attempts);
		break;
	case MSG_HANDOFF_STOP:
		read_handoff_stop(reader, &msg->u.handoff_stop);
		break;
	default:
		reader->failed = true;
		break;
	}
}
