#include "bamboorudderd/response_head.h"

#include <string.h>
#include <time.h>

#include "common/http_header.h"

#define DATE_TEXT_BYTES 64

void
response_head_init(struct response_head *head, struct mg_connection *connection,
    uint32_t status)
{
	memset(head, 0, sizeof(*head));
	head->connection = connection;
	head->text = g_string_new(NULL);
	g_string_append_printf(head->text, "HTTP/1.1 %u %s\r\n", status,
	    mg_get_response_code_text(connection, (int)status));
}

void
response_head_add(struct response_head *head, const char *name,
    const char *value)
{
	head->has_date |= g_ascii_strcasecmp(name, "Date") == 0;
	head->has_connection |= g_ascii_strcasecmp(name, "Connection") == 0;
	g_string_append_printf(head->text, "%s: %s\r\n", name, value);
}

void
response_head_add_number(struct response_head *head, const char *name,
    uint64_t value)
{
	g_string_append_printf(head->text, "%s: %" G_GUINT64_FORMAT "\r\n",
	    name, value);
}

void
response_head_add_lines(struct response_head *head, const char *lines)
{
	char **each = g_strsplit(lines, "\r\n", -1);

	for (char **line = each; *line != NULL; line++) {
		char *colon = strchr(*line, ':');
		if (colon == NULL)
			continue;
		*colon = '\0';
		response_head_add(head, *line, g_strchug(colon + 1));
	}
	g_strfreev(each);
}

void
response_head_close(struct response_head *head)
{
	head->closes = true;
	mg_disable_connection_keep_alive(head->connection);
}

static void
add_date(struct response_head *head)
{
	time_t now_s = time(NULL);
	char date[DATE_TEXT_BYTES];
	struct tm parts;

	gmtime_r(&now_s, &parts);
	strftime(date, sizeof(date), "%a, %d %b %Y %H:%M:%S GMT", &parts);
	response_head_add(head, "Date", date);
}

/* @return whether the caller asked for the end of the connection */
static bool
caller_closes(const struct response_head *head)
{
	const char *value = mg_get_header(head->connection, "Connection");

	return value != NULL &&
	    http_header_is_connection_option(value, "close");
}

void
response_head_send(struct response_head *head, const char *body,
    size_t body_bytes)
{
	if (!head->has_date)
		add_date(head);
	if (!head->has_connection && (head->closes || caller_closes(head)))
		response_head_add(head, "Connection", "close");
	g_string_append(head->text, "\r\n");
	g_string_append_len(head->text, body, (gssize)body_bytes);
	mg_write(head->connection, head->text->str, head->text->len);
	g_string_free(head->text, TRUE);
	head->text = NULL;
}
