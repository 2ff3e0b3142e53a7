#include <string.h>

#include "core/dispatch_private.h"

static void
read_request(const struct msg_place_request *asked,
    struct dispatch_request *request)
{
	memset(request, 0, sizeof(*request));
	request->pool_id = asked->pool_id;
	request->account_id = asked->account_id;
	request->request_hash = asked->request_hash;
	memcpy(request->segments, asked->segments, sizeof(request->segments));
	request->segments_count = asked->segments_count;
	request->prompt_tokens = asked->prompt_tokens;
	request->response_tokens = asked->response_tokens;
	request->latency_target_ms = asked->latency_target_ms;
	request->remaining_ms = asked->remaining_ms;
	memcpy(request->tried_ids, asked->tried_ids,
	    sizeof(request->tried_ids));
	request->tried_count = asked->tried_count;
	request->asked_before = asked->asked_before != 0;
	request->body_bytes = asked->body_bytes;
	request->domain_id = asked->domain_id;
	request->delays = asked->delays;
}

static void
write_placement(const struct dispatch_decision *decision,
    struct msg_placement *placement)
{
	const struct dispatch_forecast *forecast = &decision->forecast;

	placement->start = decision->start;
	placement->reason = (uint8_t)decision->reason;
	placement->endpoint_id = decision->endpoint_id;
	placement->prefill_tokens = MIN(decision->prefill_tokens, UINT32_MAX);
	placement->kv_tokens = MIN(decision->kv_tokens, UINT32_MAX);
	placement->retry_after_ms = decision->retry_after_ms;
	placement->rejection_hold_ms = decision->rejection_hold_ms;
	placement->backlog_ms = forecast->backlog_ms;
	placement->prefill_ms = forecast->prefill_ms;
	placement->first_token_ms = forecast->first_token_ms;
	placement->admission_limit_ms = forecast->admission_limit_ms;
	placement->running_count = forecast->running_count;
	placement->share_permille = forecast->share_permille;
	placement->over_share = forecast->over_share;
	placement->crossing = (uint8_t)decision->crossing;
}

static void
write_endpoint(const struct dispatch *dispatch,
    const struct dispatch_decision *decision, struct msg_placement *placement)
{
	const struct dispatch_endpoint *endpoint =
	    g_hash_table_lookup(dispatch->endpoints, &decision->endpoint_id);

	memcpy(placement->name, decision->name, ENDPOINT_NAME_MAX_BYTES);
	memcpy(placement->address, decision->address, ADDRESS_MAX_BYTES);
	placement->process_start_ms = endpoint->info.process_start_ms;
	placement->endpoint_revision = endpoint->info.revision;
	placement->limit_per_1000_s = endpoint->limit.per_1000_s;
}

/* Ends an earlier placement of the same attempt whose endpoint the request leaves
 * out now. @return false if the message is a copy of an earlier one */
static bool
take_back(struct dispatch *dispatch, const struct dispatch_request *request,
    const struct dispatch_origin *origin, uint64_t now_ms)
{
	const struct dispatch_attempt *attempt =
	    g_hash_table_lookup(dispatch->attempts, &origin->attempt_id);

	if (attempt == NULL)
		return true;
	if (attempt->node_id != origin->node_id ||
	    !dispatch_was_tried(request, attempt->endpoint_id))
		return false;
	dispatch_finish_attempt(dispatch, origin->attempt_id, OUTCOME_UNUSED,
	    UINT32_MAX, now_ms, NULL);
	return true;
}

void
dispatch_handle_place_request(struct dispatch *dispatch, const struct msg *msg,
    uint64_t now_ms, struct effects *effects)
{
	const struct msg_place_request *asked = &msg->u.place_request;
	const struct dispatch_origin origin = {
		.node_id = msg->from_node_id,
		.attempt_id = asked->attempt_id,
		.own_endpoints = true,
	};
	struct dispatch_decision decision;
	struct dispatch_request request;
	struct msg_placement *placement;

	read_request(asked, &request);
	if (!take_back(dispatch, &request, &origin, now_ms))
		return;
	dispatch_place(dispatch, &request, &origin, now_ms, &decision);
	placement = &effects_send(effects, msg->from_node_id, MSG_PLACEMENT)
			 ->u.placement;
	placement->attempt_id = asked->attempt_id;
	placement->list = dispatch_report_freshness(dispatch,
	    RESOURCE_ENDPOINTS);
	write_placement(&decision, placement);
	if (decision.start)
		write_endpoint(dispatch, &decision, placement);
}

static void
report_health(uint64_t endpoint_id, const struct dispatch_health_update *update,
    struct effects *effects)
{
	struct effect *effect;

	if (update->change == HEALTH_UNCHANGED)
		return;
	effect = effects_add(effects, EFFECT_HEALTH_CHANGED);
	effect->endpoint_id = endpoint_id;
	effect->ejected = update->change == HEALTH_EJECTED;
	effect->failing_permille = update->failing_permille;
	effect->eject_ms = update->eject_ms;
}

static void
record_statement(struct dispatch *dispatch,
    const struct dispatch_attempt *attempt, const struct attempt_event *event,
    uint64_t now_ms, struct effects *effects)
{
	const struct endpoint_statement statement = {
		.leaving = event->leaving != 0,
		.pause_ms = event->pause_ms,
	};
	struct effect *effect;

	if (!dispatch_record_statement(dispatch, attempt->endpoint_id,
		attempt->process_start_ms, &statement, now_ms))
		return;
	effect = effects_add(effects, EFFECT_STATEMENT);
	effect->endpoint_id = attempt->endpoint_id;
	effect->leaving = statement.leaving;
	effect->pause_ms = statement.pause_ms;
}

void
dispatch_apply_event(struct dispatch *dispatch, uint64_t node_id,
    const struct attempt_event *event, uint64_t now_ms, struct effects *effects)
{
	const struct dispatch_attempt *attempt =
	    g_hash_table_lookup(dispatch->attempts, &event->attempt_id);
	struct dispatch_health_update update;
	uint64_t endpoint_id;

	if (attempt == NULL || attempt->node_id != node_id)
		return;
	endpoint_id = attempt->endpoint_id;
	switch (event->kind) {
	case ATTEMPT_BEGAN:
		dispatch_begin_attempt(dispatch, event->attempt_id,
		    event->taken_ms, event->pace_percent, now_ms);
		break;
	case ATTEMPT_ENDED:
		dispatch_finish_attempt(dispatch, event->attempt_id,
		    (enum dispatch_outcome)MIN(event->outcome, OUTCOME_UNUSED),
		    event->taken_ms, now_ms, &update);
		report_health(endpoint_id, &update, effects);
		break;
	case ATTEMPT_LIMIT:
		dispatch_record_limit(dispatch, event->attempt_id,
		    event->limit_per_1000_s, now_ms);
		break;
	case ATTEMPT_STATEMENT:
		record_statement(dispatch, attempt, event, now_ms, effects);
		break;
	default:
		break;
	}
}

void
dispatch_handle_attempt_events(struct dispatch *dispatch, const struct msg *msg,
    uint64_t now_ms, struct effects *effects)
{
	const struct msg_attempt_events *events = &msg->u.attempt_events;

	for (uint32_t i = 0; i < events->count; i++)
		dispatch_apply_event(dispatch, msg->from_node_id,
		    &events->items[i], now_ms, effects);
}

void
dispatch_handle_running_attempts(struct dispatch *dispatch,
    const struct msg *msg, uint64_t now_ms)
{
	const struct msg_running_attempts *attempts = &msg->u.running_attempts;

	for (uint32_t i = 0; i < attempts->count; i++) {
		const struct running_attempt *running = &attempts->items[i];
		struct dispatch_attempt *attempt =
		    g_hash_table_lookup(dispatch->attempts,
			&running->attempt_id);

		if (attempt != NULL)
			attempt->confirmed_ms = now_ms;
		else
			dispatch_adopt_attempt(dispatch, msg->from_node_id,
			    running, now_ms);
	}
}
