/**
 * @file
 * State dump of the control thread as JSON.
 */
#ifndef BAMBOORUDDERD_DUMP_H
#define BAMBOORUDDERD_DUMP_H

#include <jansson.h>
#include <stdint.h>

#include "core/dispatch.h"

struct control;

/** @return why an endpoint takes no requests, or that it is ready */
const char *dump_endpoint_state(const struct dispatch *dispatch,
    const struct dispatch_endpoint *endpoint, uint64_t now_ms);

/** @return the state that dispatch decisions are based on; a new reference */
json_t *dump_dispatch(const struct dispatch *dispatch, uint64_t now_ms);

/** Dumps the whole state; on the control thread. @return a new reference */
json_t *dump_control(struct control *control);

#endif
