/**
 * @file
 * SHA-256 digests of keys and tokens, as lower-case hexadecimal text.
 */
#ifndef COMMON_DIGEST_H
#define COMMON_DIGEST_H

#include <stddef.h>

#define DIGEST_HEX_BYTES 64u

/** Digest of a zero-terminated string. out is zero-terminated too. */
void digest_sha256_hex(const char *text, char out[DIGEST_HEX_BYTES + 1]);

/** Digest of bytes that may contain zeros. */
void digest_sha256_hex_bytes(const void *bytes, size_t length_bytes,
    char out[DIGEST_HEX_BYTES + 1]);

#endif
