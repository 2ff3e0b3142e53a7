/**
 * @file
 * Queue of waiting requests of many client accounts: one first-in-first-out
 * queue for each account, and the scheduling state of the accounts.
 */
#ifndef CORE_FAIR_QUEUE_H
#define CORE_FAIR_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/fair.h"

/** Queue entry, embedded in a request; link.data points to the request. */
struct fair_waiter {
	GList link;
	uint64_t arrival;
	size_t account_index;
	bool queued;
};

struct fair_queue {
	const struct fair_ops *ops;
	GArray *accounts; /**< struct fair_account */
	/** GQueue of fair_waiter links, by account index. */
	GPtrArray *account_queues;
	GHashTable *account_indices; /**< account_id to index + 1 */
	uint64_t last_arrival;
	uint32_t waiting_count; /**< of all accounts */
	/** Account of the last request that left the queue to run, or
	 * FAIR_NO_ACCOUNT. */
	size_t last_served_index;
};

void fair_queue_init(struct fair_queue *queue, const struct fair_ops *ops);
void fair_queue_finish(struct fair_queue *queue);

/** @return the index of an account, which is added if it is new */
size_t fair_queue_account_index(struct fair_queue *queue, uint64_t account_id);

/** @return the account; valid until another one is added */
struct fair_account *fair_queue_account(const struct fair_queue *queue,
    size_t index);

/** @return all accounts, queue->accounts->len of them */
const struct fair_account *fair_queue_accounts(const struct fair_queue *queue);

/**
 * Appends a request to its account's queue. If the account had no waiting
 * request, its virtual time is adjusted: it keeps no credit, and at most
 * debt_max_tokens divided by its weight of debt.
 */
void fair_queue_push(struct fair_queue *queue, size_t account_index,
    struct fair_waiter *waiter, int64_t debt_max_tokens);

/** Puts a request back at the head of its account's queue. */
void fair_queue_push_front(struct fair_queue *queue,
    struct fair_waiter *waiter);

/** Removes a request; does nothing if it isn't queued. */
void fair_queue_remove(struct fair_queue *queue, struct fair_waiter *waiter);

/** Removes a request that starts to run, and records its account as the one
 * served last. */
void fair_queue_serve(struct fair_queue *queue, struct fair_waiter *waiter);

/** @return the next request in the order, or NULL */
struct fair_waiter *fair_queue_next(const struct fair_queue *queue);

/**
 * @return the next request of the accounts that run less than their fair
 * share of slots_count and whose virtual time exceeds the smallest one of the
 * waiting accounts by at most lead_max_tokens divided by their weight, or
 * NULL
 */
struct fair_waiter *fair_queue_next_below_share(const struct fair_queue *queue,
    uint64_t slots_count, int64_t lead_max_tokens);

/** @return the sum of the weights of accounts with waiting or running
 * requests */
uint64_t fair_queue_active_weight(const struct fair_queue *queue);

/** Limits the virtual times of all accounts to debt_max_tokens above the
 * smallest active one, after virtual times of different age were merged. */
void fair_queue_limit_debt(struct fair_queue *queue, int64_t debt_max_tokens);

#endif
