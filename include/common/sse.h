/**
 * @file
 * Counts the data events of a stream of server-sent events, however its bytes
 * are split.
 */
#ifndef COMMON_SSE_H
#define COMMON_SSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SSE_LINE_MAX_BYTES 4096u

struct sse_counter {
	uint64_t events_count; /**< events that carry a token */
	bool done; /**< "data: [DONE]" was seen */
	char usage_line[SSE_LINE_MAX_BYTES]; /**< last data with a usage */
	char line[SSE_LINE_MAX_BYTES];
	size_t line_bytes;
};

void sse_counter_init(struct sse_counter *counter);
void sse_counter_feed(struct sse_counter *counter, const char *bytes,
    size_t length_bytes);

#endif
