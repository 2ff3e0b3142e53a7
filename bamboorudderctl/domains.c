#include "bamboorudderctl/columns.h"
#include "bamboorudderctl/command.h"

enum exit_status
command_domains(const struct admin_client *client, uint32_t arg_count,
    char **args)
{
	struct columns columns;
	json_t *document, *domain;
	size_t index;

	(void)args;
	if (!command_check_no_args("domains", arg_count))
		return EXIT_USAGE;
	document = admin_client_get_json(client, 0, "/v1/domains", NULL);
	if (document == NULL)
		return EXIT_FAILED;
	if (client->json)
		print_json(document);
	else {
		columns_init(&columns, "DOMAIN", "DRAINED", "DAEMONS", NULL);
		json_array_foreach (json_object_get(document, "domains"), index,
		    domain)
			columns_add_json(&columns, domain, "domain", "drained",
			    "daemons", NULL);
		columns_print(&columns);
	}
	json_decref(document);
	return EXIT_OK;
}
