/**
 * @file
 * Small HTTP client calls with bounded answers, over libcurl.
 */
#ifndef COMMON_HTTP_CLIENT_H
#define COMMON_HTTP_CLIENT_H

#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

#define HTTP_RESPONSE_MAX_BYTES (4u * 1024u * 1024u)
#define HTTP_ETAG_MAX_BYTES 64u

#define HTTP_ERROR (http_error_quark())
GQuark http_error_quark(void);

enum http_error_code {
	HTTP_ERROR_CONNECT, /**< nothing was sent */
	HTTP_ERROR_TRANSFER /**< the request may have taken effect */
};

struct http_request {
	const char *method;
	const char *url;
	const char *body; /**< NULL for none */
	const char *bearer_token; /**< NULL for none */
	const char *if_match; /**< quoted version, or NULL */
	const char *if_none_match; /**< "*", or NULL */
	uint32_t timeout_ms;
	/** ends the request early once it is not 0; NULL for none */
	const _Atomic uint32_t *cancelled;
};

struct http_response {
	uint32_t status;
	char etag[HTTP_ETAG_MAX_BYTES];
	GString *body;
	uint64_t duration_us; /**< also of a request that failed */
};

/**
 * Makes one request and waits for its whole response. Never repeats it.
 * @return FALSE with an error of HTTP_ERROR if there is no response
 */
gboolean http_perform(const struct http_request *request,
    struct http_response *response, GError **error);

void http_response_finish(struct http_response *response);

/** @return the version in an ETag, or 0 */
uint64_t http_etag_version(const char *etag);

#endif
