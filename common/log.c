#include "common/log.h"

#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "common/metric.h"

#define DROPPED_LINE_MAX_BYTES 96
#define LINE_INITIAL_BYTES 512
#define TIME_BYTES 32
#define NS_PER_US 1000

/* Changed by a reload while other threads read them. */
static struct {
	_Atomic enum log_format format;
	_Atomic enum log_level level;
} settings = { LOG_FORMAT_LOGFMT, LOG_LEVEL_INFO };

/* Each level has its own rate limit, so that lines caused by requests can't
 * displace those about the state of the process. */
static const struct {
	const char *name;
	uint32_t lines_per_s;
} levels[LOG_LEVELS_COUNT] = { { "error", 40 }, { "warn", 60 },
	{ "info", 300 } };

void
log_configure(enum log_format format, enum log_level level)
{
	settings.format = format;
	settings.level = level;
}

/* Lines written in the current second, and lines dropped. */
static struct {
	_Atomic uint64_t second;
	_Atomic uint32_t lines_counts[LOG_LEVELS_COUNT];
	_Atomic uint64_t dropped_count;
	_Atomic uint32_t pipe_checked;
} output;

static void
append_logfmt(GString *line, const char *key, const char *value)
{
	bool quote = value[0] == '\0' || strpbrk(value, " =\"\n") != NULL;
	char *escaped;

	if (line->len > 0)
		g_string_append_c(line, ' ');
	g_string_append(line, key);
	g_string_append_c(line, '=');
	if (!quote) {
		g_string_append(line, value);
		return;
	}
	escaped = g_strescape(value, NULL);
	g_string_append_c(line, '"');
	g_string_append(line, escaped);
	g_string_append_c(line, '"');
	g_free(escaped);
}

static void
format_logfmt(GString *line, const char *time, enum log_level level,
    const char *event, va_list args)
{
	const char *key;

	append_logfmt(line, "time", time);
	append_logfmt(line, "level", levels[level].name);
	append_logfmt(line, "event", event);
	while ((key = va_arg(args, const char *)) != NULL)
		append_logfmt(line, key, va_arg(args, const char *));
}

static void
format_json(GString *line, const char *time, enum log_level level,
    const char *event, va_list args)
{
	json_t *object = json_pack("{s:s, s:s, s:s}", "time", time, "level",
	    levels[level].name, "event", event);
	const char *key;
	char *text;

	while ((key = va_arg(args, const char *)) != NULL)
		json_object_set_new(object, key,
		    json_string(va_arg(args, const char *)));
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	g_string_append(line, text);
	free(text);
}

static void
format_time(char text[TIME_BYTES])
{
	struct timespec now;
	struct tm utc;
	size_t length;

	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &utc);
	length = strftime(text, TIME_BYTES, "%Y-%m-%dT%H:%M:%S", &utc);
	g_snprintf(text + length, TIME_BYTES - length, ".%06ldZ",
	    now.tv_nsec / NS_PER_US);
}

/* Makes standard output nonblocking if it is a pipe, since a full pipe must not
 * block the threads that log. */
static void
make_pipe_nonblocking(void)
{
	struct stat status;
	int flags;

	if (atomic_exchange(&output.pipe_checked, 1) != 0 ||
	    fstat(STDOUT_FILENO, &status) != 0 || !S_ISFIFO(status.st_mode))
		return;
	flags = fcntl(STDOUT_FILENO, F_GETFL);
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/* A line that fits only partly is truncated and counts as dropped. */
static bool
write_line(const char *line, size_t length)
{
	return write(STDOUT_FILENO, line, length) == (ssize_t)length;
}

/* Returns whether the rate limit of a level allows one more line. */
static bool
admit_line(enum log_level level)
{
	uint64_t now_s = (uint64_t)(g_get_monotonic_time() / G_USEC_PER_SEC);

	if (atomic_exchange(&output.second, now_s) != now_s)
		for (int i = 0; i < LOG_LEVELS_COUNT; i++)
			atomic_store(&output.lines_counts[i], 0);
	return atomic_fetch_add(&output.lines_counts[level], 1) <
	    levels[level].lines_per_s;
}

/* Writes a line with the number of lines dropped since the last one. */
static void
write_dropped_count(void)
{
	uint64_t count = atomic_exchange(&output.dropped_count, 0);
	char line[DROPPED_LINE_MAX_BYTES];

	if (count == 0)
		return;
	g_snprintf(line, sizeof(line),
	    settings.format == LOG_FORMAT_JSON
		? "{\"level\":\"warn\",\"event\":\"log_dropped\","
		  "\"lines\":\"%" G_GUINT64_FORMAT "\"}\n"
		: "level=warn event=log_dropped lines=%" G_GUINT64_FORMAT "\n",
	    count);
	if (!write_line(line, strlen(line)))
		atomic_fetch_add(&output.dropped_count, count);
}

void
log_event(enum log_level level, const char *event, ...)
{
	char time[TIME_BYTES];
	GString *line;
	va_list args;

	if (level > settings.level)
		return;
	make_pipe_nonblocking();
	if (!admit_line(level)) {
		metric_add(METRIC_LOG_DROPPED, 1);
		atomic_fetch_add(&output.dropped_count, 1);
		return;
	}
	write_dropped_count();
	format_time(time);
	line = g_string_sized_new(LINE_INITIAL_BYTES);
	va_start(args, event);
	if (settings.format == LOG_FORMAT_JSON)
		format_json(line, time, level, event, args);
	else
		format_logfmt(line, time, level, event, args);
	va_end(args);
	g_string_append_c(line, '\n');
	if (!write_line(line->str, line->len)) {
		metric_add(METRIC_LOG_DROPPED, 1);
		atomic_fetch_add(&output.dropped_count, 1);
	}
	g_string_free(line, TRUE);
}
