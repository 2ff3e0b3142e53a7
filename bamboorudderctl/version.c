#include <stdio.h>

#include "bamboorudderctl/command.h"

/* Without --json, prints the tool's version even if the daemon is down. */
enum exit_status
command_version(const struct admin_client *client, uint32_t arg_count,
    char **args)
{
	json_t *document;

	(void)args;
	if (!command_check_no_args("version", arg_count))
		return EXIT_USAGE;
	if (!client->json)
		printf("bamboorudderctl %s\n", BAMBOORUDDER_VERSION);
	document = admin_client_get_json(client, 0, "/v1/version", NULL);
	if (document == NULL)
		return EXIT_FAILED;
	if (client->json) {
		json_object_set_new(document, "tool",
		    json_string(BAMBOORUDDER_VERSION));
		print_json(document);
	} else
		printf("bamboorudderd %s\n",
		    json_string_value(json_object_get(document, "version")));
	json_decref(document);
	return EXIT_OK;
}
