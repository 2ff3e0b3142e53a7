#include "bamboorudderd/response.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define READ_BUFFER_BYTES 16384u
#define MS_PER_S 1000u
#define NUMBER_TEXT_BYTES 24

static void
add_number_header(struct mg_connection *connection, const char *name,
    uint64_t value)
{
	char text[NUMBER_TEXT_BYTES];

	snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, value);
	mg_response_header_add(connection, name, text, -1);
}

static void
send_body(struct mg_connection *connection, json_t *document)
{
	char *text = json_dumps(document, JSON_COMPACT);

	mg_response_header_add(connection, "Content-Type", "application/json",
	    -1);
	add_number_header(connection, "Content-Length", strlen(text) + 1);
	mg_response_header_send(connection);
	mg_write(connection, text, strlen(text));
	mg_write(connection, "\n", 1);
	free(text);
	json_decref(document);
}

void
response_send_error(struct mg_connection *connection,
    const struct error_response *error)
{
	const char *run = error->run == RUN_NOT_RUN ? "not-run" : "unknown";
	json_t *document = json_pack("{s:{s:s, s:s, s:s, s:s?}}", "error",
	    "type", error->type, "message", error->message, "run", run,
	    "request_id", error->request_id);

	mg_disable_connection_keep_alive(connection);
	mg_response_header_start(connection, (int)error->status);
	mg_response_header_add(connection, HEADER_RUN, run, -1);
	if (error->request_id != NULL)
		mg_response_header_add(connection, HEADER_REQUEST_ID,
		    error->request_id, -1);
	if (error->retry_after_ms != 0)
		add_number_header(connection, "Retry-After",
		    (error->retry_after_ms + MS_PER_S - 1) / MS_PER_S);
	if (error->status == 401)
		mg_response_header_add(connection, "WWW-Authenticate", "Bearer",
		    -1);
	send_body(connection, document);
}

void
response_send_json(struct mg_connection *connection, uint32_t status,
    json_t *document)
{
	mg_response_header_start(connection, (int)status);
	send_body(connection, document);
}

char *
request_read_body(struct mg_connection *connection, uint32_t max_bytes,
    size_t *length_bytes, uint32_t *status)
{
	const struct mg_request_info *info = mg_get_request_info(connection);
	GByteArray *body = g_byte_array_new();
	guint8 buffer[READ_BUFFER_BYTES];
	int count = 0;

	*status = 413;
	if (info->content_length > (long long)max_bytes) {
		g_byte_array_free(body, TRUE);
		return NULL;
	}
	while (body->len <= max_bytes &&
	    (count = mg_read(connection, buffer, sizeof(buffer))) > 0)
		g_byte_array_append(body, buffer, (guint)count);
	if (count < 0 ||
	    (info->content_length >= 0 && body->len < info->content_length))
		*status = 400;
	else if (body->len <= max_bytes) {
		*status = 0;
		*length_bytes = body->len;
		g_byte_array_append(body, (const guint8 *)"", 1);
		return (char *)g_byte_array_free(body, FALSE);
	}
	g_byte_array_free(body, TRUE);
	return NULL;
}

const char *
request_bearer_token(const struct mg_connection *connection)
{
	static const char scheme[] = "Bearer ";
	const char *value = mg_get_header(connection, "Authorization");

	if (value == NULL ||
	    g_ascii_strncasecmp(value, scheme, strlen(scheme)) != 0)
		return NULL;
	return value + strlen(scheme);
}
