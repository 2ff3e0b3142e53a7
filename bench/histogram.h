/**
 * @file
 * Histogram of durations with logarithmic bins, for percentiles.
 */
#ifndef BENCH_HISTOGRAM_H
#define BENCH_HISTOGRAM_H

#include <gsl/gsl_histogram.h>
#include <stdint.h>

struct histogram {
	gsl_histogram *bins;
	uint64_t count;
};

void histogram_init(struct histogram *histogram);
void histogram_finish(struct histogram *histogram);
void histogram_add_us(struct histogram *histogram, uint64_t duration_us);
/** @return upper edge of the percentile's bin, or -1 without samples */
double histogram_percentile_ms(const struct histogram *histogram,
    double percent);

#endif
