#include "scenario.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "bench.h"

static uint32_t
read_number(const json_t *object, const char *name, uint32_t preset)
{
	const json_t *value = json_object_get(object, name);

	if (value == NULL)
		return preset;
	if (!json_is_integer(value) || json_integer_value(value) < 0)
		bench_die("scenario: %s must be a whole number", name);
	return (uint32_t)json_integer_value(value);
}

static void
read_name(const json_t *object, const char *name, char *out)
{
	const char *text = json_string_value(json_object_get(object, name));

	if (text == NULL || strlen(text) >= SCENARIO_NAME_BYTES)
		bench_die("scenario: %s must be a short text", name);
	g_strlcpy(out, text, SCENARIO_NAME_BYTES);
}

static void
read_entries(const json_t *object, const struct scenario *scenario,
    struct scenario_work *work)
{
	json_t *list = json_object_get(object, "daemons"), *item;
	size_t index;

	if (!json_is_array(list) || json_array_size(list) == 0 ||
	    json_array_size(list) > SCENARIO_ENTRIES_MAX_COUNT)
		bench_die("scenario: daemons must be a list of 1 to %u",
		    SCENARIO_ENTRIES_MAX_COUNT);
	json_array_foreach (list, index, item) {
		json_int_t entry = json_integer_value(item);
		if (entry < 0 || entry >= scenario->daemon_count)
			bench_die("scenario: no such daemon");
		work->entries[work->entry_count++] = (uint32_t)entry;
	}
}

static void
read_work(const json_t *object, struct scenario *scenario)
{
	struct scenario_work *work;

	if (scenario->work_count == SCENARIO_WORKS_MAX_COUNT)
		bench_die("scenario: too many works");
	work = &scenario->works[scenario->work_count++];
	read_name(object, "kind", work->kind);
	work->account = scenario->account_count - 1;
	work->tokens_min = read_number(object, "tokens_min", 1);
	work->tokens_max = read_number(object, "tokens_max", work->tokens_min);
	work->outstanding_count = read_number(object, "outstanding_count", 0);
	work->requests_per_s = json_number_value(
	    json_object_get(object, "requests_per_s"));
	work->interactive = json_is_true(
	    json_object_get(object, "interactive"));
	read_entries(object, scenario, work);
	if (work->tokens_min == 0 || work->tokens_max < work->tokens_min)
		bench_die("scenario: tokens_min and tokens_max don't fit");
	if ((work->outstanding_count == 0) == (work->requests_per_s <= 0))
		bench_die("scenario: a work needs either outstanding_count or "
			  "requests_per_s");
}

static void
read_account(const json_t *object, struct scenario *scenario)
{
	struct scenario_account *account;
	json_t *works = json_object_get(object, "work"), *item;
	size_t index;

	if (scenario->account_count == SCENARIO_ACCOUNTS_MAX_COUNT)
		bench_die("scenario: too many accounts");
	account = &scenario->accounts[scenario->account_count++];
	read_name(object, "account", account->name);
	account->weight = read_number(object, "weight", 1);
	account->large = json_is_true(json_object_get(object, "large"));
	json_array_foreach (works, index, item)
		read_work(item, scenario);
}

void
scenario_read(struct scenario *scenario, const char *path)
{
	json_error_t error;
	json_t *root = json_load_file(path, 0, &error), *item;
	size_t index;

	memset(scenario, 0, sizeof(*scenario));
	if (root == NULL)
		bench_die("%s:%d: %s", path, error.line, error.text);
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
