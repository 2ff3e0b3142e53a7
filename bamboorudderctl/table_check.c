#include <stdio.h>
#include <string.h>

#include "bamboorudderctl/command.h"
#include "common/table_json.h"

#define EMPTY_TABLE "{\"rows\": []}"

/* Returns a pools table with the pools of a routes file, without endpoints. */
static char *
placeholder_pools(const char *routes_text)
{
	json_t *root = json_loads(routes_text, 0, NULL), *row;
	json_t *rows = json_array(), *names = json_object(), *table;
	size_t index;
	char *text;

	json_array_foreach (json_object_get(root, "rows"), index, row) {
		const char *name = json_string_value(
		    json_object_get(row, "pool"));
		if (name == NULL || json_object_get(names, name) != NULL)
			continue;
		json_object_set_new(names, name, json_true());
		json_array_append_new(rows,
		    json_pack("{s:s, s:s, s:[]}", "pool", name, "kind",
			"service", "endpoints"));
	}
	table = json_pack("{s:o}", "rows", rows);
	text = json_dumps(table, JSON_COMPACT);
	json_decref(table);
	json_decref(names);
	json_decref(root);
	return text;
}

static void
print_findings(const struct findings *findings, const char *const *paths)
{
	char line[FINDING_PLACE_MAX_BYTES + FINDING_TEXT_MAX_BYTES + 32];

	for (size_t i = 0; i < findings->count; i++) {
		struct finding finding = findings->items[i];
		enum table_kind kind = strcmp(finding.place, "routes") == 0
		    ? TABLE_ROUTES
		    : TABLE_POOLS;
		if (paths[kind] != NULL)
			g_strlcpy(finding.place, paths[kind],
			    sizeof(finding.place));
		finding_format(&finding, line, sizeof(line));
		fprintf(stderr, "%s\n", line);
	}
	if (findings->total_count > findings->count)
		fprintf(stderr, "and %zu more\n",
		    findings->total_count - findings->count);
}

static bool
read_file(const char *path, char **text)
{
	GError *error = NULL;

	if (g_file_get_contents(path, text, NULL, &error))
		return true;
	fprintf(stderr, "bamboorudderctl: %s\n", error->message);
	g_error_free(error);
	return false;
}

/*
 * Validates a table file without a daemon. Whether the pools of a routes file
 * exist is checked only if the pools file is given as the second argument.
 */
enum exit_status
table_check(const struct table_args *args)
{
	enum table_kind other = args->kind == TABLE_ROUTES ? TABLE_POOLS
							   : TABLE_ROUTES;
	const char *paths[TABLE_KIND_COUNT] = { NULL };
	char *documents[TABLE_KIND_COUNT] = { NULL };
	struct findings *findings = g_new(struct findings, 1);
	enum exit_status status = EXIT_USAGE;
	struct tables tables;

	findings_init(findings);
	paths[args->kind] = args->args[0];
	paths[other] = args->arg_count == 2 ? args->args[1] : NULL;
	if (read_file(paths[args->kind], &documents[args->kind]) &&
	    (paths[other] == NULL ||
		read_file(paths[other], &documents[other]))) {
		if (paths[other] == NULL && other == TABLE_POOLS)
			documents[other] = placeholder_pools(
			    documents[args->kind]);
		if (documents[other] == NULL)
			documents[other] = g_strdup(EMPTY_TABLE);
		if (table_json_read(documents[TABLE_ROUTES],
			documents[TABLE_POOLS], &tables, findings)) {
			printf("no findings\n");
			status = EXIT_OK;
		} else
			print_findings(findings, paths);
		tables_finish(&tables);
	}
	free(documents[TABLE_ROUTES]);
	free(documents[TABLE_POOLS]);
	g_free(findings);
	return status;
}
