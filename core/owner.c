#include "core/owner.h"

#include <string.h>

/* Mark of no report: the node itself is lost. */
#define NODE_LOST 0

struct request_key {
	uint64_t node_id;
	uint64_t seq;
};

struct owner_request {
	struct request_key key;
	uint64_t account_id;
	uint64_t endpoint_id; /* 0 while waiting */
	uint64_t arrival;
	uint64_t granted_at_ms;
	int64_t charged_tokens;
	uint32_t estimate_tokens;
	uint64_t report_mark;
};

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

static struct fair_account *
owner_account(struct owner *owner, uint64_t account_id)
{
	gpointer index = g_hash_table_lookup(owner->account_index, &account_id);
	struct fair_account account = { .account_id = account_id, .weight = 1 };
	guint64 *key;

	if (index != NULL)
		return &g_array_index(owner->accounts, struct fair_account,
		    GPOINTER_TO_SIZE(index) - 1);
	g_array_append_val(owner->accounts, account);
	key = g_new(guint64, 1);
	*key = account_id;
	g_hash_table_insert(owner->account_index, key,
	    GSIZE_TO_POINTER(owner->accounts->len));
	return &g_array_index(owner->accounts, struct fair_account,
	    owner->accounts->len - 1);
}

static const struct fair_account *
owner_accounts(const struct owner *owner)
{
	return (const struct fair_account *)(void *)owner->accounts->data;
}

static struct owner_endpoint *
owner_endpoint(struct owner *owner, uint64_t endpoint_id)
{
	for (guint i = 0; i < owner->endpoints->len; i++) {
		struct owner_endpoint *endpoint =
		    &g_array_index(owner->endpoints, struct owner_endpoint, i);
		if (endpoint->endpoint_id == endpoint_id)
			return endpoint;
	}
	return NULL;
}

void
owner_init(struct owner *owner, const struct owner_config *config,
    uint64_t wall_ms, uint64_t now_ms, const uint64_t *live_node_ids,
    size_t live_count, struct effects *effects)
{
	memset(owner, 0, sizeof(*owner));
	owner->config = *config;
	owner->epoch = wall_ms;
	owner->syncing = true;
	owner->sync_deadline_ms = now_ms + config->sync_timeout_ms;
	owner->unreported_nodes = g_memdup2(live_node_ids,
	    live_count * sizeof(*live_node_ids));
	owner->unreported_count = live_count;
	owner->accounts = g_array_new(FALSE, TRUE, sizeof(struct fair_account));
	owner->account_index = g_hash_table_new_full(g_int64_hash,
	    g_int64_equal, g_free, NULL);
	owner->served = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    g_free, g_free);
	owner->requests = g_hash_table_new_full(request_key_hash,
	    request_key_equal, NULL, g_free);
	owner->endpoints = g_array_new(FALSE, TRUE,
	    sizeof(struct owner_endpoint));
	for (size_t i = 0; i < live_count; i++) {
		struct msg *msg = effects_send(effects, live_node_ids[i],
		    MSG_SYNC);
		msg->u.sync.pool_id = config->pool_id;
		msg->u.sync.epoch = owner->epoch;
	}
}

void
owner_finish(struct owner *owner)
{
	g_hash_table_destroy(owner->requests);
	g_hash_table_destroy(owner->account_index);
	g_hash_table_destroy(owner->served);
	g_array_free(owner->accounts, TRUE);
	g_array_free(owner->endpoints, TRUE);
	g_free(owner->unreported_nodes);
	memset(owner, 0, sizeof(*owner));
}

/* The oldest waiting request of an account, or NULL. */
static struct owner_request *
owner_head(struct owner *owner, uint64_t account_id)
{
	struct owner_request *head = NULL, *request;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		request = value;
		if (request->account_id != account_id ||
		    request->endpoint_id != 0)
			continue;
		if (head == NULL || request->arrival < head->arrival)
			head = request;
	}
	return head;
}

static void
owner_update_head(struct owner *owner, struct fair_account *account)
{
	struct owner_request *head = owner_head(owner, account->account_id);

	account->head_arrival = head == NULL ? 0 : head->arrival;
}

int64_t
owner_served_tokens(const struct owner *owner, uint64_t account_id)
{
	const int64_t *tokens = g_hash_table_lookup(owner->served, &account_id);

	return tokens == NULL ? 0 : *tokens;
}

static void
owner_count_served(struct owner *owner, uint64_t account_id, int64_t tokens)
{
	int64_t *total = g_hash_table_lookup(owner->served, &account_id);

	if (total == NULL) {
		total = g_new0(int64_t, 1);
		g_hash_table_insert(owner->served,
		    g_memdup2(&account_id, sizeof(account_id)), total);
	}
	*total += tokens;
}

static void
owner_charge(struct owner *owner, struct owner_request *request, int64_t tokens)
{
	struct fair_account *account = owner_account(owner,
	    request->account_id);

	owner->config.fair->charge(account, tokens - request->charged_tokens);
	owner_count_served(owner, request->account_id,
	    tokens - request->charged_tokens);
	request->charged_tokens = tokens;
}

/* Takes a request out of the counts, whatever its state. */
static void
owner_detach(struct owner *owner, struct owner_request *request)
{
	struct fair_account *account = owner_account(owner,
	    request->account_id);
	struct owner_endpoint *endpoint;

	if (request->endpoint_id == 0) {
		account->waiting_count--;
		return;
	}
	account->running_count--;
	endpoint = owner_endpoint(owner, request->endpoint_id);
	if (endpoint != NULL && endpoint->running_count > 0)
		endpoint->running_count--;
}

static void
owner_remove(struct owner *owner, struct owner_request *request)
{
	uint64_t account_id = request->account_id;

	owner_detach(owner, request);
	g_hash_table_remove(owner->requests, &request->key);
	owner_update_head(owner, owner_account(owner, account_id));
}

static struct owner_request *
owner_add(struct owner *owner, uint64_t node_id, uint64_t seq,
    uint64_t account_id, uint32_t estimate_tokens)
{
	struct fair_account *account = owner_account(owner, account_id);
	struct owner_request *request = g_new0(struct owner_request, 1);
	int64_t floor_vtime;

	if (account->waiting_count + account->running_count == 0 &&
	    fair_floor(owner_accounts(owner), owner->accounts->len,
		&floor_vtime))
		owner->config.fair->activate(account, floor_vtime);
	request->key.node_id = node_id;
	request->key.seq = seq;
	request->account_id = account_id;
	request->arrival = ++owner->arrival_next;
	request->estimate_tokens = CLAMP(estimate_tokens, 1,
	    MAX(1, owner->request_max_tokens));
	g_hash_table_insert(owner->requests, &request->key, request);
	account->waiting_count++;
	if (account->waiting_count == 1)
		account->head_arrival = request->arrival;
	return request;
}

static void
owner_place(struct owner *owner, struct owner_request *request,
    uint64_t endpoint_id, uint64_t now_ms)
{
	struct fair_account *account = owner_account(owner,
	    request->account_id);
	struct owner_endpoint *endpoint = owner_endpoint(owner, endpoint_id);

	request->endpoint_id = endpoint_id;
	request->granted_at_ms = now_ms;
	account->waiting_count--;
	account->running_count++;
	owner_update_head(owner, account);
	if (endpoint != NULL)
		endpoint->running_count++;
}

/* The endpoint with the most free slots, or NULL. */
static struct owner_endpoint *
owner_free_endpoint(struct owner *owner)
{
	struct owner_endpoint *best = NULL;
	int64_t best_free = 0;

	for (guint i = 0; i < owner->endpoints->len; i++) {
		struct owner_endpoint *endpoint =
		    &g_array_index(owner->endpoints, struct owner_endpoint, i);
		int64_t slots_free = (int64_t)endpoint->slots -
		    endpoint->running_count;
		if (!endpoint->leaving && slots_free > best_free) {
			best = endpoint;
			best_free = slots_free;
		}
	}
	return best;
}

static void
owner_send_grant(struct owner *owner, const struct owner_request *request,
    struct effects *effects)
{
	struct msg *msg = effects_send(effects, request->key.node_id,
	    MSG_GRANT);

	msg->u.grant.pool_id = owner->config.pool_id;
	msg->u.grant.epoch = owner->epoch;
	msg->u.grant.seq = request->key.seq;
	msg->u.grant.endpoint_id = request->endpoint_id;
	msg->u.grant.account_vtime = owner_account(owner, request->account_id)
					 ->vtime;
}

static void
owner_grant(struct owner *owner, struct owner_request *request,
    uint64_t endpoint_id, uint64_t now_ms, struct effects *effects)
{
	owner_place(owner, request, endpoint_id, now_ms);
	owner_charge(owner, request, request->estimate_tokens);
	owner->grants_count++;
	owner_send_grant(owner, request, effects);
}

static void
owner_dispatch(struct owner *owner, uint64_t now_ms, struct effects *effects)
{
	struct owner_endpoint *endpoint;
	struct owner_request *request;
	size_t index;

	if (owner->syncing)
		return;
	while ((endpoint = owner_free_endpoint(owner)) != NULL) {
		index = owner->config.fair->pick(owner_accounts(owner),
		    owner->accounts->len);
		if (index == FAIR_NONE)
			return;
		request = owner_head(owner,
		    owner_accounts(owner)[index].account_id);
		owner_grant(owner, request, endpoint->endpoint_id, now_ms,
		    effects);
	}
}

static struct owner_request *
owner_find(struct owner *owner, uint64_t node_id, uint64_t seq)
{
	struct request_key key = { node_id, seq };

	return g_hash_table_lookup(owner->requests, &key);
}

static void
owner_handle_ask(struct owner *owner, const struct msg *msg)
{
	const struct msg_ask *ask = &msg->u.ask;

	if (owner_find(owner, msg->from_node_id, ask->seq) == NULL)
		owner_add(owner, msg->from_node_id, ask->seq, ask->account_id,
		    ask->estimate_tokens);
}

static void
owner_handle_end(struct owner *owner, const struct msg *msg, uint64_t seq)
{
	struct owner_request *request = owner_find(owner, msg->from_node_id,
	    seq);

	if (request == NULL)
		return;
	if (msg->type == MSG_DONE)
		owner_charge(owner, request, (int64_t)msg->u.done.tokens);
	else
		owner_charge(owner, request, 0);
	owner_remove(owner, request);
}

static void
owner_report_item(struct owner *owner, uint64_t node_id,
    const struct report_item *item, uint64_t mark, uint64_t now_ms,
    struct effects *effects)
{
	struct owner_request *request = owner_find(owner, node_id, item->seq);

	if (request == NULL)
		request = owner_add(owner, node_id, item->seq, item->account_id,
		    item->estimate_tokens);
	request->report_mark = mark;
	if (item->state == REPORT_RUNNING) {
		if (request->endpoint_id == 0)
			owner_place(owner, request, item->endpoint_id, now_ms);
		owner_charge(owner, request,
		    MAX((int64_t)item->tokens,
			(int64_t)request->estimate_tokens));
	} else if (request->endpoint_id != 0 &&
	    now_ms > request->granted_at_ms + owner->config.grant_settle_ms) {
		request->granted_at_ms = now_ms;
		owner_send_grant(owner, request, effects);
	}
}

/* Whether the node's report of this mark, or its loss, ends a request. */
static bool
request_is_gone(const struct owner *owner, const struct owner_request *request,
    uint64_t mark, uint64_t now_ms)
{
	if (mark == NODE_LOST)
		return true;
	return request->report_mark != mark &&
	    now_ms > request->granted_at_ms + owner->config.grant_settle_ms;
}

/* Removes the node's requests that its newest report doesn't name. */
static void
owner_drop_unreported(struct owner *owner, uint64_t node_id, uint64_t mark,
    uint64_t now_ms)
{
	GPtrArray *gone = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct owner_request *request = value;
		if (request->key.node_id == node_id &&
		    request_is_gone(owner, request, mark, now_ms))
			g_ptr_array_add(gone, request);
	}
	for (guint i = 0; i < gone->len; i++) {
		owner->releases_lost_count++;
		owner_remove(owner, g_ptr_array_index(gone, i));
	}
	g_ptr_array_free(gone, TRUE);
}

static void
owner_mark_reported(struct owner *owner, uint64_t node_id)
{
	for (size_t i = 0; i < owner->unreported_count; i++) {
		if (owner->unreported_nodes[i] != node_id)
			continue;
		owner->unreported_nodes[i] =
		    owner->unreported_nodes[--owner->unreported_count];
		break;
	}
	if (owner->unreported_count == 0)
		owner->syncing = false;
}

static void
owner_handle_report(struct owner *owner, const struct msg *msg, uint64_t now_ms,
    struct effects *effects)
{
	const struct msg_report *report = &msg->u.report;
	uint64_t mark = ++owner->arrival_next;

	if (report->epoch_seen > owner->epoch)
		owner->epoch = report->epoch_seen + 1;
	for (uint32_t i = 0; i < report->vtime_count; i++) {
		struct fair_account *account = owner_account(owner,
		    report->vtimes[i].account_id);
		account->vtime = MAX(account->vtime, report->vtimes[i].vtime);
	}
	for (uint32_t i = 0; i < report->item_count; i++)
		owner_report_item(owner, msg->from_node_id, &report->items[i],
		    mark, now_ms, effects);
	owner_drop_unreported(owner, msg->from_node_id, mark, now_ms);
	owner_mark_reported(owner, msg->from_node_id);
}

void
owner_handle(struct owner *owner, const struct msg *msg, uint64_t now_ms,
    struct effects *effects)
{
	switch (msg->type) {
	case MSG_ASK:
		owner_handle_ask(owner, msg);
		break;
	case MSG_CANCEL:
		owner_handle_end(owner, msg, msg->u.cancel.seq);
		break;
	case MSG_DONE:
		owner_handle_end(owner, msg, msg->u.done.seq);
		break;
	case MSG_REPORT:
		owner_handle_report(owner, msg, now_ms, effects);
		break;
	case MSG_STALE:
		if (msg->u.stale.epoch_seen > owner->epoch)
			owner->epoch = msg->u.stale.epoch_seen + 1;
		break;
	default:
		return;
	}
	owner_dispatch(owner, now_ms, effects);
}

void
owner_node_down(struct owner *owner, uint64_t node_id, uint64_t now_ms,
    struct effects *effects)
{
	owner_drop_unreported(owner, node_id, NODE_LOST, now_ms);
	owner_mark_reported(owner, node_id);
	owner_dispatch(owner, now_ms, effects);
}

static void
owner_set_endpoints(struct owner *owner, const struct pool *pool)
{
	GArray *old = owner->endpoints;

	owner->endpoints = g_array_new(FALSE, TRUE,
	    sizeof(struct owner_endpoint));
	for (uint32_t i = 0; i < pool->endpoint_count; i++) {
		struct owner_endpoint endpoint = {
			.endpoint_id = pool->endpoints[i].endpoint_id,
			.slots = pool->slots_per_endpoint,
			.extra_slots = pool->extra_slots_per_endpoint,
			.leaving = pool->endpoints[i].leaving,
		};
		for (guint j = 0; j < old->len; j++) {
			const struct owner_endpoint *known = &g_array_index(old,
			    struct owner_endpoint, j);
			if (known->endpoint_id == endpoint.endpoint_id)
				endpoint.running_count = known->running_count;
		}
		g_array_append_val(owner->endpoints, endpoint);
	}
	g_array_free(old, TRUE);
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
	owner_set_endpoints(owner, pool);
	for (uint32_t i = 0; i < tables->route_count; i++)
		if (tables->routes[i].pool_id == pool->pool_id)
			owner_account(owner, tables->routes[i].account_id)
			    ->weight = tables->routes[i].weight;
	owner_dispatch(owner, now_ms, effects);
}

void
owner_tick(struct owner *owner, uint64_t now_ms, struct effects *effects)
{
	if (owner->syncing && now_ms >= owner->sync_deadline_ms)
		owner->syncing = false;
	owner_dispatch(owner, now_ms, effects);
}
