#include "bamboorudderd/gateway_private.h"
#include "common/metric.h"

#define UNREACHED_MAX_COUNT 3u

/* Whether a failed attempt of the request may be followed by another one. */
static bool
may_repeat(const struct gw_request *request)
{
	return request->route->kind == CALL_SAFE ||
	    (request->route->kind == CALL_STREAM && request->route->resumable);
}

static void
refuse_decided(struct gw_request *request)
{
	const struct dispatch_decision *decision = &request->decision;

	if (request->may_have_run)
		gw_request_refuse(request, 502, "no_answer", 0);
	else if (decision->reason == REFUSE_QUEUE_FULL) {
		gw_request_shut_account(request);
		gw_request_refuse(request, 503, "overloaded",
		    MAX(decision->retry_after_ms, 1u));
	} else
		gw_request_refuse(request, 503, "no_endpoint",
		    MAX(decision->retry_after_ms, 1u));
}

void
gw_request_decided(struct gw_request *request)
{
	request->deciding = false;
	if (request->finished || request->state == GW_ENDED || request->gone) {
		if (request->decision.start)
			gw_tell_done(request, OUTCOME_CANCELLED);
		gw_request_release(request);
	} else if (request->decision.start)
		gw_call_start(request);
	else
		refuse_decided(request);
}

static bool
attempts_left(const struct gw_request *request)
{
	return request->attempts_count < request->route->attempts_max_count &&
	    request->ask.tried_count < TRIED_MAX_COUNT &&
	    gw_now_ms(request->gateway) < request->ends_ms;
}

/* Asks for another endpoint. */
static void
repeat(struct gw_request *request)
{
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

	request->outcome = "answered";
	request->status = request->reply.status;
	request->answer_headers = request->reply_headers;
	request->reply_headers = headers;
	g_byte_array_append(request->out, request->reply_body->data,
	    request->reply_body->len);
	gw_request_end(request);
	gw_resume(request);
}

static void
on_not_run(struct gw_request *request, bool moved)
{
	gw_tell_done(request, moved ? OUTCOME_MOVED : OUTCOME_REFUSED);
	if (attempts_left(request))
		repeat(request);
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
		repeat(request);
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
		repeat(request);
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
	gw_tell_done(request, OUTCOME_WHOLE);
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
		repeat(request);
		return;
	}
	gw_tell_done(request, failed ? OUTCOME_FAILED : OUTCOME_WHOLE);
	pass_answer(request);
}

void
gw_request_attempt_ended(struct gw_request *request, CURLcode code)
{
	bool sent = gw_call_was_sent(request);

	gw_call_stop(request);
	request->attempts_count++;
	if (!sent)
		on_unreached(request);
	else if (code == CURLE_OK && wire_reply_refused(&request->reply))
		on_not_run(request, false);
	else if (code == CURLE_OK && wire_reply_moved(&request->reply))
		on_not_run(request, true);
	else if (code == CURLE_OK && request->reply_head_ended &&
	    wire_reply_matches(&request->reply, &request->head))
		on_whole(request);
	else
		on_no_answer(request);
}
