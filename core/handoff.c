#include "core/handoff.h"

/* Connections are passed on until so much more of the time is idle than when that
 * began. */
#define HYSTERESIS_PERCENT 15u
#define PASS_ALWAYS_PERCENT 100u
#define IDLE_AVERAGE_WEIGHT 3u
/* With less idle time than this, connections are turned away that would not be read
 * within this many windows. */
#define QUEUE_IDLE_PERCENT 15u
#define QUEUE_WINDOWS_TENTHS 15u
#define QUEUE_MIN_COUNT 8u
/* What a busy daemon handles in a window is followed at once if it is more, and slowly
 * if it is less: there may have been less to do. */
#define HANDLED_RISE_WEIGHT 2u
#define HANDLED_FALL_WEIGHT 16u
#define REQUEST_COST_INITIAL_US 10000u
#define REQUEST_COST_MIN_US 100u
#define COST_AVERAGE_WEIGHT 8u
#define US_PER_MS 1000u
/* This part of the time is left for the connections that are kept already, while
 * others are passed on. */
#define KEEP_RESERVE_PERCENT 40u
/* While more of the time is idle than is needed to take any connection, so many are
 * taken that it may fall this much below that. */
#define ACCEPT_RESERVE_PERCENT 20u
/* A peer that declined is asked again after this time, one that gave no answer
 * after the longer one, doubled with each further time. */
#define DECLINED_MS 100u
#define SILENT_MIN_MS 250u
#define SILENT_MAX_MS 4000u
/* A daemon that is idle for less than this notices answers too late to tell that
 * there are none. */
#define NOTICING_IDLE_PERCENT 15u

/** A peer that is not asked for a while. */
struct avoided_peer {
	uint64_t node_id;
	uint64_t until_ms;
	uint32_t silent_ms; /**< length of the last time after silence */
};

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
	handoff->handled_count = 0;
	handoff->queue_max_count = UINT32_MAX;
	handoff->avoided = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, g_free);
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

	if (pass_percent == PASS_ALWAYS_PERCENT ||
	    handoff->idle_percent < pass_percent)
		return true;
	return handoff->passing &&
	    (handoff->idle_percent < pass_percent + HYSTERESIS_PERCENT ||
		handoff->offered_count >
		    requests_in(handoff, window_us, 100, pass_percent));
}

static void
update_handled(struct handoff *handoff, const struct handoff_load *load)
{
	uint32_t count = load->requests_count + load->passed_count;

	if (count > handoff->handled_count)
		handoff->handled_count = average(handoff->handled_count, count,
		    HANDLED_RISE_WEIGHT);
	else if (load->idle_percent < QUEUE_IDLE_PERCENT)
		handoff->handled_count = average(handoff->handled_count, count,
		    HANDLED_FALL_WEIGHT);
}

/* What waits longer than some windows is answered too late for its caller. */
static void
bound_queue(struct handoff *handoff, const struct handoff_load *load)
{
	update_handled(handoff, load);
	handoff->queue_max_count = handoff->idle_percent < QUEUE_IDLE_PERCENT
	    ? MAX(handoff->handled_count * QUEUE_WINDOWS_TENTHS / 10,
		  QUEUE_MIN_COUNT)
	    : UINT32_MAX;
}

void
handoff_end_window(struct handoff *handoff, const struct handoff_load *load)
{
	uint64_t window_us = (uint64_t)load->window_ms * US_PER_MS;

	handoff->idle_percent = average(handoff->idle_percent,
	    load->idle_percent, IDLE_AVERAGE_WEIGHT);
	update_cost(handoff, window_us, load->idle_percent,
	    load->requests_count);
	handoff->passing = is_short_of_time(handoff, window_us);
	handoff->offered_count = 0;
	share_out(handoff, window_us);
	bound_queue(handoff, load);
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

enum handoff_choice
handoff_decide(struct handoff *handoff, uint32_t queue_count)
{
	handoff->offered_count++;
	if (queue_count >= handoff->queue_max_count)
		return HANDOFF_TURN_AWAY;
	return take(&handoff->keeps_left) ? HANDOFF_KEEP : HANDOFF_PASS;
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
	const struct avoided_peer *peer = g_hash_table_lookup(handoff->avoided,
	    &node_id);

	return peer != NULL && now_ms < peer->until_ms;
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

static struct avoided_peer *
get_avoided(struct handoff *handoff, uint64_t node_id)
{
	struct avoided_peer *peer = g_hash_table_lookup(handoff->avoided,
	    &node_id);

	if (peer != NULL)
		return peer;
	peer = g_new0(struct avoided_peer, 1);
	peer->node_id = node_id;
	g_hash_table_insert(handoff->avoided, &peer->node_id, peer);
	return peer;
}

void
handoff_record_answer(struct handoff *handoff, uint64_t node_id,
    enum handoff_answer answer, uint64_t now_ms)
{
	struct avoided_peer *peer;

	if (answer == HANDOFF_ACCEPTED) {
		g_hash_table_remove(handoff->avoided, &node_id);
		return;
	}
	peer = get_avoided(handoff, node_id);
	if (answer == HANDOFF_DECLINED ||
	    handoff->idle_percent < NOTICING_IDLE_PERCENT) {
		peer->until_ms = now_ms + DECLINED_MS;
		return;
	}
	peer->silent_ms = CLAMP(peer->silent_ms * 2, SILENT_MIN_MS,
	    SILENT_MAX_MS);
	peer->until_ms = now_ms + peer->silent_ms;
}
