/**
 * @file
 * Reads a token stream from an engine with two HTTP client libraries, to
 * compare the processor time that the reading thread needs.
 */
#ifndef BENCH_STREAM_READERS_H
#define BENCH_STREAM_READERS_H

#include <stdint.h>

/** @return processor time per token, or -1 if the stream is incomplete */
double read_with_libcurl_us_per_token(const char *address,
    uint32_t tokens_count);

/**
 * Reads single bytes, because the read function of CivetWeb's client returns
 * only when its whole buffer is full.
 * @return processor time per token, or -1 if the stream is incomplete
 */
double read_with_civetweb_us_per_token(const char *address,
    uint32_t tokens_count);

#endif
