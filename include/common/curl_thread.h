/**
 * @file
 * One libcurl handle for each thread and use, freed with its thread; it keeps
 * its connections between calls.
 */
#ifndef COMMON_CURL_THREAD_H
#define COMMON_CURL_THREAD_H

#include <curl/curl.h>
#include <glib.h>

/** Frees a handle; for G_PRIVATE_INIT. */
void curl_thread_free(gpointer handle);

/** @return this thread's handle for the use that private stands for */
CURL *curl_thread_handle(GPrivate *private_handle);

#endif
