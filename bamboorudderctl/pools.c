#include "bamboorudderctl/command.h"

enum exit_status
command_pools(const struct admin_client *client, uint32_t arg_count,
    char **args)
{
	return table_command(client, TABLE_POOLS, arg_count, args);
}
