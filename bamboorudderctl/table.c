#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bamboorudderctl/columns.h"
#include "bamboorudderctl/command.h"

/* A subcommand of a table; the argument counts exclude its own name. */
struct table_subcommand {
	const char *name;
	const char *usage;
	uint32_t args_min_count;
	uint32_t args_max_count;
	enum exit_status (*run)(const struct table_args *args);
};

#define SET_FIELDS_MAX_COUNT 14

/* Sorted by name for bsearch. */
static const struct table_subcommand subcommands[] = {
	{ "apply", "FILE", 1, 1, table_apply },
	{ "check", "FILE [OTHER_TABLE_FILE]", 1, 2, table_check },
	{ "diff", "FILE", 1, 1, table_diff_file },
	{ "get", "", 0, 0, table_get },
	{ "history", "", 0, 0, table_history },
	{ "remove", "KEY=VALUE...", 1, 2, table_remove },
	{ "set", "FIELD=VALUE...", 1, SET_FIELDS_MAX_COUNT, table_set },
};

static int
compare_name(const void *name, const void *subcommand)
{
	return strcmp(name,
	    ((const struct table_subcommand *)subcommand)->name);
}

static void
print_usage(const char *table)
{
	fprintf(stderr, "usage:\n");
	for (size_t i = 0; i < G_N_ELEMENTS(subcommands); i++)
		fprintf(stderr, "  bamboorudderctl %s %s %s\n", table,
		    subcommands[i].name, subcommands[i].usage);
}

enum exit_status
table_command(const struct admin_client *client, enum table_kind kind,
    uint32_t arg_count, char **args)
{
	const char *table = kind == TABLE_ROUTES ? "routes" : "pools";
	const struct table_subcommand *subcommand = arg_count == 0
	    ? NULL
	    : bsearch(args[0], subcommands, G_N_ELEMENTS(subcommands),
		  sizeof(subcommands[0]), compare_name);
	char *path = g_strconcat("/v1/tables/", table, NULL);
	struct table_args table_args = { client, kind, path, arg_count - 1,
		args + 1 };
	enum exit_status status = EXIT_USAGE;

	if (subcommand == NULL ||
	    table_args.arg_count < subcommand->args_min_count ||
	    table_args.arg_count > subcommand->args_max_count)
		print_usage(table);
	else
		status = subcommand->run(&table_args);
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
		columns_add_json(&columns, row, "account", "path", "pool",
		    "weight", "team", "repeat", "waiting_max_count", NULL);
	columns_print(&columns);
}

static void
print_pools(const json_t *rows)
{
	struct columns columns;
	size_t index, endpoint_index;
	json_t *row, *endpoint;

	columns_init(&columns, "POOL", "KIND", "SLOTS", "EXTRA", "ENDPOINTS",
	    "LEAVING", NULL);
	json_array_foreach (rows, index, row) {
		json_t *endpoints = json_object_get(row, "endpoints");
		json_int_t leaving = 0;
		json_t *summary = json_copy(row);
		json_array_foreach (endpoints, endpoint_index, endpoint)
			leaving += json_is_true(
			    json_object_get(endpoint, "leaving"));
		json_object_set_new(summary, "endpoints",
		    json_integer((json_int_t)json_array_size(endpoints)));
		json_object_set_new(summary, "leaving", json_integer(leaving));
		columns_add_json(&columns, summary, "pool", "kind",
		    "slots_per_endpoint", "extra_slots_per_endpoint",
		    "endpoints", "leaving", NULL);
		json_decref(summary);
	}
	columns_print(&columns);
}

enum exit_status
table_get(const struct table_args *args)
{
	char *etag;
	json_t *table = admin_client_get_json(args->client, 0, args->path,
	    &etag);

	if (table == NULL)
		return EXIT_FAILED;
	if (args->client->json)
		print_json(table);
	else {
		printf("version %" PRIu64 "\n", http_etag_version(etag));
		if (args->kind == TABLE_ROUTES)
			print_routes(json_object_get(table, "rows"));
		else
			print_pools(json_object_get(table, "rows"));
	}
	g_free(etag);
	json_decref(table);
	return EXIT_OK;
}

static char *
format_changes(const json_t *edit)
{
	json_int_t unlisted_count = json_integer_value(
	    json_object_get(edit, "changes_count"));
	GString *text = g_string_new(NULL);
	size_t index;
	json_t *change;

	json_array_foreach (json_object_get(edit, "changes"), index, change) {
		g_string_append_printf(text, "%s%s %s", index == 0 ? "" : ", ",
		    json_string_value(json_object_get(change, "change")),
		    json_string_value(json_object_get(change, "row")));
		unlisted_count--;
	}
	if (unlisted_count > 0)
		g_string_append_printf(text,
		    " and %" JSON_INTEGER_FORMAT " more", unlisted_count);
	return g_string_free(text, FALSE);
}

enum exit_status
table_history(const struct table_args *args)
{
	char *path = g_strconcat(args->path, "/history?newest", NULL);
	json_t *document = admin_client_get_json(args->client, 0, path, NULL),
	       *edit;
	struct columns columns;
	size_t index;

	g_free(path);
	if (document == NULL)
		return EXIT_FAILED;
	if (args->client->json)
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
			char *operator_name = json_to_text(
			    json_object_get(edit, "operator"));
			char *changes = format_changes(edit);
			columns_add(&columns, version, time, operator_name,
			    changes, NULL);
			g_free(version);
			g_free(time);
			g_free(operator_name);
			g_free(changes);
		}
		columns_print(&columns);
	}
	json_decref(document);
	return EXIT_OK;
}
