/*
 * Load and experiment tool: starts daemons and stand-ins on loopback, generates
 * load from a seed and prints the results as key=value lines.
 */
#include <argtable2.h>
#include <curl/curl.h>
#include <glib.h>
#include <gsl/gsl_errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bench.h"
#include "process.h"

#define DURATION_DEFAULT_S 30
#define SEED_DEFAULT 1
#define NS_PER_US 1000u
#define NS_PER_MS 1000000

static const struct bench_experiment experiments[] = {
	{ "fairness", bench_fairness },
	{ "owner-loss", bench_owner_loss },
	{ "relay", bench_relay },
	{ "slopes", bench_slopes },
	{ "smoke", bench_smoke },
};

uint64_t
bench_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * US_PER_S +
	    (uint64_t)now.tv_nsec / NS_PER_US;
}

void
bench_sleep_ms(uint32_t duration_ms)
{
	struct timespec duration = { duration_ms / MS_PER_S,
		(long)(duration_ms % MS_PER_S) * NS_PER_MS };

	nanosleep(&duration, NULL);
}

void
bench_print(const char *prefix, const char *key, double value)
{
	printf("%s%s=%.3f\n", prefix, key, value);
	fflush(stdout);
}

void
bench_print_count(const char *prefix, const char *key, uint64_t value)
{
	printf("%s%s=%" G_GUINT64_FORMAT "\n", prefix, key, (guint64)value);
	fflush(stdout);
}

void
bench_print_not_measured(const char *prefix, const char *key,
    const char *reason)
{
	printf("not_measured=%s%s reason=%s\n", prefix, key, reason);
	fflush(stdout);
}

void
bench_fatal(const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	vfprintf(stderr, format, arguments);
	va_end(arguments);
	fputc('\n', stderr);
	exit(EXIT_FAILURE);
}

static int
run_experiment(const char *name, const struct bench_options *options)
{
	for (size_t i = 0; i < G_N_ELEMENTS(experiments); i++) {
		if (strcmp(experiments[i].name, name) != 0)
			continue;
		printf("experiment=%s\nseed=%u\nseconds=%u\n", name,
		    options->seed, options->duration_s);
		return experiments[i].run(options);
	}
	fprintf(stderr, "unknown experiment %s; available:", name);
	for (size_t i = 0; i < G_N_ELEMENTS(experiments); i++)
		fprintf(stderr, " %s", experiments[i].name);
	fputc('\n', stderr);
	return EXIT_FAILURE;
}

int
main(int argc, char **argv)
{
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "experiment");
	struct arg_int *seconds = arg_int0(NULL, "seconds", "N",
	    "length of a measurement window in seconds");
	struct arg_int *seed = arg_int0(NULL, "seed", "S", "seed of the load");
	struct arg_str *out = arg_str0(NULL, "out", "FOLDER",
	    "directory for plots");
	struct arg_str *work = arg_str1(NULL, "work", "FOLDER",
	    "directory for logs and settings files");
	struct arg_str *scenario = arg_str1(NULL, "scenario", "FILE",
	    "scenario file");
	struct arg_end *end = arg_end(8);
	void *table[] = { name, seconds, seed, out, work, scenario, end };
	struct bench_options options;
	int status;

	seconds->ival[0] = DURATION_DEFAULT_S;
	seed->ival[0] = SEED_DEFAULT;
	if (arg_parse(argc, argv, table) > 0 || seconds->ival[0] < 1) {
		arg_print_errors(stderr, end, argv[0]);
		return EXIT_FAILURE;
	}
	options.duration_s = (uint32_t)seconds->ival[0];
	options.seed = (uint32_t)seed->ival[0];
	options.plot_dir = out->count > 0 ? out->sval[0] : NULL;
	options.work_dir = work->sval[0];
	options.scenario_path = scenario->sval[0];
	curl_global_init(CURL_GLOBAL_DEFAULT);
	gsl_set_error_handler_off();
	process_init();
	status = run_experiment(name->sval[0], &options);
	process_finish();
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
