#include "bamboorudderctl/command.h"

enum exit_status
command_dump(const struct admin_client *client, uint32_t arg_count, char **args)
{
	json_t *document;

	(void)args;
	if (!command_check_no_args("dump", arg_count))
		return EXIT_USAGE;
	document = admin_client_get_json(client, 0, "/v1/dump", NULL);
	if (document == NULL)
		return EXIT_FAILED;
	print_json(document);
	json_decref(document);
	return EXIT_OK;
}
