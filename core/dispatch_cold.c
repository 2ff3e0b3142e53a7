#include "core/dispatch_private.h"

static void
find_rule(const struct dispatch *dispatch,
    const struct dispatch_endpoint *endpoint, struct cold_pace_rule *rule)
{
	const struct config_pool *pool = dispatch_find_config_pool(dispatch,
	    endpoint->info.pool_id);

	rule->per_1000_s = pool == NULL ? 0 : pool->cold_per_1000_s;
	rule->start_ms = pool == NULL ? 0 : pool->cold_start_ms;
	rule->overshoot_milli = dispatch->config.cold_overshoot_milli;
	rule->slack_milli = dispatch->config.cold_slack_milli;
}

void
dispatch_record_silence(const struct dispatch *dispatch,
    struct dispatch_endpoint *endpoint, uint64_t now_ms)
{
	struct cold_pace_rule rule;

	find_rule(dispatch, endpoint, &rule);
	cold_pace_record_failure(&endpoint->cold, &rule, endpoint->progress_ms,
	    now_ms);
}

void
dispatch_record_progress(const struct dispatch *dispatch,
    struct dispatch_endpoint *endpoint, uint64_t now_ms)
{
	struct cold_pace_rule rule;

	find_rule(dispatch, endpoint, &rule);
	cold_pace_record_response(&endpoint->cold, &rule, endpoint->progress_ms,
	    now_ms);
	endpoint->progress_ms = now_ms;
}

void
dispatch_presume_cold(const struct dispatch *dispatch,
    struct dispatch_endpoint *endpoint, uint64_t now_ms)
{
	struct cold_pace_rule rule;

	find_rule(dispatch, endpoint, &rule);
	cold_pace_extend(&endpoint->cold, now_ms + rule.start_ms, now_ms);
}

bool
dispatch_is_cold(const struct dispatch *dispatch,
    const struct dispatch_endpoint *endpoint, uint64_t now_ms)
{
	struct cold_pace_rule rule;

	find_rule(dispatch, endpoint, &rule);
	return cold_pace_in_force(&endpoint->cold, &rule, now_ms);
}

/* Only the hub of an endpoint knows how much of its rate is used. */
uint64_t
dispatch_cold_wait_ms(const struct dispatch *dispatch,
    struct dispatch_endpoint *endpoint, uint64_t now_ms)
{
	struct cold_pace_rule rule;

	find_rule(dispatch, endpoint, &rule);
	if (endpoint->hub_id == dispatch->config.node_id)
		return cold_pace_wait_ms(&endpoint->cold, &rule, now_ms);
	return cold_pace_in_force(&endpoint->cold, &rule, now_ms)
	    ? DISPATCH_NOT_HUB_WAIT_MS
	    : 0;
}

void
dispatch_log_cold(const struct dispatch *dispatch,
    struct dispatch_endpoint *endpoint, uint64_t now_ms,
    struct effects *effects)
{
	struct cold_pace *cold = &endpoint->cold;
	struct effect *effect;

	if (!cold->to_log)
		return;
	cold->to_log = false;
	if (endpoint->hub_id != dispatch->config.node_id ||
	    !dispatch_is_cold(dispatch, endpoint, now_ms))
		return;
	effect = effects_add(effects, EFFECT_ENDPOINT_COLD);
	effect->endpoint_id = endpoint->endpoint_id;
	effect->unconfirmed = cold->unconfirmed;
	effect->cold_ms = (uint32_t)(MAX(cold->cold_until_ms, now_ms) - now_ms);
}
