/**
 * @file
 * Runs a non-idempotent request with an idempotency key at most once: carries
 * out the steps of core/claim.h.
 */
#ifndef BAMBOORUDDERD_IDEMPOTENCY_H
#define BAMBOORUDDERD_IDEMPOTENCY_H

#include "bamboorudderd/exchange.h"

/** Runs the request or answers from its claim; always answers. */
void idempotency_run(struct exchange *exchange);

#endif
