#include "core/dispatch_private.h"
#include "core/hash.h"

/* What an engine is taken to read until its first tokens tell its speed. */
#define READ_TOKENS_PER_MS 50u
/* Endpoints that all daemons prefer for a shared part that none keeps. */
#define HOMES_COUNT 2u
/* A shared part that is read takes engine time from others, too, and memory from
 * the parts that are kept there; more so where it is not at home. */
#define SHARED_READ_WEIGHT 2u
#define SHARED_READ_HOME_WEIGHT 1u
#define OTHER_DOMAIN_MS 4u
#define MEMORY_FULL_PERCENT 85u
#define WARMUP_SLOW_FACTOR 2u
/* An endpoint that refused work lately is chosen last. */
#define FULL_COST_MS 100u

static bool
was_tried(const struct dispatch_ask *ask, uint64_t endpoint_id)
{
	for (uint32_t i = 0; i < ask->tried_count; i++)
		if (ask->tried_ids[i] == endpoint_id)
			return true;
	return false;
}

/* Requests that share no part are spread evenly. */
static uint64_t
subject_of(const struct dispatch_ask *ask)
{
	const struct prompt_part *shared = dispatch_shared_part(ask);

	return shared == NULL ? ask->request_hash : shared->part_id;
}

static uint64_t
home_score(const struct dispatch_endpoint *endpoint, uint64_t subject)
{
	uint64_t words[] = { subject, endpoint->endpoint_id };

	return hash_bytes(words, sizeof(words));
}

uint64_t
dispatch_running(const struct dispatch_endpoint *endpoint)
{
	return (uint64_t)endpoint->own.running_count +
	    endpoint->others.running_count;
}

static uint64_t
slots_of(const struct dispatch_endpoint *endpoint)
{
	return MAX(endpoint->listing.slots, 1u);
}

/* Time until one of the requests beyond the slots has gone. */
static uint64_t
slot_wait_ms(const struct dispatch *dispatch,
    const struct dispatch_endpoint *endpoint)
{
	uint64_t running = dispatch_running(endpoint),
		 slots = slots_of(endpoint);

	if (running < slots)
		return 0;
	return (running - slots + 1) * dispatch->duration_ms / slots;
}

static uint64_t
memory_of(const struct dispatch_endpoint *endpoint)
{
	return endpoint->own.memory_tokens + endpoint->others.memory_tokens;
}

/* Tokens of the shared parts that the endpoint would read again. */
static uint64_t
missing_shared_tokens(const struct dispatch_ask *ask,
    const struct dispatch_candidate *candidate)
{
	uint64_t own_tokens = ask->parts_count == 0
	    ? ask->prompt_tokens
	    : ask->parts[ask->parts_count - 1].tokens;

	return candidate->read_tokens > own_tokens
	    ? candidate->read_tokens - own_tokens
	    : 0;
}

static void
weigh_engine(const struct dispatch *dispatch, const struct catalog_pool *pool,
    const struct dispatch_ask *ask, uint64_t now_ms, bool home,
    struct dispatch_candidate *candidate)
{
	const struct dispatch_endpoint *endpoint = candidate->endpoint;
	uint64_t reading = endpoint->own.reading_tokens +
	    endpoint->others.reading_tokens;
	uint64_t slow = endpoint->slow_permille, needed;

	if (now_ms < endpoint->warm_at_ms)
		slow *= WARMUP_SLOW_FACTOR;
	candidate->read_tokens = dispatch_unread_tokens(endpoint, ask, now_ms);
	candidate->ahead_ms = reading * slow / READ_TOKENS_PER_MS / 1000 +
	    slot_wait_ms(dispatch, endpoint);
	needed = memory_of(endpoint) + ask->prompt_tokens + ask->answer_tokens;
	if (pool->memory_tokens > 0 &&
	    needed * 100 > pool->memory_tokens * MEMORY_FULL_PERCENT)
		candidate->ahead_ms += dispatch->duration_ms;
	candidate->own_ms = candidate->read_tokens * slow / READ_TOKENS_PER_MS /
	    1000;
	candidate->cost_ms = candidate->ahead_ms + candidate->own_ms +
	    endpoint->first_token_ms +
	    (home ? SHARED_READ_HOME_WEIGHT : SHARED_READ_WEIGHT) *
		missing_shared_tokens(ask, candidate) / READ_TOKENS_PER_MS;
}

/* A plain service: how full it is stands for the wait. */
static void
weigh_service(const struct dispatch *dispatch,
    struct dispatch_candidate *candidate)
{
	const struct dispatch_endpoint *endpoint = candidate->endpoint;

	candidate->read_tokens = 0;
	candidate->ahead_ms = slot_wait_ms(dispatch, endpoint);
	candidate->cost_ms = dispatch_running(endpoint) * 100 /
	    slots_of(endpoint);
}

static void
collect(struct dispatch *dispatch, const struct dispatch_ask *ask,
    uint64_t now_ms, bool ejected_too, GArray *candidates)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct dispatch_endpoint *endpoint = value;
		struct dispatch_candidate candidate = { .endpoint = endpoint };

		if (endpoint->listing.pool_id != ask->pool_id ||
		    !endpoint->listed || endpoint->listing.leaving ||
		    was_tried(ask, endpoint->endpoint_id) ||
		    (!ejected_too && !dispatch_usable(endpoint, now_ms)))
			continue;
		candidate.home_score = home_score(endpoint, subject_of(ask));
		g_array_append_val(candidates, candidate);
	}
}

/* Score that the homes of a shared part reach, by rendezvous hashing. */
static uint64_t
home_bar(const GArray *candidates)
{
	uint64_t best[HOMES_COUNT] = { 0 };

	for (guint i = 0; i < candidates->len; i++) {
		uint64_t score = g_array_index(candidates,
		    struct dispatch_candidate, i)
				     .home_score;
		for (uint32_t rank = 0; rank < HOMES_COUNT; rank++)
			if (score > best[rank]) {
				uint64_t lower = best[rank];
				best[rank] = score;
				score = lower;
			}
	}
	return best[HOMES_COUNT - 1];
}

static struct dispatch_candidate *
choose(struct dispatch *dispatch, const struct catalog_pool *pool,
    const struct dispatch_ask *ask, uint64_t now_ms, GArray *candidates)
{
	uint64_t bar = home_bar(candidates), ahead_ms = 0;
	uint64_t least_ahead_ms = UINT64_MAX;
	struct dispatch_candidate *best = NULL;

	for (guint i = 0; i < candidates->len; i++) {
		struct dispatch_candidate *candidate =
		    &g_array_index(candidates, struct dispatch_candidate, i);
		const struct dispatch_endpoint *endpoint = candidate->endpoint;
		bool home = dispatch_shared_part(ask) != NULL &&
		    candidate->home_score >= bar;

		if (pool->engine)
			weigh_engine(dispatch, pool, ask, now_ms, home,
			    candidate);
		else
			weigh_service(dispatch, candidate);
		ahead_ms += candidate->ahead_ms;
		least_ahead_ms = MIN(least_ahead_ms, candidate->ahead_ms);
		if (endpoint->listing.domain_id != dispatch->config.domain_id)
			candidate->cost_ms += OTHER_DOMAIN_MS;
		if (now_ms < endpoint->full_until_ms)
			candidate->cost_ms += FULL_COST_MS;
		if (best == NULL || candidate->cost_ms < best->cost_ms ||
		    (candidate->cost_ms == best->cost_ms &&
			candidate->home_score > best->home_score))
			best = candidate;
	}
	if (best != NULL) {
		best->pool_ahead_ms = ahead_ms / candidates->len;
		best->least_ahead_ms = least_ahead_ms;
	}
	return best;
}

bool
dispatch_choose(struct dispatch *dispatch, const struct catalog_pool *pool,
    const struct dispatch_ask *ask, uint64_t now_ms,
    struct dispatch_candidate *chosen)
{
	GArray *candidates = g_array_new(FALSE, FALSE,
	    sizeof(struct dispatch_candidate));
	const struct dispatch_candidate *best;

	collect(dispatch, ask, now_ms, false, candidates);
	if (candidates->len == 0)
		collect(dispatch, ask, now_ms, true, candidates);
	best = choose(dispatch, pool, ask, now_ms, candidates);
	if (best != NULL)
		*chosen = *best;
	g_array_free(candidates, TRUE);
	return best != NULL;
}
