#include "core/dispatch_private.h"

#define HEALTH_WEIGHT 6u
#define FAILED_PERMILLE 1000u
#define EJECT_PERMILLE 350u
#define EJECT_RESULTS_MIN_COUNT 2u
#define EJECT_FIRST_MS 700u
#define EJECT_MAX_MS 6000u

/* The results of a few requests in a row outweigh a good health check. */
static uint32_t
average(uint32_t before, uint32_t sample)
{
	return (before * (HEALTH_WEIGHT - 1) + sample) / HEALTH_WEIGHT;
}

static void
eject(struct dispatch_endpoint *endpoint, uint64_t now_ms)
{
	endpoint->eject_ms = endpoint->eject_ms == 0
	    ? EJECT_FIRST_MS
	    : MIN(endpoint->eject_ms * 2, EJECT_MAX_MS);
	endpoint->ejected_until_ms = now_ms + endpoint->eject_ms;
	endpoint->probing = false;
}

void
dispatch_judge(struct dispatch_endpoint *endpoint,
    enum dispatch_outcome outcome, uint64_t now_ms)
{
	bool failed = outcome == OUTCOME_FAILED || outcome == OUTCOME_BROKEN ||
	    outcome == OUTCOME_MOVED;

	if (outcome == OUTCOME_CANCELLED || outcome == OUTCOME_REFUSED) {
		endpoint->probing = false;
		return;
	}
	endpoint->results_count++;
	endpoint->failing_permille = average(endpoint->failing_permille,
	    failed ? FAILED_PERMILLE : 0);
	if (failed &&
	    (endpoint->probing ||
		(now_ms >= endpoint->ejected_until_ms &&
		    endpoint->results_count >= EJECT_RESULTS_MIN_COUNT &&
		    endpoint->failing_permille >= EJECT_PERMILLE)))
		eject(endpoint, now_ms);
	else if (!failed && endpoint->probing) {
		endpoint->probing = false;
		endpoint->failing_permille /= 2;
		if (endpoint->failing_permille < EJECT_PERMILLE / 2)
			endpoint->eject_ms = 0;
	}
}

bool
dispatch_usable(const struct dispatch_endpoint *endpoint, uint64_t now_ms)
{
	return now_ms >= endpoint->ejected_until_ms && !endpoint->probing;
}
