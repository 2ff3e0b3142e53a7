#include <stdio.h>

#include "bamboorudderctl/command.h"

enum exit_status
command_drain(const struct target *target, int word_count, char **words)
{
	enum exit_status status = EXIT_DONE;
	struct http_answer answer;

	(void)words;
	if (word_count != 0) {
		fprintf(stderr, "usage: bamboorudderctl drain\n");
		return EXIT_USAGE;
	}
	if (!target_call(target, "POST", "/v1/drain", "", NULL, &answer))
		return EXIT_REFUSED;
	if (answer.status == 202)
		printf("draining\n");
	else
		status = answer_print_error(&answer);
	http_answer_finish(&answer);
	return status;
}
