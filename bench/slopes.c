/*
 * What control costs a daemon as the fleet and its tables grow: measured at a
 * few sizes, fitted by a line, projected to the target size. The load of each
 * daemon is the target's: two requests a second, one to two of them running in
 * the pool at any time.
 */
#include <gsl/gsl_fit.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"
#include "rig.h"

#define POINTS_COUNT 4u
#define FEW_DAEMONS_COUNT 8u
#define ACTIVE_ACCOUNTS_COUNT 16u
#define REPLICAS_COUNT 4u
#define SLOTS_COUNT 48u
#define TOKEN_US 20000u
#define REQUEST_TOKENS 50u
#define REQUESTS_PER_S 2.0
#define WORKER_THREADS_COUNT 16u
#define WARM_UP_MS 2000u
#define DRAIN_LIMIT_MS 5000u
#define KIB_PER_MIB 1024.0
#define NAME_BYTES 96

/* What is measured at each point; owner is the daemon that owns the pool. */
enum slope_key {
	KEY_ENTRY_BYTES,
	KEY_ENTRY_CPU,
	KEY_ENTRY_RESIDENT,
	KEY_OWNER_BYTES,
	KEY_OWNER_CPU,
	KEY_OWNER_RESIDENT,
	KEY_PLATFORM_CALLS,
	KEY_COUNT
};

static const char *const key_names[KEY_COUNT] = {
	[KEY_ENTRY_BYTES] = "entry_control_bytes_per_s",
	[KEY_ENTRY_CPU] = "entry_control_cpu_pct",
	[KEY_ENTRY_RESIDENT] = "entry_resident_mib",
	[KEY_OWNER_BYTES] = "owner_control_bytes_per_s",
	[KEY_OWNER_CPU] = "owner_control_cpu_pct",
	[KEY_OWNER_RESIDENT] = "owner_resident_mib",
	[KEY_PLATFORM_CALLS] = "platform_calls_per_s_of_all",
};

struct sweep {
	const char *name;
	uint32_t sizes[POINTS_COUNT];
	uint32_t target;
};

struct slope_point {
	double values[KEY_COUNT];
	uint64_t faulty_count;
};

static void
set_rate(struct scenario *scenario, double requests_per_s)
{
	for (uint32_t i = 0; i < scenario->work_count; i++)
		scenario->works[i].requests_per_s = requests_per_s;
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
	scenario->work_count = daemon_count;
	for (uint32_t i = 0; i < daemon_count; i++) {
		struct scenario_work *work = &scenario->works[i];
		g_strlcpy(work->kind, "steady", SCENARIO_NAME_BYTES);
		work->account = i % ACTIVE_ACCOUNTS_COUNT;
		work->tokens_min = REQUEST_TOKENS;
		work->tokens_max = REQUEST_TOKENS;
		work->entries[0] = i;
		work->entry_count = 1;
	}
	set_rate(scenario, REQUESTS_PER_S);
}

/* Adds one daemon's share to the values of its role. */
static void
add_daemon(struct slope_point *point, bool is_owner, uint32_t index,
    const struct rig_usage *before, const struct rig_usage *after,
    double elapsed_s)
{
	enum slope_key first = is_owner ? KEY_OWNER_BYTES : KEY_ENTRY_BYTES;

	point->values[first] += (double)(after->peer_bytes[index] -
				    before->peer_bytes[index]) /
	    elapsed_s;
	point->values[first + 1] += PERCENT / US_PER_S *
	    (double)(after->control_cpu_us[index] -
		before->control_cpu_us[index]) /
	    elapsed_s;
	point->values[first + 2] += (double)after->resident_kib[index] /
	    KIB_PER_MIB;
	point->values[KEY_PLATFORM_CALLS] +=
	    (double)(after->platform_calls[index] -
		before->platform_calls[index]) /
	    elapsed_s;
}

static void
measure_point(struct rig *rig, const struct bench_options *options,
    struct slope_point *point)
{
	struct rig_usage *before = g_new0(struct rig_usage, 1);
	struct rig_usage *after = g_new0(struct rig_usage, 1);
	struct load *load = g_new(struct load, 1);
	double elapsed_s;
	int owner;

	memset(point, 0, sizeof(*point));
	load_init(load, rig, options->seed);
	load_warm_up(load, WARM_UP_MS);
	rig_read_usage(rig, before);
	load_run(load, options->duration_s * MS_PER_S, NULL, NULL);
	rig_read_usage(rig, after);
	elapsed_s = (double)(after->at_us - before->at_us) / US_PER_S;
	owner = rig_owner(rig);
	load_drain(load, DRAIN_LIMIT_MS);
	point->faulty_count = load->counts.lost + load->counts.crossed +
	    load->counts.disordered;
	for (uint32_t i = 0; i < rig->daemon_count; i++) {
		if (!before->known[i] || !after->known[i])
			bench_die("daemon %u gave no metrics", i);
		add_daemon(point, (int)i == owner, i, before, after, elapsed_s);
	}
	for (int i = KEY_ENTRY_BYTES; i <= KEY_ENTRY_RESIDENT; i++)
		point->values[i] /= rig->daemon_count - (owner >= 0);
	if (options->duration_s < BENCH_WATCH_S)
		point->values[KEY_PLATFORM_CALLS] = NAN;
	if (owner < 0)
		for (int i = KEY_OWNER_BYTES; i <= KEY_OWNER_RESIDENT; i++)
			point->values[i] = NAN;
	load_finish(load);
	g_free(load);
	g_free(before);
	g_free(after);
}

static void
print_point(const struct sweep *sweep, uint32_t size,
    const struct slope_point *point)
{
	char prefix[NAME_BYTES];

	g_snprintf(prefix, sizeof(prefix), "%s.%u.", sweep->name, size);
	for (int i = 0; i < KEY_COUNT; i++) {
		if (isnan(point->values[i]))
			bench_print_missing(prefix, key_names[i],
			    i == KEY_PLATFORM_CALLS
				? "window_shorter_than_a_watch"
				: "no_daemon_says_that_it_owns_the_pool");
		else
			bench_print(prefix, key_names[i], point->values[i]);
	}
}

static void
print_line(const struct sweep *sweep, enum slope_key key,
    const struct slope_point *points)
{
	double x[POINTS_COUNT], y[POINTS_COUNT], slope, intercept;
	double cov00, cov01, cov11, sum_squares;
	char prefix[NAME_BYTES], target[NAME_BYTES];

	g_snprintf(prefix, sizeof(prefix), "%s.%s.", sweep->name,
	    key_names[key]);
	for (uint32_t i = 0; i < POINTS_COUNT; i++) {
		x[i] = sweep->sizes[i];
		y[i] = points[i].values[key];
		if (isnan(y[i])) {
			bench_print_missing(prefix, "slope", "a_point_misses");
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
finish_sweep(const struct sweep *sweep, const struct slope_point *points)
{
	uint64_t faulty_count = 0;

	for (int i = 0; i < KEY_COUNT; i++)
		print_line(sweep, (enum slope_key)i, points);
	for (uint32_t i = 0; i < POINTS_COUNT; i++)
		faulty_count += points[i].faulty_count;
	return faulty_count;
}

static void
start_rig(struct rig *rig, const struct bench_options *options,
    struct scenario *scenario, uint32_t daemon_count)
{
	struct rig_config config = { .options = options,
		.scenario = scenario,
		.policy = "fleet",
		.extra_settings = "",
		.daemon_count = daemon_count,
		.worker_threads_count = WORKER_THREADS_COUNT };

	set_scenario(scenario, daemon_count);
	rig_init(rig, &config);
}

static uint64_t
sweep_daemons(const struct bench_options *options, struct rig *rig,
    struct scenario *scenario)
{
	static const struct sweep sweep = { "daemons", { 8, 16, 32, 64 }, 370 };
	struct slope_point points[POINTS_COUNT];

	for (uint32_t i = 0; i < POINTS_COUNT; i++) {
		start_rig(rig, options, scenario, sweep.sizes[i]);
		measure_point(rig, options, &points[i]);
		print_point(&sweep, sweep.sizes[i], &points[i]);
		rig_finish(rig);
	}
	return finish_sweep(&sweep, points);
}

static void
grow_accounts(struct rig *rig, struct scenario *scenario, uint32_t size)
{
	(void)scenario;
	rig_put_table(rig, "routes",
	    rig_routes_table(rig, size - ACTIVE_ACCOUNTS_COUNT));
}

static void
grow_replicas(struct rig *rig, struct scenario *scenario, uint32_t size)
{
	(void)scenario;
	rig_put_table(rig, "pools",
	    rig_pools_table(rig, 1, size - REPLICAS_COUNT));
}

/* The size is the rate of all daemons together. */
static void
grow_requests(struct rig *rig, struct scenario *scenario, uint32_t size)
{
	set_rate(scenario, (double)size / rig->daemon_count);
}

static void
grow_pools(struct rig *rig, struct scenario *scenario, uint32_t size)
{
	(void)scenario;
	rig_put_table(rig, "pools", rig_pools_table(rig, size - 1, size - 1));
}

/* Sweeps a table's size over one fleet of a few daemons. */
static uint64_t
sweep_table(const struct bench_options *options, struct rig *rig,
    struct scenario *scenario, const struct sweep *sweep,
    void (*grow)(struct rig *rig, struct scenario *scenario, uint32_t size))
{
	struct slope_point points[POINTS_COUNT];

	start_rig(rig, options, scenario, FEW_DAEMONS_COUNT);
	for (uint32_t i = 0; i < POINTS_COUNT; i++) {
		grow(rig, scenario, sweep->sizes[i]);
		measure_point(rig, options, &points[i]);
		print_point(sweep, sweep->sizes[i], &points[i]);
	}
	rig_finish(rig);
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
	struct rig *rig = g_new0(struct rig, 1);
	uint64_t faulty_count;

	faulty_count = sweep_daemons(options, rig, scenario);
	faulty_count += sweep_table(options, rig, scenario, &requests,
	    grow_requests);
	faulty_count += sweep_table(options, rig, scenario, &accounts,
	    grow_accounts);
	faulty_count += sweep_table(options, rig, scenario, &replicas,
	    grow_replicas);
	faulty_count += sweep_table(options, rig, scenario, &pools, grow_pools);
	bench_print_count("", "faulty_answers", faulty_count);
	g_free(rig);
	g_free(scenario);
	return faulty_count == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
