#include "core/load_shedder.h"

#define ALL_PERMILLE 1000u
/* The accepted part of the requests is steered towards this idle time. The event
 * loop needs some to respond quickly. */
#define IDLE_TARGET_PERCENT 15u
/* The accepted part grows by a quarter in a window at most. */
#define GROWTH_MAX_PERCENT 125u
/* With less idle time than this, a daemon counts as busy. */
#define IDLE_BUSY_PERCENT 25u
#define REJECT_MAX_PERMILLE 950u
/* Callers retry almost at once while little is rejected, up to 1 s later while
 * most is. The spread keeps them from doing so in the same moment. */
#define RETRY_AFTER_MIN_MS 20u
#define RETRY_SPREAD_MS 40u
/* Halves the counts in about seven windows. */
#define DECAY_PERCENT 90u
/* Events of a stream are passed on once per permitted delay divided by this.
 * The rest of the delay is reserved for the time that passing them on takes. */
#define PERIOD_DIVISOR 4u
#define PERIOD_BUSY_DIVISOR 2u
/* Counts are in tenths of a request, so that integer decay takes several
 * windows to forget a single request. */
#define COUNT_SCALE 10u

void
load_shedder_init(struct load_shedder *shedder)
{
	shedder->request_counts = g_hash_table_new_full(g_int64_hash,
	    g_int64_equal, g_free, g_free);
	shedder->total_count = 0;
	shedder->reject_permille = 0;
	shedder->busy = false;
}

void
load_shedder_finish(struct load_shedder *shedder)
{
	g_hash_table_destroy(shedder->request_counts);
}

static void
decay(struct load_shedder *shedder)
{
	GHashTableIter iter;
	gpointer value;

	shedder->total_count = 0;
	g_hash_table_iter_init(&iter, shedder->request_counts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		uint64_t *count = value;
		*count = *count * DECAY_PERCENT / 100;
		shedder->total_count += *count;
		if (*count == 0)
			g_hash_table_iter_remove(&iter);
	}
}

/* Scales the accepted part by target over actual load, so that a little too much
 * load takes a little away. */
static uint32_t
accepted_permille(uint32_t previous_permille, uint32_t busy_percent)
{
	uint32_t scale_percent = (100 - IDLE_TARGET_PERCENT) * 100 /
	    MAX(busy_percent, 1u);
	/* rounded up, so that a small part can grow */
	uint32_t permille = (previous_permille *
				    MIN(scale_percent, GROWTH_MAX_PERCENT) +
				99) /
	    100;

	return CLAMP(permille, ALL_PERMILLE - REJECT_MAX_PERMILLE,
	    ALL_PERMILLE);
}

void
load_shedder_end_window(struct load_shedder *shedder, uint32_t idle_percent)
{
	decay(shedder);
	shedder->busy = idle_percent <= IDLE_BUSY_PERCENT;
	shedder->reject_permille = ALL_PERMILLE -
	    accepted_permille(ALL_PERMILLE - shedder->reject_permille,
		100 - idle_percent);
}

static uint64_t
count_request(struct load_shedder *shedder, uint64_t account_id)
{
	uint64_t *count = g_hash_table_lookup(shedder->request_counts,
	    &account_id);

	if (count == NULL) {
		count = g_new0(uint64_t, 1);
		g_hash_table_insert(shedder->request_counts,
		    g_memdup2(&account_id, sizeof(account_id)), count);
	}
	*count += COUNT_SCALE;
	shedder->total_count += COUNT_SCALE;
	return *count;
}

bool
load_shedder_rejects(struct load_shedder *shedder, uint64_t account_id,
    uint64_t request_hash)
{
	uint64_t count = count_request(shedder, account_id);

	/* accounts below an equal part of the requests are never rejected */
	if (count * g_hash_table_size(shedder->request_counts) <
	    shedder->total_count)
		return false;
	return request_hash % ALL_PERMILLE < shedder->reject_permille;
}

uint32_t
load_shedder_retry_after_ms(const struct load_shedder *shedder,
    uint64_t request_hash)
{
	uint32_t extra_ms = shedder->reject_permille / 2;

	return RETRY_AFTER_MIN_MS + extra_ms +
	    (uint32_t)(request_hash % (RETRY_SPREAD_MS + extra_ms));
}

uint64_t
load_shedder_busiest_account(const struct load_shedder *shedder,
    uint32_t *part_permille)
{
	uint64_t account_id = 0, most_count = 0;
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, shedder->request_counts);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const uint64_t *count = value;
		if (*count <= most_count)
			continue;
		most_count = *count;
		account_id = *(const uint64_t *)key;
	}
	*part_permille = (uint32_t)(most_count * ALL_PERMILLE /
	    MAX(shedder->total_count, 1));
	return account_id;
}

uint32_t
load_shedder_stream_period_ms(const struct load_shedder *shedder,
    uint32_t delay_ms)
{
	uint32_t divisor = shedder->busy || shedder->reject_permille > 0
	    ? PERIOD_BUSY_DIVISOR
	    : PERIOD_DIVISOR;

	return MAX(delay_ms / divisor, 1u);
}
