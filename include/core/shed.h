/**
 * @file
 * Sheds requests while this daemon's processor can't keep up: part of what the
 * busiest accounts send is refused before anything else is spent on it, so
 * that its callers come back at other daemons, and what is left is not late.
 */
#ifndef CORE_SHED_H
#define CORE_SHED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** To be called for as long a span each. */
#define SHED_SPAN_MS 100u

/** State of one daemon; one thread at a time. */
struct shed {
	GHashTable *counts; /**< account_id to its decaying count of requests */
	uint64_t total_count; /**< decaying, of all accounts */
	uint32_t permille; /**< of the busiest accounts' requests */
	bool pressed; /**< there was little time to spare in the last span */
};

void shed_init(struct shed *shed);
void shed_finish(struct shed *shed);

/**
 * A span has ended.
 * @param idle_percent part of it in which there was nothing to do
 */
void shed_tick(struct shed *shed, uint32_t idle_percent);

/**
 * Counts a request of an account.
 * @return whether it is to be refused
 */
bool shed_take(struct shed *shed, uint64_t account_id, uint64_t request_hash);

/**
 * Tells how often the events of running streams are passed on: more of them at
 * once while there is little time to spare.
 * @param delay_ms longest delay that an event may get
 */
uint32_t shed_stream_period_ms(const struct shed *shed, uint32_t delay_ms);

#endif
