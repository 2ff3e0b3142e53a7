#include "bamboorudderd/relay.h"

#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "bamboorudderd/reply.h"
#include "common/header.h"
#include "common/metric.h"
#include "common/sse.h"

#define HEAD_MAX_BYTES 65536u
#define HEAD_MAX_COUNT 56u /* CivetWeb sends at most 64 headers */
#define JSON_ANSWER_SCAN_MAX_BYTES (1024u * 1024u)
#define EVENT_MAX_BYTES (256u * 1024u)
#define RESUMES_MAX_COUNT 3u
#define LOW_SPEED_BYTES_PER_S 1L
#define MS_PER_S 1000u
#define NUMBER_TEXT_BYTES 24

/* State of one attempt while libcurl runs it. */
struct transfer {
	const struct relay *relay;
	CURL *handle;
	GPtrArray *head; /* lines of the endpoint's head, without CR LF */
	size_t head_bytes;
	char *connection; /* the endpoint's Connection header, or NULL */
	long status;
	bool is_stream;
	bool refusal; /* the endpoint says that it did not run it */
	bool head_ended; /* the endpoint's head came whole */
	bool head_sent;
	bool no_body; /* HEAD, 204 and 304 */
	bool chunked;
	bool caller_gone;
	uint32_t resumes_count;
	struct sse_counter sse;
	GString *pending; /* start of an event that is not yet whole */
	GString *scanned; /* body of a JSON answer, for its usage */
};

static void
handle_free(gpointer handle)
{
	curl_easy_cleanup(handle);
}

static GPrivate thread_handle = G_PRIVATE_INIT(handle_free);

static bool
header_is(const char *line, const char *name)
{
	size_t length = strlen(name);

	return g_ascii_strncasecmp(line, name, length) == 0 &&
	    line[length] == ':';
}

static const char *
header_value(const char *line)
{
	const char *value = strchr(line, ':') + 1;

	return value + strspn(value, " \t");
}

static void
clear_head(struct transfer *transfer)
{
	g_ptr_array_set_size(transfer->head, 0);
	g_clear_pointer(&transfer->connection, g_free);
	transfer->head_bytes = 0;
	transfer->head_ended = false;
	transfer->is_stream = false;
	transfer->refusal = false;
}

static void
take_header(struct transfer *transfer, char *line)
{
	if (header_is(line, HEADER_RUN))
		transfer->refusal = strcmp(header_value(line), "not-run") == 0;
	else if (header_is(line, "content-type"))
		transfer->is_stream = strstr(line, "text/event-stream") != NULL;
	else if (header_is(line, "connection")) {
		g_free(transfer->connection);
		transfer->connection = g_strdup(header_value(line));
	}
	g_ptr_array_add(transfer->head, line);
}

/* Called for each line of each head, and for trailers, which don't pass. */
static size_t
on_header(char *bytes, size_t size, size_t count, void *context)
{
	struct transfer *transfer = context;
	size_t length = size * count;
	char *line;

	if (transfer->head_sent && transfer->resumes_count == 0)
		return length;
	if (length > 5 && strncmp(bytes, "HTTP/", 5) == 0) {
		clear_head(transfer);
		return length;
	}
	transfer->head_bytes += length;
	if (transfer->head_bytes > HEAD_MAX_BYTES ||
	    transfer->head->len >= HEAD_MAX_COUNT)
		return 0;
	line = g_strchomp(g_strndup(bytes, length));
	transfer->head_ended = line[0] == '\0';
	if (strchr(line, ':') != NULL && line[0] != ' ' && line[0] != '\t')
		take_header(transfer, line);
	else
		g_free(line);
	return length;
}

static bool
refused(struct transfer *transfer)
{
	curl_easy_getinfo(transfer->handle, CURLINFO_RESPONSE_CODE,
	    &transfer->status);
	return transfer->refusal && transfer->status >= 400;
}

static void
add_head_line(struct transfer *transfer, const char *line)
{
	char *name = g_strndup(line, strcspn(line, ":"));
	struct claim_answer *record = transfer->relay->record;

	if (header_passes_to_caller(name, transfer->connection)) {
		mg_response_header_add(transfer->relay->caller, name,
		    header_value(line), -1);
		if (record != NULL &&
		    record->headers->len + strlen(line) + 2 <=
			CLAIM_HEADERS_MAX_BYTES)
			g_string_append_printf(record->headers, "%s\r\n", line);
	}
	g_free(name);
}

static void
add_head_lines(struct transfer *transfer)
{
	for (guint i = 0; i < transfer->head->len; i++)
		add_head_line(transfer, g_ptr_array_index(transfer->head, i));
}

/* Tells the caller where the body ends. */
static void
add_framing(struct transfer *transfer)
{
	struct mg_connection *caller = transfer->relay->caller;
	const struct mg_request_info *info = mg_get_request_info(caller);
	curl_off_t length = -1;
	char number[NUMBER_TEXT_BYTES];

	curl_easy_getinfo(transfer->handle, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T,
	    &length);
	transfer->no_body = transfer->status == 204 ||
	    transfer->status == 304 ||
	    strcmp(info->request_method, "HEAD") == 0;
	if (length >= 0 && transfer->status != 204) {
		snprintf(number, sizeof(number), "%" G_GINT64_FORMAT,
		    (gint64)length);
		mg_response_header_add(caller, "Content-Length", number, -1);
	} else if (!transfer->no_body) {
		transfer->chunked = strcmp(info->http_version, "1.0") != 0;
		if (transfer->chunked)
			mg_response_header_add(caller, "Transfer-Encoding",
			    "chunked", -1);
		else
			mg_disable_connection_keep_alive(caller);
	}
}

static void
send_head(struct transfer *transfer)
{
	struct mg_connection *caller = transfer->relay->caller;

	curl_easy_getinfo(transfer->handle, CURLINFO_RESPONSE_CODE,
	    &transfer->status);
	mg_response_header_start(caller, (int)transfer->status);
	add_head_lines(transfer);
	mg_response_header_add(caller, HEADER_REQUEST_ID,
	    transfer->relay->request_id, -1);
	add_framing(transfer);
	mg_response_header_send(caller);
	transfer->head_sent = true;
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
	uint64_t before = transfer->sse.events_count;

	if (transfer->is_stream) {
		sse_counter_feed(&transfer->sse, bytes, length);
		metric_add(METRIC_TOKENS, transfer->sse.events_count - before);
		atomic_store(transfer->relay->tokens,
		    transfer->sse.events_count);
	} else if (transfer->scanned->len + length <=
	    JSON_ANSWER_SCAN_MAX_BYTES)
		g_string_append_len(transfer->scanned, bytes, (gssize)length);
}

static void
record_body(struct claim_answer *record, const char *bytes, size_t length)
{
	if (record->body->len + length > CLAIM_BODY_MAX_BYTES)
		record->body_kept = false;
	if (record->body_kept)
		g_string_append_len(record->body, bytes, (gssize)length);
}

/* Passes bytes on. @return false to end the transfer */
static bool
pass_on(struct transfer *transfer, const char *bytes, size_t length)
{
	struct claim_answer *record = transfer->relay->record;

	if (!transfer->head_sent)
		send_head(transfer);
	if (length == 0)
		return true;
	count_tokens(transfer, bytes, length);
	if (record != NULL)
		record_body(record, bytes, length);
	if (!transfer->caller_gone && !send_bytes(transfer, bytes, length))
		transfer->caller_gone = true;
	return !transfer->caller_gone || record != NULL;
}

/* Passes on whole events and holds back the start of the next one, so that a
 * cut within an event never reaches the caller. */
static bool
pass_events(struct transfer *transfer, const char *bytes, size_t length)
{
	GString *pending = transfer->pending;
	size_t checked = pending->len, whole;
	bool going;

	g_string_append_len(pending, bytes, (gssize)length);
	whole = sse_whole_bytes(pending->str, pending->len, checked);
	if (pending->len - whole > EVENT_MAX_BYTES)
		whole = pending->len;
	if (whole == 0)
		return true;
	going = pass_on(transfer, pending->str, whole);
	g_string_erase(pending, 0, (gssize)whole);
	return going;
}

static size_t
on_body(char *bytes, size_t size, size_t count, void *context)
{
	struct transfer *transfer = context;
	size_t length = size * count;
	bool going;

	if (transfer->resumes_count == 0 && !transfer->head_sent &&
	    refused(transfer))
		return length;
	if (transfer->resumes_count > 0 &&
	    (refused(transfer) || transfer->status != 200 ||
		!transfer->is_stream))
		return 0;
	going = transfer->is_stream ? pass_events(transfer, bytes, length)
				    : pass_on(transfer, bytes, length);
	return going ? length : 0;
}

/* The engine's own count at the end of its answer goes before ours. */
static void
settle_tokens(struct transfer *transfer)
{
	const char *text = transfer->is_stream ? transfer->sse.usage_line
					       : transfer->scanned->str;
	json_t *root = json_loads(text, 0, NULL);
	json_t *usage = json_object_get(root, "usage");
	json_t *tokens = json_object_get(usage, "completion_tokens");

	if (json_is_integer(tokens) && json_integer_value(tokens) >= 0)
		atomic_store(transfer->relay->tokens,
		    (uint64_t)json_integer_value(tokens));
	json_decref(root);
}

static struct curl_slist *
append_header(struct curl_slist *list, const char *name, const char *value)
{
	/* libcurl takes "Name:" for a header to leave out */
	char *line = value[0] == '\0' ? g_strdup_printf("%s;", name)
				      : g_strdup_printf("%s: %s", name, value);

	list = curl_slist_append(list, line);
	g_free(line);
	return list;
}

static struct curl_slist *
request_headers(const struct transfer *transfer)
{
	const struct relay *relay = transfer->relay;
	const struct mg_request_info *info = mg_get_request_info(relay->caller);
	const char *connection = mg_get_header(relay->caller, "Connection");
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	bool resumes = transfer->resumes_count > 0;

	for (int i = 0; i < info->num_headers; i++) {
		const struct mg_header *header = &info->http_headers[i];
		if (!header_passes_to_endpoint(header->name, connection) ||
		    (resumes &&
			g_ascii_strcasecmp(header->name, "Last-Event-ID") == 0))
			continue;
		list = append_header(list, header->name, header->value);
	}
	if (mg_get_header(relay->caller, "Content-Type") == NULL)
		list = curl_slist_append(list, "Content-Type:");
	if (resumes)
		list = append_header(list, "Last-Event-ID",
		    transfer->sse.last_id);
	return append_header(list, HEADER_REQUEST_ID, relay->request_id);
}

static void
set_request(CURL *handle, const struct relay *relay)
{
	const struct mg_request_info *info = mg_get_request_info(relay->caller);

	curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, info->request_method);
	if (strcmp(info->request_method, "HEAD") == 0)
		curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
	else if (relay->body_bytes > 0 ||
	    strcmp(info->request_method, "GET") != 0) {
		curl_easy_setopt(handle, CURLOPT_POSTFIELDS, relay->body);
		curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)relay->body_bytes);
	}
	if (!relay->idempotent) {
		/* libcurl sends again if a reused connection has died */
		curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
	}
}

static void
set_limits(CURL *handle, const struct relay_config *config)
{
	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(handle, CURLOPT_HTTP09_ALLOWED, 0L);
	curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
	    (long)config->connect_timeout_ms);
	curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
	    (long)config->request_timeout_ms);
	curl_easy_setopt(handle, CURLOPT_LOW_SPEED_LIMIT,
	    LOW_SPEED_BYTES_PER_S);
	curl_easy_setopt(handle, CURLOPT_LOW_SPEED_TIME,
	    (long)(config->idle_timeout_ms / MS_PER_S));
}

static CURLcode
perform(struct transfer *transfer)
{
	const struct relay *relay = transfer->relay;
	struct curl_slist *headers = request_headers(transfer);
	char *url = g_strdup_printf("http://%s%s", relay->address,
	    relay->target);
	CURL *handle = transfer->handle;
	curl_off_t first_us = 0;
	CURLcode code;

	curl_easy_reset(handle);
	curl_easy_setopt(handle, CURLOPT_URL, url);
	curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(handle, CURLOPT_HEADERDATA, transfer);
	curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(handle, CURLOPT_WRITEDATA, transfer);
	set_limits(handle, relay->config);
	set_request(handle, relay);
	code = curl_easy_perform(handle);
	curl_easy_getinfo(handle, CURLINFO_STARTTRANSFER_TIME_T, &first_us);
	if (first_us > 0)
		metric_observe(HISTOGRAM_FIRST_BYTE, (uint64_t)first_us);
	curl_slist_free_all(headers);
	g_free(url);
	return code;
}

/* Whether no byte of the request can have left: libcurl counts what the
 * kernel took of it, so a connect that timed out counts none. */
static bool
nothing_sent(struct transfer *transfer, CURLcode code)
{
	long request_bytes = 0;

	if (code == CURLE_OK)
		return false;
	curl_easy_getinfo(transfer->handle, CURLINFO_REQUEST_SIZE,
	    &request_bytes);
	return request_bytes == 0;
}

/* libcurl takes a head that breaks off for a whole one. A model's stream is
 * whole only with its last event: an endpoint that ends a stream by closing
 * tells nothing. */
static bool
ended_well(const struct transfer *transfer, CURLcode code)
{
	if (code != CURLE_OK || !transfer->head_ended)
		return false;
	return !transfer->relay->model || !transfer->is_stream ||
	    transfer->status != 200 || transfer->sse.done;
}

static bool
may_resume(const struct transfer *transfer, CURLcode code)
{
	return transfer->relay->resume && transfer->head_sent &&
	    !transfer->caller_gone && transfer->sse.last_id[0] != '\0' &&
	    transfer->resumes_count < RESUMES_MAX_COUNT &&
	    !ended_well(transfer, code);
}

/* Goes on after the last whole event that the caller has. */
static CURLcode
resume(struct transfer *transfer, CURLcode code)
{
	while (may_resume(transfer, code)) {
		metric_add(METRIC_STREAMS_RESUMED, 1);
		transfer->resumes_count++;
		g_string_truncate(transfer->pending, 0);
		code = perform(transfer);
	}
	return code;
}

static enum relay_outcome
finish_answer(struct transfer *transfer)
{
	if (transfer->pending->len > 0 || !transfer->head_sent)
		pass_on(transfer, transfer->pending->str,
		    transfer->pending->len);
	if (transfer->chunked && !transfer->caller_gone)
		mg_send_chunk(transfer->relay->caller, "", 0);
	settle_tokens(transfer);
	if (transfer->relay->record != NULL)
		transfer->relay->record->status = (uint32_t)transfer->status;
	return RELAY_WHOLE;
}

static enum relay_outcome
judge(struct transfer *transfer, CURLcode code)
{
	if (transfer->caller_gone && transfer->relay->record == NULL)
		return RELAY_CALLER_GONE;
	if (!transfer->head_sent && nothing_sent(transfer, code))
		return RELAY_NOT_SENT;
	if (!transfer->head_sent && refused(transfer))
		return RELAY_REFUSED;
	if (!ended_well(transfer, code))
		return transfer->head_sent ? RELAY_BROKEN : RELAY_NO_ANSWER;
	return finish_answer(transfer);
}

static void
transfer_init(struct transfer *transfer, const struct relay *relay)
{
	memset(transfer, 0, sizeof(*transfer));
	transfer->relay = relay;
	transfer->handle = g_private_get(&thread_handle);
	if (transfer->handle == NULL) {
		transfer->handle = curl_easy_init();
		g_private_set(&thread_handle, transfer->handle);
	}
	transfer->head = g_ptr_array_new_with_free_func(g_free);
	transfer->pending = g_string_new(NULL);
	transfer->scanned = g_string_new(NULL);
	sse_counter_init(&transfer->sse);
}

static void
transfer_finish(struct transfer *transfer)
{
	g_ptr_array_free(transfer->head, TRUE);
	g_string_free(transfer->pending, TRUE);
	g_string_free(transfer->scanned, TRUE);
	g_free(transfer->connection);
}

enum relay_outcome
relay_run(const struct relay *relay)
{
	struct transfer transfer;
	enum relay_outcome outcome;

	transfer_init(&transfer, relay);
	outcome = judge(&transfer, resume(&transfer, perform(&transfer)));
	if (outcome == RELAY_BROKEN) {
		/* the caller must not take the rest for a whole answer */
		mg_disable_connection_keep_alive(relay->caller);
		metric_add(METRIC_ANSWERS_BROKEN, 1);
	}
	transfer_finish(&transfer);
	return outcome;
}
