#include <stdio.h>

#include "bamboorudderctl/command.h"

/* The tool's own version, and the daemon's if it answers. */
enum exit_status
command_version(const struct target *target, uint32_t word_count, char **words)
{
	json_t *document;

	(void)words;
	if (!command_takes_no_words("version", word_count))
		return EXIT_USAGE;
	if (!target->json)
		printf("bamboorudderctl %s\n", BAMBOORUDDER_VERSION);
	document = target_get(target, 0, "/v1/version", NULL);
	if (document == NULL)
		return EXIT_REFUSED;
	if (target->json) {
		json_object_set_new(document, "tool",
		    json_string(BAMBOORUDDER_VERSION));
		print_json(document);
	} else
		printf("bamboorudderd %s\n",
		    json_string_value(json_object_get(document, "version")));
	json_decref(document);
	return EXIT_DONE;
}
