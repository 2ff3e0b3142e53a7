/**
 * @file
 * Sheds load while this daemon's processor is busy: part of the requests of the
 * busiest accounts is refused before any other work is done for them. Their
 * callers retry at other daemons, and the accepted requests are served in time.
 */
#ifndef CORE_LOAD_SHEDDER_H
#define CORE_LOAD_SHEDDER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Length of a measurement window. */
#define LOAD_SHEDDER_WINDOW_MS 100u

/** State of one daemon; not thread-safe. */
struct load_shedder {
	/** account_id to a decaying count in tenths of a request. */
	GHashTable *request_counts;
	uint64_t total_count; /**< decaying, of all accounts */
	/** Rejected part of the busiest accounts' requests. */
	uint32_t reject_permille;
	bool busy; /**< there was little idle time in the last window */
};

void load_shedder_init(struct load_shedder *shedder);
void load_shedder_finish(struct load_shedder *shedder);

/**
 * Ends a window and adjusts the rejected part of the requests.
 * @param idle_percent part of the window in which the event loop was idle
 */
void load_shedder_end_window(struct load_shedder *shedder,
    uint32_t idle_percent);

/**
 * Counts a request of an account.
 * @return whether the request is to be refused
 */
bool load_shedder_rejects(struct load_shedder *shedder, uint64_t account_id,
    uint64_t request_hash);

/** @return when the caller of a rejected request may try again */
uint32_t load_shedder_retry_after_ms(const struct load_shedder *shedder,
    uint64_t request_hash);

/**
 * Finds the account with the most requests at this daemon.
 * @param part_permille receives its part of all requests
 * @return its account_id, 0 if there is none
 */
uint64_t load_shedder_busiest_account(const struct load_shedder *shedder,
    uint32_t *part_permille);

/**
 * Computes how often the events of running streams are passed on: in larger
 * batches while the processor is busy.
 * @param delay_ms longest delay that an event may get
 */
uint32_t load_shedder_stream_period_ms(const struct load_shedder *shedder,
    uint32_t delay_ms);

#endif
