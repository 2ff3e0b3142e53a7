/**
 * @file
 * The answer of one attempt on its way to the caller: its head, its framing
 * and its body, as libcurl calls back with them.
 */
#ifndef BAMBOORUDDERD_TRANSFER_H
#define BAMBOORUDDERD_TRANSFER_H

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>

#include "bamboorudderd/relay.h"
#include "common/sse.h"

/** State of one attempt while libcurl runs it. */
struct transfer {
	const struct relay *relay;
	CURL *handle;
	GPtrArray *headers; /**< lines of the endpoint's head, without CR LF */
	size_t headers_bytes;
	char *connection; /**< the endpoint's Connection header, or NULL */
	long status;
	bool is_stream;
	bool not_run; /**< the endpoint says that it did not run it */
	bool headers_complete; /**< the endpoint's head came whole */
	bool headers_sent;
	bool no_body; /**< HEAD, 204 and 304 */
	bool chunked;
	bool caller_disconnected;
	uint32_t resume_count;
	struct sse_parser sse;
	GString *partial_event; /**< start of an event that is not yet whole */
	GString *json_body; /**< body of a JSON answer, for its usage */
};

void transfer_init(struct transfer *transfer, const struct relay *relay,
    CURL *handle);
void transfer_finish(struct transfer *transfer);

/** Called back by libcurl for each line of each head, and for trailers, which
 * don't pass. */
size_t transfer_on_header(char *bytes, size_t size, size_t count,
    void *context);

/** Called back by libcurl for each piece of the body. */
size_t transfer_on_body(char *bytes, size_t size, size_t count, void *context);

/** @return whether the endpoint says that it did not run the request */
bool transfer_not_run(struct transfer *transfer);

/** Ends a whole answer: passes on what was held back and counts its tokens. */
void transfer_complete(struct transfer *transfer);

#endif
