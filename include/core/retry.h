/**
 * @file
 * Decides whether an attempt may be repeated. Each client account has a
 * budget that grows by a tenth of its requests, so that retries can't
 * multiply its load.
 */
#ifndef CORE_RETRY_H
#define CORE_RETRY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define RETRY_ATTEMPTS_MAX_COUNT 3u

/** How an attempt ended, as far as repeating it matters. */
enum retry_cause {
	RETRY_NOT_SENT, /**< no endpoint was reached */
	RETRY_REFUSED, /**< the endpoint refused before running */
	RETRY_NO_RESPONSE, /**< the endpoint may have run it */
	RETRY_FINISHED /**< nothing to repeat */
};

/** Budgets of all accounts of one daemon; one thread at a time. */
struct retry_policy {
	GHashTable *budgets; /**< account_id to thousandths of a policy */
};

void retry_init(struct retry_policy *policy);
void retry_finish(struct retry_policy *policy);

/** Counts a new request of an account towards its budget. */
void retry_count_request(struct retry_policy *policy, uint64_t account_id);

/**
 * Decides about another attempt and takes it from the budget. An attempt that
 * reached no endpoint costs nothing but counts as an attempt.
 * @param attempts_count attempts made so far
 */
bool retry_allow(struct retry_policy *policy, uint64_t account_id,
    enum retry_cause cause, bool idempotent, uint32_t attempts_count);

#endif
