#include "common/http_client.h"

#include <string.h>

#include "common/curl_thread.h"

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

/* Copies the value of a header line that has the given name. */
static void
read_header(const char *bytes, size_t length_bytes, const char *name,
    char *value, size_t value_bytes)
{
	size_t name_bytes = strlen(name);
	char *text;

	if (length_bytes <= name_bytes || bytes[name_bytes] != ':' ||
	    g_ascii_strncasecmp(bytes, name, name_bytes) != 0)
		return;
	text = g_strndup(bytes + name_bytes + 1, length_bytes - name_bytes - 1);
	g_strlcpy(value, g_strstrip(text), value_bytes);
	g_free(text);
}

struct header_collection {
	const char *wanted_header; /* NULL for none */
	struct http_response *response;
};

static size_t
collect_header(char *bytes, size_t size, size_t count, void *context)
{
	const struct header_collection *collection = context;
	struct http_response *response = collection->response;

	response->heads_bytes += size * count;
	if (response->heads_bytes > HTTP_HEADS_MAX_BYTES)
		return 0;
	read_header(bytes, size * count, "etag", response->etag,
	    sizeof(response->etag));
	if (collection->wanted_header != NULL)
		read_header(bytes, size * count, collection->wanted_header,
		    response->header_value, sizeof(response->header_value));
	return size * count;
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
	struct header_collection collection = { request->wanted_header,
		response };
	CURLcode code;
	long status = 0;
	curl_off_t duration_us = 0;

	memset(response, 0, sizeof(*response));
	response->body = g_string_new(NULL);
	curl_easy_setopt(handle, CURLOPT_URL, request->url);
	curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request->method);
	curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
	curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, collect_body);
	curl_easy_setopt(handle, CURLOPT_WRITEDATA, response);
	curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, collect_header);
	curl_easy_setopt(handle, CURLOPT_HEADERDATA, &collection);
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
	curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(handle, CURLINFO_TOTAL_TIME_T, &duration_us);
	curl_easy_cleanup(handle);
	curl_slist_free_all(headers);
	response->duration_us = (uint64_t)duration_us;
	response->status = (uint32_t)status;
	if (code == CURLE_OK)
		return TRUE;
	g_set_error(error, HTTP_ERROR, error_of(code, response), "%s %s: %s",
	    request->method, request->url, curl_easy_strerror(code));
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
