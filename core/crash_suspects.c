#include "core/crash_suspects.h"

#include <string.h>

/* A segment that crashes every engine never begins a response, so one under
 * which a response began this recently is not to blame. */
#define BEGUN_RECENTLY_MS 1000u
#define BEGUN_PURGE_COUNT 2048u
/* One crash may hit any request by chance. */
#define BLOCKED_CRASHES_COUNT 2u
/* Time for other daemons to report that responses begin after all. */
#define TRIAL_DELAY_MS 1000u
/* After a failed trial a segment is blocked for this long, doubled with each
 * further failed trial. */
#define CONFIRMED_BLOCK_MS 60000u
#define CONFIRMED_DOUBLINGS_MAX_COUNT 4u
/* Of as many requests as there are daemons, this many are trials, doubled with
 * each further TRIAL_DELAY_MS. */
#define TRIAL_LOTS_COUNT 1u
#define TRIAL_DOUBLINGS_MAX_COUNT 10u
#define CLEARED_KEEP_MS 10000u
#define WATCHED_KEEP_MS 60000u
#define BLOCKED_KEEP_MS 300000u
#define SUSPECTS_MAX_COUNT 1024u
/* Blocked segments are announced again after this time, for daemons that missed
 * an announcement. */
#define REFRESH_PERIOD_MS 2000u

void
crash_suspects_init(struct crash_suspects *suspects)
{
	memset(suspects, 0, sizeof(*suspects));
	suspects->suspects = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, g_free);
	suspects->begun = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    g_free, NULL);
}

void
crash_suspects_finish(struct crash_suspects *suspects)
{
	g_hash_table_destroy(suspects->suspects);
	g_hash_table_destroy(suspects->begun);
}

static uint64_t
confirmed_block_ms(const struct crash_record *record)
{
	return (uint64_t)CONFIRMED_BLOCK_MS
	    << MIN(record->failed_trials_count - 1,
		   CONFIRMED_DOUBLINGS_MAX_COUNT);
}

/* @return time until which all requests are refused */
static uint64_t
block_end_ms(const struct suspect *suspect)
{
	return suspect->changed_ms +
	    (suspect->record.failed_trials_count > 0
		    ? confirmed_block_ms(&suspect->record)
		    : TRIAL_DELAY_MS);
}

static bool
is_blocking(const struct crash_record *record)
{
	return !record->cleared &&
	    (record->failed_trials_count > 0 ||
		record->crashes_count >= BLOCKED_CRASHES_COUNT);
}

enum suspect_phase
suspect_phase(const struct suspect *suspect, uint64_t now_ms)
{
	const struct crash_record *record = &suspect->record;

	if (record->cleared)
		return SUSPECT_CLEARED;
	if (!is_blocking(record))
		return SUSPECT_WATCHED;
	return now_ms < block_end_ms(suspect) ? SUSPECT_BLOCKED
					      : SUSPECT_ON_TRIAL;
}

const char *
suspect_phase_name(enum suspect_phase phase)
{
	static const char *const names[] = {
		[SUSPECT_CLEARED] = "cleared",
		[SUSPECT_WATCHED] = "watched",
		[SUSPECT_BLOCKED] = "blocked",
		[SUSPECT_ON_TRIAL] = "on_trial",
	};

	return names[phase];
}

/* Time after the latest evidence until which the record is kept. */
static uint64_t
keep_ms(const struct crash_record *record)
{
	if (record->cleared)
		return CLEARED_KEEP_MS;
	if (record->failed_trials_count > 0)
		return confirmed_block_ms(record) + BLOCKED_KEEP_MS;
	return is_blocking(record) ? BLOCKED_KEEP_MS : WATCHED_KEEP_MS;
}

static gboolean
suspect_is_old(gpointer key, gpointer value, gpointer now_ms)
{
	const struct suspect *suspect = value;

	(void)key;
	return *(uint64_t *)now_ms >
	    suspect->changed_ms + keep_ms(&suspect->record);
}

static gboolean
suspect_blocks_nothing(gpointer key, gpointer value, gpointer context)
{
	(void)key;
	(void)context;
	return !is_blocking(&((const struct suspect *)value)->record);
}

static struct suspect *
find(const struct crash_suspects *suspects, uint64_t segment_id)
{
	return g_hash_table_lookup(suspects->suspects, &segment_id);
}

/* @return NULL if too many segments are blocked */
static struct suspect *
find_or_add(struct crash_suspects *suspects, uint64_t segment_id)
{
	struct suspect *suspect = find(suspects, segment_id);

	if (suspect != NULL)
		return suspect;
	if (g_hash_table_size(suspects->suspects) >= SUSPECTS_MAX_COUNT)
		g_hash_table_foreach_remove(suspects->suspects,
		    suspect_blocks_nothing, NULL);
	if (g_hash_table_size(suspects->suspects) >= SUSPECTS_MAX_COUNT)
		return NULL;
	suspect = g_new0(struct suspect, 1);
	suspect->record.segment_id = segment_id;
	g_hash_table_insert(suspects->suspects, &suspect->record.segment_id,
	    suspect);
	return suspect;
}

static void
mark_changed(struct suspect *suspect, uint64_t changed_ms)
{
	suspect->changed_ms = changed_ms;
	suspect->to_announce = true;
	suspect->to_log = true;
}

static void
clear(struct suspect *suspect, uint64_t now_ms)
{
	suspect->record.cleared = true;
	mark_changed(suspect, now_ms);
}

static gboolean
begun_long_ago(gpointer key, gpointer value, gpointer now_ms)
{
	(void)key;
	return *(uint64_t *)value + BEGUN_RECENTLY_MS < *(uint64_t *)now_ms;
}

static void
set_begun(struct crash_suspects *suspects, uint64_t segment_id, uint64_t now_ms)
{
	uint64_t *begun_ms = g_hash_table_lookup(suspects->begun, &segment_id);
	uint64_t *entry;

	if (begun_ms != NULL) {
		*begun_ms = now_ms;
		return;
	}
	if (g_hash_table_size(suspects->begun) > BEGUN_PURGE_COUNT)
		g_hash_table_foreach_remove(suspects->begun, begun_long_ago,
		    &now_ms);
	/* key and value share one block, which is freed with the key */
	entry = g_new(uint64_t, 2);
	entry[0] = segment_id;
	entry[1] = now_ms;
	g_hash_table_insert(suspects->begun, entry, entry + 1);
}

/* @return time at which a response last began, 0 if it is not known */
static uint64_t
begun_ms(const struct crash_suspects *suspects, uint64_t segment_id)
{
	const uint64_t *time_ms = g_hash_table_lookup(suspects->begun,
	    &segment_id);

	return time_ms == NULL ? 0 : *time_ms;
}

void
crash_suspects_record_begin(struct crash_suspects *suspects,
    const uint64_t *segment_ids, uint32_t count, uint64_t now_ms)
{
	for (uint32_t i = 0; i < count; i++) {
		struct suspect *suspect = find(suspects, segment_ids[i]);

		if (i + 1 < count)
			set_begun(suspects, segment_ids[i], now_ms);
		if (suspect != NULL && !suspect->record.cleared)
			clear(suspect, now_ms);
	}
}

static bool
has_crash(const struct crash_record *record, uint64_t crash_id)
{
	for (uint32_t i = 0; i < record->crashes_count; i++)
		if (record->crash_ids[i] == crash_id)
			return true;
	return false;
}

/* @return whether the crash is new and among the first ones */
static bool
add_crash(struct crash_record *record, uint64_t crash_id)
{
	if (record->crashes_count == CRASH_RECORD_IDS_COUNT ||
	    has_crash(record, crash_id))
		return false;
	record->crash_ids[record->crashes_count++] = crash_id;
	return true;
}

static void
blame(struct crash_suspects *suspects, uint64_t segment_id, uint32_t depth,
    bool own, uint64_t crash_id, uint64_t now_ms)
{
	struct suspect *suspect;
	struct crash_record *record;

	if (begun_ms(suspects, segment_id) + BEGUN_RECENTLY_MS > now_ms)
		return;
	suspect = find_or_add(suspects, segment_id);
	if (suspect == NULL)
		return;
	record = &suspect->record;
	if (record->cleared) {
		record->cleared = false;
		record->crashes_count = 0;
		record->failed_trials_count = 0;
		record->epoch++;
	}
	record->depth = MAX(record->depth, depth);
	suspect->own = own;
	if (add_crash(record, crash_id))
		mark_changed(suspect, now_ms);
}

static bool
is_blocked(const struct crash_suspects *suspects, uint64_t segment_id)
{
	const struct suspect *suspect = find(suspects, segment_id);

	return suspect != NULL && is_blocking(&suspect->record);
}

void
crash_suspects_record_crash(struct crash_suspects *suspects, uint64_t crash_id,
    const uint64_t *segment_ids, uint32_t count, uint64_t trial_segment_id,
    uint64_t now_ms)
{
	struct suspect *tried = find(suspects, trial_segment_id);
	bool explained = false;

	if (tried != NULL && !tried->record.cleared) {
		tried->record.failed_trials_count++;
		mark_changed(tried, now_ms);
		return;
	}
	/* a segment that is blocked already explains the crash */
	for (uint32_t i = 0; i < count; i++)
		explained |= is_blocked(suspects, segment_ids[i]);
	for (uint32_t i = 0; i < count; i++)
		if (!explained || is_blocked(suspects, segment_ids[i]))
			blame(suspects, segment_ids[i], i, i + 1 == count,
			    crash_id, now_ms);
}

/* @return whether all crashes of a record are among those of another */
static bool
has_crashes_of(const struct crash_record *record,
    const struct crash_record *other)
{
	for (uint32_t i = 0; i < other->crashes_count; i++)
		if (!has_crash(record, other->crash_ids[i]))
			return false;
	return true;
}

/* Segments that come before a deadly one in all lost requests were in the same
 * crashes. As long as the deeper one explains them, requests with the others
 * alone are sent. */
static bool
is_explained(const struct crash_suspects *suspects,
    const struct suspect *suspect)
{
	GHashTableIter iter;
	gpointer value;

	if (suspect->record.failed_trials_count > 0)
		return false;
	g_hash_table_iter_init(&iter, suspects->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct crash_record *other =
		    &((const struct suspect *)value)->record;
		if (is_blocking(other) &&
		    other->depth > suspect->record.depth &&
		    has_crashes_of(other, &suspect->record))
			return true;
	}
	return false;
}

/* Few requests are trials at first, so that daemons do not send several before
 * they hear of the first one, and more if none was drawn. */
static bool
may_try(const struct suspect *suspect, uint64_t lot, uint64_t now_ms)
{
	uint64_t end_ms = block_end_ms(suspect), doublings;

	if (now_ms < end_ms || now_ms < suspect->trial_ms + TRIAL_DELAY_MS)
		return false;
	doublings = (now_ms - end_ms) / TRIAL_DELAY_MS;
	return lot < (uint64_t)TRIAL_LOTS_COUNT
	    << MIN(doublings, TRIAL_DOUBLINGS_MAX_COUNT);
}

void
crash_suspects_check(const struct crash_suspects *suspects,
    const uint64_t *segment_ids, uint32_t count, uint64_t lot, uint64_t now_ms,
    struct suspect_verdict *verdict)
{
	memset(verdict, 0, sizeof(*verdict));
	if (g_hash_table_size(suspects->suspects) == 0)
		return;
	for (uint32_t i = 0; i < count; i++) {
		const struct suspect *suspect = find(suspects, segment_ids[i]);
		enum suspect_phase phase = suspect == NULL
		    ? SUSPECT_CLEARED
		    : suspect_phase(suspect, now_ms);
		uint64_t left_ms = TRIAL_DELAY_MS;

		if (phase != SUSPECT_BLOCKED && phase != SUSPECT_ON_TRIAL)
			continue;
		if (is_explained(suspects, suspect))
			continue;
		if (phase == SUSPECT_BLOCKED)
			left_ms = block_end_ms(suspect) - now_ms;
		verdict->blocked |= phase == SUSPECT_BLOCKED;
		verdict->refuse |= !may_try(suspect, lot, now_ms);
		verdict->retry_after_ms = MAX(verdict->retry_after_ms,
		    (uint32_t)left_ms);
		/* the last one is in the fewest requests */
		verdict->trial_segment_id = suspect->record.segment_id;
	}
}

void
crash_suspects_start_trial(struct crash_suspects *suspects, uint64_t segment_id,
    uint64_t now_ms)
{
	struct suspect *suspect = find(suspects, segment_id);

	if (suspect != NULL)
		suspect->trial_ms = now_ms;
}

/* @return whether the record became different */
static bool
merge_records(struct crash_record *record, const struct crash_record *other)
{
	bool changed = false;

	if (other->epoch < record->epoch)
		return false;
	if (other->epoch > record->epoch) {
		*record = *other;
		return true;
	}
	for (uint32_t i = 0; i < other->crashes_count; i++)
		changed |= add_crash(record, other->crash_ids[i]);
	if (other->depth > record->depth) {
		record->depth = other->depth;
		changed = true;
	}
	if (other->failed_trials_count > record->failed_trials_count) {
		record->failed_trials_count = other->failed_trials_count;
		changed = true;
	}
	if (other->cleared && !record->cleared) {
		record->cleared = true;
		changed = true;
	}
	return changed;
}

void
crash_suspects_merge(struct crash_suspects *suspects,
    const struct crash_record *record, uint64_t now_ms)
{
	struct suspect *suspect = find(suspects, record->segment_id);
	uint64_t other_changed_ms = now_ms - MIN(record->age_ms, now_ms);

	if (now_ms > other_changed_ms + keep_ms(record))
		return;
	if (suspect == NULL) {
		suspect = find_or_add(suspects, record->segment_id);
		if (suspect == NULL)
			return;
	}
	if (!merge_records(&suspect->record, record))
		return;
	mark_changed(suspect, MAX(suspect->changed_ms, other_changed_ms));
	if (!suspect->record.cleared &&
	    begun_ms(suspects, record->segment_id) > other_changed_ms)
		clear(suspect, now_ms);
}

bool
crash_suspects_was_blocked(const struct suspect *suspect)
{
	return suspect->record.failed_trials_count > 0 ||
	    suspect->record.crashes_count >= BLOCKED_CRASHES_COUNT;
}

void
crash_suspects_announce_again(struct crash_suspects *suspects)
{
	suspects->refresh_due_ms = 0;
}

void
crash_suspects_collect(struct crash_suspects *suspects, uint64_t now_ms,
    GArray *records)
{
	bool refresh = now_ms >= suspects->refresh_due_ms;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_foreach_remove(suspects->suspects, suspect_is_old,
	    &now_ms);
	if (refresh)
		suspects->refresh_due_ms = now_ms + REFRESH_PERIOD_MS;
	g_hash_table_iter_init(&iter, suspects->suspects);
	while (records->len < CRASH_RECORDS_MAX_COUNT &&
	    g_hash_table_iter_next(&iter, NULL, &value)) {
		struct suspect *suspect = value;

		if (!suspect->to_announce &&
		    !(refresh && is_blocking(&suspect->record)))
			continue;
		if (suspect->own && !is_blocking(&suspect->record) &&
		    !suspect->announced)
			continue;
		suspect->to_announce = false;
		suspect->announced = true;
		suspect->record.age_ms = (uint32_t)MIN(now_ms -
			suspect->changed_ms,
		    UINT32_MAX);
		g_array_append_val(records, suspect->record);
	}
}
