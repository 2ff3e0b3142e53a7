/**
 * @file
 * Forwards a request to an endpoint and streams the response to the caller.
 */
#ifndef BAMBOORUDDERD_RELAY_H
#define BAMBOORUDDERD_RELAY_H

#include <civetweb.h>
#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/claim_json.h"

/** Outcome of an attempt at an endpoint. */
enum relay_outcome {
	RELAY_COMPLETE, /**< the complete response was sent to the caller */
	RELAY_NOT_SENT, /**< nothing was sent to the endpoint */
	RELAY_REFUSED, /**< the endpoint reported that it did not run it */
	RELAY_NO_RESPONSE, /**< sent, but no response reached the caller */
	RELAY_TRUNCATED, /**< the response ended early */
	RELAY_CALLER_DISCONNECTED
};

struct relay_config {
	uint32_t connect_timeout_ms;
	uint32_t idle_timeout_ms;
	uint32_t request_timeout_ms;
};

/** An attempt to run a request at an endpoint. */
struct relay {
	const struct relay_config *config;
	struct mg_connection *caller;
	const char *address; /**< "ip:port" of the endpoint */
	const char *target; /**< path and query */
	const char *request_id;
	const char *body;
	size_t body_bytes;
	bool is_model; /**< a complete stream ends with a [DONE] event */
	bool can_resume; /**< the engine can resume an interrupted stream */
	_Atomic uint64_t *tokens; /**< updated while the response streams */
	/** Receives the response even if the caller disconnects; may be NULL. */
	struct claim_response *recorded_response;
};

/**
 * Makes a single attempt without retries. Resumes an interrupted stream if the
 * engine supports it.
 */
enum relay_outcome relay_run(const struct relay *relay);

#endif
