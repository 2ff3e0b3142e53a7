#include "bamboorudderd/response.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define READ_BUFFER_BYTES 16384u
#define MS_PER_S 1000u

static void
send_document(struct response_head *head, json_t *document)
{
	char *text = json_dumps(document, JSON_COMPACT);
	GString *body = g_string_new(text);

	free(text);
	json_decref(document);
	g_string_append_c(body, '\n');
	response_head_add(head, "Content-Type", "application/json");
	response_head_add_number(head, "Content-Length", body->len);
	response_head_send(head, body->str, body->len);
	g_string_free(body, TRUE);
}

void
response_send_error(struct mg_connection *connection,
    const struct error_response *error)
{
	const char *run = error->run == RUN_NOT_RUN ? "not-run" : "unknown";
	json_t *document = json_pack("{s:{s:s, s:s, s:s, s:s?}}", "error",
	    "type", error->type, "message", error->message, "run", run,
	    "request_id", error->request_id);
	struct response_head head;

	response_head_init(&head, connection, error->status);
	response_head_close(&head);
	response_head_add(&head, HEADER_RUN, run);
	if (error->request_id != NULL)
		response_head_add(&head, HEADER_REQUEST_ID, error->request_id);
	if (error->retry_after_ms != 0)
		response_head_add_number(&head, "Retry-After",
		    (error->retry_after_ms + MS_PER_S - 1) / MS_PER_S);
	if (error->status == 401)
		response_head_add(&head, "WWW-Authenticate", "Bearer");
	send_document(&head, document);
}

void
response_send_json(struct mg_connection *connection, uint32_t status,
    json_t *document)
{
	struct response_head head;

	response_head_init(&head, connection, status);
	send_document(&head, document);
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
