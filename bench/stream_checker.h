/**
 * @file
 * Checks one caller's stream of server-sent events: all tokens, in order, and
 * with the caller's own request id. Without input or output.
 */
#ifndef BENCH_STREAM_CHECKER_H
#define BENCH_STREAM_CHECKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define STREAM_CHECKER_LINE_BYTES 512
#define STREAM_CHECKER_ID_BYTES 48

struct stream_checker {
	char id[STREAM_CHECKER_ID_BYTES];
	char line[STREAM_CHECKER_LINE_BYTES];
	size_t line_bytes;
	uint64_t tokens_count;
	uint64_t tokens_expected_count;
	bool done;
	bool misdelivered; /**< a token of another request came */
	bool out_of_order; /**< a token was missing, doubled or out of order */
};

void stream_checker_init(struct stream_checker *checker, const char *id,
    uint64_t tokens_expected_count);
/** @return how many tokens these bytes completed */
uint32_t stream_checker_feed(struct stream_checker *checker, const char *bytes,
    size_t length);
/** Whether all of the answer came. */
bool stream_checker_is_complete(const struct stream_checker *checker);

#endif
