#include "bamboorudderd/relay.h"

#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "bamboorudderd/reply.h"
#include "common/metric.h"
#include "common/sse.h"

#define HEADER_LINE_MAX_BYTES 8192u
#define JSON_ANSWER_SCAN_MAX_BYTES (1024u * 1024u)
#define LOW_SPEED_BYTES_PER_S 1L
#define MS_PER_S 1000u

/* State of one attempt while libcurl runs it. */
struct transfer {
	const struct relay *relay;
	CURL *handle;
	GString *headers; /* lines to pass on */
	long status;
	int64_t length_bytes; /* -1: unknown */
	bool is_stream;
	bool refused; /* the endpoint says that it did not run it */
	bool head_sent;
	bool chunked;
	bool caller_gone;
	struct sse_counter sse;
	GString *scanned; /* body of a JSON answer, for its usage */
};

static void
handle_free(gpointer handle)
{
	curl_easy_cleanup(handle);
}

static GPrivate thread_handle = G_PRIVATE_INIT(handle_free);

static bool
header_is(const char *line, size_t length, const char *name)
{
	size_t name_length = strlen(name);

	return length > name_length && line[name_length] == ':' &&
	    g_ascii_strncasecmp(line, name, name_length) == 0;
}

/* Headers that belong to one hop or that the daemon sets itself. */
static bool
header_is_dropped(const char *line, size_t length)
{
	static const char *const names[] = { "connection", "keep-alive",
		"transfer-encoding", "te", "trailer", "upgrade",
		"proxy-authenticate", "content-length", "date", "server",
		HEADER_REQUEST_ID, HEADER_RUN };

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (header_is(line, length, names[i]))
			return true;
	return false;
}

static size_t
on_header(char *line, size_t size, size_t count, void *context)
{
	struct transfer *transfer = context;
	size_t length = size * count;

	if (length > 5 && strncmp(line, "HTTP/", 5) == 0) {
		g_string_truncate(transfer->headers, 0);
		return length;
	}
	if (header_is(line, length, HEADER_RUN))
		transfer->refused = g_strstr_len(line, (gssize)length,
					"not-run") != NULL;
	if (header_is(line, length, "content-type"))
		transfer->is_stream = g_strstr_len(line, (gssize)length,
					  "text/event-stream") != NULL;
	if (length > 2 && !header_is_dropped(line, length) &&
	    transfer->headers->len + length < HEADER_LINE_MAX_BYTES)
		g_string_append_len(transfer->headers, line, (gssize)length);
	return length;
}

static void
send_head(struct transfer *transfer)
{
	struct mg_connection *caller = transfer->relay->caller;
	const struct mg_request_info *info = mg_get_request_info(caller);
	curl_off_t length = -1;
	char number[24];

	curl_easy_getinfo(transfer->handle, CURLINFO_RESPONSE_CODE,
	    &transfer->status);
	curl_easy_getinfo(transfer->handle, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T,
	    &length);
	transfer->length_bytes = length;
	transfer->chunked = length < 0 &&
	    strcmp(info->http_version, "1.0") != 0;
	mg_response_header_start(caller, (int)transfer->status);
	if (transfer->headers->len > 0)
		mg_response_header_add_lines(caller, transfer->headers->str);
	mg_response_header_add(caller, HEADER_REQUEST_ID,
	    transfer->relay->request_id, -1);
	if (length >= 0) {
		snprintf(number, sizeof(number), "%" G_GINT64_FORMAT,
		    (gint64)length);
		mg_response_header_add(caller, "Content-Length", number, -1);
	} else if (transfer->chunked)
		mg_response_header_add(caller, "Transfer-Encoding", "chunked",
		    -1);
	else
		mg_disable_connection_keep_alive(caller);
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

static size_t
on_body(char *bytes, size_t size, size_t count, void *context)
{
	struct transfer *transfer = context;
	size_t length = size * count;

	if (transfer->refused)
		return length;
	if (!transfer->head_sent)
		send_head(transfer);
	count_tokens(transfer, bytes, length);
	if (length > 0 && !send_bytes(transfer, bytes, length)) {
		transfer->caller_gone = true;
		return 0;
	}
	return length;
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
	char *line = g_strdup_printf("%s: %s", name, value);

	list = curl_slist_append(list, line);
	g_free(line);
	return list;
}

/* Only these headers of a caller reach an endpoint. */
static struct curl_slist *
request_headers(const struct relay *relay)
{
	static const char *const names[] = { "Content-Type", "Accept",
		"Accept-Language", "Idempotency-Key", "Last-Event-ID" };
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		const char *value = mg_get_header(relay->caller, names[i]);
		if (value != NULL)
			list = append_header(list, names[i], value);
	}
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
	struct curl_slist *headers = request_headers(relay);
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

static enum relay_outcome
judge(struct transfer *transfer, CURLcode code)
{
	if (transfer->caller_gone)
		return RELAY_CALLER_GONE;
	if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST)
		return RELAY_NOT_SENT;
	if (transfer->refused)
		return RELAY_REFUSED;
	if (code != CURLE_OK)
		return transfer->head_sent ? RELAY_BROKEN : RELAY_NO_ANSWER;
	if (!transfer->head_sent)
		send_head(transfer);
	if (transfer->chunked)
		mg_send_chunk(transfer->relay->caller, "", 0);
	settle_tokens(transfer);
	return RELAY_WHOLE;
}

enum relay_outcome
relay_run(const struct relay *relay)
{
	struct transfer transfer = { .relay = relay, .length_bytes = -1 };
	enum relay_outcome outcome;

	transfer.handle = g_private_get(&thread_handle);
	if (transfer.handle == NULL) {
		transfer.handle = curl_easy_init();
		g_private_set(&thread_handle, transfer.handle);
	}
	transfer.headers = g_string_new(NULL);
	transfer.scanned = g_string_new(NULL);
	sse_counter_init(&transfer.sse);
	outcome = judge(&transfer, perform(&transfer));
	if (outcome == RELAY_BROKEN) {
		/* the caller must not take the rest for a whole answer */
		mg_disable_connection_keep_alive(relay->caller);
		metric_add(METRIC_ANSWERS_BROKEN, 1);
	}
	g_string_free(transfer.headers, TRUE);
	g_string_free(transfer.scanned, TRUE);
	return outcome;
}
