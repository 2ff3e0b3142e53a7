#include "bamboorudderctl/command.h"

enum exit_status
command_pools(const struct target *target, uint32_t word_count, char **words)
{
	return table_command(target, TABLE_POOLS, word_count, words);
}
