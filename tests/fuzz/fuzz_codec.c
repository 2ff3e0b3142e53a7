/* A decoded message is encoded to the same bytes after another round trip. */
#include <string.h>

#include "common/codec.h"
#include "fuzz.h"

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
	GByteArray *first = g_byte_array_new(), *second = g_byte_array_new();
	struct msg msg, decoded;

	if (codec_decode(bytes, length_bytes, &msg)) {
		codec_encode(&msg, first);
		FUZZ_CHECK(codec_decode(first->data, first->len, &decoded));
		codec_encode(&decoded, second);
		FUZZ_CHECK(first->len == second->len);
		FUZZ_CHECK(memcmp(first->data, second->data, first->len) == 0);
		codec_release(&decoded);
		codec_release(&msg);
	}
	g_byte_array_free(first, TRUE);
	g_byte_array_free(second, TRUE);
	return 0;
}
