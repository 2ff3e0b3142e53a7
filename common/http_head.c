#include "common/http_head.h"

#include <string.h>

#define VERSION_TEXT "HTTP/1."
/* Position of the minor version, and of the status. */
#define MINOR_OFFSET 7u
#define STATUS_OFFSET 9u
#define STATUS_DIGITS_COUNT 3u
#define STATUS_FINAL_MIN 200u
/* The parser reads the fields of a trailer as those of a head. */
#define TRAILER_STATUS_LINE "HTTP/1.1 200 OK\r\n"
#define FIELD_LENGTH "Content-Length"
#define FIELD_CODING "Transfer-Encoding"

static int
skip_body(http_parser *parser)
{
	(void)parser;
	return 1;
}

static const http_parser_settings settings = {
	.on_headers_complete = skip_body,
};

void
http_head_init(struct http_head *head)
{
	memset(head, 0, sizeof(*head));
}

void
http_head_finish(struct http_head *head)
{
	if (head->line != NULL)
		g_string_free(head->line, TRUE);
	head->line = NULL;
	head->name = NULL;
	head->value = NULL;
}

static enum http_head_part
fail(struct http_head *head, const char *problem)
{
	head->problem = problem;
	return HTTP_HEAD_INVALID;
}

/* Passes a line to the parser. @return whether it found no error */
static bool
parse(struct http_head *head, const char *bytes, size_t length)
{
	http_parser_execute(&head->parser, &settings, bytes, length);
	if (HTTP_PARSER_ERRNO(&head->parser) == HPE_OK)
		return true;
	head->problem = http_errno_description(
	    HTTP_PARSER_ERRNO(&head->parser));
	return false;
}

/* Lets the line hold the received one without its line end.
 * @return whether it is a text */
static bool
set_line(struct http_head *head, const char *bytes, size_t length)
{
	if (length == 0 || bytes[length - 1] != '\n')
		return false;
	length--;
	if (length > 0 && bytes[length - 1] == '\r')
		length--;
	if (head->line == NULL)
		head->line = g_string_new(NULL);
	g_string_truncate(head->line, 0);
	g_string_append_len(head->line, bytes, (gssize)length);
	for (size_t i = 0; i < length; i++)
		if (g_ascii_iscntrl(bytes[i]) && bytes[i] != '\t')
			return false;
	return true;
}

static bool
is_status_line(const char *line)
{
	const char *status = line + STATUS_OFFSET;

	if (strncmp(line, VERSION_TEXT, strlen(VERSION_TEXT)) != 0 ||
	    (line[MINOR_OFFSET] != '0' && line[MINOR_OFFSET] != '1') ||
	    line[MINOR_OFFSET + 1] != ' ')
		return false;
	for (size_t i = 0; i < STATUS_DIGITS_COUNT; i++)
		if (!g_ascii_isdigit(status[i]))
			return false;
	return status[STATUS_DIGITS_COUNT] == '\0' ||
	    status[STATUS_DIGITS_COUNT] == ' ';
}

static enum http_head_part
add_status_line(struct http_head *head, const char *bytes, size_t length)
{
	if (!is_status_line(head->line->str))
		return fail(head, "invalid status line");
	http_parser_init(&head->parser, HTTP_RESPONSE);
	head->chunked = false;
	head->fields_count = 0;
	if (!parse(head, bytes, length))
		return HTTP_HEAD_INVALID;
	head->status = head->parser.status_code;
	head->state = HTTP_HEAD_EXPECTS_FIELD;
	return HTTP_HEAD_STATUS;
}

/* Sets name and value, without the blanks around them.
 * @return whether the line has both */
static bool
split_line(struct http_head *head)
{
	char *line = head->line->str, *colon = strchr(line, ':');

	if (colon == NULL)
		return false;
	*colon = '\0';
	head->blank_before_colon = colon > line && colon[-1] == ' ';
	head->name = g_strchomp(line);
	head->value = g_strstrip(colon + 1);
	return true;
}

/* Checks what the parser doesn't of a name and of the fields that tell where the
 * body ends. libcurl doesn't see one of these with a blank before its colon. */
static const char *
find_field_problem(struct http_head *head)
{
	bool is_length = g_ascii_strcasecmp(head->name, FIELD_LENGTH) == 0;
	bool is_coding = g_ascii_strcasecmp(head->name, FIELD_CODING) == 0;

	if (strchr(head->name, ' ') != NULL ||
	    (head->blank_before_colon && (is_length || is_coding)))
		return "blank in a field name";
	if (is_length && head->value[0] == '\0')
		return "empty Content-Length";
	if (!is_coding)
		return NULL;
	if (head->chunked || head->parser.http_minor == 0 ||
	    g_ascii_strcasecmp(head->value, "chunked") != 0)
		return "Transfer-Encoding other than chunked once";
	head->chunked = true;
	return NULL;
}

/* Checks a line of a head or trailer that is not blank. */
static bool
check_field(struct http_head *head, const char *bytes, size_t length)
{
	const char *problem = NULL;

	if (++head->fields_count > HTTP_HEAD_FIELDS_MAX_COUNT)
		problem = "too many fields";
	else if (head->line->str[0] == ' ' || head->line->str[0] == '\t')
		problem = "folded field line";
	else if (!parse(head, bytes, length))
		return false;
	else if (!split_line(head))
		problem = "field line without a colon";
	else
		problem = find_field_problem(head);
	head->problem = problem;
	return problem == NULL;
}

static enum http_head_part
add_field_line(struct http_head *head, const char *bytes, size_t length)
{
	if (head->line->len > 0)
		return check_field(head, bytes, length) ? HTTP_HEAD_FIELD
							: HTTP_HEAD_INVALID;
	if (!parse(head, bytes, length))
		return HTTP_HEAD_INVALID;
	head->state = head->status < STATUS_FINAL_MIN
	    ? HTTP_HEAD_EXPECTS_STATUS
	    : HTTP_HEAD_EXPECTS_TRAILER;
	head->fields_count = 0;
	http_parser_init(&head->parser, HTTP_RESPONSE);
	return HTTP_HEAD_END;
}

static enum http_head_part
add_trailer_line(struct http_head *head, const char *bytes, size_t length)
{
	if (head->line->len == 0)
		return HTTP_HEAD_TRAILER;
	if (head->parser.nread == 0 &&
	    !parse(head, TRAILER_STATUS_LINE, strlen(TRAILER_STATUS_LINE)))
		return HTTP_HEAD_INVALID;
	return check_field(head, bytes, length) ? HTTP_HEAD_TRAILER
						: HTTP_HEAD_INVALID;
}

enum http_head_part
http_head_add_line(struct http_head *head, const char *bytes, size_t length)
{
	if (head->problem != NULL)
		return HTTP_HEAD_INVALID;
	head->received_bytes += length;
	if (head->received_bytes > HTTP_HEAD_MAX_BYTES)
		return fail(head, "heads and trailers too long");
	if (!set_line(head, bytes, length))
		return fail(head, "control character in a line");
	switch (head->state) {
	case HTTP_HEAD_EXPECTS_STATUS:
		return add_status_line(head, bytes, length);
	case HTTP_HEAD_EXPECTS_FIELD:
		return add_field_line(head, bytes, length);
	default:
		return add_trailer_line(head, bytes, length);
	}
}
