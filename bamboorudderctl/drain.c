#include <stdio.h>

#include "bamboorudderctl/command.h"

enum exit_status
command_drain(const struct admin_client *client, uint32_t arg_count,
    char **args)
{
	enum exit_status status = EXIT_OK;
	struct http_response response;

	(void)args;
	if (!command_check_no_args("drain", arg_count))
		return EXIT_USAGE;
	if (!admin_client_request(client, "POST", "/v1/drain", "", NULL,
		&response))
		return EXIT_FAILED;
	if (response.status != 202)
		status = response_print_error(&response);
	else if (client->json)
		printf("%s", response.body->str);
	else
		printf("draining\n");
	http_response_finish(&response);
	return status;
}
