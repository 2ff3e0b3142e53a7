#include "core/owner.h"

#include <string.h>

#include "core/owner_private.h"

/* Weight of a sample in the moving average: 1/8. */
#define COMPLETION_INTERVAL_SHIFT 3
#define US_PER_MS 1000u

static guint
request_key_hash(gconstpointer pointer)
{
	const struct request_key *key = pointer;

	return (guint)(key->node_id ^ (key->seq * 0x9e3779b97f4a7c15u));
}

static gboolean
request_key_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct request_key)) == 0;
}

/* Requests a full report from all nodes. No slots are granted until these
 * arrive or the sync times out. */
static void
owner_start_sync(struct owner *owner, uint64_t now_ms, struct effects *effects)
{
	GHashTableIter iter;
	gpointer value;

	owner->syncing = true;
	owner->sync_deadline_ms = now_ms + owner->config.sync_timeout_ms;
	g_hash_table_iter_init(&iter, owner->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct owner_node *node = value;
		node->awaiting_report = !node->down;
		if (node->awaiting_report)
			owner_node_request_report(owner, node, now_ms, effects);
	}
}

void
owner_init(struct owner *owner, const struct owner_config *config,
    uint64_t epoch_floor, uint64_t now_ms, const uint64_t *live_node_ids,
    size_t live_count, struct effects *effects)
{
	memset(owner, 0, sizeof(*owner));
	owner->config = *config;
	owner->epoch = epoch_floor;
	owner->resync_backoff_ms = RESYNC_BACKOFF_MIN_MS;
	owner->last_completion_ms = now_ms;
	fair_queue_init(&owner->queue, config->order);
	owner->nodes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
	    owner_node_free);
	owner->requests = g_hash_table_new_full(request_key_hash,
	    request_key_equal, NULL, g_free);
	owner->prefix_endpoints = g_hash_table_new_full(g_int64_hash,
	    g_int64_equal, NULL, g_free);
	owner->waiting_max_counts = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	owner->served_tokens = g_array_new(FALSE, TRUE, sizeof(int64_t));
	owner->endpoints = g_array_new(FALSE, TRUE,
	    sizeof(struct owner_endpoint));
	for (size_t i = 0; i < live_count; i++)
		owner_node_get(owner, live_node_ids[i]);
	owner_start_sync(owner, now_ms, effects);
}

void
owner_finish(struct owner *owner)
{
	g_hash_table_destroy(owner->requests);
	g_hash_table_destroy(owner->nodes);
	g_hash_table_destroy(owner->prefix_endpoints);
	g_array_free(owner->waiting_max_counts, TRUE);
	g_array_free(owner->served_tokens, TRUE);
	g_array_free(owner->endpoints, TRUE);
	fair_queue_finish(&owner->queue);
	memset(owner, 0, sizeof(*owner));
}

void
owner_send_grant(struct owner *owner, struct owner_request *request,
    struct effects *effects)
{
	struct msg *msg = effects_send(effects, request->key.node_id,
	    MSG_GRANT);

	msg->u.grant.pool_id = owner->config.pool_id;
	msg->u.grant.epoch = owner->epoch;
	msg->u.grant.seq = request->key.seq;
	msg->u.grant.endpoint_id = request->endpoint_id;
	request->grant_seq = ++owner->last_grant_seq;
	msg->u.grant.grant_seq = request->grant_seq;
	msg->u.grant.account_vtime = fair_queue_account(&owner->queue,
	    request->waiter.account_index)
					 ->vtime;
}

static void
owner_refuse_waiting(struct owner *owner, struct effects *effects)
{
	struct fair_waiter *waiter;

	while ((waiter = fair_queue_next(&owner->queue)) != NULL)
		owner_request_refuse(owner, waiter->link.data,
		    REFUSE_NO_ENDPOINT, effects);
}

/* Whether the process was suspended since the last tick. If so, no slots are
 * granted until the next tick has started a sync. */
static bool
owner_was_paused(const struct owner *owner, uint64_t now_ms)
{
	return owner->last_tick_ms != 0 &&
	    now_ms > owner->last_tick_ms + PAUSE_MIN_MS;
}

static void
owner_grant(struct owner *owner, struct owner_request *request,
    const struct owner_endpoint *endpoint, uint64_t now_ms,
    struct effects *effects)
{
	owner_request_assign(owner, request, endpoint->endpoint_id, now_ms);
	owner_request_charge(owner, request, request->estimate_tokens);
	owner->grants_count++;
	owner_send_grant(owner, request, effects);
}

/* Grants free slots in the order of the accounts. */
static void
owner_fill_slots(struct owner *owner, uint64_t now_ms, struct effects *effects)
{
	const struct owner_endpoint *endpoint;
	struct fair_waiter *waiter;

	while ((waiter = fair_queue_next(&owner->queue)) != NULL) {
		endpoint = owner_endpoint_choose(owner, waiter->link.data,
		    now_ms);
		if (endpoint == NULL)
			return;
		owner_grant(owner, waiter->link.data, endpoint, now_ms,
		    effects);
	}
}

/* Grants extra slots to accounts below their fair share, so that their short
 * requests don't wait for the end of long ones. */
static void
owner_fill_extra_slots(struct owner *owner, uint64_t now_ms,
    struct effects *effects)
{
	uint64_t slots_count = owner_slots_count(owner);
	const struct owner_endpoint *endpoint;
	struct fair_waiter *waiter;

	while ((waiter = fair_queue_next(&owner->queue)) != NULL) {
		if (owner_endpoint_choose_extra(owner, waiter->link.data,
			now_ms) == NULL)
			return;
		waiter = fair_queue_next_below_share(&owner->queue, slots_count,
		    owner->request_max_tokens);
		if (waiter == NULL)
			return;
		endpoint = owner_endpoint_choose_extra(owner, waiter->link.data,
		    now_ms);
		owner_grant(owner, waiter->link.data, endpoint, now_ms,
		    effects);
	}
}

static void
owner_schedule(struct owner *owner, uint64_t now_ms, struct effects *effects)
{
	if (owner->syncing || owner->resync_due_ms != 0 ||
	    owner_was_paused(owner, now_ms))
		return;
	if (!owner_has_usable_endpoint(owner)) {
		owner_refuse_waiting(owner, effects);
		return;
	}
	owner_fill_slots(owner, now_ms, effects);
	owner_fill_extra_slots(owner, now_ms, effects);
}

static void
owner_handle_slot_request(struct owner *owner, struct owner_node *node,
    const struct msg_slot_request *slot_request, uint64_t now_ms,
    struct effects *effects)
{
	struct report_item item = { .account_id = slot_request->account_id,
		.seq = slot_request->seq,
		.prefix_hash = slot_request->prefix_hash,
		.estimate_tokens = slot_request->estimate_tokens };
	struct owner_request *request;

	/* A request that is not newer than the newest report but was not in it
	 * has ended, and this message was delayed or duplicated. */
	if (slot_request->seq <= node->reported_seq_max ||
	    owner_request_find(owner, node->node_id, slot_request->seq) != NULL)
		return;
	if (node->requests.length == 0)
		node->reported_at_ms = now_ms;
	request = owner_request_add(owner, node, &item);
	request->avoid_endpoint_id = slot_request->avoid_endpoint_id;
	owner_request_enforce_waiting_max(owner, request, effects);
}

static void
owner_record_completion(struct owner *owner, uint64_t now_ms)
{
	uint64_t interval_us = (now_ms - owner->last_completion_ms) * US_PER_MS;

	owner->last_completion_ms = now_ms;
	owner->completion_interval_us += interval_us >>
	    COMPLETION_INTERVAL_SHIFT;
	owner->completion_interval_us -= owner->completion_interval_us >>
	    COMPLETION_INTERVAL_SHIFT;
}

/* Tokens to charge for an ended request. Responses of a service have no token
 * count, so that its complete requests are charged the estimate. */
static int64_t
owner_final_charge_tokens(const struct owner *owner,
    const struct owner_request *request, const struct msg_done *done)
{
	if (done->outcome != DONE_COMPLETE)
		return (int64_t)done->tokens;
	if (owner->kind == POOL_SERVICE)
		return request->estimate_tokens;
	return MAX(1, (int64_t)done->tokens);
}

static void
owner_handle_done(struct owner *owner, struct owner_node *node,
    const struct msg_done *done, uint64_t now_ms)
{
	struct owner_request *request = owner_request_find(owner, node->node_id,
	    done->seq);

	node->last_end_seq = MAX(node->last_end_seq, done->send_seq);
	if (request == NULL)
		return;
	owner_request_charge(owner, request,
	    owner_final_charge_tokens(owner, request, done));
	owner_endpoint_record_outcome(owner, request, done->outcome, now_ms);
	owner_record_completion(owner, now_ms);
	owner_request_remove(owner, request);
}

static void
owner_handle_cancel(struct owner *owner, struct owner_node *node,
    const struct msg_cancel *cancel, uint64_t now_ms)
{
	struct owner_request *request = owner_request_find(owner, node->node_id,
	    cancel->seq);

	node->last_end_seq = MAX(node->last_end_seq, cancel->send_seq);
	if (request == NULL)
		return;
	if (cancel->endpoint_id == 0) {
		owner_request_charge(owner, request, 0);
		owner_request_remove(owner, request);
	} else if (cancel->endpoint_id == request->endpoint_id &&
	    cancel->grant_seq == request->grant_seq) {
		owner_request_requeue(owner, request);
		owner_endpoint_exclude(owner, cancel->endpoint_id, now_ms);
	}
}

/* Tells an entry daemon that has received no message of the owner lately that
 * the owner is alive. */
static void
owner_announce_epoch(const struct owner *owner, uint64_t node_id,
    struct effects *effects)
{
	struct msg *msg = effects_send(effects, node_id, MSG_SYNC);

	msg->u.sync.pool_id = owner->config.pool_id;
	msg->u.sync.epoch = owner->epoch;
}

void
owner_handle(struct owner *owner, const struct msg *msg, uint64_t now_ms,
    struct effects *effects)
{
	struct owner_node *node = owner_node_sender(owner, msg);

	if (node == NULL)
		return;
	switch (msg->type) {
	case MSG_SLOT_REQUEST:
		owner_handle_slot_request(owner, node, &msg->u.slot_request,
		    now_ms, effects);
		break;
	case MSG_CANCEL:
		owner_handle_cancel(owner, node, &msg->u.cancel, now_ms);
		break;
	case MSG_DONE:
		owner_handle_done(owner, node, &msg->u.done, now_ms);
		break;
	case MSG_REQUEST_REPORT:
		owner_handle_report(owner, node, &msg->u.request_report, now_ms,
		    effects);
		if (msg->u.request_report.wants_ack)
			owner_announce_epoch(owner, node->node_id, effects);
		break;
	case MSG_STALE_OWNER:
		owner_observe_epoch(owner, msg->u.stale_owner.epoch_seen,
		    msg->u.stale_owner.owner_seen, now_ms);
		break;
	default:
		return;
	}
	owner_schedule(owner, now_ms, effects);
}

void
owner_node_down(struct owner *owner, uint64_t node_id, uint64_t now_ms,
    struct effects *effects)
{
	struct owner_node *node = owner_node_get(owner, node_id);

	owner_node_release_requests(owner, node);
	node->down = true;
	node->awaiting_report = false;
	owner_finish_sync_if_complete(owner);
	owner_schedule(owner, now_ms, effects);
}

static void
owner_set_account_limits(struct owner *owner, const struct route *route)
{
	size_t index = fair_queue_account_index(&owner->queue,
	    route->account_id);

	fair_queue_account(&owner->queue, index)->weight = route->weight;
	if (owner->waiting_max_counts->len <= index)
		g_array_set_size(owner->waiting_max_counts, (guint)index + 1);
	g_array_index(owner->waiting_max_counts, uint32_t,
	    index) = route->waiting_max_count * OWNER_WAITING_MAX_FACTOR;
}

void
owner_set_tables(struct owner *owner, const struct tables *tables,
    uint64_t now_ms, struct effects *effects)
{
	const struct pool *pool = tables_find_pool(tables,
	    owner->config.pool_id);

	if (pool == NULL)
		return;
	owner->estimate_tokens = pool->estimate_tokens;
	owner->request_max_tokens = pool->request_max_tokens;
	owner->kind = pool->kind;
	owner_endpoints_set(owner, pool);
	for (uint32_t i = 0; i < tables->route_count; i++)
		if (tables->routes[i].pool_id == pool->pool_id)
			owner_set_account_limits(owner, &tables->routes[i]);
	owner_schedule(owner, now_ms, effects);
}

static void
owner_resync(struct owner *owner, uint64_t now_ms, struct effects *effects)
{
	owner->epoch = MAX(owner->epoch, owner->superseding_epoch) + 1;
	owner->resync_due_ms = 0;
	owner->resyncs_count++;
	owner_start_sync(owner, now_ms, effects);
}

void
owner_tick(struct owner *owner, uint64_t now_ms, struct effects *effects)
{
	if (owner_was_paused(owner, now_ms) ||
	    (owner->resync_due_ms != 0 && now_ms >= owner->resync_due_ms))
		owner_resync(owner, now_ms, effects);
	owner->last_tick_ms = now_ms;
	if (owner->syncing && now_ms >= owner->sync_deadline_ms)
		owner_finish_sync(owner);
	if (!owner->syncing &&
	    now_ms > owner->sync_deadline_ms + RESYNC_BACKOFF_MAX_MS)
		owner->resync_backoff_ms = RESYNC_BACKOFF_MIN_MS;
	owner_nodes_tick(owner, now_ms, effects);
	owner_schedule(owner, now_ms, effects);
}
