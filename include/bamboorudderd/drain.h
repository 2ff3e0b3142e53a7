/**
 * @file
 * Graceful shutdown: refuses new requests as not run, waits for running
 * requests and stops listening without resetting a connection.
 */
#ifndef BAMBOORUDDERD_DRAIN_H
#define BAMBOORUDDERD_DRAIN_H

#include <signal.h>
#include <stdbool.h>

#include "bamboorudderd/control.h"
#include "bamboorudderd/frontend.h"

/**
 * Drains this daemon. /readyz must report failure already. Returns early if
 * SIGTERM or SIGINT arrives or after shutdown.drain_timeout_ms.
 * @param signals blocked signals to wait for
 * @return true if no request is running and no connection is open
 */
bool drain_run(struct frontend *frontend, struct control *control,
    const sigset_t *signals);

#endif
