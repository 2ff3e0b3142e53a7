#include "trial.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "core/fair.h"

#define DRAIN_TIMEOUT_MS 30000u
#define STARVED_US (5u * US_PER_S)
#define WORKER_THREADS_COUNT 400u
#define FIRST_TOKEN_PERCENT 95.0
#define KIB_PER_MIB 1024.0
#define FAULT_WINDOW_DIVISOR 3u

uint64_t
trial_gap_bound_tokens(const struct scenario *scenario,
    uint32_t owner_changes_count)
{
	struct fair_gap gap = { .slots_count = scenario->replica_count *
		    (scenario->slots_per_replica +
			scenario->extra_slots_per_replica),
		.request_max_tokens = scenario->request_max_tokens,
		.weight_min = UINT32_MAX,
		.owner_changes_count = owner_changes_count };

	for (uint32_t i = 0; i < scenario->account_count; i++)
		gap.weight_min = MIN(gap.weight_min,
		    scenario->accounts[i].weight);
	return fair_gap_bound_tokens(&gap);
}

void
trial_init(struct trial *trial, const struct bench_options *options,
    const struct scenario *scenario, const char *policy,
    const struct trial_fault *fault)
{
	struct testbed_config config = { .options = options,
		.scenario = scenario,
		.policy = policy,
		.extra_settings = fault == NULL ? "" : fault->extra_settings,
		.daemon_count = scenario->daemon_count,
		.worker_threads_count = WORKER_THREADS_COUNT };

	memset(trial, 0, sizeof(*trial));
	trial->options = options;
	trial->scenario = scenario;
	trial->fault = fault;
	trial->owner = -1;
	testbed_init(&trial->testbed, &config);
	load_generator_init(&trial->generator, &trial->testbed, options->seed);
}

static void
inject_fault(struct trial *trial)
{
	trial->owner = testbed_pool_owner(&trial->testbed);
	trial->fault_us = bench_now_us();
	if (trial->owner < 0)
		trial->not_measured_reason =
		    "no_daemon_says_that_it_owns_the_pool";
	else if (!trial->fault->inject(trial) &&
	    trial->not_measured_reason == NULL)
		trial->not_measured_reason = "the_fault_could_not_be_caused";
}

static void
on_sample(void *context, uint64_t elapsed_us)
{
	struct trial *trial = context;
	uint64_t window_us = (uint64_t)trial->options->duration_s * US_PER_S;

	if (trial->fault == NULL || trial->not_measured_reason != NULL)
		return;
	if (trial->fault_us == 0) {
		if (elapsed_us >= window_us / FAULT_WINDOW_DIVISOR)
			inject_fault(trial);
		return;
	}
	if (trial->fault->remove == NULL || trial->fault_removed ||
	    bench_now_us() < trial->fault_us +
		    (uint64_t)trial->fault->remove_after_ms * US_PER_MS)
		return;
	trial->fault->remove(trial);
	trial->fault_removed = true;
}

void
trial_run(struct trial *trial)
{
	load_generator_warm_up(&trial->generator, trial->scenario->warm_up_ms);
	slot_sampler_start(&trial->sampler, &trial->testbed);
	testbed_read_usage(&trial->testbed, &trial->usage_before);
	trial->window_start_us = bench_now_us();
	load_generator_run(&trial->generator,
	    trial->options->duration_s * MS_PER_S, on_sample, trial);
	trial->window_end_us = bench_now_us();
	testbed_read_usage(&trial->testbed, &trial->usage_after);
	slot_sampler_stop(&trial->sampler);
	load_generator_drain(&trial->generator, DRAIN_TIMEOUT_MS);
}

void
trial_finish(struct trial *trial)
{
	load_generator_finish(&trial->generator);
	slot_sampler_finish(&trial->sampler);
	testbed_finish(&trial->testbed);
}

/*
 * Whether some account was backlogged at every sample. Otherwise slots may have
 * been idle for lack of requests, which says nothing about the policy.
 */
static bool
always_backlogged(const struct service_tracker *tracker)
{
	for (uint32_t i = 1; i < service_tracker_samples_count(tracker); i++) {
		bool waiting = false;
		for (uint32_t j = 0; j < tracker->account_count; j++)
			waiting = waiting ||
			    service_tracker_at(tracker, i, j)->backlogged;
		if (!waiting)
			return false;
	}
	return true;
}

/* A negative value means that it was not measured. */
static void
print_if_measured(const char *prefix, const char *key, double value,
    const char *reason)
{
	if (value < 0)
		bench_print_not_measured(prefix, key, reason);
	else
		bench_print(prefix, key, value);
}

static void
print_responses(const struct trial *trial, const char *prefix)
{
	const struct load_counts *counts = &trial->generator.counts;

	bench_print_count(prefix, "requests", counts->sent);
	bench_print_count(prefix, "whole_answers", counts->complete);
	bench_print_count(prefix, "lost_answers", counts->lost);
	bench_print_count(prefix, "crossed_answers", counts->misdelivered);
	bench_print_count(prefix, "disordered_answers", counts->out_of_order);
	bench_print_count(prefix, "refused_requests", counts->refused);
	bench_print_count(prefix, "cut_by_killed_daemon", counts->interrupted);
	bench_print_count(prefix, "unfinished_requests",
	    trial->generator.running_requests_count);
}

/* Prints the largest gap with its accounts, and the service of each account. */
static void
print_gap(const struct trial *trial, const char *prefix)
{
	const struct scenario_account *accounts = trial->scenario->accounts;
	const struct service_tracker *tracker = &trial->generator.tracker;
	uint32_t first = 0, second = 0;
	double gap_tokens = service_tracker_gap_tokens(tracker, &first,
	    &second);

	print_if_measured(prefix, "gap_tokens", gap_tokens,
	    "no_two_accounts_were_backlogged");
	if (gap_tokens >= 0)
		printf("%sgap_between=%s,%s\n", prefix, accounts[first].name,
		    accounts[second].name);
	for (uint32_t i = 0; i < tracker->account_count; i++)
		printf("%sservice_tokens.%s=%" G_GUINT64_FORMAT "\n", prefix,
		    accounts[i].name,
		    (guint64)service_tracker_received_tokens(tracker, i));
}

void
trial_print_service(const struct trial *trial, const char *prefix)
{
	const struct service_tracker *tracker = &trial->generator.tracker;
	double utilisation_pct = slot_sampler_utilisation_pct(&trial->sampler,
	    trial->window_start_us, trial->window_end_us);

	print_gap(trial, prefix);
	bench_print_count(prefix, "starved_accounts",
	    service_tracker_starved_count(tracker, STARVED_US));
	if (!always_backlogged(tracker))
		bench_print_not_measured(prefix, "utilisation_pct",
		    "work_did_not_wait_all_the_time");
	else
		print_if_measured(prefix, "utilisation_pct", utilisation_pct,
		    "no_sample_of_all_engines");
	print_if_measured(prefix, "quote_first_token_p50_ms",
	    histogram_percentile_ms(&trial->generator.first_token, 50),
	    "no_interactive_request");
	print_if_measured(prefix, "quote_first_token_p95_ms",
	    histogram_percentile_ms(&trial->generator.first_token,
		FIRST_TOKEN_PERCENT),
	    "no_interactive_request");
	bench_print_count(prefix, "quotes", trial->generator.first_token.count);
	print_responses(trial, prefix);
}

/* Prints the mean and largest resident memory of the daemons. */
static void
print_resident(const struct trial *trial, const char *prefix)
{
	const struct testbed_usage *usage = &trial->usage_after;
	uint64_t sum_kib = 0, largest_kib = 0, count = 0;

	for (uint32_t i = 0; i < trial->testbed.daemon_count; i++) {
		sum_kib += usage->resident_kib[i];
		largest_kib = MAX(largest_kib, usage->resident_kib[i]);
		count += usage->measured[i];
	}
	if (count == 0) {
		bench_print_not_measured(prefix, "resident_mib",
		    "no_daemon_answered");
		return;
	}
	bench_print(prefix, "resident_mib",
	    (double)sum_kib / (double)count / KIB_PER_MIB);
	bench_print(prefix, "resident_mib_largest",
	    (double)largest_kib / KIB_PER_MIB);
}

/* Prints the mean and largest rate of one counter of the daemons. */
static void
print_rate(const struct trial *trial, const char *prefix, const char *key,
    const uint64_t *before, const uint64_t *after, double factor)
{
	const struct testbed_usage *start = &trial->usage_before;
	const struct testbed_usage *end = &trial->usage_after;
	double elapsed_s = (double)(end->measured_at_us -
			       start->measured_at_us) /
	    US_PER_S;
	double sum = 0, largest = 0, rate;
	char *largest_key = g_strdup_printf("%s_largest", key);
	uint32_t count = 0;

	for (uint32_t i = 0; i < trial->testbed.daemon_count; i++) {
		if (!start->measured[i] || !end->measured[i])
			continue;
		rate = factor * (double)(after[i] - before[i]) / elapsed_s;
		sum += rate;
		largest = fmax(largest, rate);
		count++;
	}
	if (count == 0) {
		bench_print_not_measured(prefix, key, "no_daemon_answered");
	} else {
		bench_print(prefix, key, sum / count);
		bench_print(prefix, largest_key, largest);
	}
	g_free(largest_key);
}

void
trial_print_control(const struct trial *trial, const char *prefix)
{
	const struct testbed_usage *start = &trial->usage_before;
	const struct testbed_usage *end = &trial->usage_after;

	print_rate(trial, prefix, "control_bytes_per_s", start->peer_bytes,
	    end->peer_bytes, 1);
	print_rate(trial, prefix, "control_cpu_pct", start->control_cpu_us,
	    end->control_cpu_us, PERCENT / US_PER_S);
	print_resident(trial, prefix);
	if (trial->options->duration_s < BENCH_WATCH_PERIOD_S)
		bench_print_not_measured(prefix, "platform_calls_per_s",
		    "window_shorter_than_a_watch");
	else
		print_rate(trial, prefix, "platform_calls_per_s",
		    start->platform_calls, end->platform_calls, 1);
}
