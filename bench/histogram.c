#include "histogram.h"

#include <math.h>

#include "bench.h"

#define BINS_COUNT 1200u
#define MIN_US 10.0
#define DECADES_COUNT 8.0

void
histogram_init(struct histogram *histogram)
{
	double ranges[BINS_COUNT + 1];

	for (uint32_t i = 0; i <= BINS_COUNT; i++)
		ranges[i] = MIN_US * pow(10, DECADES_COUNT * i / BINS_COUNT);
	histogram->bins = gsl_histogram_alloc(BINS_COUNT);
	histogram->count = 0;
	gsl_histogram_set_ranges(histogram->bins, ranges, BINS_COUNT + 1);
}

void
histogram_finish(struct histogram *histogram)
{
	gsl_histogram_free(histogram->bins);
	histogram->bins = NULL;
}

void
histogram_add_us(struct histogram *histogram, uint64_t duration_us)
{
	double min_us = MIN_US, value = (double)duration_us;
	double max_us = gsl_histogram_max(histogram->bins) * (1 - 1e-9);

	gsl_histogram_increment(histogram->bins,
	    fmin(fmax(value, min_us), max_us));
	histogram->count++;
}

double
histogram_percentile_ms(const struct histogram *histogram, double percent)
{
	double target_count = percent / PERCENT * (double)histogram->count,
	       cumulative_count = 0;
	double lower, upper;

	if (histogram->count == 0)
		return -1;
	for (size_t i = 0; i < BINS_COUNT; i++) {
		cumulative_count += gsl_histogram_get(histogram->bins, i);
		if (cumulative_count < target_count || cumulative_count == 0)
			continue;
		gsl_histogram_get_range(histogram->bins, i, &lower, &upper);
		return upper / US_PER_MS;
	}
	return -1;
}
