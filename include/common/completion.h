/**
 * @file
 * Checks the body of a chat completion as far as routing needs it.
 */
#ifndef COMMON_COMPLETION_H
#define COMMON_COMPLETION_H

#include <stddef.h>
#include <stdint.h>

/**
 * @param hint_tokens receives the caller's max_tokens, or 0 without one
 * @return NULL, or what is wrong with the body
 */
const char *completion_check(const char *body, size_t body_bytes,
    uint32_t max_tokens, uint32_t *hint_tokens);

#endif
