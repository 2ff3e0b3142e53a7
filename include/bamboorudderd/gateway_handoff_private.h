/**
 * @file
 * Types and functions shared by the source files of passed connections:
 * gateway_handoff.c finds a peer, gateway_handoff_relay.c copies bytes both ways,
 * gateway_handoff_exchange.c follows the requests and answers for silent peers.
 */
#ifndef BAMBOORUDDERD_GATEWAY_HANDOFF_PRIVATE_H
#define BAMBOORUDDERD_GATEWAY_HANDOFF_PRIVATE_H

#include "bamboorudderd/gateway_private.h"
#include "common/http_exchange.h"
#include "core/handoff_exchange.h"

enum handoff_end { END_CALLER, END_PEER, END_COUNT };

enum handoff_state {
	HANDOFF_CONNECTING,
	HANDOFF_ASKED, /**< waits for the peer's answer */
	HANDOFF_RELAYING
};

/** One side of a connection that is passed on. */
struct handoff_side {
	struct gw_source source;
	bool watched; /**< part of the event loop */
	bool ended; /**< sends no more */
	bool shut; /**< is sent no more */
	GByteArray *pending; /**< bytes for it that it has not taken */
};

/** A caller's connection whose bytes go to a peer and back. */
struct gw_handoff {
	LIST_ENTRY(gw_handoff) entries;
	struct gateway *gateway;
	struct gw_caller *caller; /**< for the account of memory */
	struct handoff_side sides[END_COUNT];
	enum handoff_state state;
	uint64_t tried_ids[HANDOFF_TRIES_MAX_COUNT];
	uint32_t tried_count;
	uint64_t asked_ms;
	uint64_t ended_ms[END_COUNT]; /**< 0: the side still sends */
	uint64_t moved_ms; /**< when a side last sent or took bytes */
	struct http_exchange exchange;
	struct wire_request *head; /**< of a request; NULL outside of one */
	char request_id[WIRE_ID_MAX_BYTES + 1];
	uint64_t begun_ms; /**< when the head of the request ended */
	uint64_t deadline_ms; /**< UINT64_MAX: its head has not ended */
	/** Requests that the caller has sent before it had the last response. */
	GByteArray *held;
	bool used; /**< the caller has sent something */
	bool cut; /**< a part of the request could not be sent to the peer */
	bool removed;
};

/** Waits for events of one side; gw_handoff_unwatch ends that. */
void gw_handoff_watch(struct gw_handoff *handoff, enum handoff_end end,
    uint32_t events);
void gw_handoff_unwatch(struct gw_handoff *handoff, enum handoff_end end);

/** Closes one side, which ends its events as well. */
void gw_handoff_close_side(struct gw_handoff *handoff, enum handoff_end end);

/** Closes one side by a reset. */
void gw_handoff_reset_side(struct gw_handoff *handoff, enum handoff_end end);

/** @return the peer that was asked last, or has taken the connection */
uint64_t gw_handoff_peer_id(const struct gw_handoff *handoff);

/** Closes both sides and frees what the connection holds. */
void gw_handoff_remove(struct gw_handoff *handoff);

/** Handles events of one side of a connection that a peer has taken. */
void gw_handoff_relay(struct gw_handoff *handoff, enum handoff_end end,
    uint32_t events);

/* gateway_handoff_exchange.c */

void gw_handoff_exchange_init(struct gw_handoff *handoff);
void gw_handoff_exchange_finish(struct gw_handoff *handoff);

/** @return what is known of the request in progress */
struct handoff_exchange gw_handoff_describe(const struct gw_handoff *handoff);

/** Answers for a peer that won't, and ends the caller's side; resets the connection
 * if the caller has a part of the response.
 * @param ending by handoff_exchange_end()
 * @param status of a request that may have run */
void gw_handoff_end_exchange(struct gw_handoff *handoff,
    enum handoff_ending ending, uint32_t status);

/** Gives up what the peer owes, if that is due. */
void gw_handoff_check_exchange(struct gw_handoff *handoff, uint64_t now_ms);

/* gateway_handoff_relay.c */

/** Resets the peer's side, so that the peer cancels what it does. */
void gw_handoff_drop_peer(struct gw_handoff *handoff);
/** Closes the connection if both sides have ended, and waits for events of the
 * sides otherwise. */
void gw_handoff_update(struct gw_handoff *handoff);

#endif
