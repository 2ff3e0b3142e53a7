#include "core/entry_private.h"
#include "core/hash.h"

static void
fleet_submit(struct entry *entry, struct entry_request *request,
    uint64_t now_ms, struct effects *effects)
{
	struct entry_pool *pool = request->pool;
	const struct entry_request_params *params = &request->params;
	struct msg *msg;

	(void)entry;
	if (pool->queue.waiting_count == 1) {
		pool->waiting_since_ms = now_ms;
		if (!pool->in_fallback)
			pool->last_owner_message_ms = now_ms;
	}
	if (pool->requests.length == 1)
		pool->last_report_ms = now_ms;
	if (pool->owner_id == 0)
		return;
	msg = effects_send(effects, pool->owner_id, MSG_SLOT_REQUEST);
	msg->u.slot_request.pool_id = pool->pool_id;
	msg->u.slot_request.account_id = params->account_id;
	msg->u.slot_request.seq = request->seq;
	msg->u.slot_request.prefix_hash = params->prefix_hash;
	msg->u.slot_request.avoid_endpoint_id = params->avoid_endpoint_id;
	msg->u.slot_request.estimate_tokens = params->estimate_tokens;
}

/* Schedules reports at the next report periods, since the message about the end
 * of a request may be lost. */
static void
schedule_end_reports(const struct entry *entry, struct entry_pool *pool)
{
	pool->end_reports_left_count = ENTRY_REPORT_REPEATS_COUNT;
	pool->last_end_ms = entry->last_tick_ms;
}

static void
fleet_done(const struct entry *entry, const struct entry_request *request,
    enum done_outcome outcome, struct effects *effects)
{
	struct entry_pool *pool = request->pool;
	struct msg *msg;

	schedule_end_reports(entry, pool);
	if (pool->owner_id == 0)
		return;
	msg = effects_send(effects, pool->owner_id, MSG_DONE);
	msg->u.done.pool_id = pool->pool_id;
	msg->u.done.seq = request->seq;
	msg->u.done.tokens = request->tokens;
	msg->u.done.send_seq = ++pool->send_seq;
	msg->u.done.outcome = (uint8_t)outcome;
}

static void
send_cancel(struct entry_pool *pool, uint64_t to_node_id, uint64_t seq,
    struct effects *effects)
{
	struct msg *msg = effects_send(effects, to_node_id, MSG_CANCEL);

	msg->u.cancel.pool_id = pool->pool_id;
	msg->u.cancel.seq = seq;
	msg->u.cancel.send_seq = ++pool->send_seq;
}

static void
fleet_withdraw(const struct entry *entry, const struct entry_request *request,
    struct effects *effects)
{
	struct entry_pool *pool = request->pool;

	schedule_end_reports(entry, pool);
	if (pool->owner_id != 0)
		send_cancel(pool, pool->owner_id, request->seq, effects);
}

static void
fleet_owner_changed(struct entry *entry, struct entry_pool *pool,
    uint64_t now_ms, struct effects *effects)
{
	pool->last_owner_message_ms = now_ms;
	pool->in_fallback = false;
	entry_schedule_full_report(pool);
	if (pool->owner_id != 0)
		entry_send_report(entry, pool, pool->owner_id, now_ms, effects);
}

/* Accepts a message of an owner unless it is superseded: a newer epoch, or the
 * same epoch of a higher node id, was seen. Notifies a superseded owner. */
static bool
accept_owner(struct entry *entry, struct entry_pool *pool, uint64_t owner_id,
    uint64_t epoch, uint64_t now_ms, struct effects *effects)
{
	struct msg *stale;

	if (epoch < pool->epoch_seen ||
	    (epoch == pool->epoch_seen && owner_id < pool->epoch_owner_id)) {
		entry->stale_grants_count++;
		stale = effects_send(effects, owner_id, MSG_STALE_OWNER);
		stale->u.stale_owner.pool_id = pool->pool_id;
		stale->u.stale_owner.epoch_seen = pool->epoch_seen;
		stale->u.stale_owner.owner_seen = pool->epoch_owner_id;
		return false;
	}
	pool->epoch_seen = epoch;
	pool->epoch_owner_id = owner_id;
	pool->last_owner_message_ms = now_ms;
	if (pool->in_fallback)
		entry_schedule_full_report(pool);
	pool->in_fallback = false;
	return true;
}

/* Whether the process was suspended, and may not yet have received updates that
 * were sent meanwhile. */
static bool
is_resuming(const struct entry *entry, uint64_t now_ms)
{
	return entry->last_tick_ms != 0 &&
	    (now_ms > entry->last_tick_ms + PAUSE_MIN_MS ||
		now_ms < entry->resume_until_ms);
}

static bool
endpoint_accepts_work(const struct entry *entry, uint64_t pool_id,
    uint64_t endpoint_id)
{
	const struct pool *pool_row;
	const struct endpoint *endpoint;

	if (entry->tables == NULL)
		return true;
	pool_row = tables_find_pool(entry->tables, pool_id);
	endpoint = pool_row == NULL ? NULL
				    : pool_find_endpoint(pool_row, endpoint_id);
	return endpoint != NULL && !endpoint->leaving;
}

/* Whether this grant, or a newer one of the same epoch, was returned. */
static bool
grant_was_returned(const struct entry_request *request,
    const struct msg_grant *grant)
{
	return grant->epoch == request->returned_epoch &&
	    grant->grant_seq <= request->returned_grant_seq;
}

/* Returns an unused grant. The request keeps waiting, and the owner may grant
 * it a slot at another endpoint. */
static void
return_grant(struct entry_request *request, uint64_t owner_id,
    const struct msg_grant *grant, struct effects *effects)
{
	struct msg *msg = effects_send(effects, owner_id, MSG_CANCEL);

	request->returned_epoch = grant->epoch;
	request->returned_grant_seq = grant->grant_seq;
	msg->u.cancel.pool_id = grant->pool_id;
	msg->u.cancel.seq = grant->seq;
	msg->u.cancel.send_seq = ++request->pool->send_seq;
	msg->u.cancel.endpoint_id = grant->endpoint_id;
	msg->u.cancel.grant_seq = grant->grant_seq;
}

static void
handle_grant(struct entry *entry, const struct msg *msg, uint64_t now_ms,
    struct effects *effects)
{
	const struct msg_grant *grant = &msg->u.grant;
	struct entry_pool *pool = entry_pool(entry, grant->pool_id);
	struct entry_request *request;
	struct entry_account *account;

	if (!accept_owner(entry, pool, msg->from_node_id, grant->epoch, now_ms,
		effects))
		return;
	request = g_hash_table_lookup(entry->requests, &grant->seq);
	if (request == NULL || request->pool != pool) {
		send_cancel(pool, msg->from_node_id, grant->seq, effects);
		return;
	}
	account = entry_pool_account(pool, request);
	account->vtime = grant->account_vtime;
	account->granted_at_ms = now_ms;
	fair_queue_account(&pool->queue, request->waiter.account_index)->vtime =
	    grant->account_vtime;
	if (request->endpoint_id == grant->endpoint_id)
		return;
	if (request->endpoint_id != 0) {
		entry_schedule_full_report(pool);
		return;
	}
	/* Ignored as if the message were lost; the owner sends it again. */
	if (is_resuming(entry, now_ms) || grant_was_returned(request, grant))
		return;
	if (!endpoint_accepts_work(entry, pool->pool_id, grant->endpoint_id)) {
		entry->returned_grants_count++;
		return_grant(request, msg->from_node_id, grant, effects);
		return;
	}
	entry_start(entry, request, grant->endpoint_id, now_ms, effects);
}

static void
handle_refuse(struct entry *entry, const struct msg *msg, uint64_t now_ms,
    struct effects *effects)
{
	const struct msg_refuse *refuse = &msg->u.refuse;
	struct entry_pool *pool = entry_pool(entry, refuse->pool_id);
	struct entry_request *request;

	if (!accept_owner(entry, pool, msg->from_node_id, refuse->epoch, now_ms,
		effects))
		return;
	request = g_hash_table_lookup(entry->requests, &refuse->seq);
	if (request != NULL && request->pool == pool &&
	    request->endpoint_id == 0)
		entry_refuse(entry, request, refuse->reason,
		    refuse->retry_after_ms, effects);
}

static void
handle_sync(struct entry *entry, const struct msg *msg, uint64_t now_ms,
    struct effects *effects)
{
	struct entry_pool *pool = entry_pool(entry, msg->u.sync.pool_id);

	if (!accept_owner(entry, pool, msg->from_node_id, msg->u.sync.epoch,
		now_ms, effects) ||
	    !msg->u.sync.wants_report)
		return;
	entry_schedule_full_report(pool);
	entry_send_report(entry, pool, msg->from_node_id, now_ms, effects);
}

static void
fleet_handle(struct entry *entry, const struct msg *msg, uint64_t now_ms,
    struct effects *effects)
{
	if (msg->type == MSG_GRANT)
		handle_grant(entry, msg, now_ms, effects);
	else if (msg->type == MSG_REFUSE)
		handle_refuse(entry, msg, now_ms, effects);
	else if (msg->type == MSG_SYNC)
		handle_sync(entry, msg, now_ms, effects);
}

/* This daemon's share of the pool's slots while the owner is unreachable. */
static uint32_t
fallback_slots_count(const struct entry *entry, const struct entry_pool *pool)
{
	const struct pool *pool_row = entry->tables == NULL
	    ? NULL
	    : tables_find_pool(entry->tables, pool->pool_id);
	uint64_t slots_count = 0;

	for (uint32_t i = 0; pool_row != NULL && i < pool_row->endpoint_count;
	     i++)
		if (!pool_row->endpoints[i].leaving)
			slots_count += pool_row->slots_per_endpoint;
	return (uint32_t)MAX(1, slots_count / MAX(1, entry->live_count));
}

static void
start_in_fallback(struct entry *entry, struct entry_pool *pool, uint64_t now_ms,
    struct effects *effects)
{
	uint32_t slots_count = fallback_slots_count(entry, pool);
	const struct endpoint *endpoint;
	struct entry_request *request;
	struct fair_waiter *waiter;

	while (pool->running_count < slots_count &&
	    (waiter = fair_queue_next(&pool->queue)) != NULL) {
		request = waiter->link.data;
		endpoint = entry_next_endpoint(entry, pool);
		if (endpoint == NULL)
			return;
		pool->queue.ops->charge(fair_queue_account(&pool->queue,
					    waiter->account_index),
		    request->params.estimate_tokens);
		entry->fallback_starts_count++;
		entry_schedule_full_report(pool);
		entry_start(entry, request, endpoint->endpoint_id, now_ms,
		    effects);
	}
}

static void
fleet_tick(struct entry *entry, struct entry_pool *pool, uint64_t now_ms,
    struct effects *effects)
{
	bool owner_is_silent = pool->queue.waiting_count > 0 &&
	    now_ms >=
		pool->last_owner_message_ms + entry->config.fallback_after_ms;

	if (owner_is_silent)
		pool->in_fallback = true;
	if (pool->in_fallback && !is_resuming(entry, now_ms))
		start_in_fallback(entry, pool, now_ms, effects);
	if (pool->owner_id != 0 && entry_report_is_due(entry, pool, now_ms))
		entry_send_report(entry, pool, pool->owner_id, now_ms, effects);
}

const struct entry_ops entry_fleet = { "fleet", fleet_submit, fleet_done,
	fleet_withdraw, fleet_owner_changed, fleet_handle, fleet_tick };
