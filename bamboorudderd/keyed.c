#include "bamboorudderd/keyed.h"

#include <string.h>

#include "bamboorudderd/attempt.h"
#include "common/digest.h"
#include "common/metric.h"

#define RETRY_AFTER_MS 1000u
#define NUMBER_TEXT_BYTES 24

/* One keyed request with its claim. */
struct keyed {
	struct exchange *exchange;
	struct claimstore *store;
	struct claim claim;
	char name[CLAIM_NAME_MAX_BYTES];
	struct claim_record own; /* what this attempt writes */
	struct claim_record found; /* what it has read */
	struct attempts attempts;
	enum attempts_end end;
	enum claim_step step;
};

static uint64_t
now_ms(const struct keyed *keyed)
{
	return clk_wall_ms(&keyed->store->clk);
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
keyed_init(struct keyed *keyed, struct exchange *exchange)
{
	struct claim_config config = exchange->front->claims.config;
	char *attempt_id = g_uuid_string_random();

	memset(keyed, 0, sizeof(*keyed));
	keyed->exchange = exchange;
	keyed->store = &exchange->front->claims;
	claim_record_init(&keyed->own);
	claim_record_init(&keyed->found);
	keyed->own.response.body_kept = true;
	g_strlcpy(config.attempt_id, attempt_id, sizeof(config.attempt_id));
	set_fingerprint(exchange, config.fingerprint);
	claimstore_name(exchange->route->account, exchange->idempotency_key,
	    keyed->name);
	memcpy(keyed->own.metadata.attempt_id, config.attempt_id,
	    sizeof(config.attempt_id));
	memcpy(keyed->own.metadata.fingerprint, config.fingerprint,
	    sizeof(config.fingerprint));
	keyed->own.node_id = exchange->front->control->members.config.self
				 .node_id;
	keyed->step = claim_init(&keyed->claim, &config, now_ms(keyed));
	g_free(attempt_id);
}

static void
keyed_finish(struct keyed *keyed)
{
	claim_record_finish(&keyed->own);
	claim_record_finish(&keyed->found);
}

static struct claim_event
write_state(struct keyed *keyed, enum claim_state state)
{
	keyed->own.metadata.state = state;
	keyed->own.metadata.changed_at_ms = state == CLAIM_CLAIMED
	    ? keyed->claim.claimed_at_ms
	    : now_ms(keyed);
	return claimstore_write(keyed->store, keyed->name, &keyed->own,
	    keyed->claim.version);
}

static struct claim_event
read_claim(struct keyed *keyed)
{
	claim_record_finish(&keyed->found);
	claim_record_init(&keyed->found);
	return claimstore_read(keyed->store, keyed->name, &keyed->found);
}

/* Makes store calls until another kind of step comes. */
static void
run_store_steps(struct keyed *keyed)
{
	struct claim_event event;

	while (keyed->step <= CLAIM_STEP_REMOVE) {
		switch (keyed->step) {
		case CLAIM_STEP_CREATE:
		case CLAIM_STEP_TAKE_OVER:
			event = write_state(keyed, CLAIM_CLAIMED);
			break;
		case CLAIM_STEP_MARK_SENT:
			event = write_state(keyed, CLAIM_SENT);
			break;
		case CLAIM_STEP_RECORD_DONE:
			event = write_state(keyed, CLAIM_DONE);
			break;
		case CLAIM_STEP_RECORD_UNKNOWN:
			event = write_state(keyed, CLAIM_UNKNOWN);
			break;
		case CLAIM_STEP_REMOVE:
			event = claimstore_remove(keyed->store, keyed->name,
			    keyed->claim.version);
			break;
		default:
			event = read_claim(keyed);
			break;
		}
		keyed->step = claim_handle(&keyed->claim, &event,
		    now_ms(keyed));
	}
}

static void
tell(struct keyed *keyed, enum claim_event_type type)
{
	struct claim_event event = { .type = type };

	keyed->step = claim_handle(&keyed->claim, &event, now_ms(keyed));
	run_store_steps(keyed);
}

/* A slot is held: marks the claim as sent, or forbids sending. */
static bool
before_send(void *context)
{
	struct keyed *keyed = context;

	tell(keyed, CLAIM_EVENT_GRANTED);
	return keyed->step == CLAIM_STEP_SEND;
}

static void
run_request(struct keyed *keyed)
{
	keyed->attempts = (struct attempts){ .exchange = keyed->exchange,
		.before_send = before_send,
		.context = keyed,
		.record = &keyed->own.response };
	keyed->end = attempts_run(&keyed->attempts);
	switch (keyed->end) {
	case ATTEMPTS_ANSWERED:
		tell(keyed, CLAIM_EVENT_RESPONSE);
		break;
	case ATTEMPTS_NOT_RUN:
		tell(keyed, CLAIM_EVENT_NOT_RUN);
		break;
	case ATTEMPTS_NOT_GRANTED:
		tell(keyed,
		    keyed->claim.was_sent ? CLAIM_EVENT_NOT_RUN
					  : CLAIM_EVENT_NOT_GRANTED);
		break;
	case ATTEMPTS_STOPPED:
		break;
	default:
		tell(keyed, CLAIM_EVENT_NO_RESPONSE);
		break;
	}
}

static void
replay(struct keyed *keyed)
{
	struct mg_connection *connection = keyed->exchange->connection;
	const struct claim_response *answer = &keyed->found.response;
	char length[NUMBER_TEXT_BYTES];

	metric_add(METRIC_CLAIMS_REPLAYED, 1);
	g_snprintf(length, sizeof(length), "%zu", answer->body->len);
	mg_response_header_start(connection, (int)answer->status);
	if (answer->headers->len > 0)
		mg_response_header_add_lines(connection, answer->headers->str);
	mg_response_header_add(connection, HEADER_REPLAY, "true", -1);
	mg_response_header_add(connection, HEADER_REQUEST_ID,
	    keyed->exchange->request_id, -1);
	if (answer->status != 204 && answer->status != 304)
		mg_response_header_add(connection, "Content-Length", length,
		    -1);
	mg_response_header_send(connection);
	mg_write(connection, answer->body->str, answer->body->len);
}

static void
answer_done(struct keyed *keyed)
{
	if (keyed->found.response.body_kept)
		replay(keyed);
	else
		exchange_refuse(keyed->exchange, 409, "answer_not_recorded",
		    "the request ran; its answer was too long to be recorded",
		    RUN_UNKNOWN, 0);
}

/* Answers what no endpoint has answered. */
static void
answer(struct keyed *keyed)
{
	struct exchange *exchange = keyed->exchange;

	switch (keyed->step) {
	case CLAIM_STEP_REPLAY:
		answer_done(keyed);
		break;
	case CLAIM_STEP_IN_PROGRESS:
		metric_add(METRIC_CLAIMS_CONFLICTS, 1);
		exchange_refuse(exchange, 409, "in_progress",
		    "another call with this idempotency key is in progress",
		    RUN_UNKNOWN, RETRY_AFTER_MS);
		break;
	case CLAIM_STEP_OUTCOME_UNKNOWN:
		exchange_refuse(exchange, 409, "outcome_unknown",
		    "a call with this idempotency key may have run",
		    RUN_UNKNOWN, 0);
		break;
	case CLAIM_STEP_KEY_REUSED:
		exchange_refuse(exchange, 422, "key_reused",
		    "the idempotency key belongs to another request",
		    RUN_NOT_RUN, 0);
		break;
	case CLAIM_STEP_STORE_UNAVAILABLE:
		exchange_refuse(exchange, 503, "claim_store_unavailable",
		    "this call was not run: its claim could not be written",
		    RUN_NOT_RUN, RETRY_AFTER_MS);
		break;
	default:
		attempts_report(&keyed->attempts, keyed->end);
		break;
	}
}

void
keyed_run(struct exchange *exchange)
{
	struct keyed keyed;

	keyed_init(&keyed, exchange);
	run_store_steps(&keyed);
	if (keyed.step == CLAIM_STEP_ACQUIRE_SLOT)
		run_request(&keyed);
	answer(&keyed);
	keyed_finish(&keyed);
}
