#include "bamboorudderctl/command.h"

enum exit_status
command_routes(const struct admin_client *client, uint32_t arg_count,
    char **args)
{
	return table_command(client, TABLE_ROUTES, arg_count, args);
}
