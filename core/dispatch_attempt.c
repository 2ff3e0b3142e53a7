#include <string.h>

#include "core/dispatch_private.h"

#define AVERAGE_WEIGHT 16u
/* For this long after it refused a request, an endpoint counts as full. */
#define FULL_DURATION_MS 100u
/* Daemons name their running attempts every second. */
#define ATTEMPT_EXPIRY_MS 2500u

static struct dispatch_attempt *
new_attempt(const struct dispatch_endpoint *endpoint, uint64_t seq,
    uint64_t node_id, uint64_t now_ms)
{
	struct dispatch_attempt *attempt = g_new0(struct dispatch_attempt, 1);

	attempt->seq = seq;
	attempt->node_id = node_id;
	attempt->confirmed_ms = now_ms;
	attempt->endpoint_id = endpoint->endpoint_id;
	attempt->process_start_ms = endpoint->info.process_start_ms;
	attempt->started_ms = now_ms;
	return attempt;
}

static void
add_attempt(struct dispatch *dispatch, struct dispatch_endpoint *endpoint,
    struct dispatch_attempt *attempt)
{
	endpoint->load.running_count++;
	endpoint->load.prefill_tokens += attempt->prefill_tokens;
	endpoint->load.kv_tokens += attempt->kv_tokens;
	g_hash_table_insert(dispatch->attempts, &attempt->seq, attempt);
}

void
dispatch_start_attempt(struct dispatch *dispatch,
    const struct dispatch_request *request,
    const struct dispatch_origin *origin,
    const struct dispatch_evaluation *evaluation, uint64_t now_ms,
    struct dispatch_decision *decision)
{
	const struct dispatch_candidate *candidate = evaluation->best;
	struct dispatch_endpoint *endpoint = candidate->endpoint;
	struct dispatch_attempt *attempt = new_attempt(endpoint,
	    origin->attempt_id, origin->node_id, now_ms);

	attempt->engine = evaluation->engine;
	if (attempt->engine) {
		attempt->prefill_tokens = candidate->uncached_tokens;
		attempt->kv_tokens = (uint64_t)request->prompt_tokens +
		    request->response_tokens;
		attempt->ahead_tokens = endpoint->load.prefill_tokens +
		    candidate->uncached_tokens;
		attempt->forecast_ms = (uint32_t)(candidate->backlog_ms +
		    candidate->prefill_ms);
		dispatch_cache_record(endpoint, request, now_ms);
		dispatch_count_served(dispatch, request, attempt);
	}
	attempt->segments_count = dispatch_segment_ids(request,
	    attempt->segment_ids);
	attempt->trial_segment_id = evaluation->trial_segment_id;
	crash_suspects_start_trial(&dispatch->crash_suspects,
	    attempt->trial_segment_id, now_ms);
	endpoint_limit_take(&endpoint->limit);
	cold_pace_take(&endpoint->cold);
	if (now_ms >= endpoint->ejected_until_ms && endpoint->eject_ms > 0)
		endpoint->probing = true;
	add_attempt(dispatch, endpoint, attempt);
	decision->start = true;
	decision->seq = attempt->seq;
	decision->endpoint_id = endpoint->endpoint_id;
	decision->prefill_tokens = attempt->prefill_tokens;
	decision->kv_tokens = attempt->kv_tokens;
	memcpy(decision->name, endpoint->info.name, ENDPOINT_NAME_MAX_BYTES);
	memcpy(decision->address, endpoint->info.address, ADDRESS_MAX_BYTES);
	decision->process_start_ms = endpoint->info.process_start_ms;
}

void
dispatch_set_daemon_busy(struct dispatch *dispatch, bool busy)
{
	dispatch->daemon_busy = busy;
}

static void
learn(struct dispatch_endpoint *endpoint,
    const struct dispatch_attempt *attempt, uint32_t taken_ms, uint64_t now_ms)
{
	const struct engine_sample sample = {
		.tokens = attempt->ahead_tokens,
		.forecast_ms = attempt->forecast_ms,
		.taken_ms = taken_ms,
	};

	engine_forecast_record_first_token(&endpoint->engine, &sample, now_ms);
}

/* @return the best known engine of a pool; NULL if none is learned */
static const struct engine_forecast *
find_learned(const struct dispatch *dispatch, uint64_t pool_id)
{
	const struct engine_forecast *best = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct dispatch_endpoint *endpoint = value;

		if (endpoint->info.pool_id == pool_id &&
		    engine_forecast_is_learned(&endpoint->engine) &&
		    (best == NULL ||
			endpoint->engine.samples_count > best->samples_count))
			best = &endpoint->engine;
	}
	return best;
}

static void
state_pace(struct dispatch *dispatch, struct dispatch_endpoint *endpoint,
    uint32_t percent, uint64_t now_ms)
{
	const struct engine_forecast *similar = engine_forecast_is_learned(
						    &endpoint->engine)
	    ? NULL
	    : find_learned(dispatch, endpoint->info.pool_id);

	engine_forecast_state_pace(&endpoint->engine, percent, similar, now_ms);
}

static void
record_begin(struct dispatch *dispatch, const struct dispatch_attempt *attempt,
    uint64_t now_ms)
{
	crash_suspects_record_begin(&dispatch->crash_suspects,
	    attempt->segment_ids, attempt->segments_count, now_ms);
}

void
dispatch_begin_attempt(struct dispatch *dispatch, uint64_t seq,
    uint32_t taken_ms, uint32_t pace_percent, uint64_t now_ms)
{
	struct dispatch_attempt *attempt =
	    g_hash_table_lookup(dispatch->attempts, &seq);
	struct dispatch_endpoint *endpoint;

	if (attempt == NULL || attempt->first_token_arrived)
		return;
	attempt->first_token_arrived = true;
	record_begin(dispatch, attempt, now_ms);
	endpoint = g_hash_table_lookup(dispatch->endpoints,
	    &attempt->endpoint_id);
	if (endpoint == NULL)
		return;
	dispatch_record_progress(dispatch, endpoint, now_ms);
	endpoint->load.prefill_tokens -= attempt->prefill_tokens;
	if (attempt->engine && pace_percent > 0)
		state_pace(dispatch, endpoint, pace_percent, now_ms);
	if (attempt->engine && taken_ms != UINT32_MAX)
		learn(endpoint, attempt, taken_ms, now_ms);
}

static void
release(struct dispatch_endpoint *endpoint,
    const struct dispatch_attempt *attempt)
{
	endpoint->load.running_count--;
	endpoint->load.kv_tokens -= attempt->kv_tokens;
	if (!attempt->first_token_arrived)
		endpoint->load.prefill_tokens -= attempt->prefill_tokens;
}

static bool
did_not_run(enum dispatch_outcome outcome)
{
	return outcome == OUTCOME_REFUSED || outcome == OUTCOME_MOVED ||
	    outcome == OUTCOME_UNREACHED || outcome == OUTCOME_UNUSED;
}

static void
update_endpoint(struct dispatch *dispatch, struct dispatch_endpoint *endpoint,
    const struct dispatch_attempt *attempt, enum dispatch_outcome outcome,
    uint64_t now_ms, struct dispatch_health_update *health_update)
{
	release(endpoint, attempt);
	if (outcome == OUTCOME_COMPLETE)
		dispatch_record_progress(dispatch, endpoint, now_ms);
	if (outcome == OUTCOME_BROKEN)
		dispatch_record_loss(dispatch, endpoint, attempt, now_ms);
	if (outcome == OUTCOME_BROKEN || outcome == OUTCOME_UNREACHED)
		dispatch_record_silence(dispatch, endpoint, now_ms);
	health_update->change = dispatch_update_health(endpoint, outcome,
	    now_ms);
	health_update->failing_permille = endpoint->failing_permille;
	health_update->eject_ms = endpoint->eject_ms;
	if (outcome == OUTCOME_REFUSED)
		endpoint->full_until_ms = now_ms + FULL_DURATION_MS;
	if (!endpoint->listed && endpoint->load.running_count == 0)
		g_hash_table_remove(dispatch->endpoints, &attempt->endpoint_id);
}

void
dispatch_finish_attempt(struct dispatch *dispatch, uint64_t seq,
    enum dispatch_outcome outcome, uint32_t taken_ms, uint64_t now_ms,
    struct dispatch_health_update *health_update)
{
	struct dispatch_attempt *attempt =
	    g_hash_table_lookup(dispatch->attempts, &seq);
	struct dispatch_health_update unused;
	struct dispatch_endpoint *endpoint;

	if (health_update == NULL)
		health_update = &unused;
	memset(health_update, 0, sizeof(*health_update));
	if (attempt == NULL)
		return;
	if (did_not_run(outcome))
		dispatch_take_back_served(dispatch, attempt, now_ms);
	if (outcome == OUTCOME_COMPLETE && !attempt->first_token_arrived)
		record_begin(dispatch, attempt, now_ms);
	endpoint = g_hash_table_lookup(dispatch->endpoints,
	    &attempt->endpoint_id);
	if (endpoint != NULL)
		update_endpoint(dispatch, endpoint, attempt, outcome, now_ms,
		    health_update);
	if (outcome == OUTCOME_COMPLETE && attempt->engine &&
	    taken_ms != UINT32_MAX)
		dispatch->mean_duration_ms =
		    dispatch_moving_average(dispatch->mean_duration_ms,
			taken_ms, AVERAGE_WEIGHT);
	g_hash_table_remove(dispatch->attempts, &seq);
}

void
dispatch_adopt_attempt(struct dispatch *dispatch, uint64_t node_id,
    const struct running_attempt *running, uint64_t now_ms)
{
	struct dispatch_endpoint *endpoint =
	    g_hash_table_lookup(dispatch->endpoints, &running->endpoint_id);
	struct dispatch_attempt *attempt;

	if (endpoint == NULL)
		return;
	attempt = new_attempt(endpoint, running->attempt_id, node_id, now_ms);
	attempt->prefill_tokens = running->prefill_tokens;
	attempt->kv_tokens = running->kv_tokens;
	attempt->first_token_arrived = running->prefill_tokens == 0;
	add_attempt(dispatch, endpoint, attempt);
}

void
dispatch_expire_attempts(struct dispatch *dispatch, uint64_t now_ms)
{
	GArray *expired = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct dispatch_attempt *attempt = value;
		if (attempt->node_id != dispatch->config.node_id &&
		    now_ms > attempt->confirmed_ms + ATTEMPT_EXPIRY_MS)
			g_array_append_val(expired, attempt->seq);
	}
	for (guint i = 0; i < expired->len; i++)
		dispatch_finish_attempt(dispatch,
		    g_array_index(expired, uint64_t, i), OUTCOME_CANCELLED,
		    UINT32_MAX, now_ms, NULL);
	g_array_free(expired, TRUE);
}
