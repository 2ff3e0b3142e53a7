#include "core/dispatch_private.h"
#include "core/hash.h"

/* A crash ends all connections to an engine. A daemon notices them within this
 * time, a busy one within the second. */
#define CRASH_SPREAD_MS 100u
#define CRASH_SPREAD_MAX_MS 600u
/* Daemons tell a hub of the progress of attempts this much later at most. */
#define NOTICE_DELAY_MS 60u

uint32_t
dispatch_segment_ids(const struct dispatch_request *request,
    uint64_t segment_ids[PROMPT_SEGMENTS_MAX_COUNT])
{
	for (uint32_t i = 0; i < request->segments_count; i++)
		segment_ids[i] = request->segments[i].segment_id;
	return request->segments_count;
}

void
dispatch_check_suspects(const struct dispatch *dispatch,
    const struct dispatch_request *request, uint64_t now_ms,
    struct suspect_verdict *verdict)
{
	uint64_t segment_ids[PROMPT_SEGMENTS_MAX_COUNT];
	uint32_t count = dispatch_segment_ids(request, segment_ids);
	uint64_t lot = request->request_hash % dispatch->hub_ids->len;

	crash_suspects_check(&dispatch->crash_suspects, segment_ids, count, lot,
	    now_ms, verdict);
}

void
dispatch_record_loss(struct dispatch *dispatch,
    const struct dispatch_endpoint *endpoint,
    const struct dispatch_attempt *attempt, uint64_t now_ms)
{
	uint64_t process[] = { endpoint->endpoint_id,
		attempt->process_start_ms };
	struct dispatch_loss loss = {
		.attempt = *attempt,
		.crash_id = hash_bytes(process, sizeof(process)),
		.lost_ms = now_ms,
	};

	if (!attempt->first_token_arrived && attempt->segments_count > 0)
		g_array_append_val(dispatch->losses, loss);
}

/* An engine has not crashed if it responds to any daemon, or if other attempts
 * of the daemon that lost one go on. */
static bool
engine_runs_on(const struct dispatch *dispatch,
    const struct dispatch_loss *loss)
{
	const struct dispatch_endpoint *endpoint =
	    g_hash_table_lookup(dispatch->endpoints,
		&loss->attempt.endpoint_id);
	GHashTableIter iter;
	gpointer value;

	if (endpoint != NULL &&
	    endpoint->info.process_start_ms == loss->attempt.process_start_ms &&
	    endpoint->progress_ms > loss->lost_ms + NOTICE_DELAY_MS)
		return true;

	g_hash_table_iter_init(&iter, dispatch->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct dispatch_attempt *attempt = value;
		if (attempt->endpoint_id == loss->attempt.endpoint_id &&
		    attempt->node_id == loss->attempt.node_id &&
		    attempt->started_ms < loss->lost_ms)
			return true;
	}
	return false;
}

/* @return whether the loss has been dealt with */
static bool
judge_loss(struct dispatch *dispatch, const struct dispatch_loss *loss,
    uint64_t now_ms)
{
	const struct dispatch_attempt *attempt = &loss->attempt;

	if (now_ms < loss->lost_ms + CRASH_SPREAD_MS)
		return false;
	if (engine_runs_on(dispatch, loss))
		return now_ms >= loss->lost_ms + CRASH_SPREAD_MAX_MS;
	crash_suspects_record_crash(&dispatch->crash_suspects, loss->crash_id,
	    attempt->segment_ids, attempt->segments_count,
	    attempt->trial_segment_id, now_ms);
	return true;
}

static void
find_crashes(struct dispatch *dispatch, uint64_t now_ms)
{
	GArray *losses = dispatch->losses;

	for (guint i = 0; i < losses->len;)
		if (judge_loss(dispatch,
			&g_array_index(losses, struct dispatch_loss, i),
			now_ms))
			g_array_remove_index(losses, i);
		else
			i++;
}

static void
fill_message(const GArray *records, struct msg *msg)
{
	msg->u.crash_records.count = records->len;
	msg->u.crash_records.items = g_memdup2(records->data,
	    records->len * sizeof(struct crash_record));
}

static void
log_changes(struct dispatch *dispatch, uint64_t now_ms, struct effects *effects)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->crash_suspects.suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct suspect *suspect = value;
		struct effect *effect;

		if (!suspect->to_log)
			continue;
		suspect->to_log = false;
		if (!crash_suspects_was_blocked(suspect))
			continue;
		effect = effects_add(effects, EFFECT_SUSPECT_CHANGED);
		effect->segment_id = suspect->record.segment_id;
		effect->phase = suspect_phase(suspect, now_ms);
		effect->crashes_count = suspect->record.crashes_count +
		    suspect->record.failed_trials_count;
	}
}

void
dispatch_tick_crashes(struct dispatch *dispatch, uint64_t now_ms,
    struct effects *effects)
{
	GArray *records;

	find_crashes(dispatch, now_ms);
	if (g_hash_table_size(dispatch->crash_suspects.suspects) == 0)
		return;
	log_changes(dispatch, now_ms, effects);
	records = g_array_new(FALSE, FALSE, sizeof(struct crash_record));
	crash_suspects_collect(&dispatch->crash_suspects, now_ms, records);
	if (records->len > 0)
		dispatch_send_to_peers(dispatch, MSG_CRASH_RECORDS,
		    fill_message, records, effects);
	g_array_free(records, TRUE);
}

void
dispatch_handle_crash_records(struct dispatch *dispatch, const struct msg *msg,
    uint64_t now_ms)
{
	const struct msg_crash_records *records = &msg->u.crash_records;

	for (uint32_t i = 0; i < records->count; i++)
		crash_suspects_merge(&dispatch->crash_suspects,
		    &records->items[i], now_ms);
}
