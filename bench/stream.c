#include "stream.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define CONTENT_MARK "\"content\":\"t"
#define ID_MARK "\"id\":\""

void
stream_init(struct stream *stream, const char *id,
    uint64_t tokens_expected_count)
{
	memset(stream, 0, sizeof(*stream));
	g_strlcpy(stream->id, id, sizeof(stream->id));
	stream->tokens_expected_count = tokens_expected_count;
}

static void
check_id(struct stream *stream)
{
	const char *found = strstr(stream->line, ID_MARK);
	size_t length = strlen(stream->id);

	if (found == NULL) {
		stream->crossed = true;
		return;
	}
	found += strlen(ID_MARK);
	if (strncmp(found, stream->id, length) != 0 || found[length] != '"')
		stream->crossed = true;
}

/* @return 1 if the line was a token */
static uint32_t
take_line(struct stream *stream)
{
	const char *content;
	uint64_t number;

	if (strstr(stream->line, "data: [DONE]") != NULL)
		stream->done = true;
	content = strstr(stream->line, CONTENT_MARK);
	if (content == NULL)
		return 0;
	number = strtoull(content + strlen(CONTENT_MARK), NULL, 10);
	if (number != stream->tokens_count || stream->done)
		stream->disordered = true;
	check_id(stream);
	stream->tokens_count++;
	return 1;
}

uint32_t
stream_feed(struct stream *stream, const char *bytes, size_t length)
{
	uint32_t tokens_count = 0;

	for (size_t i = 0; i < length; i++) {
		if (bytes[i] != '\n') {
			if (stream->line_bytes < STREAM_LINE_BYTES - 1)
				stream->line[stream->line_bytes++] = bytes[i];
			continue;
		}
		stream->line[stream->line_bytes] = '\0';
		tokens_count += take_line(stream);
		stream->line_bytes = 0;
	}
	return tokens_count;
}

bool
stream_is_whole(const struct stream *stream)
{
	return stream->done && !stream->disordered &&
	    stream->tokens_count == stream->tokens_expected_count;
}
