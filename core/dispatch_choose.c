#include "core/dispatch_private.h"
#include "core/hash.h"

/* Number of endpoints that all daemons prefer, by rendezvous hashing, for a
 * shared segment that no endpoint has cached. */
#define PREFERRED_ENDPOINTS_COUNT 2u
/* The prefill of a shared segment takes engine time from other requests and
 * evicts cached segments. It weighs more at endpoints that are not preferred
 * for the segment. */
#define SHARED_PREFILL_WEIGHT 2u
#define SHARED_PREFILL_PREFERRED_WEIGHT 1u
#define KV_FULL_PERCENT 85u
#define WARMUP_SLOW_FACTOR 2u
/* Extra cost of an endpoint that refused a request lately, so that others are
 * preferred. */
#define FULL_COST_MS 100u
/* An endpoint that takes no request now counts at most this much in the pool's
 * mean backlog, as it may take one from another daemon. */
#define COUNTED_CLOSED_MAX_MS 200u

bool
dispatch_was_tried(const struct dispatch_request *request, uint64_t endpoint_id)
{
	for (uint32_t i = 0; i < request->tried_count; i++)
		if (request->tried_ids[i] == endpoint_id)
			return true;
	return false;
}

uint64_t
dispatch_affinity_key(const struct dispatch_request *request)
{
	const struct prompt_segment *shared = dispatch_shared_segment(request);

	return shared == NULL ? request->request_hash : shared->segment_id;
}

uint64_t
dispatch_rendezvous_score(const struct dispatch_endpoint *endpoint,
    uint64_t key)
{
	uint64_t words[] = { key, endpoint->endpoint_id };

	return hash_bytes(words, sizeof(words));
}

uint64_t
dispatch_running_requests(const struct dispatch_endpoint *endpoint)
{
	return endpoint->load.running_count;
}

static uint64_t
slots_of(const struct dispatch_endpoint *endpoint)
{
	return MAX(endpoint->info.slots, 1u);
}

/* Expected time until a slot is free for one more request. */
static uint64_t
slot_wait_ms(const struct dispatch *dispatch,
    const struct dispatch_endpoint *endpoint)
{
	uint64_t running = dispatch_running_requests(endpoint),
		 slots = slots_of(endpoint);

	if (running < slots)
		return 0;
	return (running - slots + 1) * dispatch->mean_duration_ms / slots;
}

/* Tokens of the shared segments that the endpoint would prefill again. */
static uint64_t
uncached_shared_tokens(const struct dispatch_request *request,
    const struct dispatch_candidate *candidate)
{
	uint64_t own_tokens = request->segments_count == 0
	    ? request->prompt_tokens
	    : request->segments[request->segments_count - 1].tokens;

	return candidate->uncached_tokens > own_tokens
	    ? candidate->uncached_tokens - own_tokens
	    : 0;
}

static uint64_t
shared_prefill_cost_ms(const struct dispatch_request *request,
    const struct dispatch_candidate *candidate, bool preferred)
{
	return (preferred ? SHARED_PREFILL_PREFERRED_WEIGHT
			  : SHARED_PREFILL_WEIGHT) *
	    uncached_shared_tokens(request, candidate) /
	    ENGINE_PREFILL_TOKENS_PER_MS;
}

static void
evaluate_engine(const struct dispatch *dispatch, const struct config_pool *pool,
    const struct dispatch_request *request, uint64_t now_ms, bool preferred,
    struct dispatch_candidate *candidate)
{
	const struct dispatch_endpoint *endpoint = candidate->endpoint;
	uint64_t needed_kv_tokens,
	    slowness_permille =
		engine_forecast_slowness_permille(&endpoint->engine, now_ms);

	if (now_ms < endpoint->warm_at_ms)
		slowness_permille *= WARMUP_SLOW_FACTOR;
	candidate->uncached_tokens = dispatch_uncached_tokens(endpoint, request,
	    now_ms);
	candidate->backlog_ms =
	    engine_forecast_prefill_ms(endpoint->load.prefill_tokens,
		slowness_permille) +
	    slot_wait_ms(dispatch, endpoint);
	needed_kv_tokens = endpoint->load.kv_tokens + request->prompt_tokens +
	    request->response_tokens;
	if (pool->kv_capacity_tokens > 0 &&
	    needed_kv_tokens * 100 > pool->kv_capacity_tokens * KV_FULL_PERCENT)
		candidate->backlog_ms += dispatch->mean_duration_ms;
	candidate->prefill_ms =
	    engine_forecast_prefill_ms(candidate->uncached_tokens,
		slowness_permille);
	candidate->cost_ms = candidate->backlog_ms + candidate->prefill_ms +
	    endpoint->engine.first_token_ms +
	    shared_prefill_cost_ms(request, candidate, preferred);
}

/* A service has no prefill: its cost is the percentage of its slots in use. */
static void
evaluate_service(const struct dispatch *dispatch,
    struct dispatch_candidate *candidate)
{
	const struct dispatch_endpoint *endpoint = candidate->endpoint;

	candidate->uncached_tokens = 0;
	candidate->backlog_ms = slot_wait_ms(dispatch, endpoint);
	candidate->cost_ms = dispatch_running_requests(endpoint) * 100 /
	    slots_of(endpoint);
}

static bool
is_candidate(const struct dispatch *dispatch,
    const struct dispatch_endpoint *endpoint,
    const struct dispatch_request *request)
{
	return dispatch_takes_requests(dispatch, endpoint) &&
	    !dispatch_said_leaving(dispatch, endpoint) &&
	    !dispatch_was_tried(request, endpoint->endpoint_id);
}

/* @return the endpoints to choose from; NULL if there are none */
static const GPtrArray *
endpoints_to_choose(struct dispatch *dispatch, uint64_t pool_id,
    bool own_endpoints)
{
	const struct dispatch_pool *pool;

	dispatch_assign_endpoints(dispatch);
	pool = dispatch_find_pool(dispatch, pool_id);
	if (pool == NULL)
		return NULL;
	return own_endpoints && pool->own_endpoints->len > 0
	    ? pool->own_endpoints
	    : pool->endpoints;
}

static void
collect_candidates(struct dispatch *dispatch,
    const struct dispatch_request *request, const GPtrArray *endpoints,
    uint64_t now_ms, bool include_ejected, GArray *candidates)
{
	uint64_t key = dispatch_affinity_key(request);

	for (guint i = 0; i < endpoints->len; i++) {
		struct dispatch_endpoint *endpoint = endpoints->pdata[i];
		struct dispatch_candidate candidate = { .endpoint = endpoint };

		if (!is_candidate(dispatch, endpoint, request) ||
		    (!include_ejected && !dispatch_is_usable(endpoint, now_ms)))
			continue;
		candidate.rendezvous_score = dispatch_rendezvous_score(endpoint,
		    key);
		candidate.closed_ms = dispatch_closed_ms(dispatch, endpoint,
		    now_ms);
		g_array_append_val(candidates, candidate);
	}
}

/* Lowest rendezvous score among the preferred endpoints of a shared segment. */
static uint64_t
preferred_min_score(const GArray *candidates)
{
	uint64_t best[PREFERRED_ENDPOINTS_COUNT] = { 0 };

	for (guint i = 0; i < candidates->len; i++) {
		uint64_t score = g_array_index(candidates,
		    struct dispatch_candidate, i)
				     .rendezvous_score;
		for (uint32_t rank = 0; rank < PREFERRED_ENDPOINTS_COUNT;
		     rank++)
			if (score > best[rank]) {
				uint64_t lower = best[rank];
				best[rank] = score;
				score = lower;
			}
	}
	return best[PREFERRED_ENDPOINTS_COUNT - 1];
}

static void
add_crossing(const struct dispatch *dispatch,
    const struct dispatch_request *request,
    struct dispatch_candidate *candidate)
{
	uint64_t cost_ms = dispatch_crossing_cost_ms(dispatch, request,
	    candidate->endpoint);

	candidate->cost_ms = cost_ms == UINT64_MAX
	    ? UINT64_MAX
	    : candidate->cost_ms + cost_ms;
}

static struct dispatch_candidate *
choose_cheapest(struct dispatch *dispatch, const struct config_pool *pool,
    const struct dispatch_request *request, uint64_t now_ms, GArray *candidates)
{
	uint64_t min_score = preferred_min_score(candidates),
		 total_backlog_ms = 0;
	uint64_t pool_min_backlog_ms = UINT64_MAX;
	struct dispatch_crossing crossing = { NULL, NULL };
	struct dispatch_candidate *best;

	if (candidates->len == 0)
		return NULL;
	for (guint i = 0; i < candidates->len; i++) {
		struct dispatch_candidate *candidate =
		    &g_array_index(candidates, struct dispatch_candidate, i);
		const struct dispatch_endpoint *endpoint = candidate->endpoint;
		bool own_domain = dispatch_is_own_domain(dispatch, request,
		    endpoint);
		bool preferred = dispatch_shared_segment(request) != NULL &&
		    candidate->rendezvous_score >= min_score;

		if (pool->engine)
			evaluate_engine(dispatch, pool, request, now_ms,
			    preferred, candidate);
		else
			evaluate_service(dispatch, candidate);
		total_backlog_ms += candidate->backlog_ms +
		    MIN(candidate->closed_ms, COUNTED_CLOSED_MAX_MS);
		pool_min_backlog_ms = MIN(pool_min_backlog_ms,
		    candidate->backlog_ms);
		if (candidate->closed_ms > 0)
			continue;
		if (now_ms < endpoint->full_until_ms)
			candidate->cost_ms += FULL_COST_MS;
		if (!own_domain)
			add_crossing(dispatch, request, candidate);
		dispatch_crossing_offer(&crossing, candidate, own_domain);
	}
	best = dispatch_crossing_choose(dispatch, request, &crossing);
	if (best != NULL) {
		best->pool_mean_backlog_ms = total_backlog_ms / candidates->len;
		best->pool_min_backlog_ms = pool_min_backlog_ms;
	}
	return best;
}

const struct dispatch_candidate *
dispatch_evaluate(struct dispatch *dispatch, const struct config_pool *pool,
    const struct dispatch_request *request, bool own_endpoints, uint64_t now_ms,
    GArray *candidates)
{
	const GPtrArray *endpoints = endpoints_to_choose(dispatch,
	    request->pool_id, own_endpoints);

	if (endpoints == NULL)
		return NULL;
	collect_candidates(dispatch, request, endpoints, now_ms, false,
	    candidates);
	if (candidates->len == 0)
		collect_candidates(dispatch, request, endpoints, now_ms, true,
		    candidates);
	return choose_cheapest(dispatch, pool, request, now_ms, candidates);
}
