#include "common/curl_thread.h"

void
curl_thread_free(gpointer handle)
{
	curl_easy_cleanup(handle);
}

CURL *
curl_thread_handle(GPrivate *private_handle)
{
	CURL *handle = g_private_get(private_handle);

	if (handle == NULL) {
		handle = curl_easy_init();
		g_private_set(private_handle, handle);
	}
	return handle;
}
