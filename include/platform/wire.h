/**
 * @file
 * Names of the users' platform in requests and answers, decoded into fields
 * that say what they hold. No other folder knows these names.
 */
#ifndef PLATFORM_WIRE_H
#define PLATFORM_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/dispatch.h"

#define WIRE_ID_MAX_BYTES 64u
#define WIRE_KEY_MAX_BYTES 256u
#define WIRE_CONNECTION_MAX_BYTES 256u
#define WIRE_EVENT_ID_MAX_BYTES 64u

/** What a caller's head says, beside method, path and body. */
struct wire_request {
	char request_id[WIRE_ID_MAX_BYTES + 1];
	char host[NAME_MAX_BYTES]; /**< lower case, without a port */
	char key[WIRE_KEY_MAX_BYTES + 1]; /**< secret; "" for none */
	char resume_after[WIRE_EVENT_ID_MAX_BYTES + 1]; /**< "" for none */
	uint32_t remaining_ms; /**< until the caller gives up; 0 if untold */
	struct prompt_segment segments[PROMPT_SEGMENTS_MAX_COUNT];
	uint32_t segments_count;
	uint32_t prompt_tokens;
	uint32_t response_max_tokens;
	uint32_t
	    response_tokens; /**< expected: the caller's hint, or the most */
};

/** What an endpoint's head says. */
struct wire_response {
	char request_id[WIRE_ID_MAX_BYTES + 1];
	uint32_t status;
	bool request_id_seen;
	bool signature_seen; /**< the answer is an endpoint's own */
	bool not_executed; /**< the endpoint did not run the request */
	bool encoded; /**< the body is not as the endpoint made it */
	bool event_stream;
	char connection[WIRE_CONNECTION_MAX_BYTES + 1]; /**< "" for none */
};

/** What the daemon tells the endpoint of a request. */
struct wire_forward {
	const char *endpoint_name;
	const char *account_name; /**< NULL for none */
	const char *resume_after; /**< NULL: the caller's own goes on */
	uint32_t remaining_ms;
};

typedef void (
    *wire_header_fn)(void *context, const char *name, const char *value);

/** Takes one header of a caller. */
void wire_parse_request_header(struct wire_request *request, const char *name,
    const char *value);

/**
 * @param connection value of the request's Connection header, or NULL
 * @return whether a caller's header goes on to the endpoint
 */
bool wire_forwards_to_endpoint(const char *name, const char *connection,
    bool resumes);

/** Calls back for each header that the daemon adds for the endpoint. */
void wire_add_forward_headers(const struct wire_forward *forward,
    wire_header_fn add, void *context);

/** Takes one header of an endpoint. */
void wire_parse_response_header(struct wire_response *response,
    const char *name, const char *value);

/** @return whether an endpoint's header goes on to the caller */
bool wire_forwards_to_caller(const char *name, const char *connection);

/** Whether an answer's head belongs to a request and is an endpoint's own. */
bool wire_response_matches(const struct wire_response *response,
    const struct wire_request *request);

/** Whether the endpoint says that it did not run the request. */
bool wire_response_not_executed(const struct wire_response *response);

/** Whether another endpoint has the address now. */
bool wire_response_moved(const struct wire_response *response);

#endif
