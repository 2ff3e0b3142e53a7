#include "common/sse.h"

#include <string.h>

#define DATA_FIELD "data:"
#define ID_FIELD "id:"

void
sse_counter_init(struct sse_counter *counter)
{
	counter->events_count = 0;
	counter->done = false;
	counter->line_bytes = 0;
	counter->last_id[0] = '\0';
	counter->usage_line[0] = '\0';
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

/* An id that can't be kept whole can't be resumed from. */
static void
take_id(struct sse_counter *counter, const char *id)
{
	size_t length = strlen(id);

	if (length >= SSE_ID_MAX_BYTES)
		length = 0;
	memcpy(counter->last_id, id, length);
	counter->last_id[length] = '\0';
}

static void
take_line(struct sse_counter *counter)
{
	const char *id, *data;

	counter->line[counter->line_bytes] = '\0';
	id = field_value(counter->line, ID_FIELD);
	data = field_value(counter->line, DATA_FIELD);
	if (id != NULL)
		take_id(counter, id);
	if (data == NULL)
		return;
	if (strncmp(data, "[DONE]", 6) == 0)
		counter->done = true;
	else if (strstr(data, "\"usage\"") != NULL)
		memcpy(counter->usage_line, data, strlen(data) + 1);
	else
		counter->events_count++;
}

void
sse_counter_feed(struct sse_counter *counter, const char *bytes,
    size_t length_bytes)
{
	for (size_t i = 0; i < length_bytes; i++) {
		if (bytes[i] == '\n') {
			take_line(counter);
			counter->line_bytes = 0;
		} else if (bytes[i] != '\r' &&
		    counter->line_bytes < SSE_LINE_MAX_BYTES - 1)
			counter->line[counter->line_bytes++] = bytes[i];
	}
}

/* Whether an empty line, LF or CR LF, ends before a place; the bytes begin at
 * the start of a line. */
static bool
empty_line_ends(const char *bytes, size_t at)
{
	if (bytes[at - 1] != '\n')
		return false;
	at--;
	if (at > 0 && bytes[at - 1] == '\r')
		at--;
	return at == 0 || bytes[at - 1] == '\n';
}

size_t
sse_whole_bytes(const char *bytes, size_t length_bytes, size_t checked_bytes)
{
	for (size_t at = length_bytes; at > checked_bytes; at--)
		if (empty_line_ends(bytes, at))
			return at;
	return 0;
}
