/**
 * @file
 * Runs a non-idempotent request with an idempotency key at most once. Carries
 * out the steps of the state machine in core/claim.h.
 */
#ifndef BAMBOORUDDERD_IDEMPOTENCY_H
#define BAMBOORUDDERD_IDEMPOTENCY_H

#include "bamboorudderd/exchange.h"

/** Runs the request or replays the recorded response of its key. */
void idempotency_run(struct exchange *exchange);

#endif
