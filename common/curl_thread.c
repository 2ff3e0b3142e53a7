#include "common/curl_thread.h"

#define CONNECTIONS_MAX_COUNT 5L
#define POLL_MAX_MS 1000

void
curl_thread_free(gpointer connections)
{
	curl_multi_cleanup(connections);
}

/* @return this thread's connections for the key, or NULL */
static CURLM *
thread_connections(GPrivate *key)
{
	CURLM *connections = g_private_get(key);

	if (connections != NULL)
		return connections;
	connections = curl_multi_init();
	if (connections == NULL)
		return NULL;
	curl_multi_setopt(connections, CURLMOPT_MAXCONNECTS,
	    CONNECTIONS_MAX_COUNT);
	g_private_set(key, connections);
	return connections;
}

/* @return the result of the only transfer */
static CURLcode
run_transfer(CURLM *connections)
{
	CURLMcode code;
	CURLMsg *message;
	int running, messages_left;

	do {
		code = curl_multi_perform(connections, &running);
		if (code == CURLM_OK && running > 0)
			code = curl_multi_poll(connections, NULL, 0,
			    POLL_MAX_MS, NULL);
	} while (code == CURLM_OK && running > 0);
	message = curl_multi_info_read(connections, &messages_left);
	if (message == NULL || message->msg != CURLMSG_DONE)
		return CURLE_FAILED_INIT;
	return message->data.result;
}

CURLcode
curl_thread_perform(GPrivate *key, CURL *handle)
{
	CURLM *connections = thread_connections(key);
	CURLcode code;

	if (connections == NULL ||
	    curl_multi_add_handle(connections, handle) != CURLM_OK)
		return CURLE_FAILED_INIT;
	code = run_transfer(connections);
	curl_multi_remove_handle(connections, handle);
	return code;
}
