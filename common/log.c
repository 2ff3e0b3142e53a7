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
#include <unistd.h>

#include "common/metric.h"

#define LINES_PER_S 400u
#define LINE_DROPPED_BYTES 96

/* Read by all threads, set by a reload. */
static struct {
	_Atomic enum log_format format;
	_Atomic enum log_level level;
} settings = { LOG_FORMAT_LOGFMT, LOG_LEVEL_INFO };

static const char *const level_names[] = { "error", "warn", "info" };

void
log_configure(enum log_format format, enum log_level level)
{
	settings.format = format;
	settings.level = level;
}

/* Lines of the present second, and lines that were not written. */
static struct {
	_Atomic uint64_t second;
	_Atomic uint32_t lines_count;
	_Atomic uint64_t dropped_count;
	_Atomic uint32_t prepared;
} output;

static void
append_logfmt(GString *line, const char *key, const char *value)
{
	bool quote = value[0] == '\0' || strpbrk(value, " =\"\n") != NULL;
	char *escaped;

	if (line->len > 0)
		g_string_append_c(line, ' ');
	if (!quote) {
		g_string_append_printf(line, "%s=%s", key, value);
		return;
	}
	escaped = g_strescape(value, NULL);
	g_string_append_printf(line, "%s=\"%s\"", key, escaped);
	g_free(escaped);
}

static char *
format_logfmt(const char *time, enum log_level level, const char *event,
    va_list args)
{
	GString *line = g_string_new(NULL);
	const char *key;

	append_logfmt(line, "time", time);
	append_logfmt(line, "level", level_names[level]);
	append_logfmt(line, "event", event);
	while ((key = va_arg(args, const char *)) != NULL)
		append_logfmt(line, key, va_arg(args, const char *));
	return g_string_free(line, FALSE);
}

static char *
format_json(const char *time, enum log_level level, const char *event,
    va_list args)
{
	json_t *object = json_pack("{s:s, s:s, s:s}", "time", time, "level",
	    level_names[level], "event", event);
	const char *key;
	char *text;

	while ((key = va_arg(args, const char *)) != NULL)
		json_object_set_new(object, key,
		    json_string(va_arg(args, const char *)));
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return text;
}

/* A full pipe must not stop the writer. Other outputs take what they get. */
static void
prepare_output(void)
{
	struct stat status;
	int flags;

	if (atomic_exchange(&output.prepared, 1) != 0 ||
	    fstat(STDOUT_FILENO, &status) != 0 || !S_ISFIFO(status.st_mode))
		return;
	flags = fcntl(STDOUT_FILENO, F_GETFL);
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/* A line that does not fit whole is cut at the pipe's end; its rest counts as
 * dropped with it. */
static bool
write_line(const char *line)
{
	char *ended = g_strconcat(line, "\n", NULL);
	size_t length = strlen(ended);
	ssize_t written = write(STDOUT_FILENO, ended, length);

	g_free(ended);
	return written == (ssize_t)length;
}

/* Whether one more line may be written in this second. */
static bool
take_line(enum log_level level)
{
	uint64_t now_s = (uint64_t)(g_get_monotonic_time() / G_USEC_PER_SEC);

	if (atomic_exchange(&output.second, now_s) != now_s)
		atomic_store(&output.lines_count, 0);
	return atomic_fetch_add(&output.lines_count, 1) < LINES_PER_S ||
	    level == LOG_LEVEL_ERROR;
}

/* Tells how many lines are missing before this one. */
static void
write_dropped(void)
{
	uint64_t count = atomic_exchange(&output.dropped_count, 0);
	char line[LINE_DROPPED_BYTES];

	if (count == 0)
		return;
	g_snprintf(line, sizeof(line),
	    settings.format == LOG_FORMAT_JSON
		? "{\"level\":\"warn\",\"event\":\"log_dropped\","
		  "\"lines\":\"%" G_GUINT64_FORMAT "\"}"
		: "level=warn event=log_dropped lines=%" G_GUINT64_FORMAT,
	    count);
	if (!write_line(line))
		atomic_fetch_add(&output.dropped_count, count);
}

void
log_event(enum log_level level, const char *event, ...)
{
	GDateTime *now;
	char *time, *line;
	va_list args;

	if (level > settings.level)
		return;
	prepare_output();
	if (!take_line(level)) {
		metric_add(METRIC_LOG_DROPPED, 1);
		atomic_fetch_add(&output.dropped_count, 1);
		return;
	}
	write_dropped();
	now = g_date_time_new_now_utc();
	time = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	va_start(args, event);
	line = settings.format == LOG_FORMAT_JSON
	    ? format_json(time, level, event, args)
	    : format_logfmt(time, level, event, args);
	va_end(args);
	if (!write_line(line)) {
		metric_add(METRIC_LOG_DROPPED, 1);
		atomic_fetch_add(&output.dropped_count, 1);
	}
	free(line);
	g_free(time);
	g_date_time_unref(now);
}
