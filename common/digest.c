#include "common/digest.h"

#include <openssl/sha.h>
#include <string.h>

void
digest_sha256_hex_bytes(const void *bytes, size_t length_bytes,
    char out[DIGEST_HEX_BYTES + 1])
{
	static const char digits[] = "0123456789abcdef";
	unsigned char digest[SHA256_DIGEST_LENGTH];

	SHA256(bytes, length_bytes, digest);
	for (size_t i = 0; i < sizeof(digest); i++) {
		out[2 * i] = digits[digest[i] >> 4];
		out[2 * i + 1] = digits[digest[i] & 15];
	}
	out[DIGEST_HEX_BYTES] = '\0';
}

void
digest_sha256_hex(const char *text, char out[DIGEST_HEX_BYTES + 1])
{
	digest_sha256_hex_bytes(text, strlen(text), out);
}
