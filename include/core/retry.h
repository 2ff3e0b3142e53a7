/**
 * @file
 * Decides whether a failed attempt of a request may be retried. Each client
 * account has a retry budget that grows by a tenth of its requests, so that
 * retries can't multiply its load.
 */
#ifndef CORE_RETRY_H
#define CORE_RETRY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define RETRY_ATTEMPTS_MAX_COUNT 3u

/** How an attempt ended. */
enum retry_cause {
	RETRY_NOT_SENT, /**< no endpoint was reached */
	RETRY_REFUSED, /**< the endpoint refused the request before running it */
	RETRY_NO_RESPONSE, /**< the endpoint may have run the request */
	RETRY_FINISHED /**< the request needs no further attempt */
};

/** Retry budgets of all accounts of one daemon. Not thread-safe. */
struct retry_policy {
	GHashTable *budgets; /**< account_id to thousandths of a retry */
};

void retry_init(struct retry_policy *policy);
void retry_finish(struct retry_policy *policy);

/** Adds to the account's budget for a new request. */
void retry_count_request(struct retry_policy *policy, uint64_t account_id);

/**
 * Decides whether another attempt may be made, and takes it from the budget.
 * After an attempt that reached no endpoint, a retry is free, but it counts
 * towards the maximum number of attempts.
 * @param attempts_count attempts made so far
 */
bool retry_allow(struct retry_policy *policy, uint64_t account_id,
    enum retry_cause cause, bool idempotent, uint32_t attempts_count);

#endif
