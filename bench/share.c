#include "share.h"

#include <math.h>
#include <string.h>

#define GAP_NONE (-1.0)

void
share_init(struct share *share, const uint32_t *weights, uint32_t account_count)
{
	memset(share, 0, sizeof(*share));
	share->account_count = account_count;
	share->weights = weights;
	share->service_tokens = g_new0(uint64_t, account_count);
	share->waiting_count = g_new0(uint32_t, account_count);
	share->was_idle = g_new0(bool, account_count);
	share->points = g_array_new(FALSE, TRUE, sizeof(struct share_point));
	memset(share->was_idle, true, account_count * sizeof(bool));
}

void
share_finish(struct share *share)
{
	g_free(share->service_tokens);
	g_free(share->waiting_count);
	g_free(share->was_idle);
	g_array_free(share->points, TRUE);
}

void
share_add_waiting(struct share *share, uint32_t account)
{
	share->waiting_count[account]++;
}

void
share_remove_waiting(struct share *share, uint32_t account)
{
	if (--share->waiting_count[account] == 0)
		share->was_idle[account] = true;
}

void
share_add_token(struct share *share, uint32_t account)
{
	share->service_tokens[account]++;
}

void
share_sample(struct share *share)
{
	for (uint32_t i = 0; i < share->account_count; i++) {
		struct share_point point = { share->service_tokens[i],
			!share->was_idle[i] };
		g_array_append_val(share->points, point);
		share->was_idle[i] = share->waiting_count[i] == 0;
	}
}

uint32_t
share_samples_count(const struct share *share)
{
	return share->points->len / share->account_count;
}

const struct share_point *
share_at(const struct share *share, uint32_t sample, uint32_t account)
{
	return &g_array_index(share->points, struct share_point,
	    sample * share->account_count + account);
}

static double
service_by_weight(const struct share *share, uint32_t sample, uint32_t account)
{
	return (double)share_at(share, sample, account)->service_tokens /
	    share->weights[account];
}

static double
pair_gap_tokens(const struct share *share, uint32_t a, uint32_t b)
{
	uint32_t count = share_samples_count(share);
	double since = 0, difference, gap = GAP_NONE;
	bool both = false;

	for (uint32_t i = 1; i < count; i++) {
		if (!share_at(share, i, a)->backlogged ||
		    !share_at(share, i, b)->backlogged) {
			both = false;
			continue;
		}
		if (!both)
			since = service_by_weight(share, i - 1, a) -
			    service_by_weight(share, i - 1, b);
		both = true;
		difference = service_by_weight(share, i, a) -
		    service_by_weight(share, i, b) - since;
		gap = fmax(gap, fabs(difference));
	}
	return gap;
}

double
share_gap_tokens(const struct share *share, uint32_t *first, uint32_t *second)
{
	double gap = GAP_NONE, pair;

	for (uint32_t a = 0; a < share->account_count; a++) {
		for (uint32_t b = a + 1; b < share->account_count; b++) {
			pair = pair_gap_tokens(share, a, b);
			if (pair <= gap)
				continue;
			gap = pair;
			*first = a;
			*second = b;
		}
	}
	return gap;
}

uint64_t
share_service_tokens(const struct share *share, uint32_t account)
{
	uint32_t last = share_samples_count(share) - 1;

	return share_at(share, last, account)->service_tokens -
	    share_at(share, 0, account)->service_tokens;
}

static bool
account_starved(const struct share *share, uint32_t account,
    uint32_t limit_count)
{
	uint32_t count = share_samples_count(share), run_count = 0;

	for (uint32_t i = 1; i < count; i++) {
		const struct share_point *point = share_at(share, i, account);
		uint64_t before = share_at(share, i - 1, account)
				      ->service_tokens;
		bool hungry = point->backlogged &&
		    point->service_tokens == before;
		run_count = hungry ? run_count + 1 : 0;
		if (run_count >= limit_count)
			return true;
	}
	return false;
}

uint32_t
share_starved_count(const struct share *share, uint64_t starved_us)
{
	uint32_t limit_count = (uint32_t)(starved_us / SHARE_SAMPLE_US);
	uint32_t starved_count = 0;

	for (uint32_t i = 0; i < share->account_count; i++)
		starved_count += account_starved(share, i, limit_count);
	return starved_count;
}
