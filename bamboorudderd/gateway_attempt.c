#include "bamboorudderd/gateway_private.h"
#include "common/log.h"
#include "common/metric.h"

#define UNREACHED_MAX_COUNT 3u
#define TEXT_BYTES 24
#define US_PER_MS 1000u

/* Whether a failed attempt of the request may be followed by another one. */
static bool
may_repeat(const struct gw_request *request)
{
	return request->route->type == ROUTE_SAFE ||
	    (request->route->type == ROUTE_STREAMING &&
		request->route->resumable);
}

static void
refuse_decided(struct gw_request *request)
{
	const struct dispatch_decision *decision = &request->decision;

	if (request->may_have_run)
		gw_request_refuse(request, 502, "no_answer", 0);
	else if (decision->reason == REFUSE_QUEUE_FULL) {
		gw_request_hold_account(request);
		gw_request_refuse(request, 503, "overloaded",
		    MAX(decision->retry_after_ms, 1u));
	} else if (decision->reason == REFUSE_BUDGET)
		gw_request_refuse(request, 503, "retry_budget",
		    MAX(decision->retry_after_ms, 1u));
	else
		gw_request_refuse(request, 503, "no_endpoint",
		    MAX(decision->retry_after_ms, 1u));
}

void
gw_request_decided(struct gw_request *request)
{
	request->deciding = false;
	if (request->attempts_count == 0)
		metric_observe(HISTOGRAM_QUEUE_WAIT,
		    (gw_now_ms(request->gateway) - request->arrived_ms) *
			US_PER_MS);
	if (request->finished || request->state == GW_ENDED || request->gone) {
		if (request->decision.start)
			gw_tell_done(request, OUTCOME_CANCELLED);
		gw_request_release(request);
	} else if (request->decision.start) {
		gw_watch_caller(request);
		gw_call_start(request);
	} else
		refuse_decided(request);
}

static bool
attempts_left(const struct gw_request *request)
{
	return request->attempts_count < request->route->attempts_max_count &&
	    request->ask.tried_count < TRIED_MAX_COUNT &&
	    gw_now_ms(request->gateway) < request->ends_ms;
}

static void
log_attempt(const struct gw_request *request, const char *ended, CURLcode code)
{
	char status[TEXT_BYTES], taken[TEXT_BYTES], sent[TEXT_BYTES];

	g_snprintf(status, TEXT_BYTES, "%u", request->reply.status);
	g_snprintf(taken, TEXT_BYTES, "%" G_GUINT64_FORMAT,
	    gw_now_ms(request->gateway) - request->attempt_ms);
	g_snprintf(sent, TEXT_BYTES, "%" G_GSIZE_FORMAT,
	    (gsize)request->sse.events_count);
	log_event(LOG_LEVEL_INFO, "attempt", "id", request->head.request_id,
	    "endpoint", request->decision.name, "ended", ended, "status",
	    status, "taken_ms", taken, "events", sent, "error",
	    code == CURLE_OK ? "-" : curl_easy_strerror(code), NULL);
}

/* Asks for another endpoint. */
static void
repeat(struct gw_request *request, bool unreached)
{
	request->ask.unreached = unreached;
	request->ask.tried_ids[request->ask.tried_count++] = request->decision
								 .endpoint_id;
	metric_add(METRIC_RETRIES, 1);
	gw_request_decide(request);
}

/* The endpoint's answer is whole and its own. */
static void
pass_answer(struct gw_request *request)
{
	GArray *headers = request->answer_headers;

	gw_observe_first(request);
	request->outcome = "answered";
	request->ending = GW_ANSWERED;
	request->status = request->reply.status;
	request->answer_headers = request->reply_headers;
	request->reply_headers = headers;
	g_byte_array_append(request->out, request->reply_body->data,
	    request->reply_body->len);
	gw_request_end(request);
	gw_resume(request);
}

static void
on_not_run(struct gw_request *request, enum dispatch_outcome outcome)
{
	gw_tell_done(request, outcome);
	if (attempts_left(request))
		repeat(request, false);
	else if (request->may_have_run)
		gw_request_refuse(request, 502, "no_answer", 0);
	else
		gw_request_refuse(request, 503, "endpoint_full", GW_RETRY_MS);
}

static void
on_no_answer(struct gw_request *request)
{
	request->may_have_run = true;
	gw_tell_done(request, OUTCOME_BROKEN);
	if (may_repeat(request) && attempts_left(request)) {
		if (request->streaming)
			metric_add(METRIC_STREAMS_RESUMED, 1);
		repeat(request, false);
	} else
		gw_request_refuse(request, 502, "no_answer", 0);
}

static void
on_unreached(struct gw_request *request)
{
	gw_tell_done(request, OUTCOME_BROKEN);
	request->attempts_count--;
	if (++request->unreached_count <= UNREACHED_MAX_COUNT &&
	    request->ask.tried_count < TRIED_MAX_COUNT)
		repeat(request, true);
	else if (request->may_have_run)
		gw_request_refuse(request, 502, "no_answer", 0);
	else
		gw_request_refuse(request, 503, "endpoint_unreachable",
		    GW_RETRY_MS);
}

/* A whole answer in a live stream ends the caller's answer as well. */
static void
on_stream_end(struct gw_request *request)
{
	g_byte_array_append(request->out, request->reply_body->data,
	    request->reply_body->len);
	request->outcome = "answered";
	request->ending = GW_ANSWERED;
	gw_tell_done(request, OUTCOME_COMPLETE);
	gw_request_end(request);
	gw_resume(request);
}

static void
on_whole(struct gw_request *request)
{
	bool failed = request->reply.status >= 500;

	if (request->streaming && request->reply.status != 200) {
		on_no_answer(request);
		return;
	}
	if (request->streaming) {
		on_stream_end(request);
		return;
	}
	if (failed && may_repeat(request) && attempts_left(request)) {
		request->may_have_run = true;
		gw_tell_done(request, OUTCOME_FAILED);
		repeat(request, false);
		return;
	}
	gw_tell_done(request, failed ? OUTCOME_FAILED : OUTCOME_COMPLETE);
	pass_answer(request);
}

/* The endpoint's own refusal: full, or its deadline passed in its queue. */
static void
on_refused(struct gw_request *request)
{
	on_not_run(request, OUTCOME_REFUSED);
}

/* Another endpoint has the address. */
static void
on_moved(struct gw_request *request)
{
	on_not_run(request, OUTCOME_MOVED);
}

enum attempt_end {
	END_UNREACHED,
	END_REFUSED,
	END_MOVED,
	END_WHOLE,
	END_NO_ANSWER,
	END_COUNT
};

static const struct {
	const char *name;
	void (*follow)(struct gw_request *request);
} ends[END_COUNT] = {
	[END_UNREACHED] = { "unreached", on_unreached },
	[END_REFUSED] = { "refused", on_refused },
	[END_MOVED] = { "moved", on_moved },
	[END_WHOLE] = { "whole", on_whole },
	[END_NO_ANSWER] = { "no_answer", on_no_answer },
};

static enum attempt_end
how_it_ended(const struct gw_request *request, bool sent, CURLcode code)
{
	if (!sent)
		return END_UNREACHED;
	if (code == CURLE_OK && wire_response_not_executed(&request->reply))
		return END_REFUSED;
	if (code == CURLE_OK && wire_response_moved(&request->reply))
		return END_MOVED;
	if (code == CURLE_OK && request->reply_head_ended &&
	    wire_response_matches(&request->reply, &request->head))
		return END_WHOLE;
	return END_NO_ANSWER;
}

void
gw_request_attempt_ended(struct gw_request *request, CURLcode code)
{
	enum attempt_end end = how_it_ended(request, gw_call_was_sent(request),
	    code);

	gw_call_stop(request);
	request->attempts_count++;
	if (end != END_WHOLE || request->reply.status >= 500)
		log_attempt(request, ends[end].name, code);
	ends[end].follow(request);
}
