#include <jansson.h>
#include <stdio.h>

#include "bamboorudderctl/command.h"

#define DUMP_INDENT 2

enum exit_status
command_dump(const struct target *target, int word_count, char **words)
{
	enum exit_status status = EXIT_DONE;
	struct http_answer answer;
	json_t *root;

	(void)words;
	if (word_count != 0) {
		fprintf(stderr, "usage: bamboorudderctl dump\n");
		return EXIT_USAGE;
	}
	if (!target_call(target, "GET", "/v1/dump", NULL, NULL, &answer))
		return EXIT_REFUSED;
	if (answer.status == 200) {
		root = json_loads(answer.body->str, 0, NULL);
		json_dumpf(root, stdout, JSON_INDENT(DUMP_INDENT));
		printf("\n");
		json_decref(root);
	} else
		status = answer_print_error(&answer);
	http_answer_finish(&answer);
	return status;
}
