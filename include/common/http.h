/**
 * @file
 * Small HTTP client calls with bounded answers, over libcurl.
 */
#ifndef COMMON_HTTP_H
#define COMMON_HTTP_H

#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

#define HTTP_ANSWER_MAX_BYTES (4u * 1024u * 1024u)
#define HTTP_ETAG_MAX_BYTES 64u

#define HTTP_ERROR (http_error_quark())
GQuark http_error_quark(void);

enum http_error_code {
	HTTP_ERROR_CONNECT, /**< nothing was sent */
	HTTP_ERROR_TRANSFER /**< the call may have taken effect */
};

struct http_call {
	const char *method;
	const char *url;
	const char *body; /**< NULL for none */
	const char *bearer_token; /**< NULL for none */
	const char *if_match; /**< quoted version, or NULL */
	const char *if_none_match; /**< "*", or NULL */
	uint32_t timeout_ms;
	/** ends the call early once it is not 0; NULL for none */
	const _Atomic uint32_t *cancelled;
};

struct http_answer {
	uint32_t status;
	char etag[HTTP_ETAG_MAX_BYTES];
	GString *body;
	uint64_t duration_us; /**< also of a call that failed */
};

/**
 * Makes one call and waits for its whole answer. Never repeats it.
 * @return FALSE with an error of HTTP_ERROR if there is no answer
 */
gboolean http_perform(const struct http_call *call, struct http_answer *answer,
    GError **error);

void http_answer_finish(struct http_answer *answer);

/** @return the version in an ETag, or 0 */
uint64_t http_etag_version(const char *etag);

#endif
