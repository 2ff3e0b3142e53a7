#include <stdio.h>
#include <time.h>
#include <unistd.h>

#include "bamboorudderctl/columns.h"
#include "bamboorudderctl/command.h"

#define WATCH_PERIOD_S 1
#define CLEAR_SCREEN "\033[H\033[2J"

static void
add_table(struct columns *columns, const json_t *document, const char *name)
{
	const json_t *table = json_object_get(document, name), *late;
	char *newest = json_to_text(json_object_get(table, "newest_version"));
	char *in_force = json_to_text(
	    json_object_get(table, "in_force_version"));
	char *confirmed = g_strdup_printf("%" JSON_INTEGER_FORMAT
					  " of %" JSON_INTEGER_FORMAT,
	    json_integer_value(json_object_get(table, "daemons_confirmed")),
	    json_integer_value(json_object_get(table, "daemons_live")));
	char *list;

	late = json_object_get(table, "unconfirmed");
	list = json_array_size(late) == 0 ? g_strdup("-") : json_to_text(late);
	columns_add(columns, name, newest, in_force, confirmed, list, NULL);
	g_free(newest);
	g_free(in_force);
	g_free(confirmed);
	g_free(list);
}

static void
print_findings(const json_t *document, const char *name)
{
	json_t *list = json_object_get(json_object_get(document, name),
		   "findings"),
	       *finding;
	size_t index;

	json_array_foreach (list, index, finding)
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
	add_table(&columns, document, "routes");
	add_table(&columns, document, "pools");
	columns_print(&columns);
	print_findings(document, "routes");
	print_findings(document, "pools");
	printf("\n");
	columns_init(&columns, "DAEMON", "DOMAIN", "STATE", "LEAVING", "ROUTES",
	    "POOLS", NULL);
	json_array_foreach (json_object_get(document, "daemons"), index, daemon)
		columns_add_members(&columns, daemon, "address", "domain",
		    "state", "leaving", "routes_version", "pools_version",
		    NULL);
	columns_print(&columns);
}

static enum exit_status
show_status(const struct target *target)
{
	json_t *document = target_get(target, 0, "/v1/status", NULL);

	if (document == NULL)
		return EXIT_REFUSED;
	if (target->watch && isatty(STDOUT_FILENO))
		printf(CLEAR_SCREEN);
	if (target->json)
		print_json(document);
	else
		print_status(document);
	json_decref(document);
	return EXIT_DONE;
}

enum exit_status
command_status(const struct target *target, uint32_t word_count, char **words)
{
	struct timespec pause = { WATCH_PERIOD_S, 0 };
	enum exit_status status;

	(void)words;
	if (!command_takes_no_words("status [--watch]", word_count))
		return EXIT_USAGE;
	status = show_status(target);
	while (target->watch) {
		fflush(stdout);
		nanosleep(&pause, NULL);
		status = show_status(target);
	}
	return status;
}
