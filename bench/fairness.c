/*
 * The same load under the fleet's policy and under the naive one: gap,
 * starvation, utilisation, first tokens and what control costs.
 */
#include <stdio.h>
#include <stdlib.h>

#include "plot.h"
#include "trial.h"

/* What is judged across policies. */
struct policy_result {
	struct load_counts counts;
	double gap_tokens; /* -1: not measured */
};

static uint64_t
faulty_count(const struct load_counts *counts)
{
	return counts->lost + counts->crossed + counts->disordered;
}

static void
print_ratio(const struct policy_result *fleet,
    const struct policy_result *naive)
{
	if (fleet->gap_tokens < 0 || naive->gap_tokens <= 0)
		bench_print_missing("", "gap_of_naive_pct", "a_gap_misses");
	else
		bench_print("", "gap_of_naive_pct",
		    PERCENT * fleet->gap_tokens / naive->gap_tokens);
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
		plot_add(plot, policy, scenario, &trial->load.share);
	result->counts = trial->load.counts;
	result->gap_tokens = share_gap_tokens(&trial->load.share, &first,
	    &second);
	trial_finish(trial);
	g_free(trial);
}

int
bench_fairness(const struct bench_options *options)
{
	struct scenario *scenario = g_new0(struct scenario, 1);
	struct plot plot, *drawn = options->out == NULL ? NULL : &plot;
	struct policy_result fleet, naive;

	scenario_read(scenario, options->scenario);
	printf("scenario=%s\n", scenario->name);
	if (drawn != NULL)
		plot_init(&plot, 2, "Service of each account, by policy");
	bench_print_count("", "gap_bound_tokens",
	    trial_gap_bound_tokens(scenario, 0));
	run_policy(options, scenario, "fleet", "", drawn, &fleet);
	run_policy(options, scenario, "naive", "naive_", drawn, &naive);
	print_ratio(&fleet, &naive);
	if (drawn != NULL)
		plot_write(&plot, options->out, "fairness.svg");
	g_free(scenario);
	return faulty_count(&fleet.counts) == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Verdict by counts: every answer whole, none lost or crossed. */
int
bench_smoke(const struct bench_options *options)
{
	struct scenario *scenario = g_new0(struct scenario, 1);
	struct policy_result result;

	scenario_read(scenario, options->scenario);
	run_policy(options, scenario, "fleet", "", NULL, &result);
	g_free(scenario);
	return result.counts.whole > 0 && faulty_count(&result.counts) == 0
	    ? EXIT_SUCCESS
	    : EXIT_FAILURE;
}
