#include "core/entry.h"

#include <string.h>

#include "core/hash.h"

#define RETRY_AFTER_FULL_MS 1000u
#define RETRY_AFTER_DRAIN_MS 500u

struct entry_request {
	uint64_t seq;
	struct entry_submit submit;
	uint64_t submitted_at_ms;
	uint64_t endpoint_id; /* 0 while waiting */
	uint64_t tokens;
};

struct entry_pool {
	uint64_t pool_id;
	uint64_t owner_id;
	uint64_t epoch_seen;
	uint64_t owner_heard_ms;
	uint64_t report_due_ms;
	uint32_t round_robin;
	GHashTable *vtimes; /* account_id to int64_t vtime of last grant */
};

static void
entry_pool_free(gpointer pointer)
{
	struct entry_pool *pool = pointer;

	g_hash_table_destroy(pool->vtimes);
	g_free(pool);
}

void
entry_init(struct entry *entry, const struct entry_config *config)
{
	memset(entry, 0, sizeof(*entry));
	entry->config = *config;
	entry->seq_next = config->seq_first;
	entry->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, g_free);
	entry->pools = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
	    entry_pool_free);
	entry->report_items = g_array_new(FALSE, TRUE,
	    sizeof(struct report_item));
	entry->report_vtimes = g_array_new(FALSE, TRUE,
	    sizeof(struct report_vtime));
}

void
entry_finish(struct entry *entry)
{
	g_hash_table_destroy(entry->requests);
	g_hash_table_destroy(entry->pools);
	g_array_free(entry->report_items, TRUE);
	g_array_free(entry->report_vtimes, TRUE);
	g_free(entry->live_node_ids);
	memset(entry, 0, sizeof(*entry));
}

uint64_t
entry_owner_of(const struct entry *entry, uint64_t pool_id)
{
	return hash_rendezvous(pool_id, entry->live_node_ids,
	    entry->live_count);
}

static struct entry_pool *
entry_pool(struct entry *entry, uint64_t pool_id)
{
	struct entry_pool *pool = g_hash_table_lookup(entry->pools, &pool_id);

	if (pool != NULL)
		return pool;
	pool = g_new0(struct entry_pool, 1);
	pool->pool_id = pool_id;
	pool->owner_id = entry_owner_of(entry, pool_id);
	pool->vtimes = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    g_free, g_free);
	g_hash_table_insert(entry->pools, &pool->pool_id, pool);
	return pool;
}

static void
entry_report_fill(struct entry *entry, const struct entry_pool *pool)
{
	struct report_vtime vtime;
	struct report_item item;
	GHashTableIter iter;
	gpointer key, value;

	g_array_set_size(entry->report_items, 0);
	g_array_set_size(entry->report_vtimes, 0);
	g_hash_table_iter_init(&iter, entry->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry_request *request = value;
		if (request->submit.pool_id != pool->pool_id)
			continue;
		memset(&item, 0, sizeof(item));
		item.account_id = request->submit.account_id;
		item.seq = request->seq;
		item.endpoint_id = request->endpoint_id;
		item.prefix_hash = request->submit.prefix_hash;
		item.tokens = request->tokens;
		item.estimate_tokens = request->submit.estimate_tokens;
		item.state = request->endpoint_id == 0 ? REPORT_WAITING
						       : REPORT_RUNNING;
		g_array_append_val(entry->report_items, item);
	}
	g_hash_table_iter_init(&iter, pool->vtimes);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		vtime.account_id = *(uint64_t *)key;
		vtime.vtime = *(int64_t *)value;
		g_array_append_val(entry->report_vtimes, vtime);
	}
}

static void
entry_send_report(struct entry *entry, struct entry_pool *pool,
    uint64_t to_node_id, bool with_vtimes, uint64_t now_ms,
    struct effects *effects)
{
	struct msg *msg = effects_send(effects, to_node_id, MSG_REPORT);
	struct msg_report *report = &msg->u.report;

	entry_report_fill(entry, pool);
	report->pool_id = pool->pool_id;
	report->epoch_seen = pool->epoch_seen;
	report->item_count = MIN(entry->report_items->len,
	    REPORT_ITEMS_MAX_COUNT);
	report->vtime_count = with_vtimes ? entry->report_vtimes->len : 0;
	report->items = g_memdup2(entry->report_items->data,
	    report->item_count * sizeof(struct report_item));
	report->vtimes = g_memdup2(entry->report_vtimes->data,
	    report->vtime_count * sizeof(struct report_vtime));
	pool->report_due_ms = now_ms + entry->config.report_period_ms;
}

void
entry_set_view(struct entry *entry, const uint64_t *live_node_ids,
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
		uint64_t owner_id = entry_owner_of(entry, pool->pool_id);
		if (owner_id == pool->owner_id)
			continue;
		pool->owner_id = owner_id;
		pool->owner_heard_ms = now_ms;
		if (owner_id != 0)
			entry_send_report(entry, pool, owner_id, true, now_ms,
			    effects);
	}
}

void
entry_set_tables(struct entry *entry, const struct tables *tables,
    uint64_t now_ms, struct effects *effects)
{
	(void)now_ms;
	(void)effects;
	entry->tables = tables;
	for (uint32_t i = 0; i < tables->pool_count; i++)
		entry_pool(entry, tables->pools[i].pool_id);
}

static void
entry_refuse(struct entry *entry, struct entry_request *request,
    enum refuse_reason reason, uint32_t retry_after_ms, struct effects *effects)
{
	struct effect *effect = effects_add(effects, EFFECT_REFUSE);

	effect->seq = request->seq;
	effect->reason = reason;
	effect->retry_after_ms = retry_after_ms;
	entry->refused_count++;
	g_hash_table_remove(entry->requests, &request->seq);
}

static void
entry_start(struct entry_request *request, uint64_t endpoint_id,
    struct effects *effects)
{
	struct effect *effect = effects_add(effects, EFFECT_START);

	request->endpoint_id = endpoint_id;
	effect->seq = request->seq;
	effect->endpoint_id = endpoint_id;
}

static void
fleet_submit(struct entry *entry, uint64_t seq, uint64_t now_ms,
    struct effects *effects)
{
	struct entry_request *request = g_hash_table_lookup(entry->requests,
	    &seq);
	struct entry_pool *pool = entry_pool(entry, request->submit.pool_id);
	struct msg *msg;

	(void)now_ms;
	if (pool->owner_id == 0)
		return;
	msg = effects_send(effects, pool->owner_id, MSG_ASK);
	msg->u.ask.pool_id = pool->pool_id;
	msg->u.ask.account_id = request->submit.account_id;
	msg->u.ask.seq = seq;
	msg->u.ask.prefix_hash = request->submit.prefix_hash;
	msg->u.ask.estimate_tokens = request->submit.estimate_tokens;
}

static void
naive_submit(struct entry *entry, uint64_t seq, uint64_t now_ms,
    struct effects *effects)
{
	struct entry_request *request = g_hash_table_lookup(entry->requests,
	    &seq);
	struct entry_pool *state = entry_pool(entry, request->submit.pool_id);
	const struct pool *pool = tables_find_pool(entry->tables,
	    request->submit.pool_id);

	(void)now_ms;
	for (uint32_t i = 0; pool != NULL && i < pool->endpoint_count; i++) {
		const struct endpoint *endpoint =
		    &pool->endpoints[state->round_robin++ %
			pool->endpoint_count];
		if (endpoint->leaving)
			continue;
		entry_start(request, endpoint->endpoint_id, effects);
		return;
	}
	entry_refuse(entry, request, REFUSE_NO_ENDPOINT, RETRY_AFTER_FULL_MS,
	    effects);
}

const struct entry_ops entry_fleet = { "fleet", fleet_submit };
const struct entry_ops entry_naive = { "naive", naive_submit };

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

static uint32_t
entry_account_waiting(const struct entry *entry, uint64_t account_id)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t waiting_count = 0;

	g_hash_table_iter_init(&iter, entry->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry_request *request = value;
		if (request->submit.account_id == account_id &&
		    request->endpoint_id == 0)
			waiting_count++;
	}
	return waiting_count;
}

uint64_t
entry_submit(struct entry *entry, const struct entry_submit *submit,
    uint64_t now_ms, struct effects *effects)
{
	uint32_t waiting_count = entry_account_waiting(entry,
	    submit->account_id);
	struct entry_request *request = g_new0(struct entry_request, 1);

	request->seq = ++entry->seq_next;
	request->submit = *submit;
	request->submitted_at_ms = now_ms;
	g_hash_table_insert(entry->requests, &request->seq, request);
	if (entry->draining)
		entry_refuse(entry, request, REFUSE_SHUTDOWN,
		    RETRY_AFTER_DRAIN_MS, effects);
	else if (waiting_count >= submit->waiting_max_count)
		entry_refuse(entry, request, REFUSE_QUEUE_FULL,
		    RETRY_AFTER_FULL_MS, effects);
	else
		entry->config.ops->submit(entry, request->seq, now_ms, effects);
	return entry->seq_next;
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
	struct entry_pool *pool;

	if (request == NULL)
		return;
	pool = entry_pool(entry, request->submit.pool_id);
	if (pool->owner_id != 0 && entry->config.ops == &entry_fleet) {
		struct msg *msg = effects_send(effects, pool->owner_id,
		    MSG_DONE);
		msg->u.done.pool_id = pool->pool_id;
		msg->u.done.seq = seq;
		msg->u.done.tokens = tokens;
		msg->u.done.outcome = (uint8_t)outcome;
	}
	g_hash_table_remove(entry->requests, &seq);
}

void
entry_cancel(struct entry *entry, uint64_t seq, struct effects *effects)
{
	struct entry_request *request = g_hash_table_lookup(entry->requests,
	    &seq);
	struct entry_pool *pool;
	struct msg *msg;

	if (request == NULL)
		return;
	pool = entry_pool(entry, request->submit.pool_id);
	if (pool->owner_id != 0) {
		msg = effects_send(effects, pool->owner_id, MSG_CANCEL);
		msg->u.cancel.pool_id = pool->pool_id;
		msg->u.cancel.seq = seq;
	}
	g_hash_table_remove(entry->requests, &seq);
}

static void
entry_remember_vtime(struct entry_pool *pool, uint64_t account_id,
    int64_t vtime)
{
	int64_t *known = g_hash_table_lookup(pool->vtimes, &account_id);
	guint64 *key;

	if (known != NULL) {
		*known = vtime;
		return;
	}
	key = g_new(guint64, 1);
	*key = account_id;
	known = g_new(int64_t, 1);
	*known = vtime;
	g_hash_table_insert(pool->vtimes, key, known);
}

static void
entry_send_stale(const struct entry_pool *pool, uint64_t to_node_id,
    struct effects *effects)
{
	struct msg *msg = effects_send(effects, to_node_id, MSG_STALE);

	msg->u.stale.pool_id = pool->pool_id;
	msg->u.stale.epoch_seen = pool->epoch_seen;
}

/* Accepts an owner's epoch unless a newer one was seen. */
static bool
entry_accept_epoch(struct entry *entry, struct entry_pool *pool,
    uint64_t from_node_id, uint64_t epoch, uint64_t now_ms,
    struct effects *effects)
{
	if (epoch < pool->epoch_seen) {
		entry->stale_grants_count++;
		entry_send_stale(pool, from_node_id, effects);
		return false;
	}
	pool->epoch_seen = epoch;
	pool->owner_heard_ms = now_ms;
	return true;
}

static void
entry_handle_grant(struct entry *entry, const struct msg *msg, uint64_t now_ms,
    struct effects *effects)
{
	const struct msg_grant *grant = &msg->u.grant;
	struct entry_pool *pool = entry_pool(entry, grant->pool_id);
	struct entry_request *request;

	if (!entry_accept_epoch(entry, pool, msg->from_node_id, grant->epoch,
		now_ms, effects))
		return;
	request = g_hash_table_lookup(entry->requests, &grant->seq);
	if (request == NULL) {
		struct msg *cancel = effects_send(effects, msg->from_node_id,
		    MSG_CANCEL);
		cancel->u.cancel.pool_id = grant->pool_id;
		cancel->u.cancel.seq = grant->seq;
		return;
	}
	entry_remember_vtime(pool, request->submit.account_id,
	    grant->account_vtime);
	if (request->endpoint_id == 0)
		entry_start(request, grant->endpoint_id, effects);
}

static void
entry_handle_refuse(struct entry *entry, const struct msg *msg,
    struct effects *effects)
{
	struct entry_request *request = g_hash_table_lookup(entry->requests,
	    &msg->u.refuse.seq);

	if (request != NULL && request->endpoint_id == 0)
		entry_refuse(entry, request, msg->u.refuse.reason,
		    msg->u.refuse.retry_after_ms, effects);
}

void
entry_handle(struct entry *entry, const struct msg *msg, uint64_t now_ms,
    struct effects *effects)
{
	struct entry_pool *pool;

	switch (msg->type) {
	case MSG_GRANT:
		entry_handle_grant(entry, msg, now_ms, effects);
		break;
	case MSG_REFUSE:
		entry_handle_refuse(entry, msg, effects);
		break;
	case MSG_SYNC:
		pool = entry_pool(entry, msg->u.sync.pool_id);
		if (entry_accept_epoch(entry, pool, msg->from_node_id,
			msg->u.sync.epoch, now_ms, effects))
			entry_send_report(entry, pool, msg->from_node_id, true,
			    now_ms, effects);
		break;
	default:
		break;
	}
}

static void
entry_expire(struct entry *entry, uint64_t now_ms, struct effects *effects)
{
	GArray *expired = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry_request *request = value;
		if (request->endpoint_id == 0 &&
		    now_ms >= request->submit.deadline_ms)
			g_array_append_val(expired, request->seq);
	}
	for (guint i = 0; i < expired->len; i++) {
		uint64_t seq = g_array_index(expired, uint64_t, i);
		struct effect *effect = effects_add(effects, EFFECT_REFUSE);
		effect->seq = seq;
		effect->reason = REFUSE_DEADLINE;
		effect->retry_after_ms = RETRY_AFTER_FULL_MS;
		entry->refused_count++;
		entry_cancel(entry, seq, effects);
	}
	g_array_free(expired, TRUE);
}

void
entry_tick(struct entry *entry, uint64_t now_ms, struct effects *effects)
{
	GHashTableIter iter;
	gpointer value;

	entry_expire(entry, now_ms, effects);
	if (entry->config.ops != &entry_fleet)
		return;
	g_hash_table_iter_init(&iter, entry->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry_pool *pool = value;
		if (pool->owner_id == 0 || now_ms < pool->report_due_ms)
			continue;
		entry_send_report(entry, pool, pool->owner_id, false, now_ms,
		    effects);
	}
}

void
entry_drain(struct entry *entry, struct effects *effects)
{
	GArray *waiting = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	entry->draining = true;
	g_hash_table_iter_init(&iter, entry->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry_request *request = value;
		if (request->endpoint_id == 0)
			g_array_append_val(waiting, request->seq);
	}
	for (guint i = 0; i < waiting->len; i++) {
		uint64_t seq = g_array_index(waiting, uint64_t, i);
		struct effect *effect = effects_add(effects, EFFECT_REFUSE);
		effect->seq = seq;
		effect->reason = REFUSE_SHUTDOWN;
		effect->retry_after_ms = RETRY_AFTER_DRAIN_MS;
		entry_cancel(entry, seq, effects);
	}
	g_array_free(waiting, TRUE);
}

void
entry_counts(const struct entry *entry, uint32_t *waiting_count,
    uint32_t *running_count)
{
	GHashTableIter iter;
	gpointer value;

	*waiting_count = 0;
	*running_count = 0;
	g_hash_table_iter_init(&iter, entry->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry_request *request = value;
		if (request->endpoint_id == 0)
			(*waiting_count)++;
		else
			(*running_count)++;
	}
}
