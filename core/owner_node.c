#include <string.h>

#include "core/owner_private.h"

/* Report periods after which a silent node with requests is asked for a report,
 * and after which its requests are removed. Both are longer than the eight
 * periods between two reports of an entry daemon that has only running
 * requests. */
#define NODE_SYNC_PERIODS_COUNT 12u
#define NODE_RELEASE_PERIODS_COUNT 20u
/* Minimum time between two requests for a report to the same node. */
#define SYNC_RESEND_MS 200u

struct owner_node *
owner_node_get(struct owner *owner, uint64_t node_id)
{
	struct owner_node *node = g_hash_table_lookup(owner->nodes, &node_id);

	if (node != NULL)
		return node;
	node = g_new0(struct owner_node, 1);
	node->node_id = node_id;
	g_hash_table_insert(owner->nodes, &node->node_id, node);
	return node;
}

void
owner_node_free(gpointer node)
{
	g_free(node);
}

/* Removes the requests of a node that are missing in the report of this
 * generation. Requests newer than seq_max are kept, since the node sent the
 * report before it received them. */
static void
node_remove_unreported(struct owner *owner, struct owner_node *node,
    uint64_t generation, uint64_t seq_max)
{
	GList *link = node->requests.head;

	while (link != NULL) {
		struct owner_request *request = link->data;

		link = link->next;
		if (request->report_generation == generation ||
		    request->key.seq > seq_max)
			continue;
		if (request->endpoint_id != 0)
			owner->reclaimed_slots_count++;
		owner_request_remove(owner, request);
	}
}

void
owner_node_release_requests(struct owner *owner, struct owner_node *node)
{
	node_remove_unreported(owner, node, ++owner->report_generation,
	    UINT64_MAX);
}

struct owner_node *
owner_node_sender(struct owner *owner, const struct msg *msg)
{
	struct owner_node *node = owner_node_get(owner, msg->from_node_id);

	node->down = false;
	if (msg->from_incarnation < node->incarnation)
		return NULL;
	if (msg->from_incarnation > node->incarnation) {
		owner_node_release_requests(owner, node);
		node->incarnation = msg->from_incarnation;
		node->last_report_seq = 0;
		node->last_end_seq = 0;
		node->reported_seq_max = 0;
	}
	return node;
}

void
owner_node_request_report(const struct owner *owner, struct owner_node *node,
    uint64_t now_ms, struct effects *effects)
{
	struct msg *msg = effects_send(effects, node->node_id, MSG_SYNC);

	msg->u.sync.pool_id = owner->config.pool_id;
	msg->u.sync.epoch = owner->epoch;
	msg->u.sync.wants_report = 1;
	node->sync_sent_ms = now_ms;
}

void
owner_finish_sync(struct owner *owner)
{
	owner->syncing = false;
	fair_queue_limit_debt(&owner->queue, owner_debt_max_tokens(owner));
}

void
owner_finish_sync_if_complete(struct owner *owner)
{
	GHashTableIter iter;
	gpointer value;

	if (!owner->syncing)
		return;
	g_hash_table_iter_init(&iter, owner->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((const struct owner_node *)value)->awaiting_report)
			return;
	owner_finish_sync(owner);
}

void
owner_observe_epoch(struct owner *owner, uint64_t epoch, uint64_t node_id,
    uint64_t now_ms)
{
	if (epoch < owner->epoch ||
	    (epoch == owner->epoch && node_id <= owner->config.node_id))
		return;
	owner->superseding_epoch = MAX(owner->superseding_epoch, epoch);
	if (owner->resync_due_ms != 0)
		return;
	owner->resync_due_ms = now_ms + owner->resync_backoff_ms;
	owner->resync_backoff_ms = MIN(owner->resync_backoff_ms * 2,
	    RESYNC_BACKOFF_MAX_MS);
}

static void
node_apply_report_item(struct owner *owner, struct owner_node *node,
    const struct report_item *item, bool is_full, uint64_t now_ms,
    struct effects *effects)
{
	struct owner_request *request = owner_request_find(owner, node->node_id,
	    item->seq);

	if (request == NULL && !is_full)
		return;
	if (request == NULL) {
		request = owner_request_add(owner, node, item);
		request->report_generation = owner->report_generation;
		if (item->state == REPORT_WAITING) {
			owner_request_enforce_waiting_max(owner, request,
			    effects);
			return;
		}
	}
	request->report_generation = owner->report_generation;
	if (item->state == REPORT_RUNNING) {
		if (is_full && request->endpoint_id != item->endpoint_id)
			owner_request_assign(owner, request, item->endpoint_id,
			    now_ms);
		owner_request_charge(owner, request,
		    MAX((int64_t)item->tokens,
			(int64_t)request->estimate_tokens));
	} else if (request->endpoint_id != 0 &&
	    now_ms > request->granted_at_ms + owner->config.grant_settle_ms) {
		request->granted_at_ms = now_ms;
		owner_send_grant(owner, request, effects);
	}
}

/* Whether a report that is not full contains a request that the owner doesn't
 * know, or a running one that it has not assigned to an endpoint. */
static bool
report_is_inconsistent(struct owner *owner, const struct owner_node *node,
    const struct msg_request_report *report)
{
	for (uint32_t i = 0; i < report->item_count && !report->full; i++) {
		const struct report_item *item = &report->items[i];
		const struct owner_request *request = owner_request_find(owner,
		    node->node_id, item->seq);
		if (request == NULL ||
		    (item->state == REPORT_RUNNING &&
			request->endpoint_id == 0))
			return true;
	}
	return false;
}

static void
apply_reported_vtimes(struct owner *owner,
    const struct msg_request_report *report)
{
	for (uint32_t i = 0; i < report->vtime_count; i++) {
		size_t index = fair_queue_account_index(&owner->queue,
		    report->vtimes[i].account_id);
		struct fair_account *account = fair_queue_account(&owner->queue,
		    index);
		account->vtime = MAX(account->vtime, report->vtimes[i].vtime);
	}
}

void
owner_handle_report(struct owner *owner, struct owner_node *node,
    const struct msg_request_report *report, uint64_t now_ms,
    struct effects *effects)
{
	bool is_inconsistent = report_is_inconsistent(owner, node, report);

	owner_observe_epoch(owner, report->epoch_seen, report->owner_seen,
	    now_ms);
	if (report->send_seq <= node->last_report_seq ||
	    report->send_seq < node->last_end_seq) {
		owner->outdated_reports_count++;
		return;
	}
	node->last_report_seq = report->send_seq;
	node->reported_seq_max = report->seq_max;
	node->reported_at_ms = now_ms;
	owner->report_generation++;
	if (owner->syncing)
		apply_reported_vtimes(owner, report);
	for (uint32_t i = 0; i < report->item_count; i++)
		node_apply_report_item(owner, node, &report->items[i],
		    report->full, now_ms, effects);
	node_remove_unreported(owner, node, owner->report_generation,
	    report->seq_max);
	if (report->full)
		node->awaiting_report = false;
	if (is_inconsistent && now_ms >= node->sync_sent_ms + SYNC_RESEND_MS)
		owner_node_request_report(owner, node, now_ms, effects);
	owner_finish_sync_if_complete(owner);
}

static void
node_tick(struct owner *owner, struct owner_node *node, uint64_t now_ms,
    struct effects *effects)
{
	uint64_t period_ms = owner->config.report_period_ms;
	uint64_t since_report_ms = now_ms - node->reported_at_ms;
	bool is_due = now_ms >= node->sync_sent_ms + SYNC_RESEND_MS;

	if (owner->syncing && node->awaiting_report && is_due) {
		owner_node_request_report(owner, node, now_ms, effects);
		return;
	}
	if (node->requests.length == 0)
		return;
	if (since_report_ms > period_ms * NODE_RELEASE_PERIODS_COUNT)
		owner_node_release_requests(owner, node);
	else if (since_report_ms > period_ms * NODE_SYNC_PERIODS_COUNT &&
	    is_due)
		owner_node_request_report(owner, node, now_ms, effects);
}

void
owner_nodes_tick(struct owner *owner, uint64_t now_ms, struct effects *effects)
{
	GHashTableIter iter;
	gpointer node;

	g_hash_table_iter_init(&iter, owner->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &node))
		node_tick(owner, node, now_ms, effects);
}
