#include "core/shed.h"

#define ALL_PERMILLE 1000u
/* With less time to spare more is shed, with more of it less. The loop needs
 * some time to spare to be quick. */
#define IDLE_LOW_PERCENT 10u
#define IDLE_HIGH_PERCENT 25u
#define STEP_UP_PERMILLE 150u
#define STEP_DOWN_PERMILLE 50u
#define SHED_MAX_PERMILLE 950u
/* Counts halve in about seven spans. */
#define DECAY_PERCENT 90u
/* Parts of the delay that a stream may get: the rest is for the time that
 * passing on takes. */
#define PERIOD_PARTS 4u
#define PERIOD_PRESSED_PARTS 2u
/* A count in tenths of a request decays to nothing. */
#define COUNT_SCALE 10u

void
shed_init(struct shed *shed)
{
	shed->counts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    g_free, g_free);
	shed->total_count = 0;
	shed->permille = 0;
	shed->pressed = false;
}

void
shed_finish(struct shed *shed)
{
	g_hash_table_destroy(shed->counts);
}

static void
decay(struct shed *shed)
{
	GHashTableIter iter;
	gpointer value;

	shed->total_count = 0;
	g_hash_table_iter_init(&iter, shed->counts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		uint64_t *count = value;
		*count = *count * DECAY_PERCENT / 100;
		shed->total_count += *count;
		if (*count == 0)
			g_hash_table_iter_remove(&iter);
	}
}

void
shed_tick(struct shed *shed, uint32_t idle_percent)
{
	decay(shed);
	shed->pressed = idle_percent <= IDLE_HIGH_PERCENT;
	if (idle_percent < IDLE_LOW_PERCENT)
		shed->permille = MIN(shed->permille + STEP_UP_PERMILLE,
		    SHED_MAX_PERMILLE);
	else if (idle_percent > IDLE_HIGH_PERCENT)
		shed->permille -= MIN(shed->permille, STEP_DOWN_PERMILLE);
}

static uint64_t
count_request(struct shed *shed, uint64_t account_id)
{
	uint64_t *count = g_hash_table_lookup(shed->counts, &account_id);

	if (count == NULL) {
		count = g_new0(uint64_t, 1);
		g_hash_table_insert(shed->counts,
		    g_memdup2(&account_id, sizeof(account_id)), count);
	}
	*count += COUNT_SCALE;
	shed->total_count += COUNT_SCALE;
	return *count;
}

bool
shed_take(struct shed *shed, uint64_t account_id, uint64_t request_hash)
{
	uint64_t count = count_request(shed, account_id);

	/* an account within its even part is left alone */
	if (count * g_hash_table_size(shed->counts) < shed->total_count)
		return false;
	return request_hash % ALL_PERMILLE < shed->permille;
}

uint32_t
shed_stream_period_ms(const struct shed *shed, uint32_t delay_ms)
{
	uint32_t parts = shed->pressed || shed->permille > 0
	    ? PERIOD_PRESSED_PARTS
	    : PERIOD_PARTS;

	return MAX(delay_ms / parts, 1u);
}
