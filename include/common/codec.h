/**
 * @file
 * MessagePack form of the messages between daemons.
 */
#ifndef COMMON_CODEC_H
#define COMMON_CODEC_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "core/msg.h"

#define CODEC_MESSAGE_MAX_BYTES (2u * 1024u * 1024u)

/** Appends the encoded message. */
void codec_encode(const struct msg *msg, GByteArray *out);

/**
 * Decodes one whole message. Arrays and texts of the message are allocated;
 * free them by codec_release.
 * @return false if the bytes are no valid message; msg needs no release then
 */
bool codec_decode(const void *bytes, size_t length_bytes, struct msg *msg);

/** Reads only who sent a message. @return false if the head is malformed */
bool codec_decode_sender(const void *bytes, size_t length_bytes,
    uint64_t *from_node_id);

void codec_release(struct msg *msg);

#endif
