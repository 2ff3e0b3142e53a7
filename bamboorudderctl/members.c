#include "bamboorudderctl/columns.h"
#include "bamboorudderctl/command.h"

enum exit_status
command_members(const struct admin_client *client, uint32_t arg_count,
    char **args)
{
	struct columns columns;
	json_t *document, *daemon;
	size_t index;

	(void)args;
	if (!command_check_no_args("members", arg_count))
		return EXIT_USAGE;
	document = admin_client_get_json(client, 0, "/v1/members", NULL);
	if (document == NULL)
		return EXIT_FAILED;
	if (client->json)
		print_json(document);
	else {
		columns_init(&columns, "DAEMON", "DOMAIN", "STATE", "LEAVING",
		    "ROUTES", "POOLS", "HEARD MS AGO", NULL);
		json_array_foreach (json_object_get(document, "daemons"), index,
		    daemon)
			columns_add_json(&columns, daemon, "address", "domain",
			    "state", "leaving", "routes_version",
			    "pools_version", "heard_ms_ago", NULL);
		columns_print(&columns);
	}
	json_decref(document);
	return EXIT_OK;
}
