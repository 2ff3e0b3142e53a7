#include "core/retry.h"

#include <string.h>

#define BUDGET_MAX_MILLIRETRIES 10000u
#define BUDGET_PER_REQUEST_MILLIRETRIES 100u
#define RETRY_COST_MILLIRETRIES 1000u

void
retry_init(struct retry_policy *policy)
{
	policy->budgets = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    g_free, g_free);
}

void
retry_finish(struct retry_policy *policy)
{
	g_hash_table_destroy(policy->budgets);
	memset(policy, 0, sizeof(*policy));
}

/* A new account starts with a full budget. */
static uint32_t *
account_budget(struct retry_policy *policy, uint64_t account_id)
{
	uint32_t *budget = g_hash_table_lookup(policy->budgets, &account_id);
	uint64_t *key;

	if (budget != NULL)
		return budget;
	key = g_new(uint64_t, 1);
	*key = account_id;
	budget = g_new(uint32_t, 1);
	*budget = BUDGET_MAX_MILLIRETRIES;
	g_hash_table_insert(policy->budgets, key, budget);
	return budget;
}

void
retry_count_request(struct retry_policy *policy, uint64_t account_id)
{
	uint32_t *budget = account_budget(policy, account_id);

	*budget = MIN(*budget + BUDGET_PER_REQUEST_MILLIRETRIES,
	    BUDGET_MAX_MILLIRETRIES);
}

bool
retry_allow(struct retry_policy *policy, uint64_t account_id,
    enum retry_cause cause, bool idempotent, uint32_t attempts_count)
{
	uint32_t *budget = account_budget(policy, account_id);

	if (cause == RETRY_FINISHED ||
	    attempts_count >= RETRY_ATTEMPTS_MAX_COUNT)
		return false;
	if (cause == RETRY_NO_RESPONSE && !idempotent)
		return false;
	if (cause == RETRY_NOT_SENT)
		return true;
	if (*budget < RETRY_COST_MILLIRETRIES)
		return false;
	*budget -= RETRY_COST_MILLIRETRIES;
	return true;
}
