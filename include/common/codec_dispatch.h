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

void codec_write_report(GByteArray *out, const struct msg_report *report);
void codec_read_report(struct reader *reader, struct msg_report *report);
void codec_write_crash_records(GByteArray *out,
    const struct msg_crash_records *records);
void codec_read_crash_records(struct reader *reader,
    struct msg_crash_records *records);
void codec_write_endpoint_limits(GByteArray *out,
    const struct msg_endpoint_limits *limits);
void codec_read_endpoint_limits(struct reader *reader,
    struct msg_endpoint_limits *limits);
void codec_write_place_request(GByteArray *out,
    const struct msg_place_request *request);
void codec_read_place_request(struct reader *reader,
    struct msg_place_request *request);
void codec_write_placement(GByteArray *out,
    const struct msg_placement *placement);
void codec_read_placement(struct reader *reader,
    struct msg_placement *placement);
void codec_write_attempt_events(GByteArray *out,
    const struct msg_attempt_events *events);
void codec_read_attempt_events(struct reader *reader,
    struct msg_attempt_events *events);
void codec_write_running_attempts(GByteArray *out,
    const struct msg_running_attempts *attempts);
void codec_read_running_attempts(struct reader *reader,
    struct msg_running_attempts *attempts);

#endif
