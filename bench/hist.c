#include "hist.h"

#include <math.h>

#include "bench.h"

#define BINS_COUNT 1200u
#define LOWEST_US 10.0
#define DECADES_COUNT 8.0

void
hist_init(struct hist *hist)
{
	double ranges[BINS_COUNT + 1];

	for (uint32_t i = 0; i <= BINS_COUNT; i++)
		ranges[i] = LOWEST_US * pow(10, DECADES_COUNT * i / BINS_COUNT);
	hist->bins = gsl_histogram_alloc(BINS_COUNT);
	hist->count = 0;
	gsl_histogram_set_ranges(hist->bins, ranges, BINS_COUNT + 1);
}

void
hist_finish(struct hist *hist)
{
	gsl_histogram_free(hist->bins);
	hist->bins = NULL;
}

void
hist_add_us(struct hist *hist, uint64_t duration_us)
{
	double lowest = LOWEST_US, value = (double)duration_us;
	double highest = gsl_histogram_max(hist->bins) * (1 - 1e-9);

	gsl_histogram_increment(hist->bins, fmin(fmax(value, lowest), highest));
	hist->count++;
}

double
hist_percentile_ms(const struct hist *hist, double percent)
{
	double wanted = percent / PERCENT * (double)hist->count, seen = 0;
	double lower, upper;

	if (hist->count == 0)
		return -1;
	for (size_t i = 0; i < BINS_COUNT; i++) {
		seen += gsl_histogram_get(hist->bins, i);
		if (seen < wanted || seen == 0)
			continue;
		gsl_histogram_get_range(hist->bins, i, &lower, &upper);
		return upper / US_PER_MS;
	}
	return -1;
}
