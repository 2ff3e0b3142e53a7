#include "core/dispatch_private.h"

/* Low, so that a few failed requests in a row eject an endpoint even while its
 * health checks pass. */
#define FAILING_AVERAGE_WEIGHT 6u
#define FAILURE_SAMPLE_PERMILLE 1000u
#define EJECT_PERMILLE 350u
#define EJECT_RESULTS_MIN_COUNT 2u
#define EJECT_INITIAL_MS 700u
#define EJECT_MAX_MS 6000u

static void
eject(struct dispatch_endpoint *endpoint, uint64_t now_ms)
{
	endpoint->eject_ms = endpoint->eject_ms == 0
	    ? EJECT_INITIAL_MS
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

/* Halves the failure rate after a successful probe request, and reinstates the
 * endpoint once the rate is low enough. */
static enum dispatch_health_change
record_probe_success(struct dispatch_endpoint *endpoint)
{
	endpoint->probing = false;
	endpoint->failing_permille /= 2;
	if (endpoint->failing_permille >= EJECT_PERMILLE / 2)
		return HEALTH_UNCHANGED;
	endpoint->eject_ms = 0;
	return HEALTH_REINSTATED;
}

enum dispatch_health_change
dispatch_update_health(struct dispatch_endpoint *endpoint,
    enum dispatch_outcome outcome, uint64_t now_ms)
{
	bool failed = outcome == OUTCOME_FAILED || outcome == OUTCOME_INVALID ||
	    outcome == OUTCOME_UNREACHED || outcome == OUTCOME_BROKEN ||
	    outcome == OUTCOME_MOVED;

	if (outcome == OUTCOME_CANCELLED || outcome == OUTCOME_REFUSED ||
	    outcome == OUTCOME_UNUSED) {
		endpoint->probing = false;
		return HEALTH_UNCHANGED;
	}
	endpoint->results_count++;
	endpoint->failing_permille = (uint32_t)
	    dispatch_moving_average(endpoint->failing_permille,
		failed ? FAILURE_SAMPLE_PERMILLE : 0, FAILING_AVERAGE_WEIGHT);
	if (!failed)
		return endpoint->probing ? record_probe_success(endpoint)
					 : HEALTH_UNCHANGED;
	if (!endpoint->probing && !fails_too_often(endpoint, now_ms))
		return HEALTH_UNCHANGED;
	eject(endpoint, now_ms);
	return HEALTH_EJECTED;
}

bool
dispatch_is_usable(const struct dispatch_endpoint *endpoint, uint64_t now_ms)
{
	return now_ms >= endpoint->ejected_until_ms && !endpoint->probing;
}
