#include "core/readiness.h"

#include <glib.h>
#include <string.h>

/* An event loop that is idle for less than this is overloaded. */
#define IDLE_MIN_PERCENT 10u
/* So is a daemon that sheds more than this part of its requests, if most of
 * them are of one account. */
#define SHED_MAX_PERCENT 25u
#define FLOOD_MIN_PERMILLE 500u
#define RECOVERY_MIN_MS 3000u
#define RECOVERY_MAX_MS 12000u
/* A daemon that is overloaded again sooner than this after it became ready is
 * not ready for twice as long. */
#define STABLE_MS 10000u
/* The platform probes once a second and diverts new connections after two
 * failures. */
#define DIVERT_MS 2000u
/* Spreads callers that return after that. */
#define DIVERTED_SPREAD_MS 1000u
/* Once new connections go to others, a retry reaches one of them. */
#define RETRY_MIN_MS 20u
#define RETRY_SPREAD_MS 40u

void
readiness_init(struct readiness *readiness)
{
	memset(readiness, 0, sizeof(*readiness));
	readiness->ready = true;
	readiness->recovery_ms = RECOVERY_MIN_MS;
}

static bool
is_flooded(const struct readiness_load *load)
{
	return load->busiest_permille >= FLOOD_MIN_PERMILLE &&
	    load->shed_count * 100 > load->requests_count * SHED_MAX_PERCENT;
}

static void
become_unready(struct readiness *readiness, bool flooded, uint64_t now_ms)
{
	bool again = readiness->changed_ms > 0 &&
	    now_ms < readiness->changed_ms + STABLE_MS;

	readiness->recovery_ms = again && flooded
	    ? MIN(readiness->recovery_ms * 2, RECOVERY_MAX_MS)
	    : RECOVERY_MIN_MS;
	readiness->ready = false;
	readiness->changed_ms = now_ms;
}

void
readiness_end_window(struct readiness *readiness,
    const struct readiness_load *load, uint64_t now_ms)
{
	bool flooded = is_flooded(load);

	if (flooded || load->idle_percent < IDLE_MIN_PERCENT) {
		if (readiness->ready)
			become_unready(readiness, flooded, now_ms);
		readiness->overloaded_ms = now_ms;
	} else if (!readiness->ready &&
	    now_ms >= readiness->overloaded_ms + readiness->recovery_ms) {
		readiness->ready = true;
		readiness->changed_ms = now_ms;
	}
}

uint32_t
readiness_diverts_in_ms(const struct readiness *readiness, uint64_t now_ms)
{
	uint64_t diverted_ms = readiness->changed_ms + DIVERT_MS;

	return readiness->ready || diverted_ms <= now_ms
	    ? 0
	    : (uint32_t)(diverted_ms - now_ms);
}

uint32_t
readiness_retry_after_ms(const struct readiness *readiness,
    uint64_t request_hash, uint64_t now_ms)
{
	uint32_t diverts_in_ms = readiness_diverts_in_ms(readiness, now_ms);

	return diverts_in_ms > 0
	    ? diverts_in_ms + (uint32_t)(request_hash % DIVERTED_SPREAD_MS)
	    : RETRY_MIN_MS + (uint32_t)(request_hash % RETRY_SPREAD_MS);
}
