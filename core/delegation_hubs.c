#include "core/delegation_private.h"
#include "core/dispatch_private.h"

/* A hub that gave no answer is not asked for this long, doubled with each
 * further time. */
#define SILENT_MIN_MS 500u
#define SILENT_MAX_MS 4000u

void
delegation_hub_free(gpointer pointer)
{
	struct delegation_hub *hub = pointer;

	g_array_free(hub->events, TRUE);
	g_free(hub);
}

struct delegation_hub *
delegation_get_hub(struct delegation *delegation, uint64_t node_id)
{
	struct delegation_hub *hub = g_hash_table_lookup(delegation->hubs,
	    &node_id);

	if (hub != NULL)
		return hub;
	hub = g_new0(struct delegation_hub, 1);
	hub->node_id = node_id;
	hub->events = g_array_new(FALSE, FALSE, sizeof(struct attempt_event));
	g_hash_table_insert(delegation->hubs, &hub->node_id, hub);
	return hub;
}

static bool
is_silent(const struct delegation *delegation, uint64_t node_id,
    uint64_t now_ms)
{
	const struct delegation_hub *hub = g_hash_table_lookup(delegation->hubs,
	    &node_id);

	return hub != NULL && now_ms < hub->silent_until_ms;
}

static bool
was_asked(const struct delegation_question *question, uint64_t hub_id)
{
	for (uint32_t i = 0; i < question->hubs_count; i++)
		if (question->hub_ids[i] == hub_id)
			return true;
	return false;
}

/* Later hubs for the same attempt are drawn for the request, so that the rest of
 * what one hub can't place is spread over all others. */
static uint64_t
key_for(const struct delegation_question *question)
{
	return question->hubs_count == 0
	    ? dispatch_affinity_key(&question->request)
	    : question->request.request_hash;
}

uint64_t
delegation_choose_hub(const struct delegation *delegation,
    const struct delegation_question *question, uint64_t now_ms)
{
	struct dispatch *dispatch = delegation->dispatch;
	uint64_t key = key_for(question), best_id = 0;
	const struct dispatch_pool *pool;
	double best_score = 0;

	dispatch_assign_endpoints(dispatch);
	pool = dispatch_find_pool(dispatch, question->request.pool_id);
	for (guint i = 0; pool != NULL && i < pool->groups->len; i++) {
		const struct dispatch_group *group =
		    &g_array_index(pool->groups, struct dispatch_group, i);
		double score = dispatch_group_score(group, i, key);

		if (score <= best_score || was_asked(question, group->hub_id) ||
		    is_silent(delegation, group->hub_id, now_ms))
			continue;
		best_score = score;
		best_id = group->hub_id;
	}
	return best_id;
}

uint64_t
delegation_preview_hub(const struct delegation *delegation,
    const struct dispatch_request *request, uint64_t now_ms)
{
	const struct delegation_question question = { .request = *request };

	return delegation_choose_hub(delegation, &question, now_ms);
}

void
delegation_give_up_hub(struct delegation *delegation, uint64_t hub_id,
    uint64_t now_ms)
{
	struct delegation_hub *hub = delegation_get_hub(delegation, hub_id);

	if (now_ms < hub->silent_until_ms)
		return;
	hub->silent_ms = CLAMP(hub->silent_ms * 2, SILENT_MIN_MS,
	    SILENT_MAX_MS);
	hub->silent_until_ms = now_ms + hub->silent_ms;
}

void
delegation_hub_answered(struct delegation *delegation, uint64_t hub_id)
{
	struct delegation_hub *hub = delegation_get_hub(delegation, hub_id);

	hub->silent_ms = 0;
	hub->silent_until_ms = 0;
}
