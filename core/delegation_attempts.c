#include "core/delegation_private.h"
#include "core/dispatch_private.h"

/* Time between the lists of all running attempts. */
#define RUNNING_PERIOD_MS 1000u
#define EVENTS_MAX_COUNT (ATTEMPTS_MAX_COUNT / 2)

static void
add_event(struct delegation *delegation, uint64_t hub_id,
    const struct attempt_event *event, uint64_t now_ms, struct effects *effects)
{
	struct delegation_hub *hub;

	if (hub_id == delegation_own_id(delegation)) {
		dispatch_apply_event(delegation->dispatch, hub_id, event,
		    now_ms, effects);
		return;
	}
	hub = delegation_get_hub(delegation, hub_id);
	/* a hub learns the rest from the list of running attempts */
	if (hub->events->len < EVENTS_MAX_COUNT)
		g_array_append_val(hub->events, *event);
}

void
delegation_release(struct delegation *delegation, uint64_t hub_id,
    uint64_t attempt_id, enum dispatch_outcome outcome, uint64_t now_ms,
    struct effects *effects)
{
	const struct attempt_event event = {
		.attempt_id = attempt_id,
		.kind = ATTEMPT_ENDED,
		.outcome = (uint8_t)outcome,
		.taken_ms = UINT32_MAX,
	};

	add_event(delegation, hub_id, &event, now_ms, effects);
}

static struct delegation_attempt *
find_attempt(const struct delegation *delegation, uint64_t attempt_id)
{
	return g_hash_table_lookup(delegation->attempts, &attempt_id);
}

/* @return time since the start of an attempt, UINT32_MAX if this daemon notices
 * responses late */
static uint32_t
measure_ms(const struct delegation *delegation,
    const struct delegation_attempt *attempt, uint64_t now_ms)
{
	return delegation->dispatch->daemon_busy
	    ? UINT32_MAX
	    : (uint32_t)(now_ms - attempt->started_ms);
}

void
delegation_record_first_token(struct delegation *delegation,
    uint64_t attempt_id, uint32_t pace_percent, uint64_t now_ms,
    struct effects *effects)
{
	struct delegation_attempt *attempt = find_attempt(delegation,
	    attempt_id);
	struct attempt_event event = {
		.attempt_id = attempt_id,
		.kind = ATTEMPT_BEGAN,
		.pace_percent = (uint16_t)MIN(pace_percent, UINT16_MAX),
	};

	if (attempt == NULL)
		return;
	attempt->prefill_tokens = 0;
	event.taken_ms = measure_ms(delegation, attempt, now_ms);
	add_event(delegation, attempt->hub_id, &event, now_ms, effects);
}

void
delegation_record_limit(struct delegation *delegation, uint64_t attempt_id,
    uint32_t per_1000_s, uint64_t now_ms, struct effects *effects)
{
	const struct delegation_attempt *attempt = find_attempt(delegation,
	    attempt_id);
	const struct attempt_event event = {
		.attempt_id = attempt_id,
		.kind = ATTEMPT_LIMIT,
		.limit_per_1000_s = per_1000_s,
	};
	const struct dispatch_endpoint *endpoint;

	if (attempt == NULL)
		return;
	endpoint = g_hash_table_lookup(delegation->dispatch->endpoints,
	    &attempt->endpoint_id);
	/* most responses name no limit, and the hub knows of none */
	if (per_1000_s > 0 ||
	    (endpoint != NULL && endpoint->limit.per_1000_s > 0))
		add_event(delegation, attempt->hub_id, &event, now_ms, effects);
}

bool
delegation_record_statement(struct delegation *delegation, uint64_t attempt_id,
    const struct endpoint_statement *statement, uint64_t now_ms,
    struct effects *effects)
{
	const struct delegation_attempt *attempt = find_attempt(delegation,
	    attempt_id);
	const struct attempt_event event = {
		.attempt_id = attempt_id,
		.kind = ATTEMPT_STATEMENT,
		.pause_ms = statement->pause_ms,
		.leaving = statement->leaving,
	};

	if (attempt == NULL)
		return false;
	if (attempt->hub_id != delegation_own_id(delegation))
		add_event(delegation, attempt->hub_id, &event, now_ms, effects);
	return dispatch_record_statement(delegation->dispatch,
	    attempt->endpoint_id, attempt->process_start_ms, statement, now_ms);
}

void
delegation_end_attempt(struct delegation *delegation, uint64_t attempt_id,
    enum dispatch_outcome outcome, uint64_t now_ms, struct effects *effects)
{
	const struct delegation_attempt *attempt = find_attempt(delegation,
	    attempt_id);
	struct attempt_event event = {
		.attempt_id = attempt_id,
		.kind = ATTEMPT_ENDED,
		.outcome = (uint8_t)outcome,
	};

	if (attempt == NULL)
		return;
	if (outcome != OUTCOME_CANCELLED && outcome != OUTCOME_UNUSED)
		dispatch_record_reached(delegation->dispatch,
		    attempt->endpoint_id, outcome != OUTCOME_UNREACHED, now_ms);
	event.taken_ms = measure_ms(delegation, attempt, now_ms);
	add_event(delegation, attempt->hub_id, &event, now_ms, effects);
	g_hash_table_remove(delegation->attempts, &attempt_id);
}

static void
send_events(struct delegation_hub *hub, struct effects *effects)
{
	struct msg_attempt_events *events;

	if (hub->events->len == 0)
		return;
	events = &effects_send(effects, hub->node_id, MSG_ATTEMPT_EVENTS)
		      ->u.attempt_events;
	events->count = hub->events->len;
	events->items = g_memdup2(hub->events->data,
	    hub->events->len * sizeof(struct attempt_event));
	g_array_set_size(hub->events, 0);
}

/* Moves attempts whose endpoints are assigned to another hub now. */
static bool
follow_assignment(struct delegation *delegation, uint64_t now_ms,
    struct effects *effects)
{
	bool moved = false;
	GHashTableIter iter;
	gpointer value;

	dispatch_assign_endpoints(delegation->dispatch);
	g_hash_table_iter_init(&iter, delegation->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct delegation_attempt *attempt = value;
		const struct dispatch_endpoint *endpoint =
		    g_hash_table_lookup(delegation->dispatch->endpoints,
			&attempt->endpoint_id);

		if (endpoint == NULL || endpoint->hub_id == attempt->hub_id)
			continue;
		delegation_release(delegation, attempt->hub_id,
		    attempt->attempt_id, OUTCOME_CANCELLED, now_ms, effects);
		attempt->hub_id = endpoint->hub_id;
		moved = true;
	}
	return moved;
}

static GArray *
collect_running(const struct delegation *delegation, uint64_t hub_id)
{
	GArray *items = g_array_new(FALSE, FALSE,
	    sizeof(struct running_attempt));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, delegation->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct delegation_attempt *attempt = value;
		struct running_attempt item = { attempt->attempt_id,
			attempt->endpoint_id, attempt->prefill_tokens,
			attempt->kv_tokens };

		if (attempt->hub_id == hub_id &&
		    items->len < ATTEMPTS_MAX_COUNT)
			g_array_append_val(items, item);
	}
	return items;
}

static void
adopt_running(struct delegation *delegation, const GArray *items,
    uint64_t now_ms)
{
	struct msg msg = { .from_node_id = delegation_own_id(delegation) };

	msg.u.running_attempts.items = (void *)items->data;
	msg.u.running_attempts.count = items->len;
	dispatch_handle_running_attempts(delegation->dispatch, &msg, now_ms);
}

static void
send_running(struct delegation *delegation, struct delegation_hub *hub,
    uint64_t now_ms, struct effects *effects)
{
	GArray *items = collect_running(delegation, hub->node_id);
	struct msg_running_attempts *attempts;

	if (hub->node_id == delegation_own_id(delegation))
		adopt_running(delegation, items, now_ms);
	else if (items->len > 0 || hub->told) {
		hub->told = items->len > 0;
		attempts = &effects_send(effects, hub->node_id,
		    MSG_RUNNING_ATTEMPTS)
				->u.running_attempts;
		attempts->count = items->len;
		attempts->items = g_memdup2(items->data,
		    items->len * sizeof(struct running_attempt));
	}
	g_array_free(items, TRUE);
}

void
delegation_tell_hubs(struct delegation *delegation, uint64_t now_ms,
    struct effects *effects)
{
	bool running_due = follow_assignment(delegation, now_ms, effects) ||
	    now_ms >= delegation->running_due_ms;
	const GArray *hub_ids = delegation->dispatch->hub_ids;
	GHashTableIter iter;
	gpointer value;

	if (running_due) {
		delegation->running_due_ms = now_ms + RUNNING_PERIOD_MS;
		for (guint i = 0; i < hub_ids->len; i++)
			delegation_get_hub(delegation,
			    g_array_index(hub_ids, uint64_t, i));
	}
	g_hash_table_iter_init(&iter, delegation->hubs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		send_events(value, effects);
		if (running_due)
			send_running(delegation, value, now_ms, effects);
	}
}
