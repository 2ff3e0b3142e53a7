/**
 * @file
 * Forwards the response of an attempt to the caller: headers, framing and body,
 * as libcurl passes them to its callbacks.
 */
#ifndef BAMBOORUDDERD_TRANSFER_H
#define BAMBOORUDDERD_TRANSFER_H

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>

#include "bamboorudderd/relay.h"
#include "common/http_head.h"
#include "common/sse.h"

/** State of an attempt while libcurl performs it. */
struct transfer {
	const struct relay *relay;
	CURL *handle; /**< of the last exchange; NULL before the first */
	GPtrArray *headers; /**< lines of the headers without CR LF */
	struct http_head head; /**< check of the head and trailer */
	char *connection; /**< value of the Connection header or NULL */
	bool is_stream;
	bool not_run; /**< the response states that the request was not run */
	bool headers_complete; /**< all headers were received */
	bool headers_sent;
	bool no_body; /**< true for HEAD, 204 and 304 */
	bool chunked;
	bool caller_disconnected;
	uint32_t resume_count;
	struct sse_parser sse;
	GString *partial_event; /**< beginning of an incomplete event */
	GString *json_body; /**< body of a JSON response, to read its usage */
};

void transfer_init(struct transfer *transfer, const struct relay *relay);
void transfer_finish(struct transfer *transfer);

/** @return a new handle for the first exchange, or to resume a stream */
CURL *transfer_next_handle(struct transfer *transfer);

/** Header callback of libcurl. Trailers are dropped. */
size_t transfer_on_header(char *bytes, size_t size, size_t count,
    void *context);

/** Body callback of libcurl. */
size_t transfer_on_body(char *bytes, size_t size, size_t count, void *context);

/** @return whether the status is that of a final response */
bool transfer_has_status(const struct transfer *transfer);

/** @return true if the endpoint reports that it did not run the request */
bool transfer_not_run(const struct transfer *transfer);

/** Finishes a complete response: flushes the rest and sets the token count. */
void transfer_complete(struct transfer *transfer);

#endif
