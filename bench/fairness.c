/*
 * Compares the fair share policy ("fleet") with the baseline ("naive") under
 * the same load: service gap, starvation, utilisation, time to first token and
 * control plane overhead.
 */
#include <stdio.h>
#include <stdlib.h>

#include "plot.h"
#include "trial.h"

/* Results of one policy that the experiments evaluate. */
struct policy_result {
	struct load_counts counts;
	double gap_tokens; /* negative if not measured */
};

static uint64_t
count_faulty_responses(const struct load_counts *counts)
{
	return counts->lost + counts->misdelivered + counts->out_of_order;
}

static void
print_gap_ratio(const struct policy_result *fair,
    const struct policy_result *baseline)
{
	if (fair->gap_tokens < 0 || baseline->gap_tokens <= 0)
		bench_print_not_measured("", "gap_of_naive_pct",
		    "a_gap_misses");
	else
		bench_print("", "gap_of_naive_pct",
		    PERCENT * fair->gap_tokens / baseline->gap_tokens);
}

static void
run_policy(const struct bench_options *options, const struct scenario *scenario,
    const char *policy, const char *prefix, struct plot *plot,
    struct policy_result *result)
{
	uint32_t first, second;
	struct trial *trial = g_new0(struct trial, 1);

	trial_init(trial, options, scenario, policy, NULL);
	trial_run(trial);
	trial_print_service(trial, prefix);
	trial_print_control(trial, prefix);
	if (plot != NULL)
		plot_add(plot, policy, scenario, &trial->generator.tracker);
	result->counts = trial->generator.counts;
	result->gap_tokens =
	    service_tracker_gap_tokens(&trial->generator.tracker, &first,
		&second);
	trial_finish(trial);
	g_free(trial);
}

int
bench_fairness(const struct bench_options *options)
{
	struct scenario *scenario = g_new0(struct scenario, 1);
	struct plot plot,
	    *plot_output = options->plot_dir == NULL ? NULL : &plot;
	struct policy_result fair, baseline;

	scenario_read(scenario, options->scenario_path);
	printf("scenario=%s\n", scenario->name);
	if (plot_output != NULL)
		plot_init(&plot, 2, "Service of each account, by policy");
	bench_print_count("", "gap_bound_tokens",
	    trial_gap_bound_tokens(scenario, 0));
	run_policy(options, scenario, "fleet", "", plot_output, &fair);
	run_policy(options, scenario, "naive", "naive_", plot_output,
	    &baseline);
	print_gap_ratio(&fair, &baseline);
	if (plot_output != NULL)
		plot_write(&plot, options->plot_dir, "fairness.svg");
	g_free(scenario);
	return count_faulty_responses(&fair.counts) == 0 ? EXIT_SUCCESS
							 : EXIT_FAILURE;
}

/* Passes if responses arrived and none was lost, misdelivered or reordered. */
int
bench_smoke(const struct bench_options *options)
{
	struct scenario *scenario = g_new0(struct scenario, 1);
	struct policy_result result;

	scenario_read(scenario, options->scenario_path);
	run_policy(options, scenario, "fleet", "", NULL, &result);
	g_free(scenario);
	return result.counts.complete > 0 &&
		count_faulty_responses(&result.counts) == 0
	    ? EXIT_SUCCESS
	    : EXIT_FAILURE;
}
