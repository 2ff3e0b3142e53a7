/**
 * @file
 * What endpoints say of themselves to this daemon: that they leave, or that they
 * want no requests from it for some time.
 *
 * A notice belongs to one process of an endpoint. It is kept apart from the list
 * of endpoints, so that an entry which lapses and comes back does not undo it.
 */
#ifndef CORE_ENDPOINT_NOTICE_H
#define CORE_ENDPOINT_NOTICE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Longest pause that an endpoint can ask for. */
#define ENDPOINT_PAUSE_MAX_MS 600000u

/** What a response says of its endpoint. */
struct endpoint_statement {
	bool leaving; /**< the endpoint takes no new requests */
	uint32_t
	    pause_ms; /**< it wants none for this long; 0: it doesn't say */
};

/** What is known of one endpoint. */
struct endpoint_notice {
	uint64_t endpoint_id;
	uint64_t process_start_ms; /**< of the process that said it */
	uint64_t heard_ms;
	uint64_t paused_until_ms;
	bool leaving;
};

struct endpoint_notices {
	GHashTable *notices; /**< endpoint_id to struct endpoint_notice */
};

void endpoint_notices_init(struct endpoint_notices *notices);
void endpoint_notices_finish(struct endpoint_notices *notices);

/**
 * Records what an endpoint said.
 * @return whether it is news
 */
bool endpoint_notices_record(struct endpoint_notices *notices,
    uint64_t endpoint_id, uint64_t process_start_ms,
    const struct endpoint_statement *statement, uint64_t now_ms);

/** @return whether a process of an endpoint has said that it leaves */
bool endpoint_notices_leaving(const struct endpoint_notices *notices,
    uint64_t endpoint_id, uint64_t process_start_ms);

/** @return time until the process takes requests from this daemon; 0: now */
uint64_t endpoint_notices_wait_ms(const struct endpoint_notices *notices,
    uint64_t endpoint_id, uint64_t process_start_ms, uint64_t now_ms);

#endif
