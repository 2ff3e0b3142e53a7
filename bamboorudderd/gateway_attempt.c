#include "bamboorudderd/gateway_private.h"
#include "common/log.h"
#include "common/metric.h"

#define UNREACHED_MAX_COUNT 3u
#define TEXT_BYTES 24
#define US_PER_MS 1000u

/* Tells whether the route allows a retry after the request may have run. */
static bool
may_retry(const struct gw_request *request)
{
	return request->route->request_kind == REQUEST_IDEMPOTENT ||
	    (request->route->request_kind == REQUEST_STREAM &&
		request->route->resumable);
}

/* How a caller is told that its request was refused. */
static const struct {
	uint32_t status;
	const char *outcome;
	bool
	    holds_account; /**< further requests are refused without a decision */
	enum metric_id metric; /**< METRIC_COUNT: none of its own */
} refusals[REFUSE_REASON_COUNT] = {
	[REFUSE_NONE] = { 503, "no_endpoint", false, METRIC_COUNT },
	[REFUSE_QUEUE_FULL] = { 503, "overloaded", true, METRIC_COUNT },
	[REFUSE_DEADLINE] = { 503, "no_endpoint", false, METRIC_COUNT },
	[REFUSE_NO_ENDPOINT] = { 503, "no_endpoint", false, METRIC_COUNT },
	[REFUSE_SHUTDOWN] = { 503, "no_endpoint", false, METRIC_COUNT },
	[REFUSE_ACCOUNT_SHARE] = { 429, "account_over_share", true,
	    METRIC_COUNT },
	[REFUSE_RETRY_BUDGET] = { 503, "retry_budget", false, METRIC_COUNT },
	[REFUSE_ENDPOINT_LIMIT] = { 503, "endpoint_limit", false,
	    METRIC_REQUESTS_LIMITED },
	[REFUSE_CRASH_SUSPECT] = { 503, "prompt_suspect", false,
	    METRIC_REQUESTS_SUSPECT },
};

const char *
gw_refusal_outcome(enum refuse_reason reason)
{
	return refusals[reason].outcome;
}

static void
refuse_by_decision(struct gw_request *request)
{
	enum refuse_reason reason = request->decision.reason;

	request->gateway->load_counts.refused_count++;
	if (request->may_have_run) {
		gw_request_respond_error(request, 502, "no_answer", 0);
		return;
	}
	if (refusals[reason].holds_account)
		gw_request_hold_account(request);
	if (refusals[reason].metric != METRIC_COUNT)
		metric_add(refusals[reason].metric, 1);
	gw_request_respond_error(request, refusals[reason].status,
	    refusals[reason].outcome,
	    MAX(request->decision.retry_after_ms, 1u));
}

/* How a caller is told that its request may not be sent any more. */
static const struct {
	uint32_t status;
	const char *outcome;
	uint32_t retry_after_ms;
} denials[] = {
	[GW_PERMISSION_GIVEN] = { 0, "", 0 },
	[GW_PERMISSION_LATE] = { 503, "timeout_not_run", GW_RETRY_AFTER_MS },
	[GW_PERMISSION_STOPPING] = { 503, "shutting_down",
	    GW_DRAIN_RETRY_AFTER_MS },
	[GW_PERMISSION_UNCONFIRMED] = { 503, "configuration_too_old",
	    GW_RETRY_AFTER_MS },
	[GW_PERMISSION_REVOKED] = { 401, "unknown_key", 0 },
};

/* Sends a request as decided, unless it may not be sent any more. */
static void
start_attempt(struct gw_request *request)
{
	enum gw_permission permission = gw_request_check_permission(request);

	/* a busy daemon may read a request long after it was sent, or a peer may
	 * pass it on so late */
	if (gw_caller_has_left(request)) {
		gw_dispatch_done(request, OUTCOME_UNUSED);
		gw_request_disconnected(request);
		return;
	}
	if (permission == GW_PERMISSION_GIVEN) {
		request->gateway->load_counts.started_count++;
		gw_caller_watch(request);
		gw_transfer_start(request);
		return;
	}
	gw_dispatch_done(request, OUTCOME_UNUSED);
	if (request->may_have_run)
		gw_request_respond_error(request, 502, "no_answer", 0);
	else
		gw_request_respond_error(request, denials[permission].status,
		    denials[permission].outcome,
		    denials[permission].retry_after_ms);
}

void
gw_request_on_decision(struct gw_request *request)
{
	request->decision_pending = false;
	if (request->attempts_count == 0)
		metric_observe(HISTOGRAM_QUEUE_WAIT,
		    (gw_now_ms(request->gateway) - request->arrived_ms) *
			US_PER_MS);
	if (request->server_done || request->state == GW_STATE_ENDED ||
	    request->disconnected) {
		if (request->decision.start)
			gw_dispatch_done(request, OUTCOME_UNUSED);
		gw_request_release(request);
	} else if (request->decision.start)
		start_attempt(request);
	else
		refuse_by_decision(request);
}

static bool
attempts_remain(const struct gw_request *request)
{
	return request->attempts_count < request->route->attempts_max_count &&
	    request->dispatch.tried_count < TRIED_MAX_COUNT &&
	    gw_now_ms(request->gateway) < request->deadline_ms;
}

/* @return the ids of the prompt's segments, separated by commas; to be freed */
static char *
format_segments(const struct gw_request *request)
{
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; i < request->dispatch.segments_count; i++)
		g_string_append_printf(text, "%s%" G_GINT64_MODIFIER "x",
		    i == 0 ? "" : ",",
		    request->dispatch.segments[i].segment_id);
	if (text->len == 0)
		g_string_append_c(text, '-');
	return g_string_free(text, FALSE);
}

static const char *
transfer_error(CURLcode code)
{
	return code == CURLE_OK ? "-" : curl_easy_strerror(code);
}

/* Lost responses are logged as warnings, which the lines of a flood of requests
 * do not displace: the segments that they share tell what crashed an engine. */
static void
log_attempt(const struct gw_request *request, enum log_level level,
    const char *result_name, CURLcode code)
{
	char status[TEXT_BYTES], duration[TEXT_BYTES], events[TEXT_BYTES];
	char *segments = format_segments(request);
	const char *problem = request->endpoint_head.problem;

	g_snprintf(status, TEXT_BYTES, "%u", request->endpoint_response.status);
	g_snprintf(duration, TEXT_BYTES, "%" G_GUINT64_FORMAT,
	    gw_now_ms(request->gateway) - request->attempt_ms);
	g_snprintf(events, TEXT_BYTES, "%" G_GSIZE_FORMAT,
	    (gsize)request->sse.token_events_count);
	log_event(level, "attempt", "id", request->head.request_id, "endpoint",
	    request->decision.name, "ended", result_name, "status", status,
	    "taken_ms", duration, "events", events, "segments", segments,
	    "error", problem != NULL ? problem : transfer_error(code), NULL);
	g_free(segments);
}

/* Requests a decision for another endpoint. */
static void
retry(struct gw_request *request, bool unreached)
{
	request->dispatch.unreached = unreached;
	request->dispatch.tried_ids[request->dispatch.tried_count++] =
	    request->decision.endpoint_id;
	metric_add(METRIC_RETRIES, 1);
	gw_request_decide(request);
}

/* Relays a complete response to the caller. */
static void
relay_response(struct gw_request *request)
{
	GArray *headers = request->response_headers;
	GByteArray *body = request->response_bytes;

	gw_observe_first_byte(request);
	request->outcome = "answered";
	request->result = GW_RESULT_RESPONDED;
	request->status = request->endpoint_response.status;
	request->response_headers = request->endpoint_headers;
	request->endpoint_headers = headers;
	request->response_bytes = request->endpoint_body;
	request->endpoint_body = body;
	gw_request_end(request);
	gw_resume(request);
}

static void
on_not_run(struct gw_request *request, enum dispatch_outcome outcome)
{
	gw_dispatch_done(request, outcome);
	if (attempts_remain(request))
		retry(request, false);
	else if (request->may_have_run)
		gw_request_respond_error(request, 502, "no_answer", 0);
	else
		gw_request_respond_error(request, 503, "endpoint_full",
		    GW_RETRY_AFTER_MS);
}

static void
on_lost_response(struct gw_request *request, enum dispatch_outcome outcome)
{
	request->may_have_run = true;
	gw_dispatch_done(request, outcome);
	if (may_retry(request) && attempts_remain(request)) {
		if (request->streaming)
			metric_add(METRIC_STREAMS_RESUMED, 1);
		retry(request, false);
	} else
		gw_request_respond_error(request, 502, "no_answer", 0);
}

/* The connection ended without a whole response. */
static void
on_no_response(struct gw_request *request)
{
	on_lost_response(request, OUTCOME_BROKEN);
}

static void
on_invalid_response(struct gw_request *request)
{
	on_lost_response(request, OUTCOME_INVALID);
}

static void
on_unreached(struct gw_request *request)
{
	gw_dispatch_done(request, OUTCOME_UNREACHED);
	request->attempts_count--;
	if (++request->unreached_count <= UNREACHED_MAX_COUNT &&
	    request->dispatch.tried_count < TRIED_MAX_COUNT)
		retry(request, true);
	else if (request->may_have_run)
		gw_request_respond_error(request, 502, "no_answer", 0);
	else
		gw_request_respond_error(request, 503, "endpoint_unreachable",
		    GW_RETRY_AFTER_MS);
}

/* Ends the response to the caller with the complete stream of the endpoint. */
static void
on_stream_end(struct gw_request *request)
{
	g_byte_array_append(request->response_bytes,
	    request->endpoint_body->data, request->endpoint_body->len);
	request->outcome = "answered";
	request->result = GW_RESULT_RESPONDED;
	gw_dispatch_done(request, OUTCOME_COMPLETE);
	gw_request_end(request);
	gw_resume(request);
}

static void
on_complete(struct gw_request *request)
{
	bool failed = request->endpoint_response.status >= 500;

	if (request->streaming) {
		on_stream_end(request);
		return;
	}
	if (failed && may_retry(request) && attempts_remain(request)) {
		request->may_have_run = true;
		gw_dispatch_done(request, OUTCOME_FAILED);
		retry(request, false);
		return;
	}
	gw_dispatch_done(request, failed ? OUTCOME_FAILED : OUTCOME_COMPLETE);
	relay_response(request);
}

/* The endpoint has run the request, and other endpoints would respond alike. */
static void
on_head_too_large(struct gw_request *request)
{
	request->may_have_run = true;
	gw_dispatch_done(request, OUTCOME_CANCELLED);
	gw_request_respond_error(request, 502, "response_head_too_large", 0);
}

/* The endpoint refused the request: it is full, or the deadline passed while
 * the request waited there. */
static void
on_refused(struct gw_request *request)
{
	on_not_run(request, OUTCOME_REFUSED);
}

/* Another endpoint now has the address. */
static void
on_moved(struct gw_request *request)
{
	on_not_run(request, OUTCOME_MOVED);
}

enum attempt_result {
	ATTEMPT_UNREACHED,
	ATTEMPT_REFUSED,
	ATTEMPT_MOVED,
	ATTEMPT_COMPLETE,
	ATTEMPT_HEAD_TOO_LARGE,
	ATTEMPT_NO_RESPONSE,
	ATTEMPT_INVALID_RESPONSE,
	ATTEMPT_RESULT_COUNT
};

static const struct {
	const char *name;
	void (*handle)(struct gw_request *request);
} result_handlers[ATTEMPT_RESULT_COUNT] = {
	[ATTEMPT_UNREACHED] = { "unreached", on_unreached },
	[ATTEMPT_REFUSED] = { "refused", on_refused },
	[ATTEMPT_MOVED] = { "moved", on_moved },
	[ATTEMPT_COMPLETE] = { "whole", on_complete },
	[ATTEMPT_HEAD_TOO_LARGE] = { "head_too_large", on_head_too_large },
	[ATTEMPT_NO_RESPONSE] = { "no_answer", on_no_response },
	[ATTEMPT_INVALID_RESPONSE] = { "no_answer", on_invalid_response },
};

static bool
is_event_stream(const struct gw_request *request)
{
	return request->endpoint_response.status == 200 &&
	    request->endpoint_response.event_stream;
}

/* Tells whether a stream has ended inside an event, or before its first one
 * without saying that it has none. All complete events were passed on already,
 * and blank lines may follow the last one. */
static bool
stream_is_broken(const struct gw_request *request)
{
	const GByteArray *rest = request->endpoint_body;

	for (guint i = 0; i < rest->len; i++)
		if (rest->data[i] != '\r' && rest->data[i] != '\n')
			return true;
	return !request->endpoint_response.framed &&
	    !request->first_token_reported;
}

/* Judges a response that has arrived whole and belongs to the request. */
static enum attempt_result
classify_whole_response(const struct gw_request *request)
{
	/* nothing but further events can follow the first ones */
	if (request->streaming && !is_event_stream(request))
		return ATTEMPT_INVALID_RESPONSE;
	if (request->route->request_kind == REQUEST_STREAM &&
	    is_event_stream(request) && stream_is_broken(request))
		return ATTEMPT_NO_RESPONSE;
	return ATTEMPT_COMPLETE;
}

static enum attempt_result
classify_attempt(const struct gw_request *request, bool sent, CURLcode code)
{
	if (!sent)
		return ATTEMPT_UNREACHED;
	if (request->endpoint_head_too_large)
		return ATTEMPT_HEAD_TOO_LARGE;
	if (code == CURLE_OK &&
	    wire_response_not_executed(&request->endpoint_response,
		&request->head))
		return ATTEMPT_REFUSED;
	if (code == CURLE_OK &&
	    wire_response_moved(&request->endpoint_response, &request->head))
		return ATTEMPT_MOVED;
	if (code == CURLE_OK && request->endpoint_head_complete &&
	    wire_response_matches(&request->endpoint_response, &request->head))
		return classify_whole_response(request);
	/* the callbacks end responses that are too large or malformed */
	return code == CURLE_OK || code == CURLE_WRITE_ERROR
	    ? ATTEMPT_INVALID_RESPONSE
	    : ATTEMPT_NO_RESPONSE;
}

void
gw_request_on_attempt_end(struct gw_request *request, CURLcode code)
{
	enum attempt_result result = classify_attempt(request,
	    gw_transfer_was_sent(request), code);

	gw_transfer_stop(request);
	request->attempts_count++;
	if (result != ATTEMPT_COMPLETE ||
	    request->endpoint_response.status >= 500)
		log_attempt(request,
		    result == ATTEMPT_NO_RESPONSE ||
			    result == ATTEMPT_INVALID_RESPONSE
			? LOG_LEVEL_WARN
			: LOG_LEVEL_INFO,
		    result_handlers[result].name, code);
	result_handlers[result].handle(request);
}
