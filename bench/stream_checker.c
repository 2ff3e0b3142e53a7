#include "stream_checker.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define CONTENT_PREFIX "\"content\":\"t"
#define ID_PREFIX "\"id\":\""

void
stream_checker_init(struct stream_checker *checker, const char *id,
    uint64_t tokens_expected_count)
{
	memset(checker, 0, sizeof(*checker));
	g_strlcpy(checker->id, id, sizeof(checker->id));
	checker->tokens_expected_count = tokens_expected_count;
}

static void
check_id(struct stream_checker *checker)
{
	const char *found = strstr(checker->line, ID_PREFIX);
	size_t length = strlen(checker->id);

	if (found == NULL) {
		checker->misdelivered = true;
		return;
	}
	found += strlen(ID_PREFIX);
	if (strncmp(found, checker->id, length) != 0 || found[length] != '"')
		checker->misdelivered = true;
}

/* @return 1 if the line is a token, 0 otherwise */
static uint32_t
process_line(struct stream_checker *checker)
{
	const char *content;
	uint64_t number;

	if (strstr(checker->line, "data: [DONE]") != NULL)
		checker->done = true;
	content = strstr(checker->line, CONTENT_PREFIX);
	if (content == NULL)
		return 0;
	number = strtoull(content + strlen(CONTENT_PREFIX), NULL, 10);
	if (number != checker->tokens_count || checker->done)
		checker->out_of_order = true;
	check_id(checker);
	checker->tokens_count++;
	return 1;
}

uint32_t
stream_checker_feed(struct stream_checker *checker, const char *bytes,
    size_t length)
{
	uint32_t tokens_count = 0;

	for (size_t i = 0; i < length; i++) {
		if (bytes[i] != '\n') {
			if (checker->line_bytes < STREAM_CHECKER_LINE_BYTES - 1)
				checker->line[checker->line_bytes++] = bytes[i];
			continue;
		}
		checker->line[checker->line_bytes] = '\0';
		tokens_count += process_line(checker);
		checker->line_bytes = 0;
	}
	return tokens_count;
}

bool
stream_checker_is_complete(const struct stream_checker *checker)
{
	return checker->done && !checker->out_of_order &&
	    checker->tokens_count == checker->tokens_expected_count;
}
