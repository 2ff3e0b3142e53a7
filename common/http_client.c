#include "common/http_client.h"

#include <string.h>

#include "common/curl_thread.h"
#include "common/http_head.h"

static GPrivate thread_connections = G_PRIVATE_INIT(curl_thread_free);

GQuark
http_error_quark(void)
{
	return g_quark_from_static_string("http-error");
}

static size_t
collect_body(char *bytes, size_t size, size_t count, void *context)
{
	struct http_response *response = context;

	response->too_large = response->body->len + size * count >
	    HTTP_RESPONSE_MAX_BYTES;
	if (response->too_large)
		return 0;
	g_string_append_len(response->body, bytes, (gssize)(size * count));
	return size * count;
}

/* What a request wants of the head of its response. */
struct head_reader {
	struct http_head head;
	const char *wanted_header; /* NULL for none */
	struct http_response *response;
};

static void
read_field(const struct head_reader *reader)
{
	const struct http_head *head = &reader->head;
	struct http_response *response = reader->response;

	if (g_ascii_strcasecmp(head->name, "etag") == 0)
		g_strlcpy(response->etag, head->value, sizeof(response->etag));
	if (reader->wanted_header != NULL &&
	    g_ascii_strcasecmp(head->name, reader->wanted_header) == 0)
		g_strlcpy(response->header_value, head->value,
		    sizeof(response->header_value));
}

static size_t
on_header(char *bytes, size_t size, size_t count, void *context)
{
	struct head_reader *reader = context;
	size_t length = size * count;

	switch (http_head_add_line(&reader->head, bytes, length)) {
	case HTTP_HEAD_STATUS:
		/* what an interim head said is not of this response */
		reader->response->etag[0] = '\0';
		reader->response->header_value[0] = '\0';
		return length;
	case HTTP_HEAD_FIELD:
		read_field(reader);
		return length;
	case HTTP_HEAD_INVALID:
		return 0;
	default:
		return length;
	}
}

static struct curl_slist *
append_header(struct curl_slist *list, const char *name, const char *value)
{
	char *line;

	if (value == NULL)
		return list;
	line = g_strdup_printf("%s: %s", name, value);
	list = curl_slist_append(list, line);
	g_free(line);
	return list;
}

static struct curl_slist *
request_headers(const struct http_request *request)
{
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	char *bearer = request->bearer_token == NULL
	    ? NULL
	    : g_strdup_printf("Bearer %s", request->bearer_token);

	if (request->body != NULL)
		list = append_header(list, "Content-Type", "application/json");
	list = append_header(list, "Authorization", bearer);
	list = append_header(list, "If-Match", request->if_match);
	list = append_header(list, "If-None-Match", request->if_none_match);
	g_free(bearer);
	return list;
}

static int
on_progress(void *context, curl_off_t download_total, curl_off_t download_now,
    curl_off_t upload_total, curl_off_t upload_now)
{
	const struct http_request *request = context;

	(void)download_total;
	(void)download_now;
	(void)upload_total;
	(void)upload_now;
	return request->cancelled != NULL &&
	    atomic_load(request->cancelled) != 0;
}

static enum http_error_code
error_of(CURLcode code, const struct http_response *response)
{
	if (code == CURLE_COULDNT_CONNECT)
		return HTTP_ERROR_CONNECT;
	return response->too_large ? HTTP_ERROR_TOO_LARGE : HTTP_ERROR_TRANSFER;
}

gboolean
http_perform(const struct http_request *request, struct http_response *response,
    GError **error)
{
	CURL *handle = curl_easy_init();
	struct curl_slist *headers = request_headers(request);
	struct head_reader reader = { .wanted_header = request->wanted_header,
		.response = response };
	CURLcode code;
	curl_off_t duration_us = 0;

	memset(response, 0, sizeof(*response));
	response->body = g_string_new(NULL);
	http_head_init(&reader.head);
	curl_easy_setopt(handle, CURLOPT_URL, request->url);
	curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request->method);
	curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
	curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, collect_body);
	curl_easy_setopt(handle, CURLOPT_WRITEDATA, response);
	curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(handle, CURLOPT_HEADERDATA, &reader);
	curl_easy_setopt(handle, CURLOPT_NOPROGRESS,
	    request->cancelled == NULL ? 1L : 0L);
	curl_easy_setopt(handle, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(handle, CURLOPT_XFERINFODATA, request);
	if (strcmp(request->method, "GET") != 0) {
		/* on a reused connection that was closed, libcurl would send
		 * the request a second time */
		curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(handle, CURLOPT_POSTFIELDS,
		    request->body == NULL ? "" : request->body);
	}
	code = curl_thread_perform(&thread_connections, handle);
	curl_easy_getinfo(handle, CURLINFO_TOTAL_TIME_T, &duration_us);
	curl_easy_cleanup(handle);
	curl_slist_free_all(headers);
	http_head_finish(&reader.head);
	response->duration_us = (uint64_t)duration_us;
	response->status = reader.head.status;
	if (code == CURLE_OK)
		return TRUE;
	g_set_error(error, HTTP_ERROR, error_of(code, response), "%s %s: %s",
	    request->method, request->url,
	    reader.head.problem != NULL ? reader.head.problem
					: curl_easy_strerror(code));
	http_response_finish(response);
	return FALSE;
}

void
http_response_finish(struct http_response *response)
{
	if (response->body != NULL)
		g_string_free(response->body, TRUE);
	response->body = NULL;
}

uint64_t
http_etag_version(const char *etag)
{
	if (etag[0] == '"')
		etag++;
	return g_ascii_strtoull(etag, NULL, 10);
}
