#include "core/fair_queue.h"

#include <string.h>

static void
list_free(gpointer list)
{
	g_free(list);
}

void
fair_queue_init(struct fair_queue *queue, const struct fair_ops *ops)
{
	memset(queue, 0, sizeof(*queue));
	queue->ops = ops;
	queue->accounts = g_array_new(FALSE, TRUE, sizeof(struct fair_account));
	queue->lists = g_ptr_array_new_with_free_func(list_free);
	queue->index = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    g_free, NULL);
}

void
fair_queue_finish(struct fair_queue *queue)
{
	g_array_free(queue->accounts, TRUE);
	g_ptr_array_free(queue->lists, TRUE);
	g_hash_table_destroy(queue->index);
	memset(queue, 0, sizeof(*queue));
}

size_t
fair_queue_index(struct fair_queue *queue, uint64_t account_id)
{
	struct fair_account account = { .account_id = account_id, .weight = 1 };
	gpointer known = g_hash_table_lookup(queue->index, &account_id);
	guint64 *key;

	if (known != NULL)
		return GPOINTER_TO_SIZE(known) - 1;
	g_array_append_val(queue->accounts, account);
	g_ptr_array_add(queue->lists, g_new0(GQueue, 1));
	key = g_new(guint64, 1);
	*key = account_id;
	g_hash_table_insert(queue->index, key,
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
update_head(struct fair_queue *queue, size_t account_index)
{
	GQueue *list = g_ptr_array_index(queue->lists, account_index);
	struct fair_account *account = fair_queue_account(queue, account_index);
	const struct fair_waiter *head = (const struct fair_waiter *)(void *)
					     list->head;

	account->head_arrival = head == NULL ? 0 : head->arrival;
	account->waiting_count = list->length;
}

static void
activate(struct fair_queue *queue, struct fair_account *account,
    int64_t debt_max_tokens)
{
	int64_t floor_vtime;

	if (account->waiting_count + account->running_count == 0 &&
	    fair_floor(fair_queue_accounts(queue), queue->accounts->len,
		&floor_vtime))
		queue->ops->activate(account, floor_vtime,
		    fair_vtime_of(account, debt_max_tokens));
}

void
fair_queue_push(struct fair_queue *queue, size_t account_index,
    struct fair_waiter *waiter, int64_t debt_max_tokens)
{
	activate(queue, fair_queue_account(queue, account_index),
	    debt_max_tokens);
	waiter->arrival = ++queue->arrival_next;
	waiter->account_index = account_index;
	waiter->queued = true;
	g_queue_push_tail_link(g_ptr_array_index(queue->lists, account_index),
	    &waiter->link);
	queue->waiting_count++;
	update_head(queue, account_index);
}

void
fair_queue_push_front(struct fair_queue *queue, struct fair_waiter *waiter)
{
	waiter->queued = true;
	g_queue_push_head_link(g_ptr_array_index(queue->lists,
				   waiter->account_index),
	    &waiter->link);
	queue->waiting_count++;
	update_head(queue, waiter->account_index);
}

void
fair_queue_remove(struct fair_queue *queue, struct fair_waiter *waiter)
{
	if (!waiter->queued)
		return;
	waiter->queued = false;
	g_queue_unlink(g_ptr_array_index(queue->lists, waiter->account_index),
	    &waiter->link);
	queue->waiting_count--;
	update_head(queue, waiter->account_index);
}

static struct fair_waiter *
head_of(const struct fair_queue *queue, size_t index)
{
	const GQueue *list;

	if (index == FAIR_NONE)
		return NULL;
	list = g_ptr_array_index(queue->lists, index);
	return (struct fair_waiter *)(void *)list->head;
}

struct fair_waiter *
fair_queue_next(const struct fair_queue *queue)
{
	if (queue->waiting_count == 0)
		return NULL;
	return head_of(queue,
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

static int64_t
smallest_waiting_vtime(const struct fair_queue *queue)
{
	const struct fair_account *accounts = fair_queue_accounts(queue);
	int64_t vtime = INT64_MAX;

	for (guint i = 0; i < queue->accounts->len; i++)
		if (accounts[i].waiting_count > 0)
			vtime = MIN(vtime, accounts[i].vtime);
	return vtime;
}

struct fair_waiter *
fair_queue_next_below_share(const struct fair_queue *queue,
    uint64_t slots_count, int64_t ahead_max_tokens)
{
	guint count = queue->accounts->len;
	uint64_t weight_sum = fair_queue_active_weight(queue);
	struct fair_account *eligible;
	int64_t floor_vtime;
	size_t index;

	if (queue->waiting_count == 0)
		return NULL;
	floor_vtime = smallest_waiting_vtime(queue);
	eligible = g_memdup2(queue->accounts->data, count * sizeof(*eligible));
	for (guint i = 0; i < count; i++) {
		int64_t ahead = fair_vtime_of(&eligible[i], ahead_max_tokens);
		if (eligible[i].running_count * weight_sum >=
			slots_count * eligible[i].weight ||
		    eligible[i].vtime > floor_vtime + ahead)
			eligible[i].waiting_count = 0;
	}
	index = queue->ops->pick(eligible, count);
	g_free(eligible);
	return head_of(queue, index);
}

void
fair_queue_limit_debt(struct fair_queue *queue, int64_t debt_max_tokens)
{
	int64_t floor_vtime;

	if (!fair_floor(fair_queue_accounts(queue), queue->accounts->len,
		&floor_vtime))
		return;
	for (guint i = 0; i < queue->accounts->len; i++) {
		struct fair_account *account = fair_queue_account(queue, i);
		int64_t debt_max = fair_vtime_of(account, debt_max_tokens);
		account->vtime = MIN(account->vtime, floor_vtime + debt_max);
	}
}
