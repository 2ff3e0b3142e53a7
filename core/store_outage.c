#include "core/store_outage.h"

#include "core/store_restore.h"

/* An entry expires after some missed heartbeats, so not in a shorter time. */
#define OUTAGE_MIN_MS 2000u

bool
store_outage_record_served(struct store_outage *outage, uint64_t served_ms)
{
	uint64_t previous_ms = outage->served_ms;

	if (served_ms <= previous_ms)
		return false;
	outage->served_ms = served_ms;
	if (previous_ms == 0 || served_ms - previous_ms < OUTAGE_MIN_MS)
		return false;
	outage->began_ms = previous_ms;
	outage->ended_ms = served_ms;
	return true;
}

void
store_outage_record_failure(struct store_outage *outage, uint64_t failed_ms)
{
	outage->failed_ms = failed_ms;
}

uint64_t
store_outage_keep_until_ms(const struct store_outage *outage)
{
	if (outage->ended_ms == 0 || outage->failed_ms <= outage->began_ms)
		return 0;
	return outage->ended_ms + STORE_REWRITE_MS;
}
