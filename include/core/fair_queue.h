/**
 * @file
 * Waiting requests of many client accounts: one first-in-first-out queue for
 * each account beside what an order between accounts needs to know.
 */
#ifndef CORE_FAIR_QUEUE_H
#define CORE_FAIR_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/fair.h"

/** Embedded in a request; link.data is the request. */
struct fair_waiter {
	GList link;
	uint64_t arrival;
	size_t account_index;
	bool queued;
};

struct fair_queue {
	const struct fair_ops *ops;
	GArray *accounts; /**< struct fair_account */
	GPtrArray *
	    account_queues; /**< GQueue of fair_waiter links, by account index */
	GHashTable *account_indices; /**< account_id to index + 1 */
	uint64_t last_arrival;
	uint32_t waiting_count; /**< of all accounts */
	size_t
	    last_served_index; /**< account served last, or FAIR_NO_ACCOUNT */
};

void fair_queue_init(struct fair_queue *queue, const struct fair_ops *ops);
void fair_queue_finish(struct fair_queue *queue);

/** @return the index of an account, which is added at its first use */
size_t fair_queue_account_index(struct fair_queue *queue, uint64_t account_id);

/** @return the account; valid until another one is added */
struct fair_account *fair_queue_account(const struct fair_queue *queue,
    size_t index);

/** @return all accounts, queue->accounts->len of them */
const struct fair_account *fair_queue_accounts(const struct fair_queue *queue);

/**
 * Appends a request to its account's queue. An account that begins to
 * wait comes back without credit and with a debt of at most debt_max_tokens, divided by
 * its weight.
 */
void fair_queue_push(struct fair_queue *queue, size_t account_index,
    struct fair_waiter *waiter, int64_t debt_max_tokens);

/** Puts a request back in front of its account's queue. */
void fair_queue_push_front(struct fair_queue *queue,
    struct fair_waiter *waiter);

/** Takes a request out; does nothing if it isn't queued. */
void fair_queue_remove(struct fair_queue *queue, struct fair_waiter *waiter);

/** The same for a request that is served now. */
void fair_queue_serve(struct fair_queue *queue, struct fair_waiter *waiter);

/** @return the waiter that is next in the order, or NULL */
struct fair_waiter *fair_queue_next(const struct fair_queue *queue);

/**
 * The same among accounts that run less than their share of slots_count and
 * are at most lead_max_tokens, divided by their weight, beyond the smallest
 * virtual time that waits.
 */
struct fair_waiter *fair_queue_next_below_share(const struct fair_queue *queue,
    uint64_t slots_count, int64_t lead_max_tokens);

/** Sum of the weights of accounts with waiting or running requests. */
uint64_t fair_queue_active_weight(const struct fair_queue *queue);

/** Limits how far accounts are apart, after counters of unlike age met. */
void fair_queue_limit_debt(struct fair_queue *queue, int64_t debt_max_tokens);

#endif
