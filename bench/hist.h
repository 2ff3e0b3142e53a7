/**
 * @file
 * Percentiles of durations by a histogram on a logarithmic scale.
 */
#ifndef TESTS_BENCH_HIST_H
#define TESTS_BENCH_HIST_H

#include <gsl/gsl_histogram.h>
#include <stdint.h>

struct hist {
	gsl_histogram *bins;
	uint64_t count;
};

void hist_init(struct hist *hist);
void hist_finish(struct hist *hist);
void hist_add_us(struct hist *hist, uint64_t duration_us);
/** @return the percentile in milliseconds, or -1 without a sample */
double hist_percentile_ms(const struct hist *hist, double percent);

#endif
