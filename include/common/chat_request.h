/**
 * @file
 * Checks the body of a chat completion as far as routing needs it.
 */
#ifndef COMMON_CHAT_REQUEST_H
#define COMMON_CHAT_REQUEST_H

#include <stddef.h>
#include <stdint.h>

/**
 * @param requested_tokens receives the caller's max_tokens, or 0 without one
 * @return NULL, or what is wrong with the body
 */
const char *chat_request_validate(const char *body, size_t body_bytes,
    uint32_t max_tokens, uint32_t *requested_tokens);

#endif
