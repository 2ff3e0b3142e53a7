/**
 * @file
 * Graceful shutdown: refuses new requests as not run, waits for running ones,
 * and closes the listener without resetting a connection.
 */
#ifndef BAMBOORUDDERD_DRAIN_H
#define BAMBOORUDDERD_DRAIN_H

#include <signal.h>
#include <stdbool.h>

#include "bamboorudderd/control.h"
#include "bamboorudderd/frontend.h"

/**
 * Drains this daemon; the caller has made /readyz fail. Ends early at one of
 * the signals or after shutdown.drain_timeout_ms.
 * @return whether nothing was cut: no request runs and no connection is open
 */
bool drain_run(struct frontend *frontend, struct control *control,
    const sigset_t *signals);

#endif
