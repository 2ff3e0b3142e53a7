/**
 * @file
 * One request of a caller: reads and checks it, finds its route and pool.
 */
#ifndef BAMBOORUDDERD_EXCHANGE_H
#define BAMBOORUDDERD_EXCHANGE_H

#include <civetweb.h>
#include <stdbool.h>

#include "bamboorudderd/frontend.h"
#include "bamboorudderd/response.h"

#define REQUEST_ID_MAX_BYTES 64u

/** A request on its way through its worker. */
struct exchange {
	struct frontend *frontend;
	struct mg_connection *connection;
	const struct mg_request_info *info;
	struct snapshot *snapshot;
	const struct route *route;
	const struct pool *pool;
	char request_id[REQUEST_ID_MAX_BYTES + 1];
	const char *idempotency_key; /**< NULL for none */
	char *target; /**< path and query */
	char *body;
	size_t body_bytes;
	bool idempotent;
	struct entry_request_params params;
};

void exchange_init(struct exchange *exchange, struct frontend *frontend,
    struct mg_connection *connection);
void exchange_finish(struct exchange *exchange);

/** Reads and checks the whole request. @return false if it was refused */
bool exchange_read_request(struct exchange *exchange);

/** Answers with a typed error; retry_after_ms 0 for none. */
void exchange_send_error(struct exchange *exchange, uint32_t status,
    const char *type, const char *message, enum run_state run,
    uint32_t retry_after_ms);

#endif
