#include "core/dispatch_private.h"

/* The results of a few requests in a row outweigh a good health check. */
#define HEALTH_WEIGHT 6u
#define FAILED_PERMILLE 1000u
#define EJECT_PERMILLE 350u
#define EJECT_RESULTS_MIN_COUNT 2u
#define EJECT_FIRST_MS 700u
#define EJECT_MAX_MS 6000u

static void
eject(struct dispatch_endpoint *endpoint, uint64_t now_ms)
{
	endpoint->eject_ms = endpoint->eject_ms == 0
	    ? EJECT_FIRST_MS
	    : MIN(endpoint->eject_ms * 2, EJECT_MAX_MS);
	endpoint->ejected_until_ms = now_ms + endpoint->eject_ms;
	endpoint->probing = false;
}

static bool
fails_too_often(const struct dispatch_endpoint *endpoint, uint64_t now_ms)
{
	return now_ms >= endpoint->ejected_until_ms &&
	    endpoint->results_count >= EJECT_RESULTS_MIN_COUNT &&
	    endpoint->failing_permille >= EJECT_PERMILLE;
}

/* A request that tried an ejected endpoint was answered. */
static enum dispatch_health
pass_probe(struct dispatch_endpoint *endpoint)
{
	endpoint->probing = false;
	endpoint->failing_permille /= 2;
	if (endpoint->failing_permille >= EJECT_PERMILLE / 2)
		return HEALTH_SAME;
	endpoint->eject_ms = 0;
	return HEALTH_BACK;
}

enum dispatch_health
dispatch_judge(struct dispatch_endpoint *endpoint,
    enum dispatch_outcome outcome, uint64_t now_ms)
{
	bool failed = outcome == OUTCOME_FAILED || outcome == OUTCOME_BROKEN ||
	    outcome == OUTCOME_MOVED;

	if (outcome == OUTCOME_CANCELLED || outcome == OUTCOME_REFUSED) {
		endpoint->probing = false;
		return HEALTH_SAME;
	}
	endpoint->results_count++;
	endpoint->failing_permille = (uint32_t)
	    dispatch_average(endpoint->failing_permille,
		failed ? FAILED_PERMILLE : 0, HEALTH_WEIGHT);
	if (!failed)
		return endpoint->probing ? pass_probe(endpoint) : HEALTH_SAME;
	if (!endpoint->probing && !fails_too_often(endpoint, now_ms))
		return HEALTH_SAME;
	eject(endpoint, now_ms);
	return HEALTH_EJECTED;
}

bool
dispatch_usable(const struct dispatch_endpoint *endpoint, uint64_t now_ms)
{
	return now_ms >= endpoint->ejected_until_ms && !endpoint->probing;
}
