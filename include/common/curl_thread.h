/**
 * @file
 * Blocking transfers of libcurl, whose connections stay open between the transfers
 * of a thread.
 *
 * Each transfer needs an easy handle of its own, from curl_easy_init(): a used one,
 * even after curl_easy_reset(), refers to freed fields of its last response, to which
 * libcurl appends a field line that begins with a blank.
 */
#ifndef COMMON_CURL_THREAD_H
#define COMMON_CURL_THREAD_H

#include <curl/curl.h>
#include <glib.h>

/** Closes a thread's connections; to be passed to G_PRIVATE_INIT. */
void curl_thread_free(gpointer connections);

/**
 * Runs a transfer and waits for its end.
 * @param key names a use of libcurl; each use has connections of its own
 * @param handle a new one with its options set; the caller frees it
 * @return the result of the transfer, CURLE_FAILED_INIT if it couldn't be run
 */
CURLcode curl_thread_perform(GPrivate *key, CURL *handle);

#endif
