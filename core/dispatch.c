#include "core/dispatch.h"

#include <string.h>

#include "core/dispatch_private.h"
#include "core/hash.h"

/* What a first token is taken to need beside the reading, until it is known. */
#define FIRST_TOKEN_MS 30u
/* First tokens after less reading tell nothing of an engine's speed, but what
 * they need beside the reading. */
#define SHORT_READING_MS 25u
#define FIRST_TOKEN_MAX_MS 2000u
/* Work ahead of a request beyond which it is refused: a fifth of its aim
 * above a base. */
#define AHEAD_BASE_MS 120u
#define AHEAD_AIM_PERCENT 20u
/* An account gets the whole limit up to this part of its share, a part of it
 * at its share, and nothing far above it, with even slopes between. Accounts
 * that ask for more than there is settle near their share. */
#define SHARE_WHOLE_PERMILLE 600u
#define SHARE_EVEN_PERMILLE 1000u
#define SHARE_NONE_PERMILLE 1600u
#define LIMIT_AT_EVEN_PERCENT 30u
/* With less work ahead at the engines of a pool on average, shares count in
 * part only: what was served lately tells little of what they can give. */
#define SHARES_BIND_MS 100u
/* Of the request's own reading, so that large prompts are not shut out. */
#define AHEAD_OWN_MAX_MS 100u
#define DURATION_FIRST_MS 1000u
#define AVERAGE_WEIGHT 16u
#define SLOW_NORMAL_PERMILLE 1000u
#define SLOW_MIN_PERMILLE 500u
#define SLOW_MAX_PERMILLE 8000u
#define FULL_HOLD_MS 100u
/* A caller that is refused comes back soon after the work ahead will be within
 * its account's limit, so that its request can still be in time; one whose
 * account is far over its share later. */
#define RETRY_SOON_MS 80u
#define RETRY_SOON_SPREAD_MS 60u
#define RETRY_AFTER_MIN_MS 500u
#define RETRY_AFTER_SPREAD_MS 2500u
/* Other daemons may find room that the last reports do not show. */
#define HOLD_MAX_MS 100u
#define FLOOD_HOLD_MS 60u
/* Callers wait at most a third of the time that they have left. */
#define RETRY_AFTER_LEFT_PARTS 3u
/* Where no load tells when there will be room. */
#define NO_ENDPOINT_RETRY_MS 1000u

static void
endpoint_free(gpointer pointer)
{
	struct dispatch_endpoint *endpoint = pointer;

	g_hash_table_destroy(endpoint->kept);
	g_free(endpoint);
}

void
dispatch_init(struct dispatch *dispatch, const struct dispatch_config *config)
{
	memset(dispatch, 0, sizeof(*dispatch));
	dispatch->config = *config;
	dispatch->endpoints = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, endpoint_free);
	dispatch->attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, g_free);
	dispatch->accounts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, g_free);
	dispatch->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, dispatch_peer_free);
	dispatch->budgets = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, g_free);
	dispatch->hubs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	dispatch->kept_news = g_array_new(FALSE, FALSE,
	    sizeof(struct dispatch_kept_news));
	dispatch->own_hubs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	dispatch->is_hub = true;
	dispatch->daemons_most_count = 1;
	dispatch->seq_next = 1;
	dispatch->duration_ms = DURATION_FIRST_MS;
	dispatch->level_tokens = UINT64_MAX;
}

void
dispatch_finish(struct dispatch *dispatch)
{
	g_hash_table_destroy(dispatch->endpoints);
	g_hash_table_destroy(dispatch->attempts);
	g_hash_table_destroy(dispatch->accounts);
	g_hash_table_destroy(dispatch->peers);
	g_hash_table_destroy(dispatch->budgets);
	g_array_free(dispatch->hubs, TRUE);
	g_array_free(dispatch->own_hubs, TRUE);
	g_array_free(dispatch->kept_news, TRUE);
}

void
dispatch_set_catalog(struct dispatch *dispatch, const struct catalog *catalog)
{
	dispatch->catalog = catalog;
}

/* A new process behind a known name holds nothing of before. */
static void
endpoint_reset(struct dispatch_endpoint *endpoint)
{
	g_hash_table_remove_all(endpoint->kept);
	endpoint->full_until_ms = 0;
	endpoint->ejected_until_ms = 0;
	endpoint->eject_ms = 0;
	endpoint->failing_permille = 0;
	endpoint->results_count = 0;
	endpoint->slow_permille = SLOW_NORMAL_PERMILLE;
	endpoint->first_token_ms = FIRST_TOKEN_MS;
	endpoint->probing = false;
}

void
dispatch_put_endpoint(struct dispatch *dispatch,
    const struct dispatch_listing *listing, uint64_t now_ms)
{
	uint64_t endpoint_id = hash_name(listing->name);
	struct dispatch_endpoint *endpoint =
	    g_hash_table_lookup(dispatch->endpoints, &endpoint_id);

	if (endpoint == NULL) {
		endpoint = g_new0(struct dispatch_endpoint, 1);
		endpoint->endpoint_id = endpoint_id;
		endpoint->kept = g_hash_table_new_full(g_int64_hash,
		    g_int64_equal, g_free, NULL);
		endpoint_reset(endpoint);
		g_hash_table_insert(dispatch->endpoints, &endpoint->endpoint_id,
		    endpoint);
	} else if (endpoint->listing.born_ms != listing->born_ms)
		endpoint_reset(endpoint);
	endpoint->listing = *listing;
	endpoint->listed = true;
	endpoint->warm_at_ms = now_ms + listing->warmup_left_ms;
}

void
dispatch_remove_endpoint(struct dispatch *dispatch, const char *name)
{
	uint64_t endpoint_id = hash_name(name);
	struct dispatch_endpoint *endpoint =
	    g_hash_table_lookup(dispatch->endpoints, &endpoint_id);

	if (endpoint == NULL)
		return;
	if (endpoint->own.running_count == 0)
		g_hash_table_remove(dispatch->endpoints, &endpoint_id);
	else
		endpoint->listed = false;
}

uint32_t
dispatch_retry_after_ms(const struct dispatch_ask *ask, uint64_t over_ms,
    bool flood)
{
	uint64_t wait_ms = RETRY_AFTER_MIN_MS +
	    ask->request_hash % RETRY_AFTER_SPREAD_MS;

	if (!flood)
		wait_ms = MIN(wait_ms,
		    over_ms + RETRY_SOON_MS +
			ask->request_hash % RETRY_SOON_SPREAD_MS);
	return (uint32_t)MIN(wait_ms, ask->left_ms / RETRY_AFTER_LEFT_PARTS);
}

static void
refuse(struct dispatch *dispatch, const struct dispatch_ask *ask,
    enum refuse_reason reason, uint32_t retry_after_ms,
    struct dispatch_decision *decision)
{
	decision->start = false;
	decision->reason = reason;
	decision->retry_after_ms = MIN(retry_after_ms,
	    ask->left_ms / RETRY_AFTER_LEFT_PARTS);
	dispatch->refusals_count++;
}

static void
start(struct dispatch *dispatch, const struct dispatch_ask *ask,
    const struct dispatch_candidate *candidate, bool engine, uint64_t now_ms,
    struct dispatch_decision *decision)
{
	struct dispatch_endpoint *endpoint = candidate->endpoint;
	struct dispatch_attempt *attempt = g_new0(struct dispatch_attempt, 1);

	attempt->seq = dispatch->seq_next++;
	attempt->endpoint_id = endpoint->endpoint_id;
	attempt->started_ms = now_ms;
	attempt->engine = engine;
	if (engine) {
		attempt->reading_tokens = candidate->read_tokens;
		attempt->memory_tokens = (uint64_t)ask->prompt_tokens +
		    ask->answer_tokens;
		attempt->forecast_ms = (uint32_t)(candidate->ahead_ms +
		    candidate->own_ms);
		dispatch_note_kept(dispatch, endpoint, ask, now_ms);
	}
	endpoint->own.running_count++;
	endpoint->own.reading_tokens += attempt->reading_tokens;
	endpoint->own.memory_tokens += attempt->memory_tokens;
	if (now_ms >= endpoint->ejected_until_ms && endpoint->eject_ms > 0)
		endpoint->probing = true;
	g_hash_table_insert(dispatch->attempts, &attempt->seq, attempt);
	decision->start = true;
	decision->seq = attempt->seq;
	decision->endpoint_id = endpoint->endpoint_id;
	memcpy(decision->name, endpoint->listing.name, NAME_MAX_BYTES);
	memcpy(decision->address, endpoint->listing.address, ADDRESS_MAX_BYTES);
}

/* What a request costs its account: each token made is worth two read. */
static uint64_t
charge_tokens(const struct dispatch_ask *ask)
{
	return (uint64_t)ask->prompt_tokens + 2 * (uint64_t)ask->answer_tokens;
}

/* The part of the limit for an account with so much of its share. */
static uint64_t
limit_percent(uint64_t share_permille)
{
	if (share_permille <= SHARE_WHOLE_PERMILLE)
		return 100;
	if (share_permille <= SHARE_EVEN_PERMILLE)
		return 100 -
		    (100 - LIMIT_AT_EVEN_PERCENT) *
		    (share_permille - SHARE_WHOLE_PERMILLE) /
		    (SHARE_EVEN_PERMILLE - SHARE_WHOLE_PERMILLE);
	if (share_permille >= SHARE_NONE_PERMILLE)
		return 0;
	return LIMIT_AT_EVEN_PERCENT * (SHARE_NONE_PERMILLE - share_permille) /
	    (SHARE_NONE_PERMILLE - SHARE_EVEN_PERMILLE);
}

static uint32_t
hold_ms(uint64_t least_ahead_ms, uint64_t limit_ms)
{
	if (limit_ms == 0)
		return FLOOD_HOLD_MS;
	return least_ahead_ms > limit_ms
	    ? (uint32_t)MIN(least_ahead_ms - limit_ms, HOLD_MAX_MS)
	    : 0;
}

static void
admit(struct dispatch *dispatch, const struct dispatch_ask *ask,
    const struct dispatch_candidate *best, uint64_t now_ms,
    struct dispatch_decision *decision)
{
	struct dispatch_forecast *forecast = &decision->forecast;
	struct dispatch_account *account = dispatch_account(dispatch,
	    ask->account_id);
	uint64_t share;
	uint64_t limit_ms = AHEAD_BASE_MS +
	    (uint64_t)ask->aim_ms * AHEAD_AIM_PERCENT / 100;

	account->asked_tokens += charge_tokens(ask);
	share = dispatch_share_permille(dispatch, account) *
	    MIN(best->pool_ahead_ms, SHARES_BIND_MS) / SHARES_BIND_MS;
	forecast->over_share = share > SHARE_EVEN_PERMILLE;
	limit_ms = limit_ms * limit_percent(share) / 100;
	forecast->ahead_ms = (uint32_t)best->ahead_ms;
	forecast->own_ms = (uint32_t)best->own_ms;
	forecast->limit_ms = (uint32_t)limit_ms;
	if (best->ahead_ms + MIN(best->own_ms, AHEAD_OWN_MAX_MS) > limit_ms &&
	    best->ahead_ms > 0) {
		refuse(dispatch, ask, REFUSE_QUEUE_FULL,
		    dispatch_retry_after_ms(ask,
			best->ahead_ms - MIN(best->ahead_ms, limit_ms),
			limit_ms == 0),
		    decision);
		decision->hold_ms = hold_ms(best->least_ahead_ms, limit_ms);
		return;
	}
	account->served_tokens += charge_tokens(ask);
	start(dispatch, ask, best, true, now_ms, decision);
}

void
dispatch_decide(struct dispatch *dispatch, const struct dispatch_ask *ask,
    uint64_t now_ms, struct dispatch_decision *decision)
{
	const struct catalog_pool *pool = dispatch->catalog == NULL
	    ? NULL
	    : catalog_find_pool(dispatch->catalog, ask->pool_id);
	struct dispatch_candidate best;

	memset(decision, 0, sizeof(*decision));
	dispatch_sum_peers(dispatch);
	decision->forecast.peers_age_ms = dispatch_peers_age_ms(dispatch,
	    now_ms);
	if (ask->tried_count == 0)
		dispatch_count_request(dispatch, ask->pool_id, now_ms);
	else if (!ask->unreached &&
	    !dispatch_allow_repeat(dispatch, ask->pool_id, now_ms)) {
		refuse(dispatch, ask, REFUSE_BUDGET, NO_ENDPOINT_RETRY_MS,
		    decision);
		return;
	}
	if (pool == NULL ||
	    !dispatch_choose(dispatch, pool, ask, now_ms, &best)) {
		refuse(dispatch, ask, REFUSE_NO_ENDPOINT, NO_ENDPOINT_RETRY_MS,
		    decision);
		return;
	}
	decision->forecast.running_count = (uint32_t)dispatch_running(
	    best.endpoint);
	if (pool->engine)
		admit(dispatch, ask, &best, now_ms, decision);
	else
		start(dispatch, ask, &best, false, now_ms, decision);
}

/* A first token takes the reading, at the engine's speed, and a time that does
 * not depend on it. */
static void
learn_speed(struct dispatch_endpoint *endpoint,
    const struct dispatch_attempt *attempt, uint64_t now_ms)
{
	uint64_t taken_ms = now_ms - attempt->started_ms;
	uint64_t first_token_ms = endpoint->first_token_ms, slow;

	if (attempt->forecast_ms < SHORT_READING_MS) {
		taken_ms -= MIN(taken_ms, attempt->forecast_ms);
		endpoint->first_token_ms = (uint32_t)
		    dispatch_average(first_token_ms,
			MIN(taken_ms, FIRST_TOKEN_MAX_MS), AVERAGE_WEIGHT);
		return;
	}
	taken_ms -= MIN(taken_ms, first_token_ms);
	slow = endpoint->slow_permille * taken_ms / attempt->forecast_ms;
	endpoint->slow_permille = (uint32_t)
	    dispatch_average(endpoint->slow_permille,
		CLAMP(slow, SLOW_MIN_PERMILLE, SLOW_MAX_PERMILLE),
		AVERAGE_WEIGHT);
}

void
dispatch_first(struct dispatch *dispatch, uint64_t seq, uint64_t now_ms)
{
	struct dispatch_attempt *attempt =
	    g_hash_table_lookup(dispatch->attempts, &seq);
	struct dispatch_endpoint *endpoint;

	if (attempt == NULL || attempt->first)
		return;
	attempt->first = true;
	endpoint = g_hash_table_lookup(dispatch->endpoints,
	    &attempt->endpoint_id);
	if (endpoint == NULL)
		return;
	endpoint->own.reading_tokens -= attempt->reading_tokens;
	if (attempt->engine)
		learn_speed(endpoint, attempt, now_ms);
}

static void
release(struct dispatch_endpoint *endpoint,
    const struct dispatch_attempt *attempt)
{
	endpoint->own.running_count--;
	endpoint->own.memory_tokens -= attempt->memory_tokens;
	if (!attempt->first)
		endpoint->own.reading_tokens -= attempt->reading_tokens;
}

void
dispatch_done(struct dispatch *dispatch, uint64_t seq,
    enum dispatch_outcome outcome, uint64_t now_ms,
    struct dispatch_verdict *verdict)
{
	struct dispatch_attempt *attempt =
	    g_hash_table_lookup(dispatch->attempts, &seq);
	struct dispatch_verdict unused;
	struct dispatch_endpoint *endpoint;

	if (verdict == NULL)
		verdict = &unused;
	memset(verdict, 0, sizeof(*verdict));
	if (attempt == NULL)
		return;
	endpoint = g_hash_table_lookup(dispatch->endpoints,
	    &attempt->endpoint_id);
	if (endpoint != NULL) {
		release(endpoint, attempt);
		verdict->health = dispatch_judge(endpoint, outcome, now_ms);
		verdict->failing_permille = endpoint->failing_permille;
		verdict->eject_ms = endpoint->eject_ms;
		if (outcome == OUTCOME_REFUSED)
			endpoint->full_until_ms = now_ms + FULL_HOLD_MS;
		if (!endpoint->listed && endpoint->own.running_count == 0)
			g_hash_table_remove(dispatch->endpoints,
			    &attempt->endpoint_id);
	}
	if (outcome == OUTCOME_WHOLE && attempt->engine)
		dispatch->duration_ms = dispatch_average(dispatch->duration_ms,
		    now_ms - attempt->started_ms, AVERAGE_WEIGHT);
	g_hash_table_remove(dispatch->attempts, &seq);
}
