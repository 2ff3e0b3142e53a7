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

/** @return what decisions are made from, a new reference */
json_t *dump_dispatch(const struct dispatch *dispatch, uint64_t now_ms);

/** To be called on the control thread. @return a new reference */
json_t *dump_control(struct control *control);

#endif
