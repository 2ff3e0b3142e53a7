#include "core/dispatch_private.h"

static struct dispatch_budget *
budget_of(struct dispatch *dispatch, uint64_t pool_id)
{
	struct dispatch_budget *budget = g_hash_table_lookup(dispatch->budgets,
	    &pool_id);

	if (budget == NULL) {
		budget = g_new0(struct dispatch_budget, 1);
		budget->pool_id = pool_id;
		g_hash_table_insert(dispatch->budgets, &budget->pool_id,
		    budget);
	}
	return budget;
}

/* Moves the window on. */
static void
update_window(struct dispatch_budget *budget, uint64_t window_ms,
    uint64_t now_ms)
{
	bool missed = now_ms >= budget->window_start_ms + 2 * window_ms;

	if (now_ms < budget->window_start_ms + window_ms)
		return;
	budget->requests_count[1] = missed ? 0 : budget->requests_count[0];
	budget->repeats_count[1] = missed ? 0 : budget->repeats_count[0];
	budget->requests_count[0] = 0;
	budget->repeats_count[0] = 0;
	budget->window_start_ms = now_ms;
}

void
dispatch_count_request(struct dispatch *dispatch, uint64_t pool_id,
    uint64_t now_ms)
{
	struct dispatch_budget *budget = budget_of(dispatch, pool_id);

	update_window(budget, dispatch->config.repeat_window_ms, now_ms);
	budget->requests_count[0]++;
}

/* The repeats of two windows stay within what one of them allows, so that no
 * span as long as a window holds more. */
bool
dispatch_allow_repeat(struct dispatch *dispatch, uint64_t pool_id,
    uint64_t now_ms)
{
	const struct dispatch_config *config = &dispatch->config;
	struct dispatch_budget *budget = budget_of(dispatch, pool_id);
	uint64_t both, most, allowed;

	update_window(budget, config->repeat_window_ms, now_ms);
	both = (uint64_t)budget->requests_count[0] + budget->requests_count[1];
	most = MAX(budget->requests_count[0], budget->requests_count[1]);
	allowed = MIN(both / 2, most) * config->repeat_percent / 100 +
	    config->repeat_slack_count / dispatch->daemons_most_count / 2;
	if ((uint64_t)budget->repeats_count[0] + budget->repeats_count[1] >=
	    allowed)
		return false;
	budget->repeats_count[0]++;
	return true;
}
