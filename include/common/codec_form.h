/**
 * @file
 * Form of the messages that their writer and their reader agree on.
 */
#ifndef COMMON_CODEC_FORM_H
#define COMMON_CODEC_FORM_H

#define CODEC_VERSION 2u
#define REPORT_ITEM_FIELDS 7u
#define REPORT_SHORT_ITEM_FIELDS 3u
#define REPORT_VTIME_FIELDS 2u

#endif
