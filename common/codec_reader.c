#include "common/codec_reader.h"

#include <string.h>

static mpack_token_t
reader_token(struct reader *reader)
{
	mpack_token_t token = { 0 };

	if (!reader->failed &&
	    (reader->remaining_bytes == 0 ||
		mpack_read(&reader->tokbuf, &reader->bytes,
		    &reader->remaining_bytes, &token) != MPACK_OK))
		reader->failed = true;
	return token;
}

uint64_t
reader_uint(struct reader *reader, uint64_t max)
{
	mpack_token_t token = reader_token(reader);
	uint64_t value;

	if (reader->failed || token.type != MPACK_TOKEN_UINT) {
		reader->failed = true;
		return 0;
	}
	value = mpack_unpack_uint(token);
	if (value > max)
		reader->failed = true;
	return reader->failed ? 0 : value;
}

int64_t
reader_int(struct reader *reader)
{
	mpack_token_t token = reader_token(reader);

	if (!reader->failed && token.type == MPACK_TOKEN_SINT)
		return mpack_unpack_sint(token);
	if (!reader->failed && token.type == MPACK_TOKEN_UINT &&
	    mpack_unpack_uint(token) <= INT64_MAX)
		return (int64_t)mpack_unpack_uint(token);
	reader->failed = true;
	return 0;
}

uint32_t
reader_count(struct reader *reader, uint32_t max_count)
{
	mpack_token_t token = reader_token(reader);

	if (!reader->failed && token.type == MPACK_TOKEN_ARRAY &&
	    token.length <= max_count)
		return token.length;
	reader->failed = true;
	return 0;
}

/* Returns the length of a text and points text to its bytes in the input. */
size_t
reader_bytes(struct reader *reader, size_t max_bytes, const char **text)
{
	mpack_token_t token = reader_token(reader);
	size_t length_bytes = token.length;

	if (reader->failed || token.type != MPACK_TOKEN_STR ||
	    length_bytes > max_bytes ||
	    length_bytes > reader->remaining_bytes) {
		reader->failed = true;
		return 0;
	}
	*text = reader->bytes;
	reader->bytes += length_bytes;
	reader->remaining_bytes -= length_bytes;
	/* mpack expects the body of the string to be read with mpack_read,
	 * but it was consumed directly */
	reader->tokbuf.passthrough = 0;
	return length_bytes;
}

void
reader_text(struct reader *reader, char *out, size_t size_bytes)
{
	const char *text = "";
	size_t length_bytes = reader_bytes(reader, size_bytes - 1, &text);

	if (memchr(text, '\0', length_bytes) != NULL)
		reader->failed = true;
	memcpy(out, text, length_bytes);
	out[length_bytes] = '\0';
}
