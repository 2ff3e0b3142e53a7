#include "core/entry_private.h"

/* Report periods between two reports of a pool with only running requests. */
#define REPORT_STEADY_PERIODS_COUNT 8u
/* The time between two reports of a pool grows by one report period for this
 * many requests, since the size of a report grows with them. */
#define REPORT_ITEMS_PER_PERIOD 256u
/* Virtual times are reported to a new owner up to this age. */
#define VTIME_MAX_AGE_MS 60000u

static struct report_item *
report_items(const struct entry_pool *pool)
{
	struct report_item *items = g_new0(struct report_item,
	    pool->requests.length);
	size_t count = 0;

	for (GList *link = pool->requests.head; link != NULL;
	     link = link->next) {
		const struct entry_request *request = link->data;
		struct report_item *item = &items[count++];

		item->account_id = request->params.account_id;
		item->seq = request->seq;
		item->endpoint_id = request->endpoint_id;
		item->prefix_hash = request->params.prefix_hash;
		item->tokens = request->tokens;
		item->estimate_tokens = request->params.estimate_tokens;
		item->state = request->endpoint_id == 0 ? REPORT_WAITING
							: REPORT_RUNNING;
	}
	return items;
}

static struct report_vtime *
report_vtimes(const struct entry_pool *pool, uint64_t now_ms, uint32_t *count)
{
	struct report_vtime *vtimes = g_new0(struct report_vtime,
	    pool->accounts->len);

	*count = 0;
	for (guint i = 0; i < pool->accounts->len; i++) {
		const struct entry_account *account =
		    &g_array_index(pool->accounts, struct entry_account, i);
		if (account->granted_at_ms == 0 ||
		    now_ms > account->granted_at_ms + VTIME_MAX_AGE_MS ||
		    *count == REPORT_ITEMS_MAX_COUNT)
			continue;
		vtimes[*count].account_id = fair_queue_account(&pool->queue, i)
						->account_id;
		vtimes[(*count)++].vtime = account->vtime;
	}
	return vtimes;
}

void
entry_schedule_full_report(struct entry_pool *pool)
{
	pool->full_reports_left_count = ENTRY_REPORT_REPEATS_COUNT;
	pool->end_reports_left_count = ENTRY_REPORT_REPEATS_COUNT;
	pool->report_due = true;
}

bool
entry_report_is_due(const struct entry *entry, const struct entry_pool *pool,
    uint64_t now_ms)
{
	uint64_t period_ms = entry->config.report_period_ms *
	    (1 + pool->requests.length / REPORT_ITEMS_PER_PERIOD);

	if (pool->report_due)
		return true;
	if (pool->queue.waiting_count > 0 &&
	    now_ms >=
		MAX(pool->last_report_ms, pool->waiting_since_ms) + period_ms)
		return true;
	if (pool->end_reports_left_count > 0 &&
	    now_ms >= MAX(pool->last_report_ms, pool->last_end_ms) + period_ms)
		return true;
	if (pool->in_fallback)
		return now_ms >= pool->last_report_ms + period_ms;
	return pool->requests.length > 0 &&
	    now_ms >=
	    pool->last_report_ms + REPORT_STEADY_PERIODS_COUNT * period_ms;
}

void
entry_send_report(struct entry *entry, struct entry_pool *pool,
    uint64_t to_node_id, uint64_t now_ms, struct effects *effects)
{
	struct msg *msg = effects_send(effects, to_node_id, MSG_REQUEST_REPORT);
	struct msg_request_report *report = &msg->u.request_report;

	report->pool_id = pool->pool_id;
	report->epoch_seen = pool->epoch_seen;
	if (pool->epoch_owner_id != to_node_id)
		report->owner_seen = pool->epoch_owner_id;
	report->send_seq = ++pool->send_seq;
	report->seq_max = entry->last_seq;
	report->full = pool->full_reports_left_count > 0;
	report->wants_ack = pool->in_fallback ||
	    (pool->queue.waiting_count > 0 &&
		now_ms >= pool->last_owner_message_ms +
			entry->config.report_period_ms);
	report->items = report_items(pool);
	report->item_count = pool->requests.length;
	if (report->full) {
		report->vtimes = report_vtimes(pool, now_ms,
		    &report->vtime_count);
		pool->full_reports_left_count--;
	}
	if (pool->end_reports_left_count > 0)
		pool->end_reports_left_count--;
	pool->report_due = false;
	pool->last_report_ms = now_ms;
}
