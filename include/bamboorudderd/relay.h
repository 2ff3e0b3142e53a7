/**
 * @file
 * Carries one request to an endpoint and its answer back to the caller as it
 * comes.
 */
#ifndef BAMBOORUDDERD_RELAY_H
#define BAMBOORUDDERD_RELAY_H

#include <civetweb.h>
#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/claim_json.h"

/** How an attempt at an endpoint ended. */
enum relay_outcome {
	RELAY_COMPLETE, /**< the whole answer went to the caller */
	RELAY_NOT_SENT, /**< no byte can have reached the endpoint */
	RELAY_REFUSED, /**< the endpoint refused before running */
	RELAY_NO_RESPONSE, /**< sent; no byte of an answer went on */
	RELAY_TRUNCATED, /**< the answer broke off on its way */
	RELAY_CALLER_DISCONNECTED
};

struct relay_config {
	uint32_t connect_timeout_ms;
	uint32_t idle_timeout_ms;
	uint32_t request_timeout_ms;
};

/** One attempt. */
struct relay {
	const struct relay_config *config;
	struct mg_connection *caller;
	const char *address; /**< of the endpoint, "ip:port" */
	const char *target; /**< path and query */
	const char *request_id;
	const char *body;
	size_t body_bytes;
	bool idempotent; /**< a dead reused connection may be replaced */
	bool is_model; /**< a stream ends with its [DONE] event */
	bool can_resume; /**< the engine resumes a broken stream */
	_Atomic uint64_t *tokens; /**< counts while the answer streams */
	/** Receives the answer, also if the caller goes away; or NULL. */
	struct claim_response *recorded_response;
};

/**
 * Makes one attempt; never repeats it. A broken stream is resumed where its
 * engine can.
 */
enum relay_outcome relay_run(const struct relay *relay);

#endif
