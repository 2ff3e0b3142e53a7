#include "core/domain_crossing.h"

#include <glib.h>

#define US_PER_MS 1000u
#define BYTES_PER_MB 1000000u
/* A new connection, and the request with its response. */
#define ROUND_TRIPS_COUNT 2u

uint64_t
domain_crossing_cost_ms(const struct crossing_settings *settings,
    uint32_t extra_us, uint64_t bytes)
{
	uint64_t delay_us = (uint64_t)extra_us * ROUND_TRIPS_COUNT;

	if (extra_us > (uint64_t)settings->delay_max_ms * US_PER_MS)
		return UINT64_MAX;
	return (delay_us + US_PER_MS - 1) / US_PER_MS +
	    bytes * settings->price_ms_per_mb / BYTES_PER_MB;
}

enum crossing_reason
domain_crossing_decide(const struct crossing_side *own,
    const struct crossing_side *other)
{
	if (!other->exists)
		return CROSSING_NONE;
	if (!own->exists)
		return CROSSING_ALONE;
	if (other->cost_ms == UINT64_MAX)
		return CROSSING_NONE;
	if (own->admitted != other->admitted)
		return own->admitted ? CROSSING_NONE : CROSSING_REFUSED;
	if (own->cost_ms <= other->cost_ms)
		return CROSSING_NONE;
	return other->uncached_tokens < own->uncached_tokens ? CROSSING_CACHED
							     : CROSSING_SOONER;
}

const char *
domain_crossing_reason_name(enum crossing_reason reason)
{
	static const char *const names[CROSSING_REASON_COUNT] = {
		[CROSSING_NONE] = "none",
		[CROSSING_PREFERRED] = "preferred",
		[CROSSING_SOONER] = "sooner",
		[CROSSING_CACHED] = "cached",
		[CROSSING_REFUSED] = "refused",
		[CROSSING_ALONE] = "alone",
	};

	return reason < CROSSING_REASON_COUNT ? names[reason] : "-";
}
