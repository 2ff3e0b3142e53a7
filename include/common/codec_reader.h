/**
 * @file
 * Reads the MessagePack values of a message one after the other. A value of the
 * wrong type or beyond its bounds makes the reader fail; all further values are
 * then 0 or empty, so that callers check once at the end.
 */
#ifndef COMMON_CODEC_READER_H
#define COMMON_CODEC_READER_H

#include <mpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct reader {
	mpack_tokbuf_t tokbuf;
	const char *bytes;
	size_t remaining_bytes;
	bool failed;
};

uint64_t reader_uint(struct reader *reader, uint64_t max);
int64_t reader_int(struct reader *reader);

/** Reads the head of an array. @return the number of its items */
uint32_t reader_count(struct reader *reader, uint32_t max_count);

/** Reads a text. @param text receives its bytes, which stay in the input
 * @return its length */
size_t reader_bytes(struct reader *reader, size_t max_bytes, const char **text);

/** Copies a text without null bytes, and terminates it. */
void reader_text(struct reader *reader, char *out, size_t size_bytes);

#endif
