#include "core/dispatch.h"

#include <string.h>

#include "core/dispatch_private.h"
#include "core/hash.h"
#include "core/store_revision.h"

#define DURATION_INITIAL_MS 1000u
/* An entry that nobody renews is removed from the store before that. */
#define RETURNED_HOLD_MS 6000u

static void
endpoint_free(gpointer pointer)
{
	struct dispatch_endpoint *endpoint = pointer;

	g_hash_table_destroy(endpoint->cached_segments);
	g_free(endpoint);
}

void
dispatch_init(struct dispatch *dispatch, const struct dispatch_config *config)
{
	memset(dispatch, 0, sizeof(*dispatch));
	dispatch->config = *config;
	dispatch->stamp_offset = hash_bytes(&config->incarnation,
	    sizeof(config->incarnation));
	dispatch->endpoints = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, endpoint_free);
	dispatch->pools = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, dispatch_pool_free);
	dispatch->gone = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, g_free);
	dispatch->attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, g_free);
	dispatch->accounts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, g_free);
	dispatch->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, dispatch_peer_free);
	dispatch->budgets = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, g_free);
	crash_suspects_init(&dispatch->crash_suspects);
	endpoint_notices_init(&dispatch->notices);
	drained_domains_init(&dispatch->drained_domains);
	dispatch->losses = g_array_new(FALSE, FALSE,
	    sizeof(struct dispatch_loss));
	dispatch->hubs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	dispatch->hub_ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	dispatch->hub_candidates = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_array_append_val(dispatch->hub_ids, config->node_id);
	dispatch->is_hub = true;
	dispatch->daemons_peak_count = 1;
	dispatch->mean_duration_ms = DURATION_INITIAL_MS;
	dispatch->fair_share_tokens = UINT64_MAX;
}

void
dispatch_finish(struct dispatch *dispatch)
{
	g_hash_table_destroy(dispatch->gone);
	g_hash_table_destroy(dispatch->pools);
	g_hash_table_destroy(dispatch->endpoints);
	g_hash_table_destroy(dispatch->attempts);
	g_hash_table_destroy(dispatch->accounts);
	g_hash_table_destroy(dispatch->peers);
	g_hash_table_destroy(dispatch->budgets);
	crash_suspects_finish(&dispatch->crash_suspects);
	endpoint_notices_finish(&dispatch->notices);
	drained_domains_finish(&dispatch->drained_domains);
	g_array_free(dispatch->losses, TRUE);
	g_array_free(dispatch->hubs, TRUE);
	g_array_free(dispatch->hub_candidates, TRUE);
	g_array_free(dispatch->hub_ids, TRUE);
}

void
dispatch_set_configuration(struct dispatch *dispatch,
    const struct config_snapshot *configuration)
{
	dispatch->configuration = configuration;
}

/* Forgets what was learned about the previous process behind a known name. */
static void
endpoint_reset(struct dispatch_endpoint *endpoint)
{
	g_hash_table_remove_all(endpoint->cached_segments);
	endpoint->full_until_ms = 0;
	endpoint->ejected_until_ms = 0;
	endpoint->eject_ms = 0;
	endpoint->failing_permille = 0;
	endpoint->results_count = 0;
	engine_forecast_init(&endpoint->engine);
	memset(&endpoint->limit, 0, sizeof(endpoint->limit));
	memset(&endpoint->cold, 0, sizeof(endpoint->cold));
	endpoint->unreached_until_ms = 0;
	endpoint->unreached_ms = 0;
	endpoint->progress_ms = 0;
	endpoint->probing = false;
}

/* A process that leaves stays so. An entry in which it is ready again is a
 * heartbeat that took effect late. */
static bool
said_leaving_before(const struct dispatch *dispatch,
    const struct dispatch_endpoint *endpoint,
    const struct dispatch_endpoint_info *info)
{
	uint64_t endpoint_id = hash_name(info->name);
	const struct dispatch_gone *gone = g_hash_table_lookup(dispatch->gone,
	    &endpoint_id);

	if (info->process_start_ms == 0)
		return false;
	if (endpoint != NULL && endpoint->info.leaving &&
	    endpoint->info.process_start_ms == info->process_start_ms)
		return true;
	return gone != NULL && gone->leaving &&
	    gone->process_start_ms == info->process_start_ms;
}

/* @return whether an entry was read from a copy that the store was restored from,
 * and is not newer than what was known before */
static bool
is_copied_entry(uint64_t revision_before, uint64_t process_start_before_ms,
    const struct dispatch_endpoint_info *info)
{
	return info->process_start_ms <= process_start_before_ms &&
	    store_revision_restores_count(revision_before) <
	    store_revision_restores_count(info->revision) &&
	    store_revision_number(revision_before) >=
	    store_revision_number(info->revision);
}

/* Leaves an endpoint out whose entry was removed, and is back from a copy of the
 * store, until the entry changes. */
static void
set_returned(struct dispatch *dispatch, struct dispatch_endpoint *endpoint,
    const struct dispatch_endpoint_info *info, uint64_t now_ms)
{
	const struct dispatch_gone *gone = g_hash_table_lookup(dispatch->gone,
	    &endpoint->endpoint_id);

	if (gone != NULL &&
	    is_copied_entry(gone->revision, gone->process_start_ms, info))
		endpoint->returned_until_ms = now_ms + RETURNED_HOLD_MS;
	else if (endpoint->info.revision != info->revision &&
	    !is_copied_entry(endpoint->info.revision,
		endpoint->info.process_start_ms, info))
		endpoint->returned_until_ms = 0;
}

/* @return whether an entry is of the process before the one that is known, and was
 * brought back by a copy of the store */
static bool
is_former_process(const struct dispatch_endpoint_info *known,
    const struct dispatch_endpoint_info *info)
{
	return info->process_start_ms != 0 &&
	    info->process_start_ms < known->process_start_ms &&
	    is_copied_entry(known->revision, known->process_start_ms, info);
}

static bool
is_older(const struct dispatch_endpoint *endpoint,
    const struct dispatch_endpoint_info *info)
{
	return endpoint != NULL && endpoint->listed && info->revision != 0 &&
	    (info->revision < endpoint->info.revision ||
		is_former_process(&endpoint->info, info));
}

void
dispatch_put_endpoint(struct dispatch *dispatch,
    const struct dispatch_endpoint_info *info, uint64_t now_ms)
{
	uint64_t endpoint_id = hash_name(info->name);
	struct dispatch_endpoint *endpoint =
	    g_hash_table_lookup(dispatch->endpoints, &endpoint_id);
	bool leaving = info->leaving ||
	    said_leaving_before(dispatch, endpoint, info);

	if (is_older(endpoint, info))
		return;
	if (endpoint == NULL) {
		endpoint = g_new0(struct dispatch_endpoint, 1);
		endpoint->endpoint_id = endpoint_id;
		endpoint->cached_segments = g_hash_table_new_full(g_int64_hash,
		    g_int64_equal, g_free, NULL);
		endpoint_reset(endpoint);
		g_hash_table_insert(dispatch->endpoints, &endpoint->endpoint_id,
		    endpoint);
	} else if (endpoint->info.process_start_ms != info->process_start_ms)
		endpoint_reset(endpoint);
	dispatch->assignment_due |= !endpoint->listed ||
	    endpoint->info.pool_id != info->pool_id ||
	    endpoint->info.leaving != leaving;
	set_returned(dispatch, endpoint, info, now_ms);
	g_hash_table_remove(dispatch->gone, &endpoint_id);
	endpoint->info = *info;
	endpoint->info.leaving = leaving;
	endpoint->listed = true;
	endpoint->warm_at_ms = now_ms + info->warmup_remaining_ms;
	if (info->warmup_remaining_ms > 0)
		cold_pace_extend(&endpoint->cold, endpoint->warm_at_ms, now_ms);
}

void
dispatch_remove_endpoint(struct dispatch *dispatch, const char *name)
{
	uint64_t endpoint_id = hash_name(name);
	struct dispatch_endpoint *endpoint =
	    g_hash_table_lookup(dispatch->endpoints, &endpoint_id);

	if (endpoint == NULL)
		return;
	dispatch->assignment_due = true;
	dispatch_record_gone(dispatch, endpoint);
	if (endpoint->load.running_count == 0)
		g_hash_table_remove(dispatch->endpoints, &endpoint_id);
	else
		endpoint->listed = false;
}

bool
dispatch_set_domain_drained(struct dispatch *dispatch, const char *name,
    bool drained, uint64_t now_ms)
{
	uint64_t domain_id = hash_name(name);
	GHashTableIter iter;
	gpointer value;

	if (!drained_domains_set(&dispatch->drained_domains, name, drained))
		return false;
	dispatch->assignment_due = true;
	g_hash_table_iter_init(&iter, dispatch->endpoints);
	while (!drained && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct dispatch_endpoint *endpoint = value;
		if (endpoint->info.domain_id == domain_id)
			dispatch_presume_cold(dispatch, endpoint, now_ms);
	}
	return true;
}

static void
refuse_until(struct dispatch *dispatch, enum refuse_reason reason,
    uint64_t retry_after_ms, struct dispatch_decision *decision)
{
	dispatch_fill_refusal(reason, retry_after_ms, decision);
	dispatch->refusals_count++;
}

bool
dispatch_check_budget(struct dispatch *dispatch,
    const struct dispatch_request *request, uint64_t now_ms,
    struct dispatch_decision *decision)
{
	if (request->tried_count == 0)
		dispatch_count_request(dispatch, request->pool_id, now_ms);
	else if (!request->unreached &&
	    !dispatch_take_retry(dispatch, request->pool_id, now_ms)) {
		refuse_until(dispatch, REFUSE_RETRY_BUDGET,
		    dispatch_default_retry_after_ms(request), decision);
		return false;
	}
	return true;
}

bool
dispatch_check_blocked(struct dispatch *dispatch,
    const struct dispatch_request *request, uint64_t now_ms,
    struct dispatch_decision *decision)
{
	struct suspect_verdict verdict;

	dispatch_check_suspects(dispatch, request, now_ms, &verdict);
	if (verdict.blocked)
		refuse_until(dispatch, REFUSE_CRASH_SUSPECT,
		    verdict.retry_after_ms, decision);
	return !verdict.blocked;
}

void
dispatch_place(struct dispatch *dispatch,
    const struct dispatch_request *request,
    const struct dispatch_origin *origin, uint64_t now_ms,
    struct dispatch_decision *decision)
{
	struct dispatch_evaluation evaluation;

	dispatch_decide(dispatch, request, origin->own_endpoints, now_ms,
	    &evaluation, decision);
	/* counted also if no endpoint takes the request: shares are those of
	 * what is asked */
	if (evaluation.engine && !request->asked_before &&
	    request->tried_count == 0)
		dispatch_get_account(dispatch, request->account_id)
		    ->asked_tokens += dispatch_request_tokens(request);
	if (decision->start)
		dispatch_start_attempt(dispatch, request, origin, &evaluation,
		    now_ms, decision);
	else
		dispatch->refusals_count++;
	dispatch_evaluation_finish(&evaluation);
}
