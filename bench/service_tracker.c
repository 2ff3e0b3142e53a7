#include "service_tracker.h"

#include <math.h>
#include <string.h>

#define GAP_UNKNOWN (-1.0)

void
service_tracker_init(struct service_tracker *tracker, const uint32_t *weights,
    uint32_t account_count)
{
	memset(tracker, 0, sizeof(*tracker));
	tracker->account_count = account_count;
	tracker->weights = weights;
	tracker->service_tokens = g_new0(uint64_t, account_count);
	tracker->waiting_count = g_new0(uint32_t, account_count);
	tracker->was_idle = g_new0(bool, account_count);
	tracker->samples = g_array_new(FALSE, TRUE,
	    sizeof(struct service_sample));
	memset(tracker->was_idle, true, account_count * sizeof(bool));
}

void
service_tracker_finish(struct service_tracker *tracker)
{
	g_free(tracker->service_tokens);
	g_free(tracker->waiting_count);
	g_free(tracker->was_idle);
	g_array_free(tracker->samples, TRUE);
}

void
service_tracker_add_waiting(struct service_tracker *tracker, uint32_t account)
{
	tracker->waiting_count[account]++;
}

void
service_tracker_remove_waiting(struct service_tracker *tracker,
    uint32_t account)
{
	if (--tracker->waiting_count[account] == 0)
		tracker->was_idle[account] = true;
}

void
service_tracker_add_token(struct service_tracker *tracker, uint32_t account)
{
	tracker->service_tokens[account]++;
}

void
service_tracker_sample(struct service_tracker *tracker)
{
	for (uint32_t i = 0; i < tracker->account_count; i++) {
		struct service_sample sample = { tracker->service_tokens[i],
			!tracker->was_idle[i] };
		g_array_append_val(tracker->samples, sample);
		tracker->was_idle[i] = tracker->waiting_count[i] == 0;
	}
}

uint32_t
service_tracker_samples_count(const struct service_tracker *tracker)
{
	return tracker->samples->len / tracker->account_count;
}

const struct service_sample *
service_tracker_at(const struct service_tracker *tracker, uint32_t sample,
    uint32_t account)
{
	return &g_array_index(tracker->samples, struct service_sample,
	    sample * tracker->account_count + account);
}

static double
weighted_service(const struct service_tracker *tracker, uint32_t sample,
    uint32_t account)
{
	return (double)service_tracker_at(tracker, sample, account)
		   ->service_tokens /
	    tracker->weights[account];
}

static double
pair_gap_tokens(const struct service_tracker *tracker, uint32_t a, uint32_t b)
{
	uint32_t count = service_tracker_samples_count(tracker);
	double start_gap = 0, difference, gap = GAP_UNKNOWN;
	bool both_backlogged = false;

	for (uint32_t i = 1; i < count; i++) {
		if (!service_tracker_at(tracker, i, a)->backlogged ||
		    !service_tracker_at(tracker, i, b)->backlogged) {
			both_backlogged = false;
			continue;
		}
		if (!both_backlogged)
			start_gap = weighted_service(tracker, i - 1, a) -
			    weighted_service(tracker, i - 1, b);
		both_backlogged = true;
		difference = weighted_service(tracker, i, a) -
		    weighted_service(tracker, i, b) - start_gap;
		gap = fmax(gap, fabs(difference));
	}
	return gap;
}

double
service_tracker_gap_tokens(const struct service_tracker *tracker,
    uint32_t *first, uint32_t *second)
{
	double gap = GAP_UNKNOWN, pair_gap;

	for (uint32_t a = 0; a < tracker->account_count; a++) {
		for (uint32_t b = a + 1; b < tracker->account_count; b++) {
			pair_gap = pair_gap_tokens(tracker, a, b);
			if (pair_gap <= gap)
				continue;
			gap = pair_gap;
			*first = a;
			*second = b;
		}
	}
	return gap;
}

uint64_t
service_tracker_received_tokens(const struct service_tracker *tracker,
    uint32_t account)
{
	uint32_t last = service_tracker_samples_count(tracker) - 1;

	return service_tracker_at(tracker, last, account)->service_tokens -
	    service_tracker_at(tracker, 0, account)->service_tokens;
}

static bool
account_is_starved(const struct service_tracker *tracker, uint32_t account,
    uint32_t limit_count)
{
	uint32_t count = service_tracker_samples_count(tracker),
		 starving_count = 0;

	for (uint32_t i = 1; i < count; i++) {
		const struct service_sample *sample =
		    service_tracker_at(tracker, i, account);
		uint64_t before = service_tracker_at(tracker, i - 1, account)
				      ->service_tokens;
		bool starving = sample->backlogged &&
		    sample->service_tokens == before;
		starving_count = starving ? starving_count + 1 : 0;
		if (starving_count >= limit_count)
			return true;
	}
	return false;
}

uint32_t
service_tracker_starved_count(const struct service_tracker *tracker,
    uint64_t starved_us)
{
	uint32_t limit_count = (uint32_t)(starved_us /
	    SERVICE_SAMPLE_PERIOD_US);
	uint32_t starved_count = 0;

	for (uint32_t i = 0; i < tracker->account_count; i++)
		starved_count += account_is_starved(tracker, i, limit_count);
	return starved_count;
}
