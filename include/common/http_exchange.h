/**
 * @file
 * Follows the HTTP/1.1 requests and responses on a connection whose bytes are
 * passed on: where each begins and ends, one exchange at a time. Nothing is
 * changed or held back here.
 */
#ifndef COMMON_HTTP_EXCHANGE_H
#define COMMON_HTTP_EXCHANGE_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>

/** Receives the head of each request. */
struct http_exchange_ops {
	void (*on_header)(void *context, const char *name, const char *value);
	/** @param target path and query as received */
	void (*on_head_end)(void *context, const char *target);
};

struct http_exchange {
	const struct http_exchange_ops *ops;
	void *context;
	http_parser request;
	http_parser response;
	GString *target; /**< the next three are NULL outside of a head */
	GString *name;
	GString *value;
	bool value_begun;
	bool begun; /**< a part of the request has come */
	bool whole; /**< its end has come */
	/** A part of its response has come; a whole interim one doesn't count. */
	bool answering;
	bool answered; /**< the end of its final response has come */
	/** What came is not understood: nothing else is known from here on. */
	bool opaque;
};

void http_exchange_init(struct http_exchange *exchange,
    const struct http_exchange_ops *ops, void *context);
void http_exchange_finish(struct http_exchange *exchange);

/**
 * Adds bytes of the caller.
 * @return how many of them belong to the request in progress; the others belong
 * to the next one and are added again once its exchange has begun
 */
size_t http_exchange_add_request(struct http_exchange *exchange,
    const void *bytes, size_t length);

/** Adds bytes of the server. */
void http_exchange_add_response(struct http_exchange *exchange,
    const void *bytes, size_t length);

/** Records that the server sends no more, which may be the end of a response. */
void http_exchange_end_response(struct http_exchange *exchange);

/** @return whether a request has begun and its exchange is not over */
bool http_exchange_in_progress(const struct http_exchange *exchange);

#endif
