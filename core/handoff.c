#include "core/handoff.h"

/* Connections are passed on until so much more of the time is idle than when that
 * began. */
#define HYSTERESIS_PERCENT 15u
#define PASS_ALWAYS_PERCENT 100u
#define IDLE_AVERAGE_WEIGHT 3u
#define REQUEST_COST_INITIAL_US 10000u
#define REQUEST_COST_MIN_US 100u
#define COST_AVERAGE_WEIGHT 8u
#define US_PER_MS 1000u
/* This part of the time is left for the connections that are kept already, while
 * others are passed on. */
#define KEEP_RESERVE_PERCENT 10u
/* While more of the time is idle than is needed to take any connection, so many are
 * taken that it may fall this much below that. */
#define ACCEPT_RESERVE_PERCENT 20u
/* A peer that declined is asked again after this time, one that gave no answer
 * after the longer one. */
#define DECLINED_MS 100u
#define SILENT_MS 2000u

void
handoff_init(struct handoff *handoff, const struct handoff_config *config)
{
	handoff->config = *config;
	handoff->passing = false;
	handoff->idle_percent = 100;
	handoff->request_cost_us = REQUEST_COST_INITIAL_US;
	handoff->keeps_left = UINT32_MAX;
	handoff->accepts_left = 0;
	handoff->offered_count = 0;
	handoff->avoided = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    g_free, g_free);
}

void
handoff_finish(struct handoff *handoff)
{
	g_hash_table_destroy(handoff->avoided);
}

static uint32_t
average(uint32_t previous, uint32_t sample, uint32_t weight)
{
	return (
	    uint32_t)(((uint64_t)previous * (weight - 1) + sample) / weight);
}

static void
update_cost(struct handoff *handoff, uint64_t window_us, uint32_t idle_percent,
    uint32_t requests_count)
{
	uint64_t busy_us = window_us * (100 - idle_percent) / 100;

	if (requests_count == 0)
		return;
	handoff->request_cost_us = average(handoff->request_cost_us,
	    (uint32_t)MAX(busy_us / requests_count, REQUEST_COST_MIN_US),
	    COST_AVERAGE_WEIGHT);
}

/* Connections for which a part of the window suffices, if each brings one
 * request. */
static uint32_t
requests_in(const struct handoff *handoff, uint64_t window_us,
    uint32_t idle_percent, uint32_t reserve_percent)
{
	uint32_t spare_percent = idle_percent -
	    MIN(idle_percent, reserve_percent);

	return (uint32_t)(window_us * spare_percent / 100 /
	    handoff->request_cost_us);
}

/* Sets how many connections are kept and taken until the next window ends. */
static void
share_out(struct handoff *handoff, uint64_t window_us)
{
	uint32_t accept_percent = handoff->config.accept_idle_percent;
	uint32_t idle_percent = handoff->idle_percent;

	if (handoff->config.pass_idle_percent == PASS_ALWAYS_PERCENT)
		handoff->keeps_left = 0;
	else if (handoff->passing)
		handoff->keeps_left = requests_in(handoff, window_us,
		    idle_percent, KEEP_RESERVE_PERCENT);
	else
		handoff->keeps_left = UINT32_MAX;
	if (handoff->passing || idle_percent < accept_percent)
		handoff->accepts_left = 0;
	else
		handoff->accepts_left = 1 +
		    requests_in(handoff, window_us, idle_percent,
			accept_percent -
			    MIN(accept_percent, ACCEPT_RESERVE_PERCENT));
}

/* Once connections are passed on, idle time alone does not tell that all could be
 * kept. */
static bool
is_short_of_time(const struct handoff *handoff, uint64_t window_us)
{
	uint32_t pass_percent = handoff->config.pass_idle_percent;

	if (pass_percent == PASS_ALWAYS_PERCENT)
		return true;
	if (handoff->idle_percent < pass_percent)
		return true;
	return handoff->passing &&
	    (handoff->idle_percent < pass_percent + HYSTERESIS_PERCENT ||
		handoff->offered_count >
		    requests_in(handoff, window_us, 100, pass_percent));
}

void
handoff_end_window(struct handoff *handoff, uint32_t window_ms,
    uint32_t idle_percent, uint32_t requests_count)
{
	uint64_t window_us = (uint64_t)window_ms * US_PER_MS;

	handoff->idle_percent = average(handoff->idle_percent, idle_percent,
	    IDLE_AVERAGE_WEIGHT);
	update_cost(handoff, window_us, idle_percent, requests_count);
	handoff->passing = is_short_of_time(handoff, window_us);
	handoff->offered_count = 0;
	share_out(handoff, window_us);
}

static bool
take(uint32_t *left)
{
	if (*left == 0)
		return false;
	if (*left != UINT32_MAX)
		(*left)--;
	return true;
}

bool
handoff_keep(struct handoff *handoff)
{
	handoff->offered_count++;
	return take(&handoff->keeps_left);
}

bool
handoff_accept(struct handoff *handoff)
{
	return take(&handoff->accepts_left);
}

static bool
was_tried(const uint64_t *tried_ids, uint32_t tried_count, uint64_t node_id)
{
	for (uint32_t i = 0; i < tried_count; i++)
		if (tried_ids[i] == node_id)
			return true;
	return false;
}

static bool
is_avoided(const struct handoff *handoff, uint64_t node_id, uint64_t now_ms)
{
	const uint64_t *until_ms = g_hash_table_lookup(handoff->avoided,
	    &node_id);

	return until_ms != NULL && now_ms < *until_ms;
}

static uint32_t
weight_of(const struct handoff *handoff, const struct handoff_peer *peer,
    const uint64_t *tried_ids, uint32_t tried_count, uint64_t now_ms)
{
	return was_tried(tried_ids, tried_count, peer->node_id) ||
		is_avoided(handoff, peer->node_id, now_ms)
	    ? 0
	    : peer->weight;
}

guint
handoff_choose(const struct handoff *handoff, const struct handoff_peer *peers,
    guint count, const uint64_t *tried_ids, uint32_t tried_count, uint64_t lot,
    uint64_t now_ms)
{
	uint64_t total = 0, offset;

	for (guint i = 0; i < count; i++)
		total += weight_of(handoff, &peers[i], tried_ids, tried_count,
		    now_ms);
	if (total == 0 || tried_count == HANDOFF_TRIES_MAX_COUNT)
		return count;
	offset = lot % total;
	for (guint i = 0; i < count; i++) {
		uint32_t weight = weight_of(handoff, &peers[i], tried_ids,
		    tried_count, now_ms);

		if (offset < weight)
			return i;
		offset -= weight;
	}
	return count;
}

void
handoff_record_answer(struct handoff *handoff, uint64_t node_id,
    enum handoff_answer answer, uint64_t now_ms)
{
	uint64_t until_ms = now_ms +
	    (answer == HANDOFF_SILENT ? SILENT_MS : DECLINED_MS);

	if (answer == HANDOFF_ACCEPTED)
		g_hash_table_remove(handoff->avoided, &node_id);
	else
		g_hash_table_replace(handoff->avoided,
		    g_memdup2(&node_id, sizeof(node_id)),
		    g_memdup2(&until_ms, sizeof(until_ms)));
}
