/**
 * @file
 * Responses that the daemon itself generates. Errors have a JSON body and state
 * whether the request was run. Also reads the body and the bearer token of a
 * request.
 */
#ifndef BAMBOORUDDERD_RESPONSE_H
#define BAMBOORUDDERD_RESPONSE_H

#include <civetweb.h>
#include <jansson.h>
#include <stdint.h>

#include "bamboorudderd/response_head.h"

#define HEADER_RUN "Bamboorudder-Run"
/** Marks a recorded response that is replayed. */
#define HEADER_REPLAY "Bamboorudder-Replay"
#define HEADER_REQUEST_ID "X-Request-Id"

/** Whether an endpoint ran a request that ended in an error. */
enum run_state { RUN_NOT_RUN, RUN_UNKNOWN };

struct error_response {
	uint32_t status;
	const char *type; /**< stable, machine-readable identifier */
	const char *message; /**< human-readable text */
	enum run_state run;
	uint32_t retry_after_ms; /**< 0 omits the header */
	const char *request_id; /**< NULL omits it */
};

/** Sends an error and closes the connection after it. */
void response_send_error(struct mg_connection *connection,
    const struct error_response *error);

/** Sends a JSON document; takes the reference. */
void response_send_json(struct mg_connection *connection, uint32_t status,
    json_t *document);

/**
 * Reads the body of a request.
 * @param status receives 413 if the body is longer than max_bytes or 400 if it
 *     is incomplete
 * @return a NUL-terminated string to be freed by g_free, or NULL on error
 */
char *request_read_body(struct mg_connection *connection, uint32_t max_bytes,
    size_t *length_bytes, uint32_t *status);

/** @return the bearer token of the request or NULL */
const char *request_bearer_token(const struct mg_connection *connection);

#endif
