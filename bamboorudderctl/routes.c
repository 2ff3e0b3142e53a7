#include "bamboorudderctl/command.h"

enum exit_status
command_routes(const struct target *target, uint32_t word_count, char **words)
{
	return table_command(target, TABLE_ROUTES, word_count, words);
}
