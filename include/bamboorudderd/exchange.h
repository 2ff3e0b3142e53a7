/**
 * @file
 * Reads and validates a request of a caller and finds its route and pool.
 */
#ifndef BAMBOORUDDERD_EXCHANGE_H
#define BAMBOORUDDERD_EXCHANGE_H

#include <civetweb.h>
#include <stdbool.h>

#include "bamboorudderd/frontend.h"
#include "bamboorudderd/response.h"

#define REQUEST_ID_MAX_BYTES 64u

/** A request while a worker thread handles it. */
struct exchange {
	struct frontend *frontend;
	struct mg_connection *connection;
	const struct mg_request_info *info;
	struct snapshot *snapshot;
	const struct route *route;
	const struct pool *pool;
	char request_id[REQUEST_ID_MAX_BYTES + 1];
	const char *idempotency_key; /**< or NULL */
	char *target; /**< path and query */
	char *body;
	size_t body_bytes;
	bool idempotent;
	struct entry_request_params params;
};

void exchange_init(struct exchange *exchange, struct frontend *frontend,
    struct mg_connection *connection);
void exchange_finish(struct exchange *exchange);

/** Reads and validates the request. @return false after an error response */
bool exchange_read_request(struct exchange *exchange);

/** Sends an error response; a retry_after_ms of 0 omits Retry-After. */
void exchange_send_error(struct exchange *exchange, uint32_t status,
    const char *type, const char *message, enum run_state run,
    uint32_t retry_after_ms);

#endif
