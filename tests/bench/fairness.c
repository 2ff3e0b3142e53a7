/*
 * The same load under the fleet's policy and under the naive one: gap,
 * starvation, utilisation, first tokens and what control costs.
 */
#include <stdio.h>
#include <stdlib.h>

#include "plot.h"
#include "trial.h"

static void
run_policy(const struct bench_options *options, const struct scenario *scenario,
    const char *policy, const char *prefix, struct plot *plot,
    struct load_counts *counts)
{
	struct trial *trial = g_new0(struct trial, 1);

	trial_init(trial, options, scenario, policy, NULL);
	trial_run(trial);
	trial_print_service(trial, prefix);
	trial_print_control(trial, prefix);
	if (plot != NULL)
		plot_add(plot, policy, scenario, &trial->load.share);
	*counts = trial->load.counts;
	trial_finish(trial);
	g_free(trial);
}

int
bench_fairness(const struct bench_options *options)
{
	struct scenario *scenario = g_new0(struct scenario, 1);
	struct plot plot, *drawn = options->out == NULL ? NULL : &plot;
	struct load_counts fleet, naive;

	scenario_read(scenario, options->scenario);
	printf("scenario=%s\n", scenario->name);
	if (drawn != NULL)
		plot_init(&plot, 2, "Service of each account, by policy");
	bench_print("", "gap_bound_tokens", trial_gap_bound_tokens(scenario));
	run_policy(options, scenario, "fleet", "", drawn, &fleet);
	run_policy(options, scenario, "naive", "naive_", drawn, &naive);
	if (drawn != NULL)
		plot_write(&plot, options->out, "fairness.svg");
	g_free(scenario);
	return fleet.lost + fleet.crossed + fleet.disordered == 0
	    ? EXIT_SUCCESS
	    : EXIT_FAILURE;
}

/* Verdict by counts: every answer whole, none lost or crossed. */
int
bench_smoke(const struct bench_options *options)
{
	struct scenario *scenario = g_new0(struct scenario, 1);
	struct load_counts counts;

	scenario_read(scenario, options->scenario);
	run_policy(options, scenario, "fleet", "", NULL, &counts);
	g_free(scenario);
	return counts.whole > 0 && counts.lost == 0 && counts.crossed == 0 &&
		counts.disordered == 0
	    ? EXIT_SUCCESS
	    : EXIT_FAILURE;
}
