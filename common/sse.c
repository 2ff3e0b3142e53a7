#include "common/sse.h"

#include <string.h>

#define DATA_FIELD "data:"
#define ID_FIELD "id:"

void
sse_parser_init(struct sse_parser *parser)
{
	parser->token_events_count = 0;
	parser->done = false;
	parser->line_bytes = 0;
	parser->last_event_id[0] = '\0';
	parser->usage_line[0] = '\0';
}

static const char *
field_value(const char *line, const char *field)
{
	const char *value = line + strlen(field);

	if (strncmp(line, field, strlen(field)) != 0)
		return NULL;
	while (*value == ' ')
		value++;
	return value;
}

/* A stream can't be resumed from a truncated id, so one that is too long is
 * discarded. */
static void
set_last_event_id(struct sse_parser *parser, const char *id)
{
	size_t length = strlen(id);

	if (length >= SSE_EVENT_ID_MAX_BYTES)
		length = 0;
	memcpy(parser->last_event_id, id, length);
	parser->last_event_id[length] = '\0';
}

static void
process_line(struct sse_parser *parser)
{
	const char *id, *data;

	parser->line[parser->line_bytes] = '\0';
	id = field_value(parser->line, ID_FIELD);
	data = field_value(parser->line, DATA_FIELD);
	if (id != NULL)
		set_last_event_id(parser, id);
	if (data == NULL)
		return;
	if (strncmp(data, "[DONE]", 6) == 0)
		parser->done = true;
	else if (strstr(data, "\"usage\"") != NULL)
		memcpy(parser->usage_line, data, strlen(data) + 1);
	else
		parser->token_events_count++;
}

void
sse_parser_feed(struct sse_parser *parser, const char *bytes,
    size_t length_bytes)
{
	for (size_t i = 0; i < length_bytes; i++) {
		if (bytes[i] == '\n') {
			process_line(parser);
			parser->line_bytes = 0;
		} else if (bytes[i] != '\r' &&
		    parser->line_bytes < SSE_LINE_MAX_BYTES - 1)
			parser->line[parser->line_bytes++] = bytes[i];
	}
}

/* Returns whether an empty line, terminated by LF or CR LF, ends just before a
 * position. The bytes must begin at the start of a line. */
static bool
blank_line_ends_at(const char *bytes, size_t position)
{
	if (bytes[position - 1] != '\n')
		return false;
	position--;
	if (position > 0 && bytes[position - 1] == '\r')
		position--;
	return position == 0 || bytes[position - 1] == '\n';
}

size_t
sse_complete_events_bytes(const char *bytes, size_t length_bytes,
    size_t checked_bytes)
{
	for (size_t position = length_bytes; position > checked_bytes;
	     position--)
		if (blank_line_ends_at(bytes, position))
			return position;
	return 0;
}
