#include "core/dispatch_private.h"

/* Limits in force are announced again after this time, for daemons that missed
 * an announcement. */
#define REFRESH_PERIOD_MS 2000u

void
dispatch_record_limit(struct dispatch *dispatch, uint64_t seq,
    uint32_t per_1000_s, uint64_t now_ms)
{
	const struct dispatch_attempt *attempt =
	    g_hash_table_lookup(dispatch->attempts, &seq);
	struct dispatch_endpoint *endpoint = attempt == NULL
	    ? NULL
	    : g_hash_table_lookup(dispatch->endpoints, &attempt->endpoint_id);

	if (endpoint == NULL)
		return;
	if (per_1000_s > 0)
		endpoint_limit_set(&endpoint->limit, per_1000_s, now_ms,
		    now_ms);
	else if (endpoint->limit.per_1000_s > 0)
		/* the response may be older than one that named the limit */
		endpoint_limit_set(&endpoint->limit, 0, attempt->started_ms,
		    now_ms);
}

void
dispatch_handle_endpoint_limits(struct dispatch *dispatch,
    const struct msg *msg, uint64_t now_ms)
{
	const struct msg_endpoint_limits *limits = &msg->u.endpoint_limits;

	for (uint32_t i = 0; i < limits->count; i++) {
		const struct reported_limit *item = &limits->items[i];
		struct dispatch_endpoint *endpoint =
		    g_hash_table_lookup(dispatch->endpoints,
			&item->endpoint_id);
		if (endpoint != NULL)
			endpoint_limit_set(&endpoint->limit, item->per_1000_s,
			    now_ms - MIN(item->age_ms, now_ms), now_ms);
	}
}

static void
log_change(struct dispatch_endpoint *endpoint, struct effects *effects)
{
	struct effect *effect;

	if (!endpoint->limit.to_log)
		return;
	endpoint->limit.to_log = false;
	effect = effects_add(effects, EFFECT_LIMIT_CHANGED);
	effect->endpoint_id = endpoint->endpoint_id;
	effect->limit_per_1000_s = endpoint->limit.per_1000_s;
}

static void
collect_limit(struct dispatch_endpoint *endpoint, bool refresh, uint64_t now_ms,
    GArray *items)
{
	struct endpoint_limit *limit = &endpoint->limit;
	struct reported_limit item = {
		.endpoint_id = endpoint->endpoint_id,
		.per_1000_s = limit->per_1000_s,
		.age_ms = (uint32_t)MIN(now_ms - limit->evidence_ms,
		    UINT32_MAX),
	};

	if (!limit->to_announce &&
	    !(refresh && endpoint_limit_in_force(limit, now_ms)))
		return;
	limit->to_announce = false;
	g_array_append_val(items, item);
}

static void
fill_message(const GArray *items, struct msg *msg)
{
	msg->u.endpoint_limits.count = items->len;
	msg->u.endpoint_limits.items = g_memdup2(items->data,
	    items->len * sizeof(struct reported_limit));
}

void
dispatch_tick_limits(struct dispatch *dispatch, uint64_t now_ms,
    struct effects *effects)
{
	bool refresh = now_ms >= dispatch->limits_refresh_due_ms;
	GArray *items = g_array_new(FALSE, FALSE,
	    sizeof(struct reported_limit));
	GHashTableIter iter;
	gpointer value;

	if (refresh)
		dispatch->limits_refresh_due_ms = now_ms + REFRESH_PERIOD_MS;
	g_hash_table_iter_init(&iter, dispatch->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		log_change(value, effects);
		dispatch_log_cold(dispatch, value, now_ms, effects);
		if (items->len < ENDPOINTS_MAX_COUNT)
			collect_limit(value, refresh, now_ms, items);
	}
	if (items->len > 0)
		dispatch_send_to_peers(dispatch, MSG_ENDPOINT_LIMITS,
		    fill_message, items, effects);
	g_array_free(items, TRUE);
}
