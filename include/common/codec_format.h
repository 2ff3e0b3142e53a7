/**
 * @file
 * Constants of the wire format, shared by the encoder and the decoder.
 */
#ifndef COMMON_CODEC_FORMAT_H
#define COMMON_CODEC_FORMAT_H

#define CODEC_VERSION 10u
#define REPORT_ITEM_FIELDS 7u
#define REPORT_BRIEF_ITEM_FIELDS 3u
#define REPORT_VTIME_FIELDS 2u
#define LOAD_ACCOUNT_FIELDS 3u
#define PROMPT_SEGMENT_FIELDS 2u
#define ATTEMPT_EVENT_FIELDS 8u
#define RUNNING_ATTEMPT_FIELDS 4u
#define CRASH_RECORD_FIELDS 7u
#define REPORTED_LIMIT_FIELDS 3u
#define DOMAIN_DELAY_FIELDS 2u

#endif
