#include "common/log.h"

#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

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

void
log_event(enum log_level level, const char *event, ...)
{
	GDateTime *now;
	char *time, *line;
	va_list args;

	if (level > settings.level)
		return;
	now = g_date_time_new_now_utc();
	time = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	va_start(args, event);
	line = settings.format == LOG_FORMAT_JSON
	    ? format_json(time, level, event, args)
	    : format_logfmt(time, level, event, args);
	va_end(args);
	fprintf(stderr, "%s\n", line);
	free(line);
	g_free(time);
	g_date_time_unref(now);
}
