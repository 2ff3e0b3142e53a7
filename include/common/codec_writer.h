/**
 * @file
 * Writes the MessagePack values of a message one after the other.
 */
#ifndef COMMON_CODEC_WRITER_H
#define COMMON_CODEC_WRITER_H

#include <glib.h>
#include <mpack.h>
#include <stddef.h>
#include <stdint.h>

void writer_token(GByteArray *out, mpack_token_t token);
void writer_uint(GByteArray *out, uint64_t value);
void writer_int(GByteArray *out, int64_t value);
void writer_text(GByteArray *out, const char *text, size_t length_bytes);

#endif
