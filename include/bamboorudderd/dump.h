/**
 * @file
 * State dump of the control thread as JSON.
 */
#ifndef BAMBOORUDDERD_DUMP_H
#define BAMBOORUDDERD_DUMP_H

#include <jansson.h>

struct control;

/** To be called on the control thread. @return a new reference */
json_t *dump_control(struct control *control);

#endif
