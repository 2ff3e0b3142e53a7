/**
 * @file
 * Attempts of one request at endpoints: waits for a slot, relays, and repeats
 * where that is allowed.
 */
#ifndef BAMBOORUDDERD_ATTEMPT_H
#define BAMBOORUDDERD_ATTEMPT_H

#include <stdbool.h>

#include "bamboorudderd/exchange.h"

/** How all attempts of a request ended together. */
enum attempts_outcome {
	ATTEMPTS_COMPLETE, /**< the whole answer went to the caller */
	ATTEMPTS_INTERRUPTED, /**< the answer broke off, or the caller went away */
	ATTEMPTS_NOT_RUN, /**< no endpoint ran it; nothing was answered */
	ATTEMPTS_NO_SLOT, /**< the same, for want of a slot */
	ATTEMPTS_NO_RESPONSE, /**< may have run; nothing was answered */
	ATTEMPTS_CANCELLED /**< before_send forbade it */
};

struct attempts {
	struct exchange *exchange;
	/** Called once, with a slot held, before the first byte is sent;
	 * false forbids sending. NULL for none. */
	bool (*before_send)(void *context);
	void *context;
	struct claim_response
	    *recorded_response; /**< receives the answer, or NULL */
	/* outcome */
	enum refuse_reason reason; /**< of ATTEMPTS_NO_SLOT */
	uint32_t retry_after_ms;
};

enum attempts_outcome attempts_run(struct attempts *attempts);

/** Tells the caller of an result without an answer. */
void attempts_send_error(const struct attempts *attempts,
    enum attempts_outcome result);

/** Runs a request that needs no claim, and answers it. */
void attempts_run_without_claim(struct exchange *exchange);

#endif
