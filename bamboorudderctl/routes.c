#include "bamboorudderctl/command.h"

enum exit_status
command_routes(const struct target *target, int word_count, char **words)
{
	return table_command(target, TABLE_ROUTES, word_count, words);
}
