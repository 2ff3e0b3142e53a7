/**
 * @file
 * Checks that a stream of server-sent events has all tokens in order and that
 * each token has the request id of the caller. Does no I/O.
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
	bool misdelivered; /**< a token had the id of another request */
	bool out_of_order; /**< a token was skipped, repeated or reordered */
};

void stream_checker_init(struct stream_checker *checker, const char *id,
    uint64_t tokens_expected_count);
/** @return number of tokens that these bytes completed */
uint32_t stream_checker_feed(struct stream_checker *checker, const char *bytes,
    size_t length);
/** Whether the response has ended and has all tokens in order. */
bool stream_checker_is_complete(const struct stream_checker *checker);

#endif
