#include <string.h>

#include "bamboorudderd/gateway_private.h"
#include "common/log.h"
#include "common/metric.h"
#include "core/hash.h"

/* Allowance for the time from the sending of a request to the check whether the
 * configuration is fresh enough for its key. */
#define FRESHNESS_MARGIN_MS 400u
/* An account whose requests wait for more decisions floods this daemon. */
#define ACCOUNT_UNDECIDED_MAX_COUNT 32u
/* Time limit of a request whose route is not known here. */
#define UNROUTED_TIMEOUT_MS 15000u
#define TEXT_BYTES 24

struct gw_request *
gw_request_new(struct gateway *gateway, const char *target)
{
	struct gw_request *request = g_new0(struct gw_request, 1);

	request->gateway = gateway;
	request->target = g_strdup(target);
	wire_request_init(&request->head);
	request->body = g_byte_array_new();
	request->endpoint_headers = g_array_new(FALSE, FALSE,
	    sizeof(struct gw_header));
	request->response_headers = g_array_new(FALSE, FALSE,
	    sizeof(struct gw_header));
	request->endpoint_body = g_byte_array_new();
	request->response_bytes = g_byte_array_new();
	request->outcome = "unread";
	sse_parser_init(&request->sse);
	LIST_INSERT_HEAD(&gateway->requests, request, entries);
	return request;
}

void
gw_request_release(struct gw_request *request)
{
	if (!request->server_done || request->decision_pending)
		return;
	if (request->streaming)
		request->gateway->streams_count--;
	LIST_REMOVE(request, entries);
	wire_request_finish(&request->head);
	gw_headers_clear(request->endpoint_headers);
	gw_headers_clear(request->response_headers);
	g_array_free(request->endpoint_headers, TRUE);
	g_array_free(request->response_headers, TRUE);
	g_byte_array_free(request->body, TRUE);
	g_byte_array_free(request->endpoint_body, TRUE);
	g_byte_array_free(request->response_bytes, TRUE);
	config_snapshot_unref(request->configuration);
	g_free(request->method);
	g_free(request->target);
	g_free(request);
}

/* Frees the bytes of an array. */
static void
clear_bytes(GByteArray **bytes)
{
	if ((*bytes)->len == 0)
		return;
	g_byte_array_free(*bytes, TRUE);
	*bytes = g_byte_array_new();
}

void
gw_request_end(struct gw_request *request)
{
	if (request->state == GW_STATE_ENDED)
		return;
	if (request->submitted)
		request->gateway->active_count--;
	request->state = GW_STATE_ENDED;
	request->response_complete = true;
	clear_bytes(&request->body);
	clear_bytes(&request->endpoint_body);
	gw_memory_update(request);
	gw_observe_end(request);
}

static void
add_response_header(struct gw_request *request, const char *name,
    const char *value)
{
	struct gw_header header = { g_strdup(name), g_strdup(value) };

	g_array_append_val(request->response_headers, header);
}

void
gw_request_respond_error(struct gw_request *request, uint32_t status,
    const char *outcome, uint32_t retry_after_ms)
{
	char text[TEXT_BYTES];

	request->outcome = outcome;
	if (request->streaming) {
		/* the head has been sent: only an aborted body shows the caller
		 * that the request failed */
		request->response_aborted = true;
		metric_add(METRIC_ANSWERS_BROKEN, 1);
	} else {
		request->status = status;
		gw_headers_clear(request->response_headers);
		g_byte_array_set_size(request->response_bytes, 0);
		if (retry_after_ms > 0) {
			g_snprintf(text, sizeof(text), "%u.%03u",
			    retry_after_ms / 1000, retry_after_ms % 1000);
			add_response_header(request, "Retry-After", text);
		}
		request->result = status == 502 || status == 504
		    ? GW_RESULT_FAILED
		    : GW_RESULT_REFUSED;
		metric_add(request->result == GW_RESULT_FAILED
			? METRIC_REQUESTS_UNKNOWN
			: METRIC_REQUESTS_REFUSED,
		    1);
	}
	gw_request_end(request);
	gw_resume(request);
}

/* Tells whether a key may be accepted. The local configuration must have been
 * the newest less than revoke_ms ago, so that no later one has revoked the key
 * before that. */
static bool
configuration_is_fresh(const struct gateway *gateway)
{
	uint32_t revoke_ms = gateway->settings->revoke_ms;

	return revoke_ms == 0 ||
	    feed_clock_ms() + FRESHNESS_MARGIN_MS <
	    gateway->fresh_as_of_ms + revoke_ms;
}

/* Tells whether work for a request can end before this process does, and before a
 * peer that passes its connection here. */
static bool
may_begin(const struct gw_request *request)
{
	const struct gateway *gateway = request->gateway;
	uint64_t now_ms = gw_now_ms(gateway);

	return !gateway->shutting_down &&
	    drain_admission_may_begin(&gateway->admission, now_ms,
		request->deadline_ms) &&
	    (request->caller == NULL ||
		drain_admission_may_begin(&request->caller->origin, now_ms,
		    request->deadline_ms));
}

enum gw_permission
gw_request_check_permission(const struct gw_request *request)
{
	const struct gateway *gateway = request->gateway;

	if (gw_now_ms(gateway) >= request->deadline_ms)
		return GW_PERMISSION_LATE;
	if (!may_begin(request))
		return GW_PERMISSION_STOPPING;
	if (!config_snapshot_needs_key(gateway->configuration, request->route))
		return GW_PERMISSION_GIVEN;
	if (!configuration_is_fresh(gateway))
		return GW_PERMISSION_UNCONFIRMED;
	return config_snapshot_find_account(gateway->configuration,
		   request->head.key) == NULL
	    ? GW_PERMISSION_REVOKED
	    : GW_PERMISSION_GIVEN;
}

static bool
refuse_early(struct gw_request *request, uint32_t status, const char *outcome,
    uint32_t retry_after_ms)
{
	gw_request_respond_error(request, status, outcome, retry_after_ms);
	return false;
}

/* Refuses an unknown key or route. If a peer has named a newer configuration,
 * the key or route may be part of it; the caller then gets a 503, which it
 * retries, instead of the given status. */
static bool
refuse_unknown(struct gw_request *request, uint32_t status, const char *outcome)
{
	if (feed_is_behind(&request->gateway->feed))
		return refuse_early(request, 503, "configuration_behind",
		    GW_RETRY_AFTER_MS);
	metric_add(METRIC_REQUESTS_UNAUTHORIZED, 1);
	return refuse_early(request, status, outcome, 0);
}

static bool
authenticate(struct gw_request *request)
{
	struct gateway *gateway = request->gateway;

	if (!config_snapshot_needs_key(request->configuration, request->route))
		return true;
	request->account = config_snapshot_find_account(request->configuration,
	    request->head.key);
	if (!configuration_is_fresh(gateway))
		return refuse_early(request, 503, "configuration_too_old",
		    GW_RETRY_AFTER_MS);
	return request->account != NULL ||
	    refuse_unknown(request, 401, "unknown_key");
}

uint32_t
gw_time_limit_ms(const struct config_route *route, uint32_t remaining_ms)
{
	uint32_t timeout_ms = route == NULL ? UNROUTED_TIMEOUT_MS
					    : route->timeout_ms;

	return remaining_ms == 0 ? timeout_ms : MIN(remaining_ms, timeout_ms);
}

static void
set_deadlines(struct gw_request *request, uint64_t now_ms)
{
	uint32_t remaining_ms = request->head.remaining_ms == 0
	    ? request->route->timeout_ms
	    : request->head.remaining_ms;

	request->caller_deadline_ms = now_ms + remaining_ms;
	request->deadline_ms = now_ms +
	    gw_time_limit_ms(request->route, remaining_ms);
}

/* The peer that passes the connection may have a newer configuration, and its
 * callers get nothing by an older one. */
static bool
may_serve_peer(const struct gw_request *request)
{
	return request->caller == NULL || request->caller->from_node_id == 0 ||
	    !feed_is_outdated(&request->gateway->feed);
}

bool
gw_request_accept_head(struct gw_request *request)
{
	struct gateway *gateway = request->gateway;
	uint64_t now_ms = gw_now_ms(gateway);

	request->head_received = true;
	request->arrived_ms = now_ms;
	request->deadline_ms = UINT64_MAX;
	metric_add(METRIC_REQUESTS, 1);
	if (gateway->configuration == NULL)
		return refuse_early(request, 503, "no_configuration",
		    GW_RETRY_AFTER_MS);
	request->configuration = config_snapshot_ref(gateway->configuration);
	if (!may_serve_peer(request)) {
		request->close_connection = true;
		return refuse_early(request, 503, "configuration_behind",
		    GW_DRAIN_RETRY_AFTER_MS);
	}
	if (request->target[0] != '/')
		return refuse_early(request, 400, "bad_target", 0);
	request->route = config_snapshot_find_route(request->configuration,
	    request->head.host, request->target);
	if (request->route == NULL)
		return refuse_unknown(request, 404, "no_route");
	if (!authenticate(request))
		return false;
	set_deadlines(request, now_ms);
	if (!may_begin(request))
		return refuse_early(request, 503, "shutting_down",
		    GW_DRAIN_RETRY_AFTER_MS);
	return true;
}

static void
set_remaining(struct gw_request *request)
{
	uint64_t now_ms = gw_now_ms(request->gateway);

	request->dispatch.remaining_ms = request->caller_deadline_ms > now_ms
	    ? (uint32_t)(request->caller_deadline_ms - now_ms)
	    : 0;
}

void
gw_describe_request(const struct wire_request *head,
    const struct config_route *route, const struct config_account *account,
    uint64_t hash, struct dispatch_request *dispatch)
{
	dispatch->request_hash = hash;
	dispatch->pool_id = config_route_pick_pool(route, hash);
	dispatch->account_id = account == NULL ? 0 : account->account_id;
	memcpy(dispatch->segments, head->segments, sizeof(dispatch->segments));
	dispatch->segments_count = head->segments_count;
	dispatch->prompt_tokens = head->prompt_tokens;
	dispatch->response_tokens = head->response_tokens;
	dispatch->latency_target_ms = route->latency_target_ms;
}

static void
fill_dispatch_request(struct gw_request *request)
{
	const struct wire_request *head = &request->head;

	gw_describe_request(head, request->route, request->account,
	    hash_bytes(head->request_id, strlen(head->request_id)),
	    &request->dispatch);
	request->dispatch.body_bytes = request->body->len;
	set_remaining(request);
}

void
gw_request_decide(struct gw_request *request)
{
	set_remaining(request);
	if (!request->streaming)
		request->state = GW_STATE_DECIDING;
	gw_memory_update(request);
	gw_dispatch_decide(request);
}

/* Identifies the combination of an account and a pool. */
static uint64_t
hold_key(const struct gw_request *request)
{
	return request->dispatch.account_id ^ request->dispatch.pool_id;
}

/* The control thread would refuse further requests like this one, too. Refusing
 * them here keeps most of a flood away from the control thread. */
void
gw_request_hold_account(struct gw_request *request)
{
	struct gateway *gateway = request->gateway;
	const struct dispatch_decision *decision = &request->decision;
	uint64_t key = hold_key(request);
	struct gw_rejection_hold hold = {
		.until_ms = gw_now_ms(gateway) + decision->rejection_hold_ms,
		.latency_target_ms = request->dispatch.latency_target_ms,
		.far_over_share = decision->forecast.admission_limit_ms == 0,
		.over_share = decision->reason == REFUSE_ACCOUNT_SHARE,
	};

	if (decision->rejection_hold_ms == 0)
		return;
	g_hash_table_replace(gateway->rejection_holds,
	    g_memdup2(&key, sizeof(key)), g_memdup2(&hold, sizeof(hold)));
}

static const struct gw_rejection_hold *
find_hold(const struct gw_request *request)
{
	uint64_t key = hold_key(request);
	const struct gw_rejection_hold *hold =
	    g_hash_table_lookup(request->gateway->rejection_holds, &key);

	return hold != NULL && request->arrived_ms < hold->until_ms &&
		request->dispatch.latency_target_ms <= hold->latency_target_ms
	    ? hold
	    : NULL;
}

static void
refuse_for_load(struct gw_request *request)
{
	uint32_t retry_after_ms = gw_load_retry_after_ms(request->gateway,
	    request->dispatch.request_hash, request->arrived_ms);

	metric_add(METRIC_REQUESTS_SHED, 1);
	request->gateway->load_counts.shed_count++;
	gw_request_respond_error(request, 503, "daemon_busy",
	    dispatch_cap_retry_after_ms(&request->dispatch, retry_after_ms));
}

static void
refuse_by_hold(struct gw_request *request, const struct gw_rejection_hold *hold)
{
	uint32_t retry_after_ms = dispatch_retry_after_ms(&request->dispatch,
	    hold->until_ms - request->arrived_ms, hold->far_over_share);

	request->gateway->load_counts.held_count++;
	gw_request_respond_error(request, hold->over_share ? 429 : 503,
	    hold->over_share ? "account_over_share" : "account_held",
	    MAX(retry_after_ms, 1u));
}

void
gw_request_submit(struct gw_request *request)
{
	const struct gw_rejection_hold *hold;

	request->submitted = true;
	request->gateway->load_counts.requests_count++;
	request->gateway->active_count++;
	fill_dispatch_request(request);
	hold = find_hold(request);
	if (!may_begin(request))
		gw_request_respond_error(request, 503, "shutting_down",
		    GW_DRAIN_RETRY_AFTER_MS);
	else if (hold != NULL)
		refuse_by_hold(request, hold);
	else if (load_shedder_rejects(&request->gateway->load_shedder,
		     request->dispatch.account_id,
		     request->dispatch.request_hash) ||
	    gw_undecided_count(request) >= ACCOUNT_UNDECIDED_MAX_COUNT)
		refuse_for_load(request);
	else
		gw_request_decide(request);
}

/* Cancels the current attempt, if any. */
static void
cancel_attempt(struct gw_request *request)
{
	if (request->transfer == NULL)
		return;
	request->may_have_run |= gw_transfer_was_sent(request);
	gw_transfer_stop(request);
	gw_dispatch_done(request, OUTCOME_CANCELLED);
}

void
gw_request_disconnected(struct gw_request *request)
{
	if (request->disconnected)
		return;
	request->disconnected = true;
	if (request->state == GW_STATE_ENDED)
		return;
	cancel_attempt(request);
	request->outcome = "caller_left";
	request->response_aborted = true;
	if (request->head_received)
		gw_request_end(request);
	gw_resume(request);
}

static void
give_up(struct gw_request *request, const char *outcome,
    const char *not_run_outcome)
{
	cancel_attempt(request);
	if (request->may_have_run || request->attempts_count > 0)
		gw_request_respond_error(request, 504, outcome, 0);
	else
		gw_request_respond_error(request, 503, not_run_outcome,
		    GW_RETRY_AFTER_MS);
}

void
gw_request_end_for_exit(struct gw_request *request)
{
	if (request->submitted && request->state != GW_STATE_ENDED)
		give_up(request, "exit", "shutting_down");
}

/* @return whether the peer that passes the answer on ends soon */
static bool
origin_ends(const struct gw_request *request, uint64_t now_ms)
{
	const struct gw_caller *caller = request->caller;

	return caller != NULL && caller->origin.stopping &&
	    now_ms >= drain_admission_end_ms(&caller->origin);
}

void
gw_request_check_deadline(struct gw_request *request, uint64_t now_ms)
{
	if (request->submitted && request->state != GW_STATE_ENDED &&
	    now_ms >= request->deadline_ms)
		give_up(request, "timeout", "timeout_not_run");
	else if (origin_ends(request, now_ms))
		gw_request_end_for_exit(request);
}
