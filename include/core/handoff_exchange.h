/**
 * @file
 * Decides when a daemon gives up the request that it has passed to a peer, and what
 * its caller is told.
 *
 * A peer that is frozen or lost sends no end of its connection, and its kernel may
 * go on acknowledging what it is sent. The peer ends a request itself at its
 * deadline; what has no end shortly after that will get none.
 */
#ifndef CORE_HANDOFF_EXCHANGE_H
#define CORE_HANDOFF_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

/** Time that a peer has for its answer after the deadline of a request: it checks
 * deadlines every 50 ms, and its answer has to come here. */
#define HANDOFF_ANSWER_MARGIN_MS 200u

/** The request in progress on a connection that is passed on. */
struct handoff_exchange {
	bool in_progress; /**< the caller is owed a response, or its end */
	bool whole; /**< the peer was sent the end of the request */
	bool answering; /**< the caller was sent a part of the response */
	bool opaque; /**< requests and responses can't be told apart */
	bool
	    waits_for_caller; /**< to send the request, or to take the response */
	uint64_t deadline_ms; /**< UINT64_MAX: its head has not ended */
	uint64_t moved_ms; /**< when a side last sent or took bytes */
};

/** What the caller gets in place of the peer's response. */
enum handoff_ending {
	HANDOFF_END_NOTHING, /**< it is owed none */
	HANDOFF_END_NOT_RUN, /**< 503: the request was not passed on as a whole */
	HANDOFF_END_UNKNOWN, /**< 502 or 504: it may have run */
	HANDOFF_END_RESET /**< what it has must not look complete */
};

/** @return when the peer's silence ends the exchange; UINT64_MAX: not yet known */
uint64_t handoff_exchange_due_ms(const struct handoff_exchange *exchange);

/** @return what becomes of an exchange whose peer answers no more */
enum handoff_ending handoff_exchange_end(
    const struct handoff_exchange *exchange);

#endif
