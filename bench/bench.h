/**
 * @file
 * What the experiments of the load tool share: options, time and results.
 */
#ifndef BENCH_BENCH_H
#define BENCH_BENCH_H

#include <stdbool.h>
#include <stdint.h>

#define US_PER_MS 1000u
#define US_PER_S 1000000u
#define MS_PER_S 1000u
#define PERCENT 100.0
/* A watch of the platform: shorter windows may see no call at all. */
#define BENCH_WATCH_PERIOD_S 10u

/** Options of the command line. */
struct bench_options {
	uint32_t duration_s; /**< length of each measured window */
	uint32_t seed;
	const char *plot_dir; /**< folder for plots, or NULL */
	const char *work_dir; /**< folder for logs and settings */
	const char *scenario_path; /**< file */
};

/** One experiment. @return exit status */
struct bench_experiment {
	const char *name;
	int (*run)(const struct bench_options *options);
};

int bench_fairness(const struct bench_options *options);
int bench_owner_loss(const struct bench_options *options);
int bench_relay(const struct bench_options *options);
int bench_slopes(const struct bench_options *options);
int bench_smoke(const struct bench_options *options);

/** Monotonic time in microseconds. */
uint64_t bench_now_us(void);
void bench_sleep_ms(uint32_t duration_ms);

/** Prints a measured figure as key=value. */
void bench_print(const char *prefix, const char *key, double value);
void bench_print_count(const char *prefix, const char *key, uint64_t value);
/** Prints why a figure is missing. */
void bench_print_not_measured(const char *prefix, const char *key,
    const char *reason);

/** Prints a message and ends the program with its children. */
void bench_fatal(const char *format, ...)
    __attribute__((format(printf, 1, 2), noreturn));

#endif
