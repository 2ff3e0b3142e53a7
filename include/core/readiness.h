/**
 * @file
 * Decides whether this daemon is ready for new connections. While it is not,
 * the platform sends them to other daemons. The connections of one caller all
 * go to the same daemon, so a flood follows that choice: it comes back to a
 * daemon that is too small for it as soon as that daemon is ready again.
 */
#ifndef CORE_READINESS_H
#define CORE_READINESS_H

#include <stdbool.h>
#include <stdint.h>

/** Length of a measurement window. */
#define READINESS_WINDOW_MS 500u

/** Load of one window. */
struct readiness_load {
	uint32_t idle_percent; /**< time in which the event loop was idle */
	uint32_t requests_count;
	uint32_t shed_count; /**< of these, refused to shed load */
	uint32_t busiest_permille; /**< part of the busiest account */
};

struct readiness {
	bool ready;
	uint64_t changed_ms; /**< when ready changed last */
	uint64_t overloaded_ms; /**< end of the last overloaded window */
	uint32_t recovery_ms; /**< how long it is not ready after that */
};

void readiness_init(struct readiness *readiness);

/** Ends a window. */
void readiness_end_window(struct readiness *readiness,
    const struct readiness_load *load, uint64_t now_ms);

/** @return time until the platform sends new connections to other daemons; 0 if
 * it does already or if this daemon is ready */
uint32_t readiness_diverts_in_ms(const struct readiness *readiness,
    uint64_t now_ms);

/** @return when a caller that this daemon refuses for its load may try again,
 * while it is not ready */
uint32_t readiness_retry_after_ms(const struct readiness *readiness,
    uint64_t request_hash, uint64_t now_ms);

#endif
