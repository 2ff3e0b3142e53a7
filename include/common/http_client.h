/**
 * @file
 * Blocking HTTP client over libcurl for small responses of limited size.
 */
#ifndef COMMON_HTTP_CLIENT_H
#define COMMON_HTTP_CLIENT_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#define HTTP_RESPONSE_MAX_BYTES (4u * 1024u * 1024u)
#define HTTP_ETAG_MAX_BYTES 64u
#define HTTP_HEADER_VALUE_MAX_BYTES 64u

#define HTTP_ERROR (http_error_quark())
GQuark http_error_quark(void);

enum http_error_code {
	HTTP_ERROR_CONNECT, /**< nothing was sent */
	/** The request may have taken effect; its response did not arrive, or has a
	 * malformed head. */
	HTTP_ERROR_TRANSFER,
	/** The same; the response is longer than HTTP_RESPONSE_MAX_BYTES. */
	HTTP_ERROR_TOO_LARGE
};

struct http_request {
	const char *method;
	const char *url;
	const char *body; /**< NULL for none */
	const char *bearer_token; /**< NULL for none */
	const char *if_match; /**< quoted version, or NULL */
	const char *if_none_match; /**< "*", or NULL */
	const char *wanted_header; /**< response header to return, or NULL */
	uint32_t timeout_ms;
	/** a value other than 0 aborts the request; NULL if not needed */
	const _Atomic uint32_t *cancelled;
};

struct http_response {
	uint32_t status;
	char etag[HTTP_ETAG_MAX_BYTES];
	/** Of the wanted header, cut if it is longer; "" without one. */
	char header_value[HTTP_HEADER_VALUE_MAX_BYTES];
	GString *body;
	bool too_large; /**< longer than HTTP_RESPONSE_MAX_BYTES */
	uint64_t duration_us; /**< set for a failed request, too */
};

/**
 * Sends a request and waits for the complete response. Never retries.
 * @return TRUE if a complete response was received, whatever its status, else
 *     FALSE with an error in the domain HTTP_ERROR
 */
gboolean http_perform(const struct http_request *request,
    struct http_response *response, GError **error);

void http_response_finish(struct http_response *response);

/** @return the version number in an ETag, or 0 if it has none */
uint64_t http_etag_version(const char *etag);

#endif
