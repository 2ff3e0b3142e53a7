/**
 * @file
 * Tells outages of the store from times in which it only fails this daemon.
 *
 * Entries that expire during an outage are written again soon after it, so one
 * that is missing then is kept for a while. While the store served other
 * daemons, a missing entry is gone.
 */
#ifndef CORE_STORE_OUTAGE_H
#define CORE_STORE_OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

/** Zero-initialised before use. All times are those of one clock. */
struct store_outage {
	/** When the store was last known to serve a daemon; 0: never. */
	uint64_t served_ms;
	/** The same before and after the last outage; 0: there was none. */
	uint64_t began_ms;
	uint64_t ended_ms;
	uint64_t failed_ms; /**< last failed call of this daemon; 0: none */
};

/**
 * Records that the store served this daemon or another one.
 * @return whether an outage has ended by that
 */
bool store_outage_record_served(struct store_outage *outage,
    uint64_t served_ms);

/** Records that a call of this daemon failed. */
void store_outage_record_failure(struct store_outage *outage,
    uint64_t failed_ms);

/** @return until when missing entries are kept; a time in the past if they are
 * gone at once */
uint64_t store_outage_keep_until_ms(const struct store_outage *outage);

#endif
