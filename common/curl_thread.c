#include "common/curl_thread.h"

void
curl_thread_free(gpointer handle)
{
	curl_easy_cleanup(handle);
}

CURL *
curl_thread_handle(GPrivate *key)
{
	CURL *handle = g_private_get(key);

	if (handle == NULL) {
		handle = curl_easy_init();
		g_private_set(key, handle);
	}
	return handle;
}
