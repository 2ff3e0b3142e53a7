/**
 * @file
 * Bodies of the messages of dispatch. The decoded arrays are freed by
 * codec_release.
 */
#ifndef COMMON_CODEC_DISPATCH_H
#define COMMON_CODEC_DISPATCH_H

#include <glib.h>

#include "common/codec_reader.h"
#include "core/msg.h"

/** Writes the body of a message of dispatch. */
void codec_write_dispatch(GByteArray *out, const struct msg *msg);

/** Reads the body of a message of dispatch; any other type is an error. */
void codec_read_dispatch(struct reader *reader, struct msg *msg);

#endif
