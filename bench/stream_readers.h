/**
 * @file
 * Two ways to read a token stream from an engine, compared by the processor
 * time of the reading thread.
 */
#ifndef BENCH_STREAM_READERS_H
#define BENCH_STREAM_READERS_H

#include <stdint.h>

/** Reads by libcurl. @return time per token, or -1 if the stream broke */
double read_with_libcurl_us_per_token(const char *address,
    uint32_t tokens_count);

/**
 * Reads by CivetWeb's client, a byte a call: its read returns only when its
 * whole buffer is filled.
 * @return time per token, or -1 if the stream broke
 */
double read_with_civetweb_us_per_token(const char *address,
    uint32_t tokens_count);

#endif
