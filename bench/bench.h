/**
 * @file
 * Options, clock and result output shared by the experiments of the load tool.
 */
#ifndef BENCH_BENCH_H
#define BENCH_BENCH_H

#include <stdbool.h>
#include <stdint.h>

#define US_PER_MS 1000u
#define US_PER_S 1000000u
#define MS_PER_S 1000u
#define PERCENT 100.0
/* Longest wait of a platform watch; a shorter window may contain no call. */
#define BENCH_WATCH_PERIOD_S 10u

/** Command line options. */
struct bench_options {
	uint32_t duration_s; /**< length of each measurement window */
	uint32_t seed;
	const char *plot_dir; /**< directory for plots, or NULL */
	const char *work_dir; /**< directory for logs and settings files */
	const char *scenario_path;
};

struct bench_experiment {
	const char *name;
	/** @return exit status of the program */
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

/** Prints a result as a key=value line. */
void bench_print(const char *prefix, const char *key, double value);
void bench_print_count(const char *prefix, const char *key, uint64_t value);
/** Prints why a result could not be measured. */
void bench_print_not_measured(const char *prefix, const char *key,
    const char *reason);

/** Prints an error message and exits; the exit handlers kill all children. */
void bench_fatal(const char *format, ...)
    __attribute__((format(printf, 1, 2), noreturn));

#endif
