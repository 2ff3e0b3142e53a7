/**
 * @file
 * Percentiles of durations by a histogram on a logarithmic scale.
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
/** @return the percentile in milliseconds, or -1 without a sample */
double histogram_percentile_ms(const struct histogram *histogram,
    double percent);

#endif
