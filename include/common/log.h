/**
 * @file
 * Structured log: one line for each change of state, as logfmt or JSON.
 */
#ifndef COMMON_LOG_H
#define COMMON_LOG_H

#include <stdbool.h>

enum log_level {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARN,
	LOG_LEVEL_INFO,
	LOG_LEVELS_COUNT
};
enum log_format { LOG_FORMAT_LOGFMT, LOG_FORMAT_JSON };

/** Sets the format and the least severe level written. */
void log_configure(enum log_format format, enum log_level level);

/**
 * Writes one line to standard output: an event and pairs of key and value,
 * closed by NULL. Never pass a key, a token or a body. Never waits: lines
 * beyond the rate of their level, and those that a full pipe does not take, are counted, and
 * the next line tells how many.
 */
void log_event(enum log_level level, const char *event, ...)
    __attribute__((sentinel));

#endif
