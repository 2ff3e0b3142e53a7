/**
 * @file
 * Checks one caller's stream of server-sent events: all tokens, in order, and
 * with the caller's own request id. Without input or output.
 */
#ifndef TESTS_BENCH_STREAM_H
#define TESTS_BENCH_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define STREAM_LINE_BYTES 512
#define STREAM_ID_BYTES 48

struct stream {
	char id[STREAM_ID_BYTES];
	char line[STREAM_LINE_BYTES];
	size_t line_bytes;
	uint64_t tokens_count;
	uint64_t tokens_expected_count;
	bool done;
	bool crossed; /**< a token of another request came */
	bool disordered; /**< a token was missing, doubled or out of order */
};

void stream_init(struct stream *stream, const char *id,
    uint64_t tokens_expected_count);
/** @return how many tokens these bytes completed */
uint32_t stream_feed(struct stream *stream, const char *bytes, size_t length);
/** Whether all of the answer came. */
bool stream_is_whole(const struct stream *stream);

#endif
