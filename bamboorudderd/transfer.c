#include "bamboorudderd/transfer.h"

#include <jansson.h>
#include <string.h>

#include "bamboorudderd/response.h"
#include "common/http_header.h"
#include "common/metric.h"

#define HEADERS_MAX_COUNT 56u
#define JSON_BODY_MAX_BYTES (1024u * 1024u)
#define EVENT_MAX_BYTES (256u * 1024u)

void
transfer_init(struct transfer *transfer, const struct relay *relay)
{
	memset(transfer, 0, sizeof(*transfer));
	transfer->relay = relay;
	transfer->headers = g_ptr_array_new_with_free_func(g_free);
	transfer->partial_event = g_string_new(NULL);
	transfer->json_body = g_string_new(NULL);
	sse_parser_init(&transfer->sse);
}

void
transfer_finish(struct transfer *transfer)
{
	g_ptr_array_free(transfer->headers, TRUE);
	g_string_free(transfer->partial_event, TRUE);
	g_string_free(transfer->json_body, TRUE);
	g_free(transfer->connection);
	http_head_finish(&transfer->head);
	curl_easy_cleanup(transfer->handle);
}

CURL *
transfer_next_handle(struct transfer *transfer)
{
	curl_easy_cleanup(transfer->handle);
	transfer->handle = curl_easy_init();
	http_head_finish(&transfer->head);
	http_head_init(&transfer->head);
	return transfer->handle;
}

static const char *
header_value(const char *line)
{
	const char *value = strchr(line, ':') + 1;

	return value + strspn(value, " \t");
}

static void
clear_headers(struct transfer *transfer)
{
	g_ptr_array_set_size(transfer->headers, 0);
	g_clear_pointer(&transfer->connection, g_free);
	transfer->headers_complete = false;
	transfer->is_stream = false;
	transfer->not_run = false;
}

static void
store_header(struct transfer *transfer)
{
	const struct http_head *head = &transfer->head;

	if (g_ascii_strcasecmp(head->name, HEADER_RUN) == 0)
		transfer->not_run = strcmp(head->value, "not-run") == 0;
	else if (g_ascii_strcasecmp(head->name, "content-type") == 0)
		transfer->is_stream = strstr(head->value,
					  "text/event-stream") != NULL;
	else if (g_ascii_strcasecmp(head->name, "connection") == 0) {
		g_free(transfer->connection);
		transfer->connection = g_strdup(head->value);
	}
	g_ptr_array_add(transfer->headers,
	    g_strdup_printf("%s: %s", head->name, head->value));
}

/* @return whether the response is wanted */
static bool
add_line(struct transfer *transfer, const char *bytes, size_t length)
{
	switch (http_head_add_line(&transfer->head, bytes, length)) {
	case HTTP_HEAD_STATUS:
		clear_headers(transfer);
		return true;
	case HTTP_HEAD_FIELD:
		if (transfer->headers->len >= HEADERS_MAX_COUNT)
			return false;
		store_header(transfer);
		return true;
	case HTTP_HEAD_END:
		transfer->headers_complete = true;
		return true;
	case HTTP_HEAD_TRAILER:
		return true;
	default:
		return false;
	}
}

size_t
transfer_on_header(char *bytes, size_t size, size_t count, void *context)
{
	struct transfer *transfer = context;
	size_t length = size * count;

	return add_line(transfer, bytes, length) ? length : 0;
}

bool
transfer_has_status(const struct transfer *transfer)
{
	return http_status_is_final(transfer->head.status);
}

bool
transfer_not_run(const struct transfer *transfer)
{
	return transfer->not_run && transfer->head.status >= 400;
}

static void
forward_header(struct transfer *transfer, struct response_head *head,
    const char *line)
{
	char *name = g_strndup(line, strcspn(line, ":"));
	struct claim_response *record = transfer->relay->recorded_response;

	if (http_header_is_forwarded_to_caller(name, transfer->connection)) {
		response_head_add(head, name, header_value(line));
		if (record != NULL &&
		    record->headers->len + strlen(line) + 2 <=
			CLAIM_HEADERS_MAX_BYTES)
			g_string_append_printf(record->headers, "%s\r\n", line);
	}
	g_free(name);
}

static void
forward_headers(struct transfer *transfer, struct response_head *head)
{
	for (guint i = 0; i < transfer->headers->len; i++)
		forward_header(transfer, head,
		    g_ptr_array_index(transfer->headers, i));
}

/* Sets the headers that delimit the body. */
static void
add_framing(struct transfer *transfer, struct response_head *head)
{
	const struct mg_request_info *info = mg_get_request_info(
	    transfer->relay->caller);
	curl_off_t length = -1;

	curl_easy_getinfo(transfer->handle, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T,
	    &length);
	transfer->no_body = transfer->head.status == 204 ||
	    transfer->head.status == 304 ||
	    strcmp(info->request_method, "HEAD") == 0;
	if (length >= 0 && transfer->head.status != 204)
		response_head_add_number(head, "Content-Length",
		    (uint64_t)length);
	else if (!transfer->no_body) {
		transfer->chunked = strcmp(info->http_version, "1.0") != 0;
		if (transfer->chunked)
			response_head_add(head, "Transfer-Encoding", "chunked");
		else
			response_head_close(head);
	}
}

static void
send_headers(struct transfer *transfer)
{
	struct response_head head;

	response_head_init(&head, transfer->relay->caller,
	    transfer->head.status);
	forward_headers(transfer, &head);
	response_head_add(&head, HEADER_REQUEST_ID,
	    transfer->relay->request_id);
	add_framing(transfer, &head);
	response_head_send(&head, "", 0);
	transfer->headers_sent = true;
}

static bool
send_bytes(struct transfer *transfer, const char *bytes, size_t length)
{
	struct mg_connection *caller = transfer->relay->caller;

	if (transfer->chunked)
		return mg_send_chunk(caller, bytes, (unsigned)length) > 0;
	return mg_write(caller, bytes, length) == (int)length;
}

static void
count_tokens(struct transfer *transfer, const char *bytes, size_t length)
{
	uint64_t before = transfer->sse.token_events_count;

	if (transfer->is_stream) {
		sse_parser_feed(&transfer->sse, bytes, length);
		metric_add(METRIC_TOKENS,
		    transfer->sse.token_events_count - before);
		atomic_store(transfer->relay->tokens,
		    transfer->sse.token_events_count);
	} else if (transfer->json_body->len + length <= JSON_BODY_MAX_BYTES)
		g_string_append_len(transfer->json_body, bytes, (gssize)length);
}

static void
record_body(struct claim_response *record, const char *bytes, size_t length)
{
	if (record->body->len + length > CLAIM_BODY_MAX_BYTES)
		record->body_kept = false;
	if (record->body_kept)
		g_string_append_len(record->body, bytes, (gssize)length);
}

/* Forwards bytes to the caller. @return false to abort the transfer */
static bool
forward_bytes(struct transfer *transfer, const char *bytes, size_t length)
{
	struct claim_response *record = transfer->relay->recorded_response;

	if (!transfer->headers_sent)
		send_headers(transfer);
	if (length == 0)
		return true;
	count_tokens(transfer, bytes, length);
	if (record != NULL)
		record_body(record, bytes, length);
	if (!transfer->caller_disconnected &&
	    !send_bytes(transfer, bytes, length))
		transfer->caller_disconnected = true;
	return !transfer->caller_disconnected || record != NULL;
}

/* Forwards complete events and holds back an incomplete one, so that the caller
 * never receives a truncated event. An event longer than EVENT_MAX_BYTES is
 * forwarded in parts. */
static bool
forward_complete_events(struct transfer *transfer, const char *bytes,
    size_t length)
{
	GString *partial = transfer->partial_event;
	size_t scanned_bytes = partial->len, complete_bytes;
	bool continues;

	g_string_append_len(partial, bytes, (gssize)length);
	complete_bytes = sse_complete_events_bytes(partial->str, partial->len,
	    scanned_bytes);
	if (partial->len - complete_bytes > EVENT_MAX_BYTES)
		complete_bytes = partial->len;
	if (complete_bytes == 0)
		return true;
	continues = forward_bytes(transfer, partial->str, complete_bytes);
	g_string_erase(partial, 0, (gssize)complete_bytes);
	return continues;
}

size_t
transfer_on_body(char *bytes, size_t size, size_t count, void *context)
{
	struct transfer *transfer = context;
	size_t length = size * count;
	bool continues;

	if (!transfer->headers_sent && !transfer_has_status(transfer))
		return 0;
	if (transfer->resume_count == 0 && !transfer->headers_sent &&
	    transfer_not_run(transfer))
		return length;
	if (transfer->resume_count > 0 &&
	    (transfer_not_run(transfer) || transfer->head.status != 200 ||
		!transfer->is_stream))
		return 0;
	continues = transfer->is_stream
	    ? forward_complete_events(transfer, bytes, length)
	    : forward_bytes(transfer, bytes, length);
	return continues ? length : 0;
}

/* The count reported by the engine takes precedence over the counted events. */
static void
set_reported_tokens(struct transfer *transfer)
{
	const char *text = transfer->is_stream ? transfer->sse.usage_line
					       : transfer->json_body->str;
	json_t *root = json_loads(text, 0, NULL);
	json_t *usage = json_object_get(root, "usage");
	json_t *tokens = json_object_get(usage, "completion_tokens");

	if (json_is_integer(tokens) && json_integer_value(tokens) >= 0)
		atomic_store(transfer->relay->tokens,
		    (uint64_t)json_integer_value(tokens));
	json_decref(root);
}

void
transfer_complete(struct transfer *transfer)
{
	if (transfer->partial_event->len > 0 || !transfer->headers_sent)
		forward_bytes(transfer, transfer->partial_event->str,
		    transfer->partial_event->len);
	if (transfer->chunked && !transfer->caller_disconnected)
		mg_send_chunk(transfer->relay->caller, "", 0);
	set_reported_tokens(transfer);
	if (transfer->relay->recorded_response != NULL)
		transfer->relay->recorded_response->status = transfer->head
								 .status;
}
