#include "bamboorudderctl/command.h"

enum exit_status
command_dump(const struct target *target, uint32_t word_count, char **words)
{
	json_t *document;

	(void)words;
	if (!command_takes_no_words("dump", word_count))
		return EXIT_USAGE;
	document = target_get(target, 0, "/v1/dump", NULL);
	if (document == NULL)
		return EXIT_REFUSED;
	print_json(document);
	json_decref(document);
	return EXIT_DONE;
}
