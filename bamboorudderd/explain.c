#include "bamboorudderd/explain.h"

#include <string.h>

#include "bamboorudderd/control_private.h"
#include "bamboorudderd/dump.h"
#include "bamboorudderd/gateway_private.h"
#include "core/dispatch_explain.h"
#include "core/hash.h"

static json_t *
make_option(const struct control *control, const struct dispatch_option *option,
    uint64_t now_ms)
{
	const struct dispatch_endpoint *endpoint = option->endpoint;
	json_int_t first_token_ms = (json_int_t)option->wait_ms +
	    (json_int_t)option->prefill_ms + endpoint->engine.first_token_ms;
	json_t *json = json_pack("{s:s, s:s, s:s, s:b}", "endpoint",
	    endpoint->info.name, "state",
	    dump_endpoint_state(&control->dispatch, endpoint, now_ms), "domain",
	    option->own_domain ? "own" : "other", "decided_here",
	    endpoint->hub_id == control->dispatch.config.node_id);

	if (!option->evaluated)
		return json;
	json_object_update_new(json,
	    json_pack("{s:I, s:I, s:I, s:I, s:I, s:I}", "wait_ms",
		(json_int_t)option->wait_ms, "prefill_ms",
		(json_int_t)option->prefill_ms, "uncached_tokens",
		(json_int_t)option->uncached_tokens, "first_token_ms",
		first_token_ms, "closed_ms", (json_int_t)option->closed_ms,
		"cost_ms",
		(json_int_t)MIN(option->cost_ms, (uint64_t)INT64_MAX)));
	json_object_set_new(json, "crossing_ms",
	    option->crossing_ms == UINT64_MAX
		? json_string("too far")
		: json_integer((json_int_t)option->crossing_ms));
	return json;
}

static json_t *
make_explanation(struct control *control,
    const struct dispatch_explanation *explanation, uint64_t hub_id,
    uint64_t now_ms)
{
	const struct dispatch_decision *decision = &explanation->decision;
	const struct dispatch_forecast *forecast = &decision->forecast;
	json_t *options = json_array();

	for (guint i = 0; i < explanation->options->len; i++)
		json_array_append_new(options,
		    make_option(control,
			&g_array_index(explanation->options,
			    struct dispatch_option, i),
			now_ms));
	return json_pack("{s:b, s:s, s:s, s:I, s:s, s:s, s:b, s:I, s:I, s:I, "
			 "s:o}",
	    "admitted", decision->start, "endpoint",
	    decision->name[0] == '\0' ? "-" : decision->name, "refused_as",
	    decision->start ? "-" : gw_refusal_outcome(decision->reason),
	    "retry_after_ms", (json_int_t)decision->retry_after_ms, "leaves",
	    domain_crossing_reason_name(decision->crossing), "decided_by",
	    hub_id == 0 ? "-" : control_node_address(control, hub_id),
	    "decided_here", hub_id == control->dispatch.config.node_id,
	    "first_token_ms", (json_int_t)forecast->first_token_ms, "limit_ms",
	    (json_int_t)forecast->admission_limit_ms, "share_permille",
	    (json_int_t)forecast->share_permille, "endpoints", options);
}

static const struct config_account *
find_account(const struct config_snapshot *configuration, const char *name)
{
	for (guint i = 0; i < configuration->accounts->len; i++) {
		const struct config_account *account =
		    &g_array_index(configuration->accounts,
			struct config_account, i);

		if (strcmp(account->name, name) == 0)
			return account;
	}
	return NULL;
}

json_t *
explain_request(struct control *control,
    const struct explain_question *question)
{
	const struct config_snapshot *configuration = control->dispatch
							  .configuration;
	const struct config_route *route = configuration == NULL
	    ? NULL
	    : config_snapshot_find_route(configuration, question->host,
		  question->path);
	const struct config_account *account = configuration == NULL
	    ? NULL
	    : find_account(configuration, question->account);
	uint64_t now_ms = clk_monotonic_ms(&control->clk), hub_id;
	struct dispatch_explanation explanation;
	struct dispatch_request request = { 0 };
	json_t *json;

	if (route == NULL)
		return json_pack("{s:s}", "unknown", "route");
	if (account == NULL && question->account[0] != '\0')
		return json_pack("{s:s}", "unknown", "account");
	gw_describe_request(&question->head, route, account,
	    hash_bytes(question->path, strlen(question->path)), &request);
	request.body_bytes = question->body_bytes;
	request.remaining_ms = route->timeout_ms;
	hub_id = delegation_preview_hub(&control->delegation, &request, now_ms);
	dispatch_name_own_domain(&control->dispatch, &request);
	dispatch_explain(&control->dispatch, &request,
	    hub_id == control->dispatch.config.node_id, now_ms, &explanation);
	json = make_explanation(control, &explanation, hub_id, now_ms);
	json_object_set_new(json, "route", json_string(route->name));
	dispatch_explanation_finish(&explanation);
	return json;
}
