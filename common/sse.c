#include "common/sse.h"

#include <string.h>

#define DATA_FIELD "data:"

void
sse_counter_init(struct sse_counter *counter)
{
	counter->events_count = 0;
	counter->done = false;
	counter->line_bytes = 0;
	counter->usage_line[0] = '\0';
}

static void
take_line(struct sse_counter *counter)
{
	const char *data = counter->line + strlen(DATA_FIELD);

	counter->line[counter->line_bytes] = '\0';
	if (strncmp(counter->line, DATA_FIELD, strlen(DATA_FIELD)) != 0)
		return;
	while (*data == ' ')
		data++;
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
