#include "scenario.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "bench.h"

static uint32_t
read_number(const json_t *object, const char *name, uint32_t default_value)
{
	const json_t *value = json_object_get(object, name);

	if (value == NULL)
		return default_value;
	if (!json_is_integer(value) || json_integer_value(value) < 0)
		bench_fatal("scenario: %s must be a non-negative integer",
		    name);
	return (uint32_t)json_integer_value(value);
}

static void
read_name(const json_t *object, const char *name, char *out)
{
	const char *text = json_string_value(json_object_get(object, name));

	if (text == NULL || strlen(text) >= SCENARIO_NAME_BYTES)
		bench_fatal("scenario: %s is missing or too long", name);
	g_strlcpy(out, text, SCENARIO_NAME_BYTES);
}

static void
read_entry_daemons(const json_t *object, const struct scenario *scenario,
    struct scenario_workload *workload)
{
	json_t *list = json_object_get(object, "daemons"), *item;
	size_t index;

	if (!json_is_array(list) || json_array_size(list) == 0 ||
	    json_array_size(list) > SCENARIO_ENTRY_DAEMONS_MAX_COUNT)
		bench_fatal("scenario: daemons must list 1 to %u indices",
		    SCENARIO_ENTRY_DAEMONS_MAX_COUNT);
	json_array_foreach (list, index, item) {
		json_int_t entry = json_integer_value(item);
		if (entry < 0 || entry >= scenario->daemon_count)
			bench_fatal("scenario: index of an unknown daemon");
		workload->entry_daemons[workload->entry_daemons_count++] =
		    (uint32_t)entry;
	}
}

static void
read_workload(const json_t *object, struct scenario *scenario)
{
	struct scenario_workload *workload;

	if (scenario->workloads_count == SCENARIO_WORKLOADS_MAX_COUNT)
		bench_fatal("scenario: too many workloads");
	workload = &scenario->workloads[scenario->workloads_count++];
	read_name(object, "kind", workload->kind);
	workload->account = scenario->account_count - 1;
	workload->tokens_min = read_number(object, "tokens_min", 1);
	workload->tokens_max = read_number(object, "tokens_max",
	    workload->tokens_min);
	workload->outstanding_count = read_number(object, "outstanding_count",
	    0);
	workload->requests_per_s = json_number_value(
	    json_object_get(object, "requests_per_s"));
	workload->interactive = json_is_true(
	    json_object_get(object, "interactive"));
	read_entry_daemons(object, scenario, workload);
	if (workload->tokens_min == 0 ||
	    workload->tokens_max < workload->tokens_min)
		bench_fatal(
		    "scenario: invalid range of tokens_min and tokens_max");
	if ((workload->outstanding_count == 0) ==
	    (workload->requests_per_s <= 0))
		bench_fatal(
		    "scenario: a workload needs either outstanding_count or "
		    "requests_per_s");
}

static void
read_account(const json_t *object, struct scenario *scenario)
{
	struct scenario_account *account;
	json_t *workloads = json_object_get(object, "work"), *item;
	size_t index;

	if (scenario->account_count == SCENARIO_ACCOUNTS_MAX_COUNT)
		bench_fatal("scenario: too many accounts");
	account = &scenario->accounts[scenario->account_count++];
	read_name(object, "account", account->name);
	account->weight = read_number(object, "weight", 1);
	account->large = json_is_true(json_object_get(object, "large"));
	json_array_foreach (workloads, index, item)
		read_workload(item, scenario);
}

void
scenario_read(struct scenario *scenario, const char *path)
{
	json_error_t error;
	json_t *root = json_load_file(path, 0, &error), *item;
	size_t index;

	memset(scenario, 0, sizeof(*scenario));
	if (root == NULL)
		bench_fatal("%s:%d: %s", path, error.line, error.text);
	read_name(root, "name", scenario->name);
	scenario->daemon_count = read_number(root, "daemons", 8);
	scenario->failure_domain_count = MAX(1,
	    read_number(root, "failure_domains", 1));
	scenario->replica_count = read_number(root, "replicas", 20);
	scenario->slots_per_replica = read_number(root, "slots_per_replica", 4);
	scenario->extra_slots_per_replica = read_number(root,
	    "extra_slots_per_replica", 0);
	scenario->token_us = read_number(root, "token_us", 20000);
	scenario->estimate_tokens = read_number(root, "estimate_tokens", 128);
	scenario->request_max_tokens = read_number(root, "request_max_tokens",
	    1024);
	scenario->warm_up_ms = read_number(root, "warm_up_ms", 6000);
	json_array_foreach (json_object_get(root, "accounts"), index, item)
		read_account(item, scenario);
	json_decref(root);
}
