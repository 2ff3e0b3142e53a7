#include <stdio.h>

#include "bamboorudderctl/command.h"

enum exit_status
command_drain(const struct target *target, uint32_t word_count, char **words)
{
	enum exit_status status = EXIT_DONE;
	struct http_response answer;

	(void)words;
	if (!command_takes_no_words("drain", word_count))
		return EXIT_USAGE;
	if (!target_call(target, "POST", "/v1/drain", "", NULL, &answer))
		return EXIT_REFUSED;
	if (answer.status != 202)
		status = answer_print_error(&answer);
	else if (target->json)
		printf("%s", answer.body->str);
	else
		printf("draining\n");
	http_response_finish(&answer);
	return status;
}
