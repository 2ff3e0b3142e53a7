/**
 * @file
 * Runs a request: acquires a slot, relays the request to an endpoint and
 * retries where that is allowed.
 */
#ifndef BAMBOORUDDERD_ATTEMPT_H
#define BAMBOORUDDERD_ATTEMPT_H

#include <stdbool.h>

#include "bamboorudderd/exchange.h"

/** Combined outcome of all attempts of a request. */
enum attempts_outcome {
	ATTEMPTS_COMPLETE, /**< the complete response was sent */
	ATTEMPTS_INTERRUPTED, /**< the response was truncated, or the caller
			       * disconnected */
	ATTEMPTS_NOT_RUN, /**< no endpoint ran the request; no response was
			   * sent */
	ATTEMPTS_NO_SLOT, /**< not run because no slot was granted; no
			   * response was sent */
	ATTEMPTS_NO_RESPONSE, /**< may have been run; no response was sent */
	ATTEMPTS_CANCELLED /**< before_send returned false */
};

struct attempts {
	struct exchange *exchange;
	/** Called before the first attempt sends the request, while it holds
	 * its slot; false cancels the request. May be NULL. */
	bool (*before_send)(void *context);
	void *context;
	/** Receives the response; may be NULL. */
	struct claim_response *recorded_response;
	/* outcome */
	enum refuse_reason reason; /**< set for ATTEMPTS_NO_SLOT */
	uint32_t retry_after_ms;
};

enum attempts_outcome attempts_run(struct attempts *attempts);

/** Sends an error to the caller if no response was sent yet. */
void attempts_send_error(const struct attempts *attempts,
    enum attempts_outcome result);

/** Runs a request that requires no claim and responds to the caller. */
void attempts_run_without_claim(struct exchange *exchange);

#endif
