/**
 * @file
 * Header names of the platform in requests and responses, and their decoding.
 * No other folder uses these names.
 */
#ifndef PLATFORM_WIRE_H
#define PLATFORM_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/dispatch.h"

#define WIRE_ID_MAX_BYTES 64u
#define WIRE_CONNECTION_MAX_BYTES 256u
#define WIRE_EVENT_ID_MAX_BYTES 64u

/** Headers of a caller's request. */
struct wire_request {
	char request_id[WIRE_ID_MAX_BYTES + 1];
	char *host; /**< lower case, without a port; "" if absent */
	char *key; /**< secret, "" if absent */
	/** Last event ID of a stream that the caller resumes, "" if absent. */
	char resume_after[WIRE_EVENT_ID_MAX_BYTES + 1];
	uint32_t remaining_ms; /**< until the caller's deadline; 0 if unknown */
	struct prompt_segment segments[PROMPT_SEGMENTS_MAX_COUNT];
	uint32_t segments_count;
	uint32_t prompt_tokens;
	uint32_t response_max_tokens;
	uint32_t response_tokens; /**< expected: caller's hint or maximum */
};

/** Headers of an endpoint's response. */
struct wire_response {
	char request_id[WIRE_ID_MAX_BYTES + 1];
	uint32_t status;
	bool request_id_seen;
	bool signature_seen; /**< shows that an endpoint responded */
	bool not_executed; /**< the endpoint did not run the request */
	bool encoded; /**< the body was encoded on the way */
	bool event_stream;
	bool
	    framed; /**< has a length or chunks; else ends with its connection */
	/** Requests in 1,000 s that the endpoint takes from all daemons together;
	 * 0: it names no limit. */
	uint32_t limit_per_1000_s;
	/** Time that work takes at the endpoint now, in percent of the usual; 0:
	 * it states none. */
	uint32_t pace_percent;
	bool leaving; /**< the endpoint takes no new requests */
	uint32_t retry_after_ms; /**< 0 if absent */
	char connection[WIRE_CONNECTION_MAX_BYTES + 1]; /**< "" if absent */
};

/** Headers that the daemon adds to a request for the endpoint. */
struct wire_forward {
	const char *endpoint_name;
	const char *account_name; /**< NULL if none */
	const char *resume_after; /**< NULL: the caller's header is forwarded */
	uint32_t remaining_ms;
};

typedef void (
    *wire_header_fn)(void *context, const char *name, const char *value);

void wire_request_init(struct wire_request *request);
void wire_request_finish(struct wire_request *request);

void wire_parse_request_header(struct wire_request *request, const char *name,
    const char *value);

/** Describes a prompt in the form of the headers' values.
 * @param tokens IN[,OUT]
 * @param segments ID:TOKENS, separated by commas */
void wire_parse_prompt(struct wire_request *request, const char *tokens,
    const char *segments);

/**
 * @param connection value of the request's Connection header, or NULL
 * @param resumes the daemon resumes a broken stream
 * @return whether the header is forwarded to the endpoint
 */
bool wire_forwards_to_endpoint(const char *name, const char *connection,
    bool resumes);

/** Calls back for each header that the daemon adds to the request. */
void wire_add_forward_headers(const struct wire_forward *forward,
    wire_header_fn add, void *context);

void wire_parse_response_header(struct wire_response *response,
    const char *name, const char *value);

/** @return whether the header is forwarded to the caller */
bool wire_forwards_to_caller(const char *name, const char *connection);

/** @return whether a response comes from an endpoint, was not encoded on the way
 * and belongs to the request */
bool wire_response_matches(const struct wire_response *response,
    const struct wire_request *request);

/** @return whether the endpoint refused the request without running it */
bool wire_response_not_executed(const struct wire_response *response,
    const struct wire_request *request);

/** Reads what a response says of its endpoint; nothing if it belongs to another
 * request. */
void wire_response_statement(const struct wire_response *response,
    const struct wire_request *request, struct endpoint_statement *statement);

/** @return whether another endpoint has the address now */
bool wire_response_moved(const struct wire_response *response,
    const struct wire_request *request);

#endif
