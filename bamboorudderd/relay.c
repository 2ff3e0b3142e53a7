#include "bamboorudderd/relay.h"

#include <curl/curl.h>
#include <string.h>

#include "bamboorudderd/response.h"
#include "bamboorudderd/transfer.h"
#include "common/curl_thread.h"
#include "common/http_header.h"
#include "common/metric.h"

#define RESUMES_MAX_COUNT 3u
#define LOW_SPEED_BYTES_PER_S 1L
#define MS_PER_S 1000u

static GPrivate thread_connections = G_PRIVATE_INIT(curl_thread_free);

static struct curl_slist *
append_header(struct curl_slist *list, const char *name, const char *value)
{
	/* In libcurl "Name:" removes a header; "Name;" sends an empty one. */
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
	bool is_resume = transfer->resume_count > 0;

	for (int i = 0; i < info->num_headers; i++) {
		const struct mg_header *header = &info->http_headers[i];
		if (!http_header_is_forwarded_to_endpoint(header->name,
			connection) ||
		    (is_resume &&
			g_ascii_strcasecmp(header->name, "Last-Event-ID") == 0))
			continue;
		list = append_header(list, header->name, header->value);
	}
	if (mg_get_header(relay->caller, "Content-Type") == NULL)
		list = curl_slist_append(list, "Content-Type:");
	if (is_resume)
		list = append_header(list, "Last-Event-ID",
		    transfer->sse.last_event_id);
	return append_header(list, HEADER_REQUEST_ID, relay->request_id);
}

static void
set_method_and_body(CURL *handle, const struct relay *relay)
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
}

static void
set_connection_options(CURL *handle, const struct relay_config *config)
{
	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(handle, CURLOPT_HTTP09_ALLOWED, 0L);
	/* a late second response on a reused connection would be taken for the
	 * response to the next request, and libcurl resends a request if a reused
	 * connection died */
	curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
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
	char *url = g_strdup_printf("http://%s/", relay->address);
	CURL *handle = transfer_next_handle(transfer);
	curl_off_t first_byte_us = 0;
	CURLcode code;

	curl_easy_setopt(handle, CURLOPT_URL, url);
	curl_easy_setopt(handle, CURLOPT_REQUEST_TARGET, relay->target);
	curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, transfer_on_header);
	curl_easy_setopt(handle, CURLOPT_HEADERDATA, transfer);
	curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, transfer_on_body);
	curl_easy_setopt(handle, CURLOPT_WRITEDATA, transfer);
	set_connection_options(handle, relay->config);
	set_method_and_body(handle, relay);
	code = curl_thread_perform(&thread_connections, handle);
	curl_easy_getinfo(handle, CURLINFO_STARTTRANSFER_TIME_T,
	    &first_byte_us);
	if (first_byte_us > 0)
		metric_observe(HISTOGRAM_FIRST_BYTE, (uint64_t)first_byte_us);
	curl_slist_free_all(headers);
	g_free(url);
	return code;
}

/* @return true if nothing was sent: libcurl counts the bytes of the request
 * that the kernel accepted, which are 0 after a failed connect */
static bool
no_bytes_sent(struct transfer *transfer, CURLcode code)
{
	long request_bytes = 0;

	if (code == CURLE_OK)
		return false;
	curl_easy_getinfo(transfer->handle, CURLINFO_REQUEST_SIZE,
	    &request_bytes);
	return request_bytes == 0;
}

/* libcurl reports success for truncated headers. A stream of a model is
 * complete only after its [DONE] event, since a closed connection does not show
 * whether the stream was complete. */
static bool
response_is_complete(struct transfer *transfer, CURLcode code)
{
	if (code != CURLE_OK || !transfer->headers_complete ||
	    !transfer_has_status(transfer))
		return false;
	/* no other response can end a stream that has begun */
	if (transfer->resume_count > 0)
		return transfer->is_stream && transfer->sse.done;
	return !transfer->relay->is_model || !transfer->is_stream ||
	    transfer->head.status != 200 || transfer->sse.done;
}

static bool
can_resume(struct transfer *transfer, CURLcode code)
{
	return transfer->relay->can_resume && transfer->headers_sent &&
	    !transfer->caller_disconnected &&
	    transfer->sse.last_event_id[0] != '\0' &&
	    transfer->resume_count < RESUMES_MAX_COUNT &&
	    !response_is_complete(transfer, code);
}

/* Resumes the stream after the last event that was forwarded completely. */
static CURLcode
resume_stream(struct transfer *transfer, CURLcode code)
{
	while (can_resume(transfer, code)) {
		metric_add(METRIC_STREAMS_RESUMED, 1);
		transfer->resume_count++;
		g_string_truncate(transfer->partial_event, 0);
		code = perform(transfer);
	}
	return code;
}

static enum relay_outcome
classify_outcome(struct transfer *transfer, CURLcode code)
{
	if (transfer->caller_disconnected &&
	    transfer->relay->recorded_response == NULL)
		return RELAY_CALLER_DISCONNECTED;
	if (!transfer->headers_sent && no_bytes_sent(transfer, code))
		return RELAY_NOT_SENT;
	/* what a part of a head says counts for nothing */
	if (!transfer->headers_sent && transfer->headers_complete &&
	    transfer_not_run(transfer))
		return RELAY_REFUSED;
	if (!response_is_complete(transfer, code))
		return transfer->headers_sent ? RELAY_TRUNCATED
					      : RELAY_NO_RESPONSE;
	transfer_complete(transfer);
	return RELAY_COMPLETE;
}

enum relay_outcome
relay_run(const struct relay *relay)
{
	struct transfer transfer;
	enum relay_outcome outcome;

	transfer_init(&transfer, relay);
	outcome = classify_outcome(&transfer,
	    resume_stream(&transfer, perform(&transfer)));
	if (outcome == RELAY_TRUNCATED) {
		/* Closing the connection marks the response as incomplete. */
		mg_disable_connection_keep_alive(relay->caller);
		metric_add(METRIC_ANSWERS_BROKEN, 1);
	}
	transfer_finish(&transfer);
	return outcome;
}
