#include "bamboorudderd/attempt.h"

#include "common/metric.h"

#define RETRY_AFTER_UNREACHED_MS 1000u

/* One row for each reason for which no slot was granted. */
struct refusal {
	uint32_t status;
	const char *type;
	const char *message;
};

static const struct refusal refusals[REFUSE_REASON_COUNT] = {
	[REFUSE_NONE] = { 503, "no_endpoint", "the pool has no endpoint" },
	[REFUSE_QUEUE_FULL] = { 429, "queue_full",
	    "the client account has too many waiting requests" },
	[REFUSE_DEADLINE] = { 503, "queue_timeout",
	    "no slot became free in time" },
	[REFUSE_NO_ENDPOINT] = { 503, "no_endpoint",
	    "the pool has no endpoint" },
	[REFUSE_SHUTDOWN] = { 503, "shutting_down", "this daemon shuts down" },
	[REFUSE_RETRY_BUDGET] = { 503, "retry_budget",
	    "no further attempt is allowed now" },
};

static enum relay_outcome
run_one(struct attempts *attempts, struct ticket *ticket)
{
	struct exchange *exchange = attempts->exchange;
	const struct endpoint *endpoint = pool_find_endpoint(exchange->pool,
	    ticket->endpoint_id);
	struct relay relay = {
		.config = &exchange->front->relay_config,
		.caller = exchange->connection,
		.target = exchange->target,
		.request_id = exchange->request_id,
		.body = exchange->body,
		.body_bytes = exchange->body_bytes,
		.idempotent = exchange->idempotent,
		.model = exchange->pool->kind == POOL_MODEL,
		.resume = exchange->pool->resume,
		.tokens = &ticket->tokens,
		.record = attempts->record,
	};

	if (endpoint == NULL)
		return RELAY_NOT_SENT;
	relay.address = endpoint->address;
	return relay_run(&relay);
}

static enum done_outcome
done_outcome_of(enum relay_outcome outcome)
{
	if (outcome == RELAY_WHOLE || outcome == RELAY_CALLER_GONE)
		return DONE_COMPLETE;
	return outcome == RELAY_REFUSED ? DONE_REFUSED : DONE_FAILED;
}

static enum retry_cause
retry_cause_of(enum relay_outcome outcome)
{
	switch (outcome) {
	case RELAY_NOT_SENT:
		return RETRY_NOT_SENT;
	case RELAY_REFUSED:
		return RETRY_REFUSED;
	case RELAY_NO_ANSWER:
		return RETRY_NO_RESPONSE;
	default:
		return RETRY_FINISHED;
	}
}

static void
count_request(struct exchange *exchange)
{
	struct front *front = exchange->front;

	pthread_mutex_lock(&front->retry_mutex);
	retry_count_request(&front->retry, exchange->submit.account_id);
	pthread_mutex_unlock(&front->retry_mutex);
}

static bool
may_retry(struct exchange *exchange, enum relay_outcome outcome,
    uint32_t attempts_count)
{
	struct front *front = exchange->front;
	bool allowed;

	pthread_mutex_lock(&front->retry_mutex);
	allowed = retry_allow(&front->retry, exchange->submit.account_id,
	    retry_cause_of(outcome), exchange->idempotent, attempts_count);
	pthread_mutex_unlock(&front->retry_mutex);
	if (allowed)
		metric_add(METRIC_RETRIES, 1);
	return allowed;
}

/* Waits for a slot and makes one attempt. @return false if it made none */
static bool
acquire_and_run(struct attempts *attempts, bool first,
    enum relay_outcome *outcome, enum attempts_end *end)
{
	struct control *control = attempts->exchange->front->control;
	uint64_t asked_us = clk_monotonic_us(&control->clk);
	struct ticket *ticket = control_acquire_slot(control,
	    &attempts->exchange->submit);
	bool stopped;

	metric_observe(HISTOGRAM_QUEUE_WAIT,
	    clk_monotonic_us(&control->clk) - asked_us);
	if (ticket->state == TICKET_REFUSED) {
		attempts->reason = ticket->reason;
		attempts->retry_after_ms = ticket->retry_after_ms;
		control_release_slot(control, ticket, DONE_COMPLETE);
		*end = ATTEMPTS_NOT_GRANTED;
		return false;
	}
	attempts->exchange->submit.avoid_endpoint_id = ticket->endpoint_id;
	stopped = first && attempts->before_send != NULL &&
	    !attempts->before_send(attempts->context);
	if (stopped)
		*end = ATTEMPTS_STOPPED;
	else
		*outcome = run_one(attempts, ticket);
	control_release_slot(control, ticket,
	    stopped ? DONE_COMPLETE : done_outcome_of(*outcome));
	return !stopped;
}

static enum attempts_end
end_of(enum relay_outcome outcome)
{
	switch (outcome) {
	case RELAY_WHOLE:
		return ATTEMPTS_ANSWERED;
	case RELAY_NOT_SENT:
	case RELAY_REFUSED:
		return ATTEMPTS_NOT_RUN;
	case RELAY_NO_ANSWER:
		return ATTEMPTS_NO_ANSWER;
	default:
		return ATTEMPTS_BROKEN;
	}
}

enum attempts_end
attempts_run(struct attempts *attempts)
{
	enum relay_outcome outcome = RELAY_NOT_SENT;
	enum attempts_end end = ATTEMPTS_NOT_RUN;
	bool may_have_run = false;
	uint32_t count = 0;

	count_request(attempts->exchange);
	do {
		if (!acquire_and_run(attempts, count == 0, &outcome, &end))
			break;
		count++;
		may_have_run |= outcome == RELAY_NO_ANSWER;
		end = end_of(outcome);
	} while (may_retry(attempts->exchange, outcome, count));
	/* an earlier attempt may have run what the last one did not */
	if (may_have_run &&
	    (end == ATTEMPTS_NOT_RUN || end == ATTEMPTS_NOT_GRANTED))
		return ATTEMPTS_NO_ANSWER;
	return end;
}

void
attempts_report(const struct attempts *attempts, enum attempts_end end)
{
	const struct refusal *refusal = &refusals[attempts->reason];

	if (end == ATTEMPTS_NOT_GRANTED)
		exchange_refuse(attempts->exchange, refusal->status,
		    refusal->type, refusal->message, RUN_NOT_RUN,
		    attempts->retry_after_ms);
	else if (end == ATTEMPTS_NOT_RUN)
		exchange_refuse(attempts->exchange, 503, "endpoint_unreachable",
		    "no endpoint took the request", RUN_NOT_RUN,
		    RETRY_AFTER_UNREACHED_MS);
	else if (end == ATTEMPTS_NO_ANSWER)
		exchange_refuse(attempts->exchange, 502, "outcome_unknown",
		    "the endpoint gave no answer; it may have run the request",
		    RUN_UNKNOWN, 0);
}

void
attempts_run_plain(struct exchange *exchange)
{
	struct attempts attempts = { .exchange = exchange };

	attempts_report(&attempts, attempts_run(&attempts));
}
