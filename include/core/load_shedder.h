/**
 * @file
 * Sheds requests while this daemon's processor can't keep up: part of what the
 * busiest accounts send is refused before anything else is spent on it, so
 * that its callers come back at other daemons, and what is left is not late.
 */
#ifndef CORE_LOAD_SHEDDER_H
#define CORE_LOAD_SHEDDER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** To be called for as long a span each. */
#define LOAD_SHEDDER_WINDOW_MS 100u

/** State of one daemon; one thread at a time. */
struct load_shedder {
	GHashTable *
	    request_counts; /**< account_id to its decaying count of requests */
	uint64_t total_count; /**< decaying, of all accounts */
	uint32_t reject_permille; /**< of the busiest accounts' requests */
	bool busy; /**< there was little time to spare in the last span */
};

void load_shedder_init(struct load_shedder *shedder);
void load_shedder_finish(struct load_shedder *shedder);

/**
 * A span has ended.
 * @param idle_percent part of it in which there was nothing to do
 */
void load_shedder_end_window(struct load_shedder *shedder,
    uint32_t idle_percent);

/**
 * Counts a request of an account.
 * @return whether it is to be refused
 */
bool load_shedder_rejects(struct load_shedder *shedder, uint64_t account_id,
    uint64_t request_hash);

/**
 * Tells how often the events of running streams are passed on: more of them at
 * once while there is little time to spare.
 * @param delay_ms longest delay that an event may get
 */
uint32_t load_shedder_stream_period_ms(const struct load_shedder *shedder,
    uint32_t delay_ms);

#endif
