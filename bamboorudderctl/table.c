#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bamboorudderctl/columns.h"
#include "bamboorudderctl/command.h"

/* One command of a table; word counts without its own name. */
struct table_call {
	const char *name;
	const char *words;
	uint32_t words_min;
	uint32_t words_max;
	enum exit_status (*run)(const struct table_words *words);
};

#define FIELDS_MAX_COUNT 14

/* Sorted by name. */
static const struct table_call calls[] = {
	{ "apply", "FILE", 1, 1, table_apply },
	{ "check", "FILE [FILE OF THE OTHER TABLE]", 1, 2, table_check },
	{ "diff", "FILE", 1, 1, table_show_diff },
	{ "get", "", 0, 0, table_get },
	{ "history", "", 0, 0, table_history },
	{ "remove", "KEY=VALUE...", 1, 2, table_remove },
	{ "set", "FIELD=VALUE...", 1, FIELDS_MAX_COUNT, table_set },
};

static int
compare_name(const void *name, const void *call)
{
	return strcmp(name, ((const struct table_call *)call)->name);
}

static void
print_usage(const char *table)
{
	fprintf(stderr, "usage:\n");
	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++)
		fprintf(stderr, "  bamboorudderctl %s %s %s\n", table,
		    calls[i].name, calls[i].words);
}

enum exit_status
table_command(const struct target *target, enum table_kind kind,
    uint32_t word_count, char **words)
{
	const char *table = kind == TABLE_ROUTES ? "routes" : "pools";
	const struct table_call *call = word_count == 0
	    ? NULL
	    : bsearch(words[0], calls, G_N_ELEMENTS(calls), sizeof(calls[0]),
		  compare_name);
	char *path = g_strconcat("/v1/tables/", table, NULL);
	struct table_words rest = { target, kind, path, word_count - 1,
		words + 1 };
	enum exit_status status = EXIT_USAGE;

	if (call == NULL || rest.word_count < call->words_min ||
	    rest.word_count > call->words_max)
		print_usage(table);
	else
		status = call->run(&rest);
	g_free(path);
	return status;
}

static void
print_routes(const json_t *rows)
{
	struct columns columns;
	size_t index;
	json_t *row;

	columns_init(&columns, "ACCOUNT", "PATH", "POOL", "WEIGHT", "TEAM",
	    "REPEAT", "WAITING MAX", NULL);
	json_array_foreach (rows, index, row)
		columns_add_members(&columns, row, "account", "path", "pool",
		    "weight", "team", "repeat", "waiting_max_count", NULL);
	columns_print(&columns);
}

static void
print_pools(const json_t *rows)
{
	struct columns columns;
	size_t index, inner;
	json_t *row, *endpoint;

	columns_init(&columns, "POOL", "KIND", "SLOTS", "EXTRA", "ENDPOINTS",
	    "LEAVING", NULL);
	json_array_foreach (rows, index, row) {
		json_t *list = json_object_get(row, "endpoints");
		json_int_t leaving = 0;
		json_t *shown = json_copy(row);
		json_array_foreach (list, inner, endpoint)
			leaving += json_is_true(
			    json_object_get(endpoint, "leaving"));
		json_object_set_new(shown, "endpoints",
		    json_integer((json_int_t)json_array_size(list)));
		json_object_set_new(shown, "leaving", json_integer(leaving));
		columns_add_members(&columns, shown, "pool", "kind",
		    "slots_per_endpoint", "extra_slots_per_endpoint",
		    "endpoints", "leaving", NULL);
		json_decref(shown);
	}
	columns_print(&columns);
}

enum exit_status
table_get(const struct table_words *words)
{
	char *etag;
	json_t *table = target_get(words->target, 0, words->path, &etag);

	if (table == NULL)
		return EXIT_REFUSED;
	if (words->target->json)
		print_json(table);
	else {
		printf("version %" PRIu64 "\n", http_etag_version(etag));
		if (words->kind == TABLE_ROUTES)
			print_routes(json_object_get(table, "rows"));
		else
			print_pools(json_object_get(table, "rows"));
	}
	g_free(etag);
	json_decref(table);
	return EXIT_DONE;
}

static char *
changes_text(const json_t *edit)
{
	json_int_t left = json_integer_value(
	    json_object_get(edit, "changes_count"));
	GString *text = g_string_new(NULL);
	size_t index;
	json_t *change;

	json_array_foreach (json_object_get(edit, "changes"), index, change) {
		g_string_append_printf(text, "%s%s %s", index == 0 ? "" : ", ",
		    json_string_value(json_object_get(change, "change")),
		    json_string_value(json_object_get(change, "row")));
		left--;
	}
	if (left > 0)
		g_string_append_printf(text,
		    " and %" JSON_INTEGER_FORMAT " more", left);
	return g_string_free(text, FALSE);
}

enum exit_status
table_history(const struct table_words *words)
{
	char *path = g_strconcat(words->path, "/history?newest", NULL);
	json_t *document = target_get(words->target, 0, path, NULL), *edit;
	struct columns columns;
	size_t index;

	g_free(path);
	if (document == NULL)
		return EXIT_REFUSED;
	if (words->target->json)
		print_json(document);
	else {
		columns_init(&columns, "VERSION", "TIME", "OPERATOR", "CHANGES",
		    NULL);
		json_array_foreach (json_object_get(document, "history"), index,
		    edit) {
			char *version = json_to_text(
			    json_object_get(edit, "version"));
			char *time = json_to_text(
			    json_object_get(edit, "time"));
			char *operator= json_to_text(
			    json_object_get(edit, "operator"));
			char *changes = changes_text(edit);
			columns_add(&columns, version, time, operator, changes,
			    NULL);
			g_free(version);
			g_free(time);
			g_free(operator);
			g_free(changes);
		}
		columns_print(&columns);
	}
	json_decref(document);
	return EXIT_DONE;
}
