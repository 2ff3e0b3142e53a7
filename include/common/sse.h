/**
 * @file
 * Incremental parser for streams of server-sent events. It counts the events
 * that carry a token, and finds the end of the last complete event in a buffer.
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
	/** "" without an id, or if the id is too long */
	char last_event_id[SSE_EVENT_ID_MAX_BYTES];
	/** last data that contains a "usage" member */
	char usage_line[SSE_LINE_MAX_BYTES];
	char line[SSE_LINE_MAX_BYTES];
	size_t line_bytes;
};

void sse_parser_init(struct sse_parser *parser);
void sse_parser_feed(struct sse_parser *parser, const char *bytes,
    size_t length_bytes);

/**
 * @param bytes start of a line
 * @param checked_bytes length of the part that was searched before and contains
 *     no end of an event
 * @return length up to the end of the last complete event, or 0
 */
size_t sse_complete_events_bytes(const char *bytes, size_t length_bytes,
    size_t checked_bytes);

#endif
