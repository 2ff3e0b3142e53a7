#include "core/load_shedder.h"

#define ALL_PERMILLE 1000u
/* The rejected part grows below the low mark of idle time and shrinks above the
 * high mark. The event loop needs some idle time to respond quickly. */
#define IDLE_LOW_PERCENT 10u
#define IDLE_HIGH_PERCENT 25u
#define STEP_UP_PERMILLE 150u
#define STEP_DOWN_PERMILLE 50u
#define REJECT_MAX_PERMILLE 950u
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

void
load_shedder_end_window(struct load_shedder *shedder, uint32_t idle_percent)
{
	decay(shedder);
	shedder->busy = idle_percent <= IDLE_HIGH_PERCENT;
	if (idle_percent < IDLE_LOW_PERCENT)
		shedder->reject_permille = MIN(shedder->reject_permille +
			STEP_UP_PERMILLE,
		    REJECT_MAX_PERMILLE);
	else if (idle_percent > IDLE_HIGH_PERCENT)
		shedder->reject_permille -= MIN(shedder->reject_permille,
		    STEP_DOWN_PERMILLE);
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
