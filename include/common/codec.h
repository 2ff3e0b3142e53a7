/**
 * @file
 * MessagePack encoding of the messages between daemons.
 */
#ifndef COMMON_CODEC_H
#define COMMON_CODEC_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "core/msg.h"

#define CODEC_MESSAGE_MAX_BYTES (2u * 1024u * 1024u)

/** Appends the encoded message to out. */
void codec_encode(const struct msg *msg, GByteArray *out);

/**
 * Decodes exactly one message. Its arrays and texts are allocated and must be
 * freed with codec_release.
 * @return false if the bytes are not one valid message; nothing needs to be
 *     released then
 */
bool codec_decode(const void *bytes, size_t length_bytes, struct msg *msg);

/** Decodes only the sender. @return false if the message header is malformed */
bool codec_decode_sender(const void *bytes, size_t length_bytes,
    uint64_t *from_node_id);

/** Frees what codec_decode allocated. */
void codec_release(struct msg *msg);

#endif
