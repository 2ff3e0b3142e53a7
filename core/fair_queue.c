#include "core/fair_queue.h"

#include <string.h>

static void
account_queue_free(gpointer account_queue)
{
	g_free(account_queue);
}

void
fair_queue_init(struct fair_queue *queue, const struct fair_ops *ops)
{
	memset(queue, 0, sizeof(*queue));
	queue->ops = ops;
	queue->last_served_index = FAIR_NO_ACCOUNT;
	queue->accounts = g_array_new(FALSE, TRUE, sizeof(struct fair_account));
	queue->account_queues = g_ptr_array_new_with_free_func(
	    account_queue_free);
	queue->account_indices = g_hash_table_new_full(g_int64_hash,
	    g_int64_equal, g_free, NULL);
}

void
fair_queue_finish(struct fair_queue *queue)
{
	g_array_free(queue->accounts, TRUE);
	g_ptr_array_free(queue->account_queues, TRUE);
	g_hash_table_destroy(queue->account_indices);
	memset(queue, 0, sizeof(*queue));
}

size_t
fair_queue_account_index(struct fair_queue *queue, uint64_t account_id)
{
	struct fair_account account = { .account_id = account_id, .weight = 1 };
	gpointer stored_index = g_hash_table_lookup(queue->account_indices,
	    &account_id);
	guint64 *key;

	if (stored_index != NULL)
		return GPOINTER_TO_SIZE(stored_index) - 1;
	g_array_append_val(queue->accounts, account);
	g_ptr_array_add(queue->account_queues, g_new0(GQueue, 1));
	key = g_new(guint64, 1);
	*key = account_id;
	g_hash_table_insert(queue->account_indices, key,
	    GSIZE_TO_POINTER(queue->accounts->len));
	return queue->accounts->len - 1;
}

struct fair_account *
fair_queue_account(const struct fair_queue *queue, size_t index)
{
	return &g_array_index(queue->accounts, struct fair_account, index);
}

const struct fair_account *
fair_queue_accounts(const struct fair_queue *queue)
{
	return (const struct fair_account *)(void *)queue->accounts->data;
}

static void
update_account(struct fair_queue *queue, size_t account_index)
{
	GQueue *account_queue = g_ptr_array_index(queue->account_queues,
	    account_index);
	struct fair_account *account = fair_queue_account(queue, account_index);
	const struct fair_waiter *head = (const struct fair_waiter *)(void *)
					     account_queue->head;

	account->head_arrival = head == NULL ? 0 : head->arrival;
	account->waiting_count = account_queue->length;
}

static int64_t
min_waiting_vtime(const struct fair_queue *queue)
{
	const struct fair_account *accounts = fair_queue_accounts(queue);
	int64_t vtime = INT64_MAX;

	for (guint i = 0; i < queue->accounts->len; i++)
		if (accounts[i].waiting_count > 0)
			vtime = MIN(vtime, accounts[i].vtime);
	return vtime;
}

/* Adjusts the virtual time of an account without waiting requests that gets
 * one. It is aligned with the smallest virtual time of the accounts that have
 * waiting requests or, if there are none, with that of the account served last,
 * since the use of slots that no other account was waiting for causes no
 * debt. */
static void
activate_account(struct fair_queue *queue, struct fair_account *account,
    int64_t debt_max_tokens)
{
	int64_t min_vtime;

	if (account->waiting_count > 0)
		return;
	if (queue->waiting_count > 0)
		min_vtime = min_waiting_vtime(queue);
	else if (queue->last_served_index != FAIR_NO_ACCOUNT)
		min_vtime = fair_queue_account(queue, queue->last_served_index)
				->vtime;
	else
		return;
	queue->ops->activate(account, min_vtime,
	    fair_vtime_from_tokens(account, debt_max_tokens));
}

void
fair_queue_push(struct fair_queue *queue, size_t account_index,
    struct fair_waiter *waiter, int64_t debt_max_tokens)
{
	activate_account(queue, fair_queue_account(queue, account_index),
	    debt_max_tokens);
	waiter->arrival = ++queue->last_arrival;
	waiter->account_index = account_index;
	waiter->queued = true;
	g_queue_push_tail_link(g_ptr_array_index(queue->account_queues,
				   account_index),
	    &waiter->link);
	queue->waiting_count++;
	update_account(queue, account_index);
}

void
fair_queue_push_front(struct fair_queue *queue, struct fair_waiter *waiter)
{
	waiter->queued = true;
	g_queue_push_head_link(g_ptr_array_index(queue->account_queues,
				   waiter->account_index),
	    &waiter->link);
	queue->waiting_count++;
	update_account(queue, waiter->account_index);
}

void
fair_queue_remove(struct fair_queue *queue, struct fair_waiter *waiter)
{
	if (!waiter->queued)
		return;
	waiter->queued = false;
	g_queue_unlink(g_ptr_array_index(queue->account_queues,
			   waiter->account_index),
	    &waiter->link);
	queue->waiting_count--;
	update_account(queue, waiter->account_index);
}

void
fair_queue_serve(struct fair_queue *queue, struct fair_waiter *waiter)
{
	if (waiter->queued)
		queue->last_served_index = waiter->account_index;
	fair_queue_remove(queue, waiter);
}

static struct fair_waiter *
account_head(const struct fair_queue *queue, size_t index)
{
	const GQueue *account_queue;

	if (index == FAIR_NO_ACCOUNT)
		return NULL;
	account_queue = g_ptr_array_index(queue->account_queues, index);
	return (struct fair_waiter *)(void *)account_queue->head;
}

struct fair_waiter *
fair_queue_next(const struct fair_queue *queue)
{
	if (queue->waiting_count == 0)
		return NULL;
	return account_head(queue,
	    queue->ops->pick(fair_queue_accounts(queue), queue->accounts->len));
}

uint64_t
fair_queue_active_weight(const struct fair_queue *queue)
{
	const struct fair_account *accounts = fair_queue_accounts(queue);
	uint64_t weight = 0;

	for (guint i = 0; i < queue->accounts->len; i++)
		if (accounts[i].waiting_count + accounts[i].running_count > 0)
			weight += accounts[i].weight;
	return weight;
}

struct fair_waiter *
fair_queue_next_below_share(const struct fair_queue *queue,
    uint64_t slots_count, int64_t lead_max_tokens)
{
	guint count = queue->accounts->len;
	uint64_t weight_sum = fair_queue_active_weight(queue);
	struct fair_account *eligible;
	int64_t min_vtime;
	size_t index;

	if (queue->waiting_count == 0)
		return NULL;
	min_vtime = min_waiting_vtime(queue);
	eligible = g_memdup2(queue->accounts->data, count * sizeof(*eligible));
	for (guint i = 0; i < count; i++) {
		int64_t lead_max_vtime = fair_vtime_from_tokens(&eligible[i],
		    lead_max_tokens);
		if (eligible[i].running_count * weight_sum >=
			slots_count * eligible[i].weight ||
		    eligible[i].vtime > min_vtime + lead_max_vtime)
			eligible[i].waiting_count = 0;
	}
	index = queue->ops->pick(eligible, count);
	g_free(eligible);
	return account_head(queue, index);
}

void
fair_queue_limit_debt(struct fair_queue *queue, int64_t debt_max_tokens)
{
	int64_t min_vtime;

	if (!fair_min_active_vtime(fair_queue_accounts(queue),
		queue->accounts->len, &min_vtime))
		return;
	for (guint i = 0; i < queue->accounts->len; i++) {
		struct fair_account *account = fair_queue_account(queue, i);
		int64_t debt_max_vtime = fair_vtime_from_tokens(account,
		    debt_max_tokens);
		account->vtime = MIN(account->vtime,
		    min_vtime + debt_max_vtime);
	}
}
