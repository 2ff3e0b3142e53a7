#include "bamboorudderctl/columns.h"
#include "bamboorudderctl/command.h"

enum exit_status
command_members(const struct target *target, uint32_t word_count, char **words)
{
	struct columns columns;
	json_t *document, *daemon;
	size_t index;

	(void)words;
	if (!command_takes_no_words("members", word_count))
		return EXIT_USAGE;
	document = target_get(target, 0, "/v1/members", NULL);
	if (document == NULL)
		return EXIT_REFUSED;
	if (target->json)
		print_json(document);
	else {
		columns_init(&columns, "DAEMON", "DOMAIN", "STATE", "LEAVING",
		    "ROUTES", "POOLS", "HEARD MS AGO", NULL);
		json_array_foreach (json_object_get(document, "daemons"), index,
		    daemon)
			columns_add_members(&columns, daemon, "address",
			    "domain", "state", "leaving", "routes_version",
			    "pools_version", "heard_ms_ago", NULL);
		columns_print(&columns);
	}
	json_decref(document);
	return EXIT_DONE;
}
