#include "common/codec_writer.h"

void
writer_token(GByteArray *out, mpack_token_t token)
{
	mpack_tokbuf_t tokbuf = MPACK_TOKBUF_INITIAL_VALUE;
	char buffer[MPACK_MAX_TOKEN_LEN];
	size_t remaining_bytes = sizeof(buffer);
	char *end = buffer;

	mpack_write(&tokbuf, &end, &remaining_bytes, &token);
	g_byte_array_append(out, (const guint8 *)buffer, (guint)(end - buffer));
}

void
writer_uint(GByteArray *out, uint64_t value)
{
	writer_token(out, mpack_pack_uint(value));
}

void
writer_int(GByteArray *out, int64_t value)
{
	if (value < 0)
		writer_token(out, mpack_pack_sint(value));
	else
		writer_uint(out, (uint64_t)value);
}

void
writer_text(GByteArray *out, const char *text, size_t length_bytes)
{
	writer_token(out, mpack_pack_str((mpack_uint32_t)length_bytes));
	g_byte_array_append(out, (const guint8 *)text, (guint)length_bytes);
}
