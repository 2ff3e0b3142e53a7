#include "stream_readers.h"

#include <civetweb.h>
#include <curl/curl.h>
#include <glib.h>
#include <string.h>
#include <time.h>

#include "bench.h"
#include "common/curl_thread.h"
#include "stream_checker.h"
#include "testbed.h"

#define BODY_BYTES 128
#define ERROR_BYTES 128
#define HOST_BYTES 32
#define RESPONSE_TIMEOUT_MS 30000
#define NS_PER_US 1000.0
#define REQUEST_ID "reader"

static double
thread_cpu_us(void)
{
	struct timespec used;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
	return (double)used.tv_sec * US_PER_S +
	    (double)used.tv_nsec / NS_PER_US;
}

static void
set_body(char *body, uint32_t tokens_count)
{
	g_snprintf(body, BODY_BYTES,
	    "{\"messages\":[],\"stream\":true,\"standin_tokens\":%u}",
	    tokens_count);
}

static size_t
on_body(char *bytes, size_t size, size_t count, void *context)
{
	stream_checker_feed(context, bytes, size * count);
	return size * count;
}

static GPrivate reader_connections = G_PRIVATE_INIT(curl_thread_free);

double
read_with_libcurl_us_per_token(const char *address, uint32_t tokens_count)
{
	CURL *handle = curl_easy_init();
	struct curl_slist *headers = curl_slist_append(NULL,
	    "X-Request-Id: " REQUEST_ID);
	char *url = g_strdup_printf("http://%s" TESTBED_PATH, address);
	char body[BODY_BYTES];
	struct stream_checker checker;
	double cpu_us;

	set_body(body, tokens_count);
	stream_checker_init(&checker, REQUEST_ID, tokens_count);
	curl_easy_setopt(handle, CURLOPT_URL, url);
	curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(handle, CURLOPT_WRITEDATA, &checker);
	cpu_us = thread_cpu_us();
	curl_thread_perform(&reader_connections, handle);
	cpu_us = thread_cpu_us() - cpu_us;
	curl_easy_cleanup(handle);
	curl_slist_free_all(headers);
	g_free(url);
	return stream_checker_is_complete(&checker) ? cpu_us / tokens_count
						    : -1;
}

static struct mg_connection *
open_civetweb(const char *address)
{
	const char *colon = strchr(address, ':');
	char host[HOST_BYTES], error[ERROR_BYTES];

	if (colon == NULL)
		return NULL;
	g_strlcpy(host, address, sizeof(host));
	host[colon - address] = '\0';
	return mg_connect_client(host,
	    (int)g_ascii_strtoll(colon + 1, NULL, 10), 0, error, sizeof(error));
}

double
read_with_civetweb_us_per_token(const char *address, uint32_t tokens_count)
{
	struct mg_connection *connection = open_civetweb(address);
	char body[BODY_BYTES], error[ERROR_BYTES], byte;
	struct stream_checker checker;
	double cpu_us;

	if (connection == NULL)
		return -1;
	set_body(body, tokens_count);
	stream_checker_init(&checker, REQUEST_ID, tokens_count);
	cpu_us = thread_cpu_us();
	mg_printf(connection,
	    "POST " TESTBED_PATH
	    " HTTP/1.1\r\nHost: %s\r\nX-Request-Id: " REQUEST_ID
	    "\r\nContent-Length: %zu\r\n\r\n%s",
	    address, strlen(body), body);
	if (mg_get_response(connection, error, sizeof(error),
		RESPONSE_TIMEOUT_MS) >= 0)
		while (mg_read(connection, &byte, 1) == 1)
			stream_checker_feed(&checker, &byte, 1);
	cpu_us = thread_cpu_us() - cpu_us;
	mg_close_connection(connection);
	return stream_checker_is_complete(&checker) ? cpu_us / tokens_count
						    : -1;
}
