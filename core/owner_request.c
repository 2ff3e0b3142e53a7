#include <string.h>

#include "core/owner_private.h"

#define RETRY_AFTER_MIN_MS 500u
#define RETRY_AFTER_MAX_MS 60000u
#define US_PER_MS 1000u

struct owner_request *
owner_request_find(struct owner *owner, uint64_t node_id, uint64_t seq)
{
	struct request_key key = { node_id, seq };

	return g_hash_table_lookup(owner->requests, &key);
}

int64_t
owner_debt_max_tokens(const struct owner *owner)
{
	int64_t slots_count = 0;

	for (guint i = 0; i < owner->endpoints->len; i++) {
		const struct owner_endpoint *endpoint =
		    &g_array_index(owner->endpoints, struct owner_endpoint, i);
		slots_count += (int64_t)endpoint->slots + endpoint->extra_slots;
	}
	return slots_count * owner->request_max_tokens;
}

static struct fair_account *
request_account(const struct owner *owner, const struct owner_request *request)
{
	return fair_queue_account(&owner->queue, request->waiter.account_index);
}

struct owner_request *
owner_request_add(struct owner *owner, struct owner_node *node,
    const struct report_item *item)
{
	struct owner_request *request = g_new0(struct owner_request, 1);

	request->key.node_id = node->node_id;
	request->key.seq = item->seq;
	request->node = node;
	request->prefix_hash = item->prefix_hash;
	request->estimate_tokens = CLAMP(item->estimate_tokens, 1,
	    MAX(1, owner->request_max_tokens));
	request->waiter.link.data = request;
	request->node_link.data = request;
	g_queue_push_tail_link(&node->requests, &request->node_link);
	g_hash_table_insert(owner->requests, &request->key, request);
	fair_queue_push(&owner->queue,
	    fair_queue_account_index(&owner->queue, item->account_id),
	    &request->waiter, owner_debt_max_tokens(owner));
	return request;
}

int64_t
owner_served_tokens(const struct owner *owner, size_t account_index)
{
	return account_index >= owner->served_tokens->len
	    ? 0
	    : g_array_index(owner->served_tokens, int64_t, account_index);
}

static void
count_served_tokens(struct owner *owner, size_t account_index, int64_t tokens)
{
	if (account_index >= owner->served_tokens->len)
		g_array_set_size(owner->served_tokens,
		    (guint)account_index + 1);
	g_array_index(owner->served_tokens, int64_t, account_index) += tokens;
}

void
owner_request_charge(struct owner *owner, struct owner_request *request,
    int64_t tokens)
{
	owner->config.order->charge(request_account(owner, request),
	    tokens - request->charged_tokens);
	count_served_tokens(owner, request->waiter.account_index,
	    tokens - request->charged_tokens);
	request->charged_tokens = tokens;
}

/* Removes a request from the running counts of its account and endpoint. */
static void
request_unassign(struct owner *owner, struct owner_request *request)
{
	struct owner_endpoint *endpoint = owner_endpoint_find(owner,
	    request->endpoint_id);

	if (request->endpoint_id == 0)
		return;
	request_account(owner, request)->running_count--;
	if (endpoint != NULL && endpoint->running_count > 0)
		endpoint->running_count--;
	if (endpoint != NULL && request->is_probe)
		endpoint->probe_running = false;
	request->is_probe = false;
	request->endpoint_id = 0;
}

void
owner_request_remove(struct owner *owner, struct owner_request *request)
{
	fair_queue_remove(&owner->queue, &request->waiter);
	request_unassign(owner, request);
	g_queue_unlink(&request->node->requests, &request->node_link);
	g_hash_table_remove(owner->requests, &request->key);
}

void
owner_request_assign(struct owner *owner, struct owner_request *request,
    uint64_t endpoint_id, uint64_t now_ms)
{
	fair_queue_serve(&owner->queue, &request->waiter);
	request_unassign(owner, request);
	request->endpoint_id = endpoint_id;
	request->granted_at_ms = now_ms;
	request_account(owner, request)->running_count++;
	owner_endpoint_add_running(owner, request);
}

void
owner_request_requeue(struct owner *owner, struct owner_request *request)
{
	owner_request_charge(owner, request, 0);
	request_unassign(owner, request);
	fair_queue_push_front(&owner->queue, &request->waiter);
}

/* Estimated time until the account's queue is empty: from the mean time between
 * two ends of requests in the pool and the account's share of the weights. */
static uint32_t
retry_after_ms(const struct owner *owner, const struct fair_account *account)
{
	uint64_t wait_ms = (account->waiting_count + 1) *
	    owner->completion_interval_us / US_PER_MS;

	wait_ms = wait_ms *
	    MAX(account->weight, fair_queue_active_weight(&owner->queue)) /
	    account->weight;
	return (uint32_t)CLAMP(wait_ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}

void
owner_request_refuse(struct owner *owner, struct owner_request *request,
    enum refuse_reason reason, struct effects *effects)
{
	struct msg *msg = effects_send(effects, request->key.node_id,
	    MSG_REFUSE);

	msg->u.refuse.pool_id = owner->config.pool_id;
	msg->u.refuse.epoch = owner->epoch;
	msg->u.refuse.seq = request->key.seq;
	msg->u.refuse.reason = (uint8_t)reason;
	msg->u.refuse.retry_after_ms = retry_after_ms(owner,
	    request_account(owner, request));
	owner->refusals_count++;
	owner_request_remove(owner, request);
}

void
owner_request_enforce_waiting_max(struct owner *owner,
    struct owner_request *request, struct effects *effects)
{
	size_t index = request->waiter.account_index;
	uint32_t max_count = 0;

	if (index < owner->waiting_max_counts->len)
		max_count = g_array_index(owner->waiting_max_counts, uint32_t,
		    index);
	if (owner->syncing || max_count == 0 ||
	    request_account(owner, request)->waiting_count <= max_count)
		return;
	owner_request_refuse(owner, request, REFUSE_QUEUE_FULL, effects);
}
