/**
 * @file
 * Structured logging, one line per event, as logfmt or JSON.
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

/** Sets the format and the least severe level that is written. */
void log_configure(enum log_format format, enum log_level level);

/**
 * Writes one line to standard output: an event name and pairs of key and value,
 * terminated by NULL. Never pass secrets or bodies. Never blocks: lines that
 * exceed the rate limit of their level or don't fit into a full pipe are dropped,
 * and the next line written reports how many.
 */
void log_event(enum log_level level, const char *event, ...)
    __attribute__((sentinel));

#endif
