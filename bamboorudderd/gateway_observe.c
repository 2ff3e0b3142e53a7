#include "bamboorudderd/gateway_private.h"
#include "common/log.h"
#include "common/metric.h"
#include "common/revision_text.h"

#define TEXT_BYTES 24
#define US_PER_MS 1000u

static void
format_age(uint32_t age_ms, char text[TEXT_BYTES])
{
	if (age_ms == UINT32_MAX)
		g_strlcpy(text, "-", TEXT_BYTES);
	else
		g_snprintf(text, TEXT_BYTES, "%u", age_ms);
}

/* Formats a time, counted from when this process or the peer that passes the
 * connection was told to stop.
 * @param at_ms 0 if there was none */
static void
format_stop_time(const struct gw_request *request, uint64_t at_ms,
    char text[TEXT_BYTES])
{
	const struct drain_admission *admission = &request->gateway->admission;

	if (!admission->stopping && request->caller != NULL)
		admission = &request->caller->origin;
	if (!admission->stopping || at_ms == 0)
		g_strlcpy(text, "-", TEXT_BYTES);
	else
		g_snprintf(text, TEXT_BYTES, "%" G_GINT64_FORMAT,
		    (gint64)at_ms - (gint64)admission->signal_ms);
}

static void
log_request(const struct gw_request *request)
{
	char status[TEXT_BYTES], duration[TEXT_BYTES], attempts[TEXT_BYTES];
	char backlog[TEXT_BYTES], prefill[TEXT_BYTES], limit[TEXT_BYTES];
	char age[TEXT_BYTES], version[TEXT_BYTES], running[TEXT_BYTES];
	char share[TEXT_BYTES], prompt_tokens[TEXT_BYTES];
	char first_token[TEXT_BYTES];
	char hub_list[REVISION_TEXT_BYTES], hub_list_age[TEXT_BYTES];
	char list[REVISION_TEXT_BYTES];
	char stop_head[TEXT_BYTES], stop_attempt[TEXT_BYTES];
	const struct dispatch_decision *decision = &request->decision;
	const struct gw_peer *via = request->caller == NULL
	    ? NULL
	    : gw_find_peer(request->gateway, request->caller->from_node_id);
	const struct dispatch_forecast *forecast = &decision->forecast;

	g_snprintf(status, TEXT_BYTES, "%u", request->status);
	g_snprintf(duration, TEXT_BYTES, "%" G_GUINT64_FORMAT,
	    gw_now_ms(request->gateway) - request->arrived_ms);
	g_snprintf(attempts, TEXT_BYTES, "%u", request->attempts_count);
	g_snprintf(backlog, TEXT_BYTES, "%u", forecast->backlog_ms);
	g_snprintf(prefill, TEXT_BYTES, "%u", forecast->prefill_ms);
	g_snprintf(first_token, TEXT_BYTES, "%u", forecast->first_token_ms);
	g_snprintf(limit, TEXT_BYTES, "%u", forecast->admission_limit_ms);
	g_snprintf(running, TEXT_BYTES, "%u", forecast->running_count);
	g_snprintf(age, TEXT_BYTES, "%u", forecast->peers_age_ms);
	g_snprintf(version, TEXT_BYTES, "%" G_GUINT64_FORMAT,
	    request->configuration == NULL ? 0
					   : request->configuration->version);
	g_snprintf(share, TEXT_BYTES, "%u", forecast->share_permille);
	g_snprintf(prompt_tokens, TEXT_BYTES, "%u",
	    request->dispatch.prompt_tokens);
	revision_text_format(decision->hub_list.version, hub_list);
	format_age(decision->hub_list.age_ms, hub_list_age);
	revision_text_format(decision->own_list.version, list);
	format_stop_time(request, request->arrived_ms, stop_head);
	format_stop_time(request, request->attempt_ms, stop_attempt);
	log_event(LOG_LEVEL_INFO, "request", "id", request->head.request_id,
	    "route", request->route == NULL ? "-" : request->route->name,
	    "account", request->account == NULL ? "-" : request->account->name,
	    "via", via == NULL ? "-" : via->host, "outcome", request->outcome,
	    "status", status, "taken_ms", duration, "endpoint",
	    decision->name[0] == '\0' ? "-" : decision->name, "hub",
	    request->hub_address[0] == '\0' ? "-" : request->hub_address,
	    "hub_list", hub_list, "hub_list_age_ms", hub_list_age, "list", list,
	    "attempts", attempts, "ahead_ms", backlog, "own_ms", prefill,
	    "first_token_ms", first_token, "domain",
	    domain_crossing_reason_name(decision->crossing), "limit_ms", limit,
	    "running", running, "over_share", forecast->over_share ? "1" : "0",
	    "share_permille", share, "prompt_tokens", prompt_tokens,
	    "peers_age_ms", age, "configuration", version, "stop_head_ms",
	    stop_head, "stop_attempt_ms", stop_attempt, NULL);
}

void
gw_observe_drain(const struct gateway *gateway)
{
	char late[TEXT_BYTES], grace[TEXT_BYTES];

	g_snprintf(late, TEXT_BYTES, "%" G_GUINT64_FORMAT,
	    gateway->drain_start_ms - gateway->admission.signal_ms);
	g_snprintf(grace, TEXT_BYTES, "%u",
	    gateway->settings->shutdown_grace_ms);
	log_event(LOG_LEVEL_INFO, "drain_begun", "late_ms", late, "grace_ms",
	    grace, NULL);
}

static void
observe_forecast(const struct gw_request *request)
{
	uint64_t seen_ms = gw_now_ms(request->gateway) - request->attempt_ms;
	uint64_t forecast_ms = request->decision.forecast.first_token_ms;

	if (forecast_ms > 0)
		metric_observe(HISTOGRAM_FORECAST_ERROR,
		    (MAX(seen_ms, forecast_ms) - MIN(seen_ms, forecast_ms)) *
			US_PER_MS);
}

void
gw_observe_first_byte(const struct gw_request *request)
{
	metric_observe(HISTOGRAM_FIRST_BYTE,
	    (gw_now_ms(request->gateway) - request->attempt_ms) * US_PER_MS);
	observe_forecast(request);
}

void
gw_observe_end(const struct gw_request *request)
{
	static const enum histogram_id ids[] = {
		[GW_RESULT_FAILED] = HISTOGRAM_FAILED,
		[GW_RESULT_REFUSED] = HISTOGRAM_REFUSED,
		[GW_RESULT_RESPONDED] = HISTOGRAM_ANSWERED,
	};

	metric_observe(ids[request->result],
	    (gw_now_ms(request->gateway) - request->arrived_ms) * US_PER_MS);
	log_request(request);
}

void
gw_observe_attempt(const struct gw_request *request, uint64_t bytes)
{
	enum crossing_reason crossing = request->decision.crossing;
	bool own = crossing == CROSSING_NONE;

	metric_add(own ? METRIC_ATTEMPTS_OWN_DOMAIN
		       : METRIC_ATTEMPTS_OTHER_DOMAIN,
	    1);
	metric_add(own ? METRIC_BYTES_OWN_DOMAIN : METRIC_BYTES_OTHER_DOMAIN,
	    bytes);
	if (crossing == CROSSING_REFUSED || crossing == CROSSING_ALONE)
		metric_add(METRIC_ATTEMPTS_REFUSED_AT_HOME, 1);
}

void
gw_observe_peer_stop(uint64_t node_id, const struct drain_admission *admission,
    uint64_t now_ms)
{
	char node[TEXT_BYTES], elapsed[TEXT_BYTES], grace[TEXT_BYTES];

	g_snprintf(node, TEXT_BYTES, "%016" G_GINT64_MODIFIER "x", node_id);
	g_snprintf(elapsed, TEXT_BYTES, "%" G_GUINT64_FORMAT,
	    now_ms - admission->signal_ms);
	g_snprintf(grace, TEXT_BYTES, "%u", admission->grace_ms);
	log_event(LOG_LEVEL_INFO, "peer_stops", "node", node, "elapsed_ms",
	    elapsed, "grace_ms", grace, NULL);
}
