#include "core/dispatch_private.h"

/* After a shorter prefill, the time to the first token tells nothing of an
 * engine's prefill speed. It updates the part that does not depend on prefill
 * instead. */
#define SHORT_PREFILL_MS 25u
#define FIRST_TOKEN_MAX_MS 2000u
#define AVERAGE_WEIGHT 16u
/* For this long after it refused a request, an endpoint counts as full. */
#define FULL_DURATION_MS 100u
#define SLOWNESS_MIN_PERMILLE 500u
#define SLOWNESS_MAX_PERMILLE 8000u

void
dispatch_start_attempt(struct dispatch *dispatch,
    const struct dispatch_request *request,
    const struct dispatch_candidate *candidate, bool engine,
    uint64_t trial_segment_id, uint64_t now_ms,
    struct dispatch_decision *decision)
{
	struct dispatch_endpoint *endpoint = candidate->endpoint;
	struct dispatch_attempt *attempt = g_new0(struct dispatch_attempt, 1);

	attempt->seq = dispatch->seq_next++;
	attempt->endpoint_id = endpoint->endpoint_id;
	attempt->process_start_ms = endpoint->info.process_start_ms;
	attempt->started_ms = now_ms;
	attempt->engine = engine;
	if (engine) {
		attempt->prefill_tokens = candidate->uncached_tokens;
		attempt->kv_tokens = (uint64_t)request->prompt_tokens +
		    request->response_tokens;
		attempt->forecast_ms = (uint32_t)(candidate->backlog_ms +
		    candidate->prefill_ms);
		dispatch_cache_record(dispatch, endpoint, request, now_ms);
	}
	attempt->shared_segments_count = dispatch_shared_segment_ids(request,
	    attempt->shared_segment_ids);
	attempt->trial_segment_id = trial_segment_id;
	crash_suspects_start_trial(&dispatch->crash_suspects, trial_segment_id,
	    now_ms);
	endpoint_limit_take(&endpoint->limit);
	endpoint->local.running_count++;
	endpoint->local.prefill_tokens += attempt->prefill_tokens;
	endpoint->local.kv_tokens += attempt->kv_tokens;
	if (now_ms >= endpoint->ejected_until_ms && endpoint->eject_ms > 0)
		endpoint->probing = true;
	g_hash_table_insert(dispatch->attempts, &attempt->seq, attempt);
	decision->start = true;
	decision->seq = attempt->seq;
	decision->endpoint_id = endpoint->endpoint_id;
	memcpy(decision->name, endpoint->info.name, NAME_MAX_BYTES);
	memcpy(decision->address, endpoint->info.address, ADDRESS_MAX_BYTES);
}

void
dispatch_set_daemon_busy(struct dispatch *dispatch, bool busy)
{
	dispatch->daemon_busy = busy;
}

/* Splits the time to a first token into the prefill, which depends on the
 * engine's speed, and a constant part. */
static void
update_speed(struct dispatch_endpoint *endpoint,
    const struct dispatch_attempt *attempt, uint64_t now_ms)
{
	uint64_t taken_ms = now_ms - attempt->started_ms;
	uint64_t first_token_ms = endpoint->first_token_ms, slowness_permille;

	if (attempt->forecast_ms < SHORT_PREFILL_MS) {
		taken_ms -= MIN(taken_ms, attempt->forecast_ms);
		endpoint->first_token_ms = (uint32_t)
		    dispatch_moving_average(first_token_ms,
			MIN(taken_ms, FIRST_TOKEN_MAX_MS), AVERAGE_WEIGHT);
		return;
	}
	taken_ms -= MIN(taken_ms, first_token_ms);
	slowness_permille = endpoint->slow_permille * taken_ms /
	    attempt->forecast_ms;
	endpoint->slow_permille = (uint32_t)
	    dispatch_moving_average(endpoint->slow_permille,
		CLAMP(slowness_permille, SLOWNESS_MIN_PERMILLE,
		    SLOWNESS_MAX_PERMILLE),
		AVERAGE_WEIGHT);
}

static void
record_begin(struct dispatch *dispatch, const struct dispatch_attempt *attempt,
    uint64_t now_ms)
{
	crash_suspects_record_begin(&dispatch->crash_suspects,
	    attempt->shared_segment_ids, attempt->shared_segments_count,
	    now_ms);
}

void
dispatch_record_first_token(struct dispatch *dispatch, uint64_t seq,
    uint64_t now_ms)
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
	endpoint->local.prefill_tokens -= attempt->prefill_tokens;
	if (attempt->engine && !dispatch->daemon_busy)
		update_speed(endpoint, attempt, now_ms);
}

static void
release(struct dispatch_endpoint *endpoint,
    const struct dispatch_attempt *attempt)
{
	endpoint->local.running_count--;
	endpoint->local.kv_tokens -= attempt->kv_tokens;
	if (!attempt->first_token_arrived)
		endpoint->local.prefill_tokens -= attempt->prefill_tokens;
}

void
dispatch_end_attempt(struct dispatch *dispatch, uint64_t seq,
    enum dispatch_outcome outcome, uint64_t now_ms,
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
	if (outcome == OUTCOME_COMPLETE && !attempt->first_token_arrived)
		record_begin(dispatch, attempt, now_ms);
	endpoint = g_hash_table_lookup(dispatch->endpoints,
	    &attempt->endpoint_id);
	if (endpoint != NULL) {
		release(endpoint, attempt);
		if (outcome == OUTCOME_BROKEN)
			dispatch_record_loss(dispatch, endpoint, attempt,
			    now_ms);
		health_update->change = dispatch_update_health(endpoint,
		    outcome, now_ms);
		health_update->failing_permille = endpoint->failing_permille;
		health_update->eject_ms = endpoint->eject_ms;
		if (outcome == OUTCOME_REFUSED)
			endpoint->full_until_ms = now_ms + FULL_DURATION_MS;
		if (!endpoint->listed && endpoint->local.running_count == 0)
			g_hash_table_remove(dispatch->endpoints,
			    &attempt->endpoint_id);
	}
	if (outcome == OUTCOME_COMPLETE && attempt->engine &&
	    !dispatch->daemon_busy)
		dispatch->mean_duration_ms =
		    dispatch_moving_average(dispatch->mean_duration_ms,
			now_ms - attempt->started_ms, AVERAGE_WEIGHT);
	g_hash_table_remove(dispatch->attempts, &seq);
}
