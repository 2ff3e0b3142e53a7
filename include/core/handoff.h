/**
 * @file
 * Decides which new connections of callers a daemon passes to peers in its
 * failure domain, and which ones it takes from them.
 *
 * Load: all connections of a caller come to one daemon. A few callers that send
 * much use up the processor time of the small instances that they come to, while
 * the rest of the failure domain is idle. A busy daemon passes the bytes of new
 * connections to peers, which costs little beside serving their requests. The
 * peer that is asked decides by its own load, so that no view of it is stale.
 */
#ifndef CORE_HANDOFF_H
#define CORE_HANDOFF_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Peers that are asked to take one connection at most. */
#define HANDOFF_TRIES_MAX_COUNT 3u

struct handoff_config {
	/** Connections are passed on while less of the time is idle; 100:
	 * always. */
	uint32_t pass_idle_percent;
	/** Connections of peers are taken while more of the time is idle. */
	uint32_t accept_idle_percent;
};

/** A live peer in the same failure domain. */
struct handoff_peer {
	uint64_t node_id;
	uint32_t
	    weight; /**< it is asked so often beside the others; 1 or more */
};

/** What becomes of a new connection. */
enum handoff_choice {
	HANDOFF_KEEP,
	HANDOFF_PASS, /**< to a peer, or kept if none takes it */
	HANDOFF_TURN_AWAY /**< refused unread: it would wait too long */
};

/** How a peer answered. */
enum handoff_answer {
	HANDOFF_ACCEPTED,
	HANDOFF_DECLINED, /**< it is busy itself */
	HANDOFF_SILENT /**< it could not be reached, or did not answer in time */
};

struct handoff {
	struct handoff_config config;
	bool passing; /**< short of time: some connections are passed on */
	uint32_t idle_percent; /**< moving average */
	/** Time of the event loop that a request takes, moving average. */
	uint32_t request_cost_us;
	uint32_t offered_count; /**< new connections in this window */
	uint32_t keeps_left; /**< new connections that are not passed on */
	uint32_t accepts_left; /**< connections of peers in this window */
	/** Connections that are read or passed on in a window, moving average. */
	uint32_t handled_count;
	/** Connections that may wait to be read or passed on. */
	uint32_t queue_max_count;
	/** node_id to the time until which the peer is not asked. */
	GHashTable *avoided;
};

void handoff_init(struct handoff *handoff, const struct handoff_config *config);
void handoff_finish(struct handoff *handoff);

/** Load of one window. */
struct handoff_load {
	uint32_t window_ms;
	uint32_t idle_percent; /**< time that the event loop waited */
	uint32_t requests_count;
	uint32_t passed_count; /**< connections that peers took */
};

/** Ends a window in which the load was measured. */
void handoff_end_window(struct handoff *handoff,
    const struct handoff_load *load);

/**
 * Decides on a new connection of a caller.
 * @param queue_count connections that wait to be read or passed on
 */
enum handoff_choice handoff_decide(struct handoff *handoff,
    uint32_t queue_count);

/** @return whether a connection of a peer is taken; counts it if so */
bool handoff_accept(struct handoff *handoff);

/**
 * Chooses the peer to ask next for a connection.
 * @param tried_ids peers that were asked before
 * @param lot random number
 * @return its index, or count if there is none to be asked
 */
guint handoff_choose(const struct handoff *handoff,
    const struct handoff_peer *peers, guint count, const uint64_t *tried_ids,
    uint32_t tried_count, uint64_t lot, uint64_t now_ms);

/** Records how a peer answered. */
void handoff_record_answer(struct handoff *handoff, uint64_t node_id,
    enum handoff_answer answer, uint64_t now_ms);

#endif
