/**
 * @file
 * Runs a non-idempotent request with an idempotency key at most once: carries
 * out the steps of core/claim.h.
 */
#ifndef BAMBOORUDDERD_KEYED_H
#define BAMBOORUDDERD_KEYED_H

#include "bamboorudderd/exchange.h"

/** Runs the request or answers from its claim; always answers. */
void keyed_run(struct exchange *exchange);

#endif
