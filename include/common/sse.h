/**
 * @file
 * Streams of server-sent events: counts their data events and finds the ends
 * of whole events, however the bytes are split.
 */
#ifndef COMMON_SSE_H
#define COMMON_SSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SSE_LINE_MAX_BYTES 4096u
#define SSE_ID_MAX_BYTES 64u

struct sse_counter {
	uint64_t events_count; /**< events that carry a token */
	bool done; /**< "data: [DONE]" was seen */
	char last_id[SSE_ID_MAX_BYTES]; /**< "" if none, or if too long */
	char usage_line[SSE_LINE_MAX_BYTES]; /**< last data with a usage */
	char line[SSE_LINE_MAX_BYTES];
	size_t line_bytes;
};

void sse_counter_init(struct sse_counter *counter);
void sse_counter_feed(struct sse_counter *counter, const char *bytes,
    size_t length_bytes);

/**
 * @param checked_bytes at the start hold no end of an event
 * @return length up to the end of the last whole event, 0 without one
 */
size_t sse_whole_bytes(const char *bytes, size_t length_bytes,
    size_t checked_bytes);

#endif
