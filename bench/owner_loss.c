/*
 * Kills, pauses and disconnects the owner of the pool under full load, in one
 * trial each, and measures how long the slots take to fill up again.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "process.h"
#include "trial.h"

#define RECOVERED_UTILISATION_PCT 98.0
#define PAUSE_MS 5000u
#define OWNER_CHANGES_COUNT 2u

static bool
kill_owner(struct trial *trial)
{
	struct testbed_daemon *daemon = &trial->testbed.daemons[trial->owner];

	daemon->alive = false;
	process_signal(daemon->pid, SIGKILL);
	return true;
}

static bool
pause_owner(struct trial *trial)
{
	process_signal(trial->testbed.daemons[trial->owner].pid, SIGSTOP);
	return true;
}

static void
resume_owner(struct trial *trial)
{
	process_signal(trial->testbed.daemons[trial->owner].pid, SIGCONT);
}

static bool
disconnect_owner(struct trial *trial)
{
	return testbed_post(&trial->testbed, (uint32_t)trial->owner,
	    "/v1/test/cut?peers=*&platform=1");
}

static void
reconnect_owner(struct trial *trial)
{
	if (!testbed_post(&trial->testbed, (uint32_t)trial->owner,
		"/v1/test/heal"))
		trial->not_measured_reason = "the_cut_could_not_be_healed";
}

static const struct trial_fault faults[] = {
	{ "kill", "", kill_owner, NULL, 0 },
	{ "pause", "", pause_owner, resume_owner, PAUSE_MS },
	{ "cut", "test.hooks = true\n", disconnect_owner, reconnect_owner,
	    PAUSE_MS },
};

static void
print_recovery(const struct trial *trial, const char *prefix)
{
	int64_t recovery_ms = slot_sampler_recovery_ms(&trial->sampler,
	    trial->fault_us, RECOVERED_UTILISATION_PCT);

	if (recovery_ms < 0)
		bench_print_not_measured(prefix, "recovery_ms",
		    "slots_not_full_again_in_the_window");
	else
		bench_print_count(prefix, "recovery_ms", (uint64_t)recovery_ms);
}

static uint64_t
run_fault(const struct bench_options *options, const struct scenario *scenario,
    const struct trial_fault *fault)
{
	struct trial *trial = g_new0(struct trial, 1);
	char *prefix = g_strdup_printf("%s_", fault->name);
	uint64_t faulty_responses_count;

	trial_init(trial, options, scenario, "fleet", fault);
	trial_run(trial);
	if (trial->not_measured_reason != NULL) {
		bench_print_not_measured(prefix, "all",
		    trial->not_measured_reason);
	} else {
		print_recovery(trial, prefix);
		trial_print_service(trial, prefix);
	}
	faulty_responses_count = trial->generator.counts.lost +
	    trial->generator.counts.misdelivered +
	    trial->generator.counts.out_of_order;
	trial_finish(trial);
	g_free(prefix);
	g_free(trial);
	return faulty_responses_count;
}

int
bench_owner_loss(const struct bench_options *options)
{
	struct scenario *scenario = g_new0(struct scenario, 1);
	uint64_t faulty_responses_count = 0;

	scenario_read(scenario, options->scenario_path);
	printf("scenario=%s\n", scenario->name);
	/* the pool moves to a new owner and back */
	bench_print_count("", "gap_bound_tokens",
	    trial_gap_bound_tokens(scenario, OWNER_CHANGES_COUNT));
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++)
		faulty_responses_count += run_fault(options, scenario,
		    &faults[i]);
	g_free(scenario);
	return faulty_responses_count == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
