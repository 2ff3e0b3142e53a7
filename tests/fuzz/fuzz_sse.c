/* A stream is counted and cut at events in the same way however it comes. */
#include <glib.h>
#include <string.h>

#include "common/sse.h"
#include "fuzz.h"

static void
feed_in_pieces(struct sse_parser *counter, const char *bytes, size_t length,
    size_t piece)
{
	sse_parser_init(counter);
	for (size_t at = 0; at < length; at += piece)
		sse_parser_feed(counter, bytes + at, MIN(piece, length - at));
}

/* The whole events of a growing buffer, as relay.c passes them on. */
static size_t
passed_in_pieces(const char *bytes, size_t length, size_t piece)
{
	size_t passed = 0, known = 0;

	while (known < length) {
		size_t next = MIN(known + piece, length);
		passed += sse_complete_events_bytes(bytes + passed,
		    next - passed, known - passed);
		known = next;
	}
	return passed;
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
	struct sse_parser whole, pieces;
	const char *text;
	size_t piece, length;

	if (length_bytes < 2)
		return 0;
	piece = 1 + bytes[0] % 16;
	text = (const char *)bytes + 1;
	length = length_bytes - 1;
	feed_in_pieces(&whole, text, length, length);
	feed_in_pieces(&pieces, text, length, piece);
	FUZZ_CHECK(whole.token_events_count == pieces.token_events_count);
	FUZZ_CHECK(whole.done == pieces.done);
	FUZZ_CHECK(strcmp(whole.last_event_id, pieces.last_event_id) == 0);
	FUZZ_CHECK(strcmp(whole.usage_line, pieces.usage_line) == 0);
	FUZZ_CHECK(passed_in_pieces(text, length, piece) ==
	    sse_complete_events_bytes(text, length, 0));
	return 0;
}
