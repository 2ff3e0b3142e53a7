#include "bamboorudderd/idempotency.h"

#include <string.h>

#include "bamboorudderd/attempt.h"
#include "common/digest.h"
#include "common/metric.h"

#define RETRY_AFTER_MS 1000u

/* A request with an idempotency key and its claim. */
struct keyed_request {
	struct exchange *exchange;
	struct claimstore *store;
	struct claim claim;
	char object_name[CLAIM_NAME_MAX_BYTES];
	struct claim_record new_record; /* to be written */
	struct claim_record found_record; /* last record read */
	struct attempts attempts;
	enum attempts_outcome outcome;
	enum claim_step step;
};

static uint64_t
wall_now_ms(const struct keyed_request *request)
{
	return clk_wall_ms(&request->store->clk);
}

static void
set_fingerprint(const struct exchange *exchange, char *out)
{
	GString *text = g_string_new(exchange->info->request_method);

	g_string_append_printf(text, " %s\n", exchange->target);
	g_string_append_len(text, exchange->body, (gssize)exchange->body_bytes);
	digest_sha256_hex_bytes(text->str, text->len, out);
	g_string_free(text, TRUE);
}

static void
keyed_request_init(struct keyed_request *request, struct exchange *exchange)
{
	struct claim_config config = exchange->frontend->claims.config;
	char *attempt_id = g_uuid_string_random();

	memset(request, 0, sizeof(*request));
	request->exchange = exchange;
	request->store = &exchange->frontend->claims;
	claim_record_init(&request->new_record);
	claim_record_init(&request->found_record);
	request->new_record.response.body_kept = true;
	g_strlcpy(config.attempt_id, attempt_id, sizeof(config.attempt_id));
	set_fingerprint(exchange, config.fingerprint);
	claimstore_object_name(exchange->route->account,
	    exchange->idempotency_key, request->object_name);
	memcpy(request->new_record.metadata.attempt_id, config.attempt_id,
	    sizeof(config.attempt_id));
	memcpy(request->new_record.metadata.fingerprint, config.fingerprint,
	    sizeof(config.fingerprint));
	request->new_record.node_id = exchange->frontend->control->members
					  .config.self.node_id;
	request->step = claim_init(&request->claim, &config,
	    wall_now_ms(request));
	g_free(attempt_id);
}

static void
keyed_request_finish(struct keyed_request *request)
{
	claim_record_finish(&request->new_record);
	claim_record_finish(&request->found_record);
}

static struct claim_event
write_state(struct keyed_request *request, enum claim_state state)
{
	request->new_record.metadata.state = state;
	request->new_record.metadata.changed_at_ms = state == CLAIM_CLAIMED
	    ? request->claim.claimed_at_ms
	    : wall_now_ms(request);
	return claimstore_write(request->store, request->object_name,
	    &request->new_record, request->claim.version);
}

static struct claim_event
read_claim(struct keyed_request *request)
{
	claim_record_finish(&request->found_record);
	claim_record_init(&request->found_record);
	return claimstore_read(request->store, request->object_name,
	    &request->found_record);
}

/* Carries out steps until one is not a store call. */
static void
run_store_steps(struct keyed_request *request)
{
	struct claim_event event;

	while (request->step <= CLAIM_STEP_REMOVE) {
		switch (request->step) {
		case CLAIM_STEP_CREATE:
		case CLAIM_STEP_TAKE_OVER:
			event = write_state(request, CLAIM_CLAIMED);
			break;
		case CLAIM_STEP_MARK_SENT:
			event = write_state(request, CLAIM_SENT);
			break;
		case CLAIM_STEP_RECORD_DONE:
			event = write_state(request, CLAIM_DONE);
			break;
		case CLAIM_STEP_RECORD_UNKNOWN:
			event = write_state(request, CLAIM_UNKNOWN);
			break;
		case CLAIM_STEP_REMOVE:
			event = claimstore_remove(request->store,
			    request->object_name, request->claim.version);
			break;
		default:
			event = read_claim(request);
			break;
		}
		request->step = claim_handle(&request->claim, &event,
		    wall_now_ms(request));
	}
}

static void
report_event(struct keyed_request *request, enum claim_event_type type)
{
	struct claim_event event = { .type = type };

	request->step = claim_handle(&request->claim, &event,
	    wall_now_ms(request));
	run_store_steps(request);
}

/* Marks the claim as sent. @return false if the request must not be sent */
static bool
before_send(void *context)
{
	struct keyed_request *request = context;

	report_event(request, CLAIM_EVENT_GRANTED);
	return request->step == CLAIM_STEP_SEND;
}

static void
run_request(struct keyed_request *request)
{
	request->attempts = (struct attempts){ .exchange = request->exchange,
		.before_send = before_send,
		.context = request,
		.recorded_response = &request->new_record.response };
	request->outcome = attempts_run(&request->attempts);
	switch (request->outcome) {
	case ATTEMPTS_COMPLETE:
		report_event(request, CLAIM_EVENT_RESPONSE);
		break;
	case ATTEMPTS_NOT_RUN:
		report_event(request, CLAIM_EVENT_NOT_RUN);
		break;
	case ATTEMPTS_NO_SLOT:
		report_event(request,
		    request->claim.was_sent ? CLAIM_EVENT_NOT_RUN
					    : CLAIM_EVENT_NOT_GRANTED);
		break;
	case ATTEMPTS_CANCELLED:
		break;
	default:
		report_event(request, CLAIM_EVENT_NO_RESPONSE);
		break;
	}
}

static void
replay_response(struct keyed_request *request)
{
	struct mg_connection *connection = request->exchange->connection;
	const struct claim_response *response = &request->found_record.response;
	struct response_head head;

	metric_add(METRIC_CLAIMS_REPLAYED, 1);
	response_head_init(&head, connection, response->status);
	response_head_add_lines(&head, response->headers->str);
	response_head_add(&head, HEADER_REPLAY, "true");
	response_head_add(&head, HEADER_REQUEST_ID,
	    request->exchange->request_id);
	if (response->status != 204 && response->status != 304)
		response_head_add_number(&head, "Content-Length",
		    response->body->len);
	response_head_send(&head, response->body->str, response->body->len);
}

static void
respond_to_duplicate(struct keyed_request *request)
{
	if (request->found_record.response.body_kept)
		replay_response(request);
	else
		exchange_send_error(request->exchange, 409,
		    "answer_not_recorded",
		    "the request ran; its answer was too long to be recorded",
		    RUN_UNKNOWN, 0);
}

/* Responds to the caller unless an endpoint's response was forwarded. */
static void
send_response(struct keyed_request *request)
{
	struct exchange *exchange = request->exchange;

	switch (request->step) {
	case CLAIM_STEP_REPLAY:
		respond_to_duplicate(request);
		break;
	case CLAIM_STEP_IN_PROGRESS:
		metric_add(METRIC_CLAIMS_CONFLICTS, 1);
		exchange_send_error(exchange, 409, "in_progress",
		    "another call with this idempotency key is in progress",
		    RUN_UNKNOWN, RETRY_AFTER_MS);
		break;
	case CLAIM_STEP_OUTCOME_UNKNOWN:
		exchange_send_error(exchange, 409, "outcome_unknown",
		    "a call with this idempotency key may have run",
		    RUN_UNKNOWN, 0);
		break;
	case CLAIM_STEP_KEY_REUSED:
		exchange_send_error(exchange, 422, "key_reused",
		    "the idempotency key belongs to another request",
		    RUN_NOT_RUN, 0);
		break;
	case CLAIM_STEP_STORE_UNAVAILABLE:
		exchange_send_error(exchange, 503, "claim_store_unavailable",
		    "this call was not run: its claim could not be written",
		    RUN_NOT_RUN, RETRY_AFTER_MS);
		break;
	default:
		attempts_send_error(&request->attempts, request->outcome);
		break;
	}
}

void
idempotency_run(struct exchange *exchange)
{
	struct keyed_request request;

	keyed_request_init(&request, exchange);
	run_store_steps(&request);
	if (request.step == CLAIM_STEP_ACQUIRE_SLOT)
		run_request(&request);
	send_response(&request);
	keyed_request_finish(&request);
}
