/**
 * @file
 * Graceful shutdown: refuses new requests with an error that states that they
 * were not run, waits for running requests and stops listening without
 * resetting a connection.
 */
#ifndef BAMBOORUDDERD_DRAIN_H
#define BAMBOORUDDERD_DRAIN_H

#include <signal.h>
#include <stdbool.h>

#include "bamboorudderd/control.h"
#include "bamboorudderd/frontend.h"

/**
 * Drains this daemon. The caller must have made /readyz fail before. Returns
 * early if SIGTERM or SIGINT arrives or after shutdown.drain_timeout_ms.
 * @param signals set of blocked signals that contains SIGTERM and SIGINT
 * @return true if no request is running and no connection is open
 */
bool drain_run(struct frontend *frontend, struct control *control,
    const sigset_t *signals);

#endif
