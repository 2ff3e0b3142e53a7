#include "bamboorudderd/attempt.h"

#include "common/metric.h"

#define RETRY_AFTER_UNREACHED_MS 1000u

/* Error response for a request that was refused a slot. */
struct refusal {
	uint32_t status;
	const char *type;
	const char *message;
};

static const struct refusal refusals[REFUSE_REASON_COUNT] = {
	[REFUSE_NONE] = { 503, "no_endpoint", "the pool has no endpoint" },
	[REFUSE_QUEUE_FULL] = { 429, "queue_full",
	    "the client account has too many waiting requests" },
	[REFUSE_ACCOUNT_SHARE] = { 429, "account_over_share",
	    "the client account is over its share" },
	[REFUSE_DEADLINE] = { 503, "queue_timeout",
	    "no slot became free in time" },
	[REFUSE_NO_ENDPOINT] = { 503, "no_endpoint",
	    "the pool has no endpoint" },
	[REFUSE_SHUTDOWN] = { 503, "shutting_down", "this daemon shuts down" },
	[REFUSE_RETRY_BUDGET] = { 503, "retry_budget",
	    "no further attempt is allowed now" },
	[REFUSE_ENDPOINT_LIMIT] = { 503, "endpoint_limit",
	    "all endpoints are at their limits" },
	[REFUSE_CRASH_SUSPECT] = { 503, "prompt_suspect",
	    "requests with a part of this prompt crashed engines" },
};

static enum relay_outcome
relay_to_endpoint(struct attempts *attempts, struct ticket *ticket)
{
	struct exchange *exchange = attempts->exchange;
	const struct endpoint *endpoint = pool_find_endpoint(exchange->pool,
	    ticket->endpoint_id);
	struct relay relay = {
		.config = &exchange->frontend->timeouts,
		.caller = exchange->connection,
		.target = exchange->target,
		.request_id = exchange->request_id,
		.body = exchange->body,
		.body_bytes = exchange->body_bytes,
		.is_model = exchange->pool->kind == POOL_MODEL,
		.can_resume = exchange->pool->resume,
		.tokens = &ticket->tokens,
		.recorded_response = attempts->recorded_response,
	};

	if (endpoint == NULL)
		return RELAY_NOT_SENT;
	relay.address = endpoint->address;
	return relay_run(&relay);
}

static enum done_outcome
done_outcome_from_relay(enum relay_outcome outcome)
{
	if (outcome == RELAY_COMPLETE || outcome == RELAY_CALLER_DISCONNECTED)
		return DONE_COMPLETE;
	return outcome == RELAY_REFUSED ? DONE_REFUSED : DONE_FAILED;
}

static enum retry_cause
retry_cause_from_relay(enum relay_outcome outcome)
{
	switch (outcome) {
	case RELAY_NOT_SENT:
		return RETRY_NOT_SENT;
	case RELAY_REFUSED:
		return RETRY_REFUSED;
	case RELAY_NO_RESPONSE:
		return RETRY_NO_RESPONSE;
	default:
		return RETRY_FINISHED;
	}
}

static void
count_request(struct exchange *exchange)
{
	struct frontend *frontend = exchange->frontend;

	pthread_mutex_lock(&frontend->retry_mutex);
	retry_count_request(&frontend->retry, exchange->params.account_id);
	pthread_mutex_unlock(&frontend->retry_mutex);
}

static bool
may_retry(struct exchange *exchange, enum relay_outcome outcome,
    uint32_t attempts_count)
{
	struct frontend *frontend = exchange->frontend;
	bool allowed;

	pthread_mutex_lock(&frontend->retry_mutex);
	allowed = retry_allow(&frontend->retry, exchange->params.account_id,
	    retry_cause_from_relay(outcome), exchange->idempotent,
	    attempts_count);
	pthread_mutex_unlock(&frontend->retry_mutex);
	if (allowed)
		metric_add(METRIC_RETRIES, 1);
	return allowed;
}

/* Acquires a slot and makes an attempt. @return false if it made none */
static bool
acquire_and_run(struct attempts *attempts, bool first,
    enum relay_outcome *outcome, enum attempts_outcome *result)
{
	struct control *control = attempts->exchange->frontend->control;
	uint64_t start_us = clk_monotonic_us(&control->clk);
	struct ticket *ticket = control_acquire_slot(control,
	    &attempts->exchange->params);
	bool cancelled;

	metric_observe(HISTOGRAM_QUEUE_WAIT,
	    clk_monotonic_us(&control->clk) - start_us);
	if (ticket->state == TICKET_REFUSED) {
		attempts->reason = ticket->reason;
		attempts->retry_after_ms = ticket->retry_after_ms;
		control_release_slot(control, ticket, DONE_COMPLETE);
		*result = ATTEMPTS_NO_SLOT;
		return false;
	}
	attempts->exchange->params.avoid_endpoint_id = ticket->endpoint_id;
	cancelled = first && attempts->before_send != NULL &&
	    !attempts->before_send(attempts->context);
	if (cancelled)
		*result = ATTEMPTS_CANCELLED;
	else
		*outcome = relay_to_endpoint(attempts, ticket);
	control_release_slot(control, ticket,
	    cancelled ? DONE_COMPLETE : done_outcome_from_relay(*outcome));
	return !cancelled;
}

static enum attempts_outcome
attempts_outcome_from_relay(enum relay_outcome outcome)
{
	switch (outcome) {
	case RELAY_COMPLETE:
		return ATTEMPTS_COMPLETE;
	case RELAY_NOT_SENT:
	case RELAY_REFUSED:
		return ATTEMPTS_NOT_RUN;
	case RELAY_NO_RESPONSE:
		return ATTEMPTS_NO_RESPONSE;
	default:
		return ATTEMPTS_INTERRUPTED;
	}
}

enum attempts_outcome
attempts_run(struct attempts *attempts)
{
	enum relay_outcome outcome = RELAY_NOT_SENT;
	enum attempts_outcome result = ATTEMPTS_NOT_RUN;
	bool may_have_run = false;
	uint32_t count = 0;

	count_request(attempts->exchange);
	do {
		if (!acquire_and_run(attempts, count == 0, &outcome, &result))
			break;
		count++;
		may_have_run |= outcome == RELAY_NO_RESPONSE;
		result = attempts_outcome_from_relay(outcome);
	} while (may_retry(attempts->exchange, outcome, count));
	/* An earlier attempt may have run the request even if the last did not. */
	if (may_have_run &&
	    (result == ATTEMPTS_NOT_RUN || result == ATTEMPTS_NO_SLOT))
		return ATTEMPTS_NO_RESPONSE;
	return result;
}

void
attempts_send_error(const struct attempts *attempts,
    enum attempts_outcome result)
{
	const struct refusal *refusal = &refusals[attempts->reason];

	if (result == ATTEMPTS_NO_SLOT)
		exchange_send_error(attempts->exchange, refusal->status,
		    refusal->type, refusal->message, RUN_NOT_RUN,
		    attempts->retry_after_ms);
	else if (result == ATTEMPTS_NOT_RUN)
		exchange_send_error(attempts->exchange, 503,
		    "endpoint_unreachable", "no endpoint took the request",
		    RUN_NOT_RUN, RETRY_AFTER_UNREACHED_MS);
	else if (result == ATTEMPTS_NO_RESPONSE)
		exchange_send_error(attempts->exchange, 502, "outcome_unknown",
		    "the endpoint gave no answer; it may have run the request",
		    RUN_UNKNOWN, 0);
}

void
attempts_run_without_claim(struct exchange *exchange)
{
	struct attempts attempts = { .exchange = exchange };

	attempts_send_error(&attempts, attempts_run(&attempts));
}
