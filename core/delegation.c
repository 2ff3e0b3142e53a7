#include "core/delegation.h"

#include <string.h>

#include "core/delegation_private.h"
#include "core/dispatch_private.h"
#include "core/hash.h"

/* A hub that takes longer to answer is given up. */
#define ANSWER_TIMEOUT_MS 120u
#define RETRY_AFTER_MS 500u

void
delegation_init(struct delegation *delegation, struct dispatch *dispatch,
    uint64_t process_id)
{
	uint64_t words[] = { dispatch->config.node_id, process_id };

	memset(delegation, 0, sizeof(*delegation));
	delegation->dispatch = dispatch;
	delegation->next_attempt_id = hash_bytes(words, sizeof(words));
	delegation->questions = g_hash_table_new_full(g_int64_hash,
	    g_int64_equal, NULL, g_free);
	delegation->attempts = g_hash_table_new_full(g_int64_hash,
	    g_int64_equal, NULL, g_free);
	delegation->hubs = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, delegation_hub_free);
}

void
delegation_finish(struct delegation *delegation)
{
	g_hash_table_destroy(delegation->questions);
	g_hash_table_destroy(delegation->attempts);
	g_hash_table_destroy(delegation->hubs);
}

static void
start_attempt(struct delegation *delegation,
    const struct delegation_question *question, uint64_t hub_id,
    uint64_t now_ms)
{
	const struct dispatch_decision *decision = &question->decision;
	struct delegation_attempt *attempt = g_new0(struct delegation_attempt,
	    1);

	attempt->attempt_id = question->attempt_id;
	attempt->hub_id = hub_id;
	attempt->endpoint_id = decision->endpoint_id;
	attempt->process_start_ms = decision->process_start_ms;
	attempt->started_ms = now_ms;
	attempt->prefill_tokens = (uint32_t)decision->prefill_tokens;
	attempt->kv_tokens = (uint32_t)decision->kv_tokens;
	g_hash_table_insert(delegation->attempts, &attempt->attempt_id,
	    attempt);
}

static void
finish_question(const struct dispatch *dispatch,
    struct delegation_question *question, struct effects *effects)
{
	question->decided = true;
	dispatch_set_crossing(dispatch, &question->decision);
	question->decision.seq = question->attempt_id;
	question->decision.own_list = dispatch_report_freshness(dispatch,
	    RESOURCE_ENDPOINTS);
	effects_add(effects, EFFECT_DECIDED)->seq = question->attempt_id;
}

/* Decides here: as the hub of the endpoints, or since no hub can be asked. */
static void
decide_here(struct delegation *delegation, struct delegation_question *question,
    bool as_hub, uint64_t now_ms, struct effects *effects)
{
	const struct dispatch_origin origin = {
		.node_id = delegation_own_id(delegation),
		.attempt_id = question->attempt_id,
		.own_endpoints = as_hub,
	};

	dispatch_place(delegation->dispatch, &question->request, &origin,
	    now_ms, &question->decision);
	question->decision.hub_id = delegation_own_id(delegation);
	question->decision.hub_list =
	    dispatch_report_freshness(delegation->dispatch, RESOURCE_ENDPOINTS);
	if (question->decision.start)
		start_attempt(delegation, question,
		    delegation_own_id(delegation), now_ms);
	finish_question(delegation->dispatch, question, effects);
}

static void
send_question(struct delegation_question *question, uint64_t hub_id,
    struct effects *effects)
{
	const struct dispatch_request *request = &question->request;
	struct msg_place_request *asked =
	    &effects_send(effects, hub_id, MSG_PLACE_REQUEST)->u.place_request;

	asked->attempt_id = question->attempt_id;
	asked->pool_id = request->pool_id;
	asked->account_id = request->account_id;
	asked->request_hash = request->request_hash;
	memcpy(asked->segments, request->segments, sizeof(asked->segments));
	asked->segments_count = request->segments_count;
	memcpy(asked->tried_ids, request->tried_ids, sizeof(asked->tried_ids));
	asked->tried_count = request->tried_count;
	asked->prompt_tokens = request->prompt_tokens;
	asked->response_tokens = request->response_tokens;
	asked->latency_target_ms = request->latency_target_ms;
	asked->remaining_ms = request->remaining_ms;
	asked->asked_before = request->asked_before;
	asked->body_bytes = request->body_bytes;
	asked->domain_id = request->domain_id;
	asked->delays = request->delays;
}

/* Asks the next hub. @return false if there is none */
static bool
ask_next_hub(struct delegation *delegation,
    struct delegation_question *question, uint64_t now_ms,
    struct effects *effects)
{
	uint64_t hub_id;

	if (question->hubs_count == DELEGATION_HUBS_MAX_COUNT)
		return false;
	hub_id = delegation_choose_hub(delegation, question, now_ms);
	if (hub_id == 0)
		return false;
	question->request.asked_before = question->hubs_count > 0;
	if (hub_id == delegation_own_id(delegation)) {
		question->hub_ids[question->hubs_count++] = hub_id;
		decide_here(delegation, question, true, now_ms, effects);
		return true;
	}
	send_question(question, hub_id, effects);
	question->hub_ids[question->hubs_count++] = hub_id;
	question->sent_ms = now_ms;
	return true;
}

uint64_t
delegation_submit(struct delegation *delegation,
    const struct dispatch_request *request, uint64_t now_ms,
    struct effects *effects)
{
	struct delegation_question *question =
	    g_new0(struct delegation_question, 1);

	question->attempt_id = delegation->next_attempt_id++;
	question->request = *request;
	dispatch_name_own_domain(delegation->dispatch, &question->request);
	g_hash_table_insert(delegation->questions, &question->attempt_id,
	    question);
	if (!dispatch_check_budget(delegation->dispatch, request, now_ms,
		&question->decision) ||
	    !dispatch_check_blocked(delegation->dispatch, request, now_ms,
		&question->decision))
		finish_question(delegation->dispatch, question, effects);
	else if (!ask_next_hub(delegation, question, now_ms, effects))
		decide_here(delegation, question, false, now_ms, effects);
	return question->attempt_id;
}

bool
delegation_take(struct delegation *delegation, uint64_t attempt_id,
    struct dispatch_decision *decision)
{
	const struct delegation_question *question =
	    g_hash_table_lookup(delegation->questions, &attempt_id);

	if (question == NULL || !question->decided)
		return false;
	*decision = question->decision;
	g_hash_table_remove(delegation->questions, &attempt_id);
	return true;
}

static void
read_placement(const struct msg *msg, struct dispatch_decision *decision)
{
	const struct msg_placement *placement = &msg->u.placement;
	struct dispatch_forecast *forecast = &decision->forecast;

	memset(decision, 0, sizeof(*decision));
	decision->start = placement->start != 0;
	decision->reason = (enum refuse_reason)placement->reason;
	decision->endpoint_id = placement->endpoint_id;
	memcpy(decision->name, placement->name, ENDPOINT_NAME_MAX_BYTES);
	memcpy(decision->address, placement->address, ADDRESS_MAX_BYTES);
	decision->process_start_ms = placement->process_start_ms;
	decision->hub_id = msg->from_node_id;
	decision->hub_list = placement->list;
	decision->prefill_tokens = placement->prefill_tokens;
	decision->kv_tokens = placement->kv_tokens;
	decision->retry_after_ms = placement->retry_after_ms;
	decision->rejection_hold_ms = placement->rejection_hold_ms;
	forecast->backlog_ms = placement->backlog_ms;
	forecast->prefill_ms = placement->prefill_ms;
	forecast->first_token_ms = placement->first_token_ms;
	forecast->admission_limit_ms = placement->admission_limit_ms;
	forecast->running_count = placement->running_count;
	forecast->share_permille = placement->share_permille;
	forecast->over_share = placement->over_share != 0;
	decision->crossing = (enum crossing_reason)placement->crossing;
}

/* Another hub may have room where this one has none. */
static bool
may_ask_again(enum refuse_reason reason)
{
	return reason == REFUSE_QUEUE_FULL || reason == REFUSE_NO_ENDPOINT ||
	    reason == REFUSE_ENDPOINT_LIMIT;
}

/* Tells a hub that has just started of an endpoint's limit. */
static void
send_limit(const struct dispatch_endpoint *endpoint, uint64_t hub_id,
    uint64_t now_ms, struct effects *effects)
{
	const struct reported_limit limit = {
		.endpoint_id = endpoint->endpoint_id,
		.per_1000_s = endpoint->limit.per_1000_s,
		.age_ms = (uint32_t)(now_ms - endpoint->limit.evidence_ms),
	};
	struct msg_endpoint_limits *limits = &effects_send(effects, hub_id,
	    MSG_ENDPOINT_LIMITS)
						  ->u.endpoint_limits;

	limits->count = 1;
	limits->items = g_memdup2(&limit, sizeof(limit));
}

/* @return whether this daemon knows of no reason against a hub's placement */
static bool
accepts_placement(const struct delegation *delegation,
    const struct msg_placement *placement, uint64_t hub_id, uint64_t now_ms,
    struct effects *effects)
{
	const struct dispatch_endpoint *endpoint =
	    g_hash_table_lookup(delegation->dispatch->endpoints,
		&placement->endpoint_id);

	if (dispatch_is_gone(delegation->dispatch, placement->endpoint_id,
		placement->process_start_ms))
		return false;
	/* it may have gone before this daemon started */
	if (endpoint == NULL &&
	    dispatch_list_covers(delegation->dispatch,
		placement->endpoint_revision))
		return false;
	/* the hub may have discovered it first, or its next process */
	if (endpoint == NULL ||
	    endpoint->info.process_start_ms < placement->process_start_ms)
		return placement->address[0] != '\0';
	if (!dispatch_may_send_to(delegation->dispatch, endpoint, now_ms))
		return false;
	/* the hub does not know yet that the endpoint is cold */
	if (endpoint->info.revision > placement->endpoint_revision &&
	    dispatch_is_cold(delegation->dispatch, endpoint, now_ms))
		return false;
	if (placement->limit_per_1000_s > 0 ||
	    !endpoint_limit_in_force(&endpoint->limit, now_ms))
		return true;
	send_limit(endpoint, hub_id, now_ms, effects);
	return false;
}

/* Lets the same hub be asked again, for another endpoint. The hub takes its
 * placement back when it sees that the endpoint is left out.
 * @return false if too many endpoints are left out */
static bool
leave_out(struct delegation_question *question, uint64_t endpoint_id)
{
	struct dispatch_request *request = &question->request;

	if (request->tried_count == TRIED_MAX_COUNT)
		return false;
	request->tried_ids[request->tried_count++] = endpoint_id;
	question->hubs_count--;
	return true;
}

static void
use_placement(struct delegation *delegation,
    struct delegation_question *question, const struct msg *msg,
    uint64_t now_ms, struct effects *effects)
{
	struct dispatch_decision *decision = &question->decision;
	uint64_t hub_id = msg->from_node_id;

	if (accepts_placement(delegation, &msg->u.placement, hub_id, now_ms,
		effects)) {
		start_attempt(delegation, question, hub_id, now_ms);
		finish_question(delegation->dispatch, question, effects);
		return;
	}
	if (!leave_out(question, decision->endpoint_id))
		delegation_release(delegation, hub_id, question->attempt_id,
		    OUTCOME_UNUSED, now_ms, effects);
	decision->start = false;
	decision->reason = REFUSE_NO_ENDPOINT;
	decision->retry_after_ms =
	    dispatch_cap_retry_after_ms(&question->request, RETRY_AFTER_MS);
	if (!ask_next_hub(delegation, question, now_ms, effects))
		finish_question(delegation->dispatch, question, effects);
}

void
delegation_handle_placement(struct delegation *delegation,
    const struct msg *msg, uint64_t now_ms, struct effects *effects)
{
	const struct msg_placement *placement = &msg->u.placement;
	struct delegation_question *question =
	    g_hash_table_lookup(delegation->questions, &placement->attempt_id);
	uint64_t hub_id = msg->from_node_id;

	delegation_hub_answered(delegation, hub_id);
	if (question == NULL || question->decided ||
	    question->hub_ids[question->hubs_count - 1] != hub_id) {
		/* too late: the request was decided otherwise */
		if (placement->start)
			delegation_release(delegation, hub_id,
			    placement->attempt_id, OUTCOME_UNUSED, now_ms,
			    effects);
		return;
	}
	read_placement(msg, &question->decision);
	if (question->decision.start)
		use_placement(delegation, question, msg, now_ms, effects);
	else if (!may_ask_again(question->decision.reason) ||
	    !ask_next_hub(delegation, question, now_ms, effects))
		finish_question(delegation->dispatch, question, effects);
}

static bool
is_overdue(const struct delegation_question *question, uint64_t now_ms)
{
	return !question->decided &&
	    now_ms >= question->sent_ms + ANSWER_TIMEOUT_MS;
}

static GPtrArray *
find_overdue(const struct delegation *delegation, uint64_t now_ms)
{
	GPtrArray *overdue = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, delegation->questions);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (is_overdue(value, now_ms))
			g_ptr_array_add(overdue, value);
	return overdue;
}

/* This daemon itself was suspended: the hubs are not to blame. */
static void
extend_questions(struct delegation *delegation, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, delegation->questions);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct delegation_question *)value)->sent_ms = now_ms;
}

static void
handle_overdue(struct delegation *delegation, uint64_t now_ms,
    struct effects *effects)
{
	GPtrArray *overdue = find_overdue(delegation, now_ms);

	for (guint i = 0; i < overdue->len; i++) {
		struct delegation_question *question = overdue->pdata[i];
		uint64_t hub_id = question->hub_ids[question->hubs_count - 1];

		delegation_give_up_hub(delegation, hub_id, now_ms);
		/* frees what the hub may have kept for the attempt */
		delegation_release(delegation, hub_id, question->attempt_id,
		    OUTCOME_UNUSED, now_ms, effects);
		if (!ask_next_hub(delegation, question, now_ms, effects))
			decide_here(delegation, question, false, now_ms,
			    effects);
	}
	g_ptr_array_free(overdue, TRUE);
}

void
delegation_tick(struct delegation *delegation, uint64_t now_ms,
    struct effects *effects)
{
	if (now_ms > delegation->ticked_ms + PAUSE_MIN_MS)
		extend_questions(delegation, now_ms);
	delegation->ticked_ms = now_ms;
	handle_overdue(delegation, now_ms, effects);
	delegation_tell_hubs(delegation, now_ms, effects);
}
