/*
 * Measures how the control plane overhead of a daemon grows with the number of
 * daemons, the request rate and the size of the tables: a linear fit over
 * several sizes, evaluated at the target size. Unless the request rate is
 * swept, each daemon has the load of the target system: two requests per
 * second, of which one or two run at any time.
 */
#include <gsl/gsl_fit.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load_generator.h"
#include "testbed.h"

#define POINTS_COUNT 4u
#define SIZE_SWEEP_DAEMONS_COUNT 8u
#define ACTIVE_ACCOUNTS_COUNT 16u
#define REPLICAS_COUNT 4u
#define SLOTS_COUNT 48u
#define TOKEN_US 20000u
#define REQUEST_TOKENS 50u
#define REQUESTS_PER_S 2.0
#define WORKER_THREADS_COUNT 16u
#define WARM_UP_MS 2000u
#define DRAIN_TIMEOUT_MS 5000u
#define KIB_PER_MIB 1024.0
#define NAME_BYTES 96

/* Metrics of each point, for the pool owner and the other (entry) daemons. */
enum slope_metric {
	METRIC_ENTRY_BYTES,
	METRIC_ENTRY_CPU,
	METRIC_ENTRY_RESIDENT,
	METRIC_OWNER_BYTES,
	METRIC_OWNER_CPU,
	METRIC_OWNER_RESIDENT,
	METRIC_PLATFORM_CALLS,
	METRIC_COUNT
};

static const char *const metric_names[METRIC_COUNT] = {
	[METRIC_ENTRY_BYTES] = "entry_control_bytes_per_s",
	[METRIC_ENTRY_CPU] = "entry_control_cpu_pct",
	[METRIC_ENTRY_RESIDENT] = "entry_resident_mib",
	[METRIC_OWNER_BYTES] = "owner_control_bytes_per_s",
	[METRIC_OWNER_CPU] = "owner_control_cpu_pct",
	[METRIC_OWNER_RESIDENT] = "owner_resident_mib",
	[METRIC_PLATFORM_CALLS] = "platform_calls_per_s_of_all",
};

struct sweep {
	const char *name;
	uint32_t sizes[POINTS_COUNT];
	uint32_t target;
};

struct sweep_point {
	double values[METRIC_COUNT];
	uint64_t faulty_responses_count;
};

static void
set_rate(struct scenario *scenario, double requests_per_s)
{
	for (uint32_t i = 0; i < scenario->workloads_count; i++)
		scenario->workloads[i].requests_per_s = requests_per_s;
}

static void
set_scenario(struct scenario *scenario, uint32_t daemon_count)
{
	memset(scenario, 0, sizeof(*scenario));
	scenario->daemon_count = daemon_count;
	scenario->failure_domain_count = 4;
	scenario->replica_count = REPLICAS_COUNT;
	scenario->slots_per_replica = SLOTS_COUNT;
	scenario->token_us = TOKEN_US;
	scenario->estimate_tokens = REQUEST_TOKENS;
	scenario->request_max_tokens = 2 * REQUEST_TOKENS;
	scenario->account_count = ACTIVE_ACCOUNTS_COUNT;
	for (uint32_t i = 0; i < ACTIVE_ACCOUNTS_COUNT; i++) {
		g_snprintf(scenario->accounts[i].name, SCENARIO_NAME_BYTES,
		    "account-%u", i);
		scenario->accounts[i].weight = 1;
	}
	scenario->workloads_count = daemon_count;
	for (uint32_t i = 0; i < daemon_count; i++) {
		struct scenario_workload *workload = &scenario->workloads[i];
		g_strlcpy(workload->kind, "steady", SCENARIO_NAME_BYTES);
		workload->account = i % ACTIVE_ACCOUNTS_COUNT;
		workload->tokens_min = REQUEST_TOKENS;
		workload->tokens_max = REQUEST_TOKENS;
		workload->entry_daemons[0] = i;
		workload->entry_daemons_count = 1;
	}
	set_rate(scenario, REQUESTS_PER_S);
}

/* Adds the usage of one daemon to the metrics of its role. */
static void
add_daemon_usage(struct sweep_point *point, bool is_owner, uint32_t index,
    const struct testbed_usage *before, const struct testbed_usage *after,
    double elapsed_s)
{
	enum slope_metric first = is_owner ? METRIC_OWNER_BYTES
					   : METRIC_ENTRY_BYTES;

	point->values[first] += (double)(after->peer_bytes[index] -
				    before->peer_bytes[index]) /
	    elapsed_s;
	point->values[first + 1] += PERCENT / US_PER_S *
	    (double)(after->control_cpu_us[index] -
		before->control_cpu_us[index]) /
	    elapsed_s;
	point->values[first + 2] += (double)after->resident_kib[index] /
	    KIB_PER_MIB;
	point->values[METRIC_PLATFORM_CALLS] +=
	    (double)(after->platform_calls[index] -
		before->platform_calls[index]) /
	    elapsed_s;
}

static void
measure_point(struct testbed *testbed, const struct bench_options *options,
    struct sweep_point *point)
{
	struct testbed_usage *before = g_new0(struct testbed_usage, 1);
	struct testbed_usage *after = g_new0(struct testbed_usage, 1);
	struct load_generator *generator = g_new(struct load_generator, 1);
	double elapsed_s;
	int owner;

	memset(point, 0, sizeof(*point));
	load_generator_init(generator, testbed, options->seed);
	load_generator_warm_up(generator, WARM_UP_MS);
	testbed_read_usage(testbed, before);
	load_generator_run(generator, options->duration_s * MS_PER_S, NULL,
	    NULL);
	testbed_read_usage(testbed, after);
	elapsed_s = (double)(after->measured_at_us - before->measured_at_us) /
	    US_PER_S;
	owner = testbed_pool_owner(testbed);
	load_generator_drain(generator, DRAIN_TIMEOUT_MS);
	point->faulty_responses_count = generator->counts.lost +
	    generator->counts.misdelivered + generator->counts.out_of_order;
	for (uint32_t i = 0; i < testbed->daemon_count; i++) {
		if (!before->measured[i] || !after->measured[i])
			bench_fatal("cannot read the metrics of daemon %u", i);
		add_daemon_usage(point, (int)i == owner, i, before, after,
		    elapsed_s);
	}
	for (int i = METRIC_ENTRY_BYTES; i <= METRIC_ENTRY_RESIDENT; i++)
		point->values[i] /= testbed->daemon_count - (owner >= 0);
	if (options->duration_s < BENCH_WATCH_PERIOD_S)
		point->values[METRIC_PLATFORM_CALLS] = NAN;
	if (owner < 0)
		for (int i = METRIC_OWNER_BYTES; i <= METRIC_OWNER_RESIDENT;
		     i++)
			point->values[i] = NAN;
	load_generator_finish(generator);
	g_free(generator);
	g_free(before);
	g_free(after);
}

static void
print_point(const struct sweep *sweep, uint32_t size,
    const struct sweep_point *point)
{
	char prefix[NAME_BYTES];

	g_snprintf(prefix, sizeof(prefix), "%s.%u.", sweep->name, size);
	for (int i = 0; i < METRIC_COUNT; i++) {
		if (isnan(point->values[i]))
			bench_print_not_measured(prefix, metric_names[i],
			    i == METRIC_PLATFORM_CALLS
				? "window_shorter_than_a_watch"
				: "no_daemon_says_that_it_owns_the_pool");
		else
			bench_print(prefix, metric_names[i], point->values[i]);
	}
}

static void
print_fit(const struct sweep *sweep, enum slope_metric metric,
    const struct sweep_point *points)
{
	double x[POINTS_COUNT], y[POINTS_COUNT], slope, intercept;
	double cov00, cov01, cov11, sum_squares;
	char prefix[NAME_BYTES], target[NAME_BYTES];

	g_snprintf(prefix, sizeof(prefix), "%s.%s.", sweep->name,
	    metric_names[metric]);
	for (uint32_t i = 0; i < POINTS_COUNT; i++) {
		x[i] = sweep->sizes[i];
		y[i] = points[i].values[metric];
		if (isnan(y[i])) {
			bench_print_not_measured(prefix, "slope",
			    "a_point_misses");
			return;
		}
	}
	gsl_fit_linear(x, 1, y, 1, POINTS_COUNT, &intercept, &slope, &cov00,
	    &cov01, &cov11, &sum_squares);
	g_snprintf(target, sizeof(target), "at_%u", sweep->target);
	printf("%sslope=%.6f\n", prefix, slope);
	bench_print(prefix, "intercept", intercept);
	bench_print(prefix, target, intercept + slope * sweep->target);
}

static uint64_t
finish_sweep(const struct sweep *sweep, const struct sweep_point *points)
{
	uint64_t faulty_responses_count = 0;

	for (int i = 0; i < METRIC_COUNT; i++)
		print_fit(sweep, (enum slope_metric)i, points);
	for (uint32_t i = 0; i < POINTS_COUNT; i++)
		faulty_responses_count += points[i].faulty_responses_count;
	return faulty_responses_count;
}

static void
start_testbed(struct testbed *testbed, const struct bench_options *options,
    struct scenario *scenario, uint32_t daemon_count)
{
	struct testbed_config config = { .options = options,
		.scenario = scenario,
		.policy = "fleet",
		.extra_settings = "",
		.daemon_count = daemon_count,
		.worker_threads_count = WORKER_THREADS_COUNT };

	set_scenario(scenario, daemon_count);
	testbed_init(testbed, &config);
}

static uint64_t
sweep_daemons(const struct bench_options *options, struct testbed *testbed,
    struct scenario *scenario)
{
	static const struct sweep sweep = { "daemons", { 8, 16, 32, 64 }, 370 };
	struct sweep_point points[POINTS_COUNT];

	for (uint32_t i = 0; i < POINTS_COUNT; i++) {
		start_testbed(testbed, options, scenario, sweep.sizes[i]);
		measure_point(testbed, options, &points[i]);
		print_point(&sweep, sweep.sizes[i], &points[i]);
		testbed_finish(testbed);
	}
	return finish_sweep(&sweep, points);
}

static void
set_accounts_count(struct testbed *testbed, struct scenario *scenario,
    uint32_t size)
{
	(void)scenario;
	testbed_put_table(testbed, "routes",
	    testbed_routes_table(testbed, size - ACTIVE_ACCOUNTS_COUNT));
}

static void
set_replicas_count(struct testbed *testbed, struct scenario *scenario,
    uint32_t size)
{
	(void)scenario;
	testbed_put_table(testbed, "pools",
	    testbed_pools_table(testbed, 1, size - REPLICAS_COUNT));
}

/* The size is the total request rate of all daemons. */
static void
set_requests_rate(struct testbed *testbed, struct scenario *scenario,
    uint32_t size)
{
	set_rate(scenario, (double)size / testbed->daemon_count);
}

static void
set_pools_count(struct testbed *testbed, struct scenario *scenario,
    uint32_t size)
{
	(void)scenario;
	testbed_put_table(testbed, "pools",
	    testbed_pools_table(testbed, size - 1, size - 1));
}

/* Sweeps one size while the number of daemons stays the same. */
static uint64_t
sweep_size(const struct bench_options *options, struct testbed *testbed,
    struct scenario *scenario, const struct sweep *sweep,
    void (*set_size)(struct testbed *testbed, struct scenario *scenario,
	uint32_t size))
{
	struct sweep_point points[POINTS_COUNT];

	start_testbed(testbed, options, scenario, SIZE_SWEEP_DAEMONS_COUNT);
	for (uint32_t i = 0; i < POINTS_COUNT; i++) {
		set_size(testbed, scenario, sweep->sizes[i]);
		measure_point(testbed, options, &points[i]);
		print_point(sweep, sweep->sizes[i], &points[i]);
	}
	testbed_finish(testbed);
	return finish_sweep(sweep, points);
}

int
bench_slopes(const struct bench_options *options)
{
	static const struct sweep accounts = { "accounts",
		{ 16, 128, 320, 670 }, 670 };
	static const struct sweep replicas = { "replicas", { 8, 128, 320, 600 },
		600 };
	static const struct sweep requests = { "requests", { 8, 16, 32, 64 },
		150 };
	static const struct sweep pools = { "pools", { 1, 5, 13, 25 }, 25 };
	struct scenario *scenario = g_new0(struct scenario, 1);
	struct testbed *testbed = g_new0(struct testbed, 1);
	uint64_t faulty_responses_count;

	faulty_responses_count = sweep_daemons(options, testbed, scenario);
	faulty_responses_count += sweep_size(options, testbed, scenario,
	    &requests, set_requests_rate);
	faulty_responses_count += sweep_size(options, testbed, scenario,
	    &accounts, set_accounts_count);
	faulty_responses_count += sweep_size(options, testbed, scenario,
	    &replicas, set_replicas_count);
	faulty_responses_count += sweep_size(options, testbed, scenario, &pools,
	    set_pools_count);
	bench_print_count("", "faulty_answers", faulty_responses_count);
	g_free(testbed);
	g_free(scenario);
	return faulty_responses_count == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
