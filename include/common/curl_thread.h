/**
 * @file
 * Thread-local libcurl handles. A handle is reused by all transfers of its
 * thread, so that connections stay open between them, and is freed when the
 * thread ends.
 */
#ifndef COMMON_CURL_THREAD_H
#define COMMON_CURL_THREAD_H

#include <curl/curl.h>
#include <glib.h>

/** Destructor of a handle, to be passed to G_PRIVATE_INIT. */
void curl_thread_free(gpointer handle);

/**
 * @param key names a use of libcurl; each use has a handle of its own
 * @return this thread's handle for the key, created on first use
 */
CURL *curl_thread_handle(GPrivate *key);

#endif
