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
#define SSE_EVENT_ID_MAX_BYTES 64u

struct sse_parser {
	uint64_t token_events_count; /**< events that carry a token */
	bool done; /**< "data: [DONE]" was seen */
	char last_event_id
	    [SSE_EVENT_ID_MAX_BYTES]; /**< "" if none, or if too long */
	char usage_line[SSE_LINE_MAX_BYTES]; /**< last data with a usage */
	char line[SSE_LINE_MAX_BYTES];
	size_t line_bytes;
};

void sse_parser_init(struct sse_parser *parser);
void sse_parser_feed(struct sse_parser *parser, const char *bytes,
    size_t length_bytes);

/**
 * @param checked_bytes at the start hold no end of an event
 * @return length up to the end of the last whole event, 0 without one
 */
size_t sse_complete_events_bytes(const char *bytes, size_t length_bytes,
    size_t checked_bytes);

#endif
