/**
 * @file
 * Validation of the body of a chat completion request, limited to what routing
 * needs.
 */
#ifndef COMMON_CHAT_REQUEST_H
#define COMMON_CHAT_REQUEST_H

#include <stddef.h>
#include <stdint.h>

/**
 * @param max_tokens upper limit of the max_tokens field
 * @param requested_tokens receives the max_tokens field, or 0 without one
 * @return NULL if the body is valid, else an error message
 */
const char *chat_request_validate(const char *body, size_t body_bytes,
    uint32_t max_tokens, uint32_t *requested_tokens);

#endif
