/* The way a stream is split into chunks does not change the parser result. */
#include <glib.h>
#include <string.h>

#include "common/sse.h"
#include "fuzz.h"

static void
feed_in_chunks(struct sse_parser *parser, const char *bytes, size_t length,
    size_t chunk_bytes)
{
	sse_parser_init(parser);
	for (size_t offset = 0; offset < length; offset += chunk_bytes)
		sse_parser_feed(parser, bytes + offset,
		    MIN(chunk_bytes, length - offset));
}

/* Forwards complete events of a growing buffer, as the relay does. */
static size_t
forwarded_in_chunks(const char *bytes, size_t length, size_t chunk_bytes)
{
	size_t forwarded_bytes = 0, received_bytes = 0;

	while (received_bytes < length) {
		size_t available_bytes = MIN(received_bytes + chunk_bytes,
		    length);
		forwarded_bytes += sse_complete_events_bytes(bytes +
			forwarded_bytes,
		    available_bytes - forwarded_bytes,
		    received_bytes - forwarded_bytes);
		received_bytes = available_bytes;
	}
	return forwarded_bytes;
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
	struct sse_parser unchunked, chunked;
	const char *text;
	size_t chunk_bytes, length;

	if (length_bytes < 2)
		return 0;
	chunk_bytes = 1 + bytes[0] % 16;
	text = (const char *)bytes + 1;
	length = length_bytes - 1;
	feed_in_chunks(&unchunked, text, length, length);
	feed_in_chunks(&chunked, text, length, chunk_bytes);
	FUZZ_CHECK(unchunked.token_events_count == chunked.token_events_count);
	FUZZ_CHECK(unchunked.done == chunked.done);
	FUZZ_CHECK(strcmp(unchunked.last_event_id, chunked.last_event_id) == 0);
	FUZZ_CHECK(strcmp(unchunked.usage_line, chunked.usage_line) == 0);
	FUZZ_CHECK(forwarded_in_chunks(text, length, chunk_bytes) ==
	    sse_complete_events_bytes(text, length, 0));
	return 0;
}
