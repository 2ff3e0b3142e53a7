#include <stdio.h>
#include <time.h>
#include <unistd.h>

#include "bamboorudderctl/columns.h"
#include "bamboorudderctl/command.h"

#define WATCH_PERIOD_S 1
#define CLEAR_SCREEN "\033[H\033[2J"

static void
add_table_row(struct columns *columns, const json_t *document, const char *name)
{
	const json_t *table = json_object_get(document, name), *unconfirmed;
	char *newest = json_to_text(json_object_get(table, "newest_version"));
	char *in_force = json_to_text(
	    json_object_get(table, "in_force_version"));
	char *confirmed_by = g_strdup_printf("%" JSON_INTEGER_FORMAT
					     " of %" JSON_INTEGER_FORMAT,
	    json_integer_value(json_object_get(table, "daemons_confirmed")),
	    json_integer_value(json_object_get(table, "daemons_live")));
	char *unconfirmed_by;

	unconfirmed = json_object_get(table, "unconfirmed");
	unconfirmed_by = json_array_size(unconfirmed) == 0
	    ? g_strdup("-")
	    : json_to_text(unconfirmed);
	columns_add(columns, name, newest, in_force, confirmed_by,
	    unconfirmed_by, NULL);
	g_free(newest);
	g_free(in_force);
	g_free(confirmed_by);
	g_free(unconfirmed_by);
}

static void
print_findings(const json_t *document, const char *name)
{
	json_t *findings = json_object_get(json_object_get(document, name),
		   "findings"),
	       *finding;
	size_t index;

	json_array_foreach (findings, index, finding)
		printf("not in force: %s\n", json_string_value(finding));
}

static void
print_status(const json_t *document)
{
	struct columns columns;
	json_t *daemon;
	size_t index;

	columns_init(&columns, "TABLE", "NEWEST", "IN FORCE", "CONFIRMED BY",
	    "NOT CONFIRMED BY", NULL);
	add_table_row(&columns, document, "routes");
	add_table_row(&columns, document, "pools");
	columns_print(&columns);
	print_findings(document, "routes");
	print_findings(document, "pools");
	printf("\n");
	columns_init(&columns, "DAEMON", "DOMAIN", "STATE", "LEAVING", "ROUTES",
	    "POOLS", NULL);
	json_array_foreach (json_object_get(document, "daemons"), index, daemon)
		columns_add_json(&columns, daemon, "address", "domain", "state",
		    "leaving", "routes_version", "pools_version", NULL);
	columns_print(&columns);
}

static enum exit_status
print_current_status(const struct admin_client *client)
{
	json_t *document = admin_client_get_json(client, 0, "/v1/status", NULL);

	if (document == NULL)
		return EXIT_FAILED;
	if (client->watch && isatty(STDOUT_FILENO))
		printf(CLEAR_SCREEN);
	if (client->json)
		print_json(document);
	else
		print_status(document);
	json_decref(document);
	return EXIT_OK;
}

enum exit_status
command_status(const struct admin_client *client, uint32_t arg_count,
    char **args)
{
	struct timespec pause = { WATCH_PERIOD_S, 0 };
	enum exit_status status;

	(void)args;
	if (!command_check_no_args("status [--watch]", arg_count))
		return EXIT_USAGE;
	status = print_current_status(client);
	while (client->watch) {
		fflush(stdout);
		nanosleep(&pause, NULL);
		status = print_current_status(client);
	}
	return status;
}
