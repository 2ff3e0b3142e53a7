#include "core/dispatch_private.h"

#define MILLI_PER_RETRY 1000u

static struct dispatch_retry_budget *
budget_of(struct dispatch *dispatch, uint64_t pool_id)
{
	struct dispatch_retry_budget *budget =
	    g_hash_table_lookup(dispatch->budgets, &pool_id);

	if (budget == NULL) {
		budget = g_new0(struct dispatch_retry_budget, 1);
		budget->pool_id = pool_id;
		g_hash_table_insert(dispatch->budgets, &budget->pool_id,
		    budget);
	}
	return budget;
}

/* Starts a new window if the current one is over. */
static void
advance_window(struct dispatch_retry_budget *budget, uint64_t window_ms,
    uint64_t now_ms)
{
	bool windows_skipped = now_ms >=
	    budget->window_start_ms + 2 * window_ms;

	if (now_ms < budget->window_start_ms + window_ms)
		return;
	budget->requests_count[1] = windows_skipped ? 0
						    : budget->requests_count[0];
	budget->retries_count[1] = windows_skipped ? 0
						   : budget->retries_count[0];
	budget->requests_count[0] = 0;
	budget->retries_count[0] = 0;
	budget->window_start_ms = now_ms;
}

void
dispatch_count_request(struct dispatch *dispatch, uint64_t pool_id,
    uint64_t now_ms)
{
	struct dispatch_retry_budget *budget = budget_of(dispatch, pool_id);

	advance_window(budget, dispatch->config.retry_window_ms, now_ms);
	budget->requests_count[0]++;
}

/* The retries of the current and the previous window together stay within what
 * one window allows, so that no period as long as a window exceeds the
 * budget. */
bool
dispatch_take_retry(struct dispatch *dispatch, uint64_t pool_id,
    uint64_t now_ms)
{
	const struct dispatch_config *config = &dispatch->config;
	struct dispatch_retry_budget *budget = budget_of(dispatch, pool_id);
	uint64_t both_windows, larger_window, allowed_milli;

	advance_window(budget, config->retry_window_ms, now_ms);
	both_windows = (uint64_t)budget->requests_count[0] +
	    budget->requests_count[1];
	larger_window = MAX(budget->requests_count[0],
	    budget->requests_count[1]);
	allowed_milli = MIN(both_windows / 2, larger_window) *
		config->retry_permille +
	    config->retry_slack_milli / dispatch->daemons_peak_count / 2;
	if (((uint64_t)budget->retries_count[0] + budget->retries_count[1] +
		1) *
		MILLI_PER_RETRY >
	    allowed_milli)
		return false;
	budget->retries_count[0]++;
	return true;
}
