/**
 * @file
 * Answers of the daemon's own: typed JSON bodies that tell whether the
 * request was run.
 */
#ifndef BAMBOORUDDERD_RESPONSE_H
#define BAMBOORUDDERD_RESPONSE_H

#include <civetweb.h>
#include <jansson.h>
#include <stdint.h>

#define HEADER_RUN "Bamboorudder-Run"
/** Tells that an answer is a recorded one. */
#define HEADER_REPLAY "Bamboorudder-Replay"
#define HEADER_REQUEST_ID "X-Request-Id"

/** Whether an endpoint ran a request that ended in an error. */
enum run_state { RUN_NOT_RUN, RUN_UNKNOWN };

struct error_response {
	uint32_t status;
	const char *type; /**< stable word for programs */
	const char *message; /**< text for people */
	enum run_state run;
	uint32_t retry_after_ms; /**< 0 for none */
	const char *request_id; /**< NULL for none */
};

/** Sends an error; the connection is closed after it. */
void response_send_error(struct mg_connection *connection,
    const struct error_response *error);

/** Sends a JSON document and drops the reference to it. */
void response_send_json(struct mg_connection *connection, uint32_t status,
    json_t *document);

/**
 * Reads a request's body into a text, closed by zero, to be freed by g_free.
 * @return NULL if it is longer than max_bytes or broke off; status then
 *     receives 413 or 400
 */
char *request_read_body(struct mg_connection *connection, uint32_t max_bytes,
    size_t *length_bytes, uint32_t *status);

/** @return the bearer token of a request, or NULL */
const char *request_bearer_token(const struct mg_connection *connection);

#endif
