#include "core/entry.h"

#include <string.h>

#include "core/entry_private.h"
#include "core/hash.h"

#define RETRY_AFTER_MIN_MS 500u
#define RETRY_AFTER_MAX_MS 60000u
/* After a pause of the process, time to receive updates of the tables and of
 * the owners. */
#define RESUME_SETTLE_MS 1000u
/* Weight of a request in the moving average of wait times: 1/4. */
#define WAIT_AVERAGE_SHIFT 2

/* Number of waiting requests of an account in all pools. */
struct account_waiting {
	uint64_t account_id;
	uint32_t waiting_count;
};

static void
entry_pool_free(gpointer pointer)
{
	struct entry_pool *pool = pointer;

	fair_queue_finish(&pool->queue);
	g_array_free(pool->accounts, TRUE);
	g_free(pool);
}

void
entry_init(struct entry *entry, const struct entry_config *config)
{
	memset(entry, 0, sizeof(*entry));
	entry->config = *config;
	if (entry->config.order == NULL)
		entry->config.order = &fair_vtc;
	entry->last_seq = config->seq_first;
	entry->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, g_free);
	entry->pools = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
	    entry_pool_free);
	entry->accounts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, g_free);
}

void
entry_finish(struct entry *entry)
{
	g_hash_table_destroy(entry->requests);
	g_hash_table_destroy(entry->pools);
	g_hash_table_destroy(entry->accounts);
	g_free(entry->live_node_ids);
	memset(entry, 0, sizeof(*entry));
}

const struct entry_ops *
entry_find(const char *name)
{
	static const struct entry_ops *const policies[] = { &entry_fleet,
		&entry_naive };

	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++)
		if (strcmp(policies[i]->name, name) == 0)
			return policies[i];
	return NULL;
}

uint64_t
entry_pool_owner_id(const struct entry *entry, uint64_t pool_id)
{
	return hash_rendezvous(pool_id, entry->live_node_ids,
	    entry->live_count);
}

struct entry_pool *
entry_pool(struct entry *entry, uint64_t pool_id)
{
	struct entry_pool *pool = g_hash_table_lookup(entry->pools, &pool_id);

	if (pool != NULL)
		return pool;
	pool = g_new0(struct entry_pool, 1);
	pool->pool_id = pool_id;
	pool->owner_id = entry_pool_owner_id(entry, pool_id);
	fair_queue_init(&pool->queue, entry->config.order);
	pool->accounts = g_array_new(FALSE, TRUE, sizeof(struct entry_account));
	g_hash_table_insert(entry->pools, &pool->pool_id, pool);
	return pool;
}

uint64_t
entry_epoch_seen(const struct entry *entry, uint64_t pool_id)
{
	const struct entry_pool *pool = g_hash_table_lookup(entry->pools,
	    &pool_id);

	return pool == NULL ? 0 : pool->epoch_seen;
}

struct entry_account *
entry_pool_account(struct entry_pool *pool, const struct entry_request *request)
{
	size_t index = request->waiter.account_index;

	if (pool->accounts->len <= index)
		g_array_set_size(pool->accounts, (guint)index + 1);
	return &g_array_index(pool->accounts, struct entry_account, index);
}

static struct account_waiting *
account_waiting(struct entry *entry, uint64_t account_id)
{
	struct account_waiting *count = g_hash_table_lookup(entry->accounts,
	    &account_id);

	if (count != NULL)
		return count;
	count = g_new0(struct account_waiting, 1);
	count->account_id = account_id;
	g_hash_table_insert(entry->accounts, &count->account_id, count);
	return count;
}

/* The pool's row of the pools table if any of its endpoints accepts new work,
 * or NULL. */
static const struct pool *
usable_pool(const struct entry *entry, uint64_t pool_id)
{
	const struct pool *pool_row = entry->tables == NULL
	    ? NULL
	    : tables_find_pool(entry->tables, pool_id);

	for (uint32_t i = 0; pool_row != NULL && i < pool_row->endpoint_count;
	     i++)
		if (!pool_row->endpoints[i].leaving)
			return pool_row;
	return NULL;
}

const struct endpoint *
entry_next_endpoint(const struct entry *entry, struct entry_pool *pool)
{
	const struct pool *pool_row = usable_pool(entry, pool->pool_id);
	const struct endpoint *endpoint;

	for (uint32_t i = 0; pool_row != NULL && i < pool_row->endpoint_count;
	     i++) {
		endpoint = &pool_row->endpoints[pool->next_endpoint_index++ %
		    pool_row->endpoint_count];
		if (!endpoint->leaving)
			return endpoint;
	}
	return NULL;
}

/* Removes a request from all counts and frees it. */
static void
entry_remove(struct entry *entry, struct entry_request *request)
{
	struct entry_pool *pool = request->pool;

	if (request->endpoint_id == 0) {
		fair_queue_remove(&pool->queue, &request->waiter);
		account_waiting(entry, request->params.account_id)
		    ->waiting_count--;
	} else {
		pool->running_count--;
		fair_queue_account(&pool->queue, request->waiter.account_index)
		    ->running_count--;
	}
	g_queue_unlink(&pool->requests, &request->pool_link);
	g_hash_table_remove(entry->requests, &request->seq);
}

void
entry_start(struct entry *entry, struct entry_request *request,
    uint64_t endpoint_id, uint64_t now_ms, struct effects *effects)
{
	struct entry_pool *pool = request->pool;
	struct entry_account *account = entry_pool_account(pool, request);
	uint32_t wait_ms = (uint32_t)(now_ms - request->submitted_at_ms);
	struct effect *effect = effects_add(effects, EFFECT_START);

	effect->seq = request->seq;
	effect->endpoint_id = endpoint_id;
	request->endpoint_id = endpoint_id;
	account->wait_ms += (wait_ms >> WAIT_AVERAGE_SHIFT);
	account->wait_ms -= account->wait_ms >> WAIT_AVERAGE_SHIFT;
	fair_queue_serve(&pool->queue, &request->waiter);
	account_waiting(entry, request->params.account_id)->waiting_count--;
	pool->running_count++;
	fair_queue_account(&pool->queue, request->waiter.account_index)
	    ->running_count++;
}

void
entry_refuse(struct entry *entry, struct entry_request *request,
    enum refuse_reason reason, uint32_t retry_after_ms, struct effects *effects)
{
	struct effect *effect = effects_add(effects, EFFECT_REFUSE);

	effect->seq = request->seq;
	effect->reason = reason;
	effect->retry_after_ms = retry_after_ms;
	entry->refused_count++;
	entry_remove(entry, request);
}

/* Retry-after time of an account: its mean wait time, within limits. */
static uint32_t
entry_retry_after_ms(const struct entry_request *request)
{
	return CLAMP(entry_pool_account(request->pool, request)->wait_ms,
	    RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}

/* Refuses a waiting request and cancels it at its owner. */
static void
entry_withdraw(struct entry *entry, struct entry_request *request,
    enum refuse_reason reason, struct effects *effects)
{
	uint32_t retry_after_ms = entry_retry_after_ms(request);

	entry->config.ops->withdraw(entry, request, effects);
	entry_refuse(entry, request, reason, retry_after_ms, effects);
}

/* Withdraws the waiting requests of a pool whose deadline is not after
 * deadline_ms; UINT64_MAX withdraws all. */
static void
entry_withdraw_until(struct entry *entry, struct entry_pool *pool,
    uint64_t deadline_ms, enum refuse_reason reason, struct effects *effects)
{
	GList *link = pool->requests.head;

	while (link != NULL) {
		struct entry_request *request = link->data;

		link = link->next;
		if (request->endpoint_id == 0 &&
		    request->params.deadline_ms <= deadline_ms)
			entry_withdraw(entry, request, reason, effects);
	}
}

void
entry_set_members(struct entry *entry, const uint64_t *live_node_ids,
    size_t live_count, uint64_t now_ms, struct effects *effects)
{
	GHashTableIter iter;
	gpointer value;

	g_free(entry->live_node_ids);
	entry->live_node_ids = g_memdup2(live_node_ids,
	    live_count * sizeof(*live_node_ids));
	entry->live_count = live_count;
	g_hash_table_iter_init(&iter, entry->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry_pool *pool = value;
		uint64_t owner_id = entry_pool_owner_id(entry, pool->pool_id);
		if (owner_id == pool->owner_id)
			continue;
		pool->owner_id = owner_id;
		entry->config.ops->owner_changed(entry, pool, now_ms, effects);
	}
}

void
entry_set_tables(struct entry *entry, const struct tables *tables,
    uint64_t now_ms, struct effects *effects)
{
	GHashTableIter iter;
	gpointer value;

	(void)now_ms;
	entry->tables = tables;
	for (uint32_t i = 0; i < tables->pool_count; i++)
		entry_pool(entry, tables->pools[i].pool_id);
	g_hash_table_iter_init(&iter, entry->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry_pool *pool = value;
		if (usable_pool(entry, pool->pool_id) == NULL)
			entry_withdraw_until(entry, pool, UINT64_MAX,
			    REFUSE_NO_ENDPOINT, effects);
	}
}

static struct entry_request *
entry_add(struct entry *entry, const struct entry_request_params *params,
    uint64_t now_ms)
{
	struct entry_pool *pool = entry_pool(entry, params->pool_id);
	struct entry_request *request = g_new0(struct entry_request, 1);

	request->seq = ++entry->last_seq;
	request->params = *params;
	request->submitted_at_ms = now_ms;
	request->pool = pool;
	request->pool_link.data = request;
	request->waiter.link.data = request;
	g_queue_push_tail_link(&pool->requests, &request->pool_link);
	fair_queue_push(&pool->queue,
	    fair_queue_account_index(&pool->queue, params->account_id),
	    &request->waiter, params->estimate_tokens);
	account_waiting(entry, params->account_id)->waiting_count++;
	g_hash_table_insert(entry->requests, &request->seq, request);
	return request;
}

uint64_t
entry_submit(struct entry *entry, const struct entry_request_params *params,
    uint64_t now_ms, struct effects *effects)
{
	uint32_t requests_count = g_hash_table_size(entry->requests);
	struct entry_request *request = entry_add(entry, params, now_ms);
	uint64_t seq = request->seq;

	if (entry->draining)
		entry_refuse(entry, request, REFUSE_SHUTDOWN,
		    RETRY_AFTER_MIN_MS, effects);
	else if (account_waiting(entry, params->account_id)->waiting_count >
		params->waiting_max_count ||
	    requests_count >= REPORT_ITEMS_MAX_COUNT)
		entry_refuse(entry, request, REFUSE_QUEUE_FULL,
		    entry_retry_after_ms(request), effects);
	else if (entry->tables != NULL &&
	    usable_pool(entry, params->pool_id) == NULL)
		entry_refuse(entry, request, REFUSE_NO_ENDPOINT,
		    RETRY_AFTER_MIN_MS, effects);
	else
		entry->config.ops->submit(entry, request, now_ms, effects);
	return seq;
}

void
entry_progress(struct entry *entry, uint64_t seq, uint64_t tokens)
{
	struct entry_request *request = g_hash_table_lookup(entry->requests,
	    &seq);

	if (request != NULL)
		request->tokens = tokens;
}

void
entry_done(struct entry *entry, uint64_t seq, uint64_t tokens,
    enum done_outcome outcome, struct effects *effects)
{
	struct entry_request *request = g_hash_table_lookup(entry->requests,
	    &seq);

	if (request == NULL)
		return;
	request->tokens = tokens;
	if (request->endpoint_id == 0)
		entry->config.ops->withdraw(entry, request, effects);
	else
		entry->config.ops->done(entry, request, outcome, effects);
	entry_remove(entry, request);
}

void
entry_cancel(struct entry *entry, uint64_t seq, struct effects *effects)
{
	struct entry_request *request = g_hash_table_lookup(entry->requests,
	    &seq);

	if (request != NULL)
		entry_done(entry, seq, request->tokens, DONE_COMPLETE, effects);
}

void
entry_handle(struct entry *entry, const struct msg *msg, uint64_t now_ms,
    struct effects *effects)
{
	entry->config.ops->handle(entry, msg, now_ms, effects);
}

void
entry_tick(struct entry *entry, uint64_t now_ms, struct effects *effects)
{
	GHashTableIter iter;
	gpointer value;

	if (entry->last_tick_ms != 0 &&
	    now_ms > entry->last_tick_ms + PAUSE_MIN_MS)
		entry->resume_until_ms = now_ms + RESUME_SETTLE_MS;
	entry->last_tick_ms = now_ms;
	g_hash_table_iter_init(&iter, entry->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_withdraw_until(entry, value, now_ms, REFUSE_DEADLINE,
		    effects);
		entry->config.ops->tick(entry, value, now_ms, effects);
	}
}

void
entry_drain(struct entry *entry, struct effects *effects)
{
	GHashTableIter iter;
	gpointer value;

	entry->draining = true;
	g_hash_table_iter_init(&iter, entry->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		entry_withdraw_until(entry, value, UINT64_MAX, REFUSE_SHUTDOWN,
		    effects);
}

bool
entry_in_fallback(const struct entry *entry, uint64_t pool_id)
{
	const struct entry_pool *pool = g_hash_table_lookup(entry->pools,
	    &pool_id);

	return pool != NULL && pool->in_fallback;
}

void
entry_counts(const struct entry *entry, uint32_t *waiting_count,
    uint32_t *running_count)
{
	GHashTableIter iter;
	gpointer value;

	*waiting_count = 0;
	*running_count = 0;
	g_hash_table_iter_init(&iter, entry->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry_pool *pool = value;
		*waiting_count += pool->queue.waiting_count;
		*running_count += pool->running_count;
	}
}
