/**
 * @file
 * Text in aligned columns for people.
 */
#ifndef BAMBOORUDDERCTL_COLUMNS_H
#define BAMBOORUDDERCTL_COLUMNS_H

#include <glib.h>
#include <jansson.h>

struct columns {
	GPtrArray *rows; /**< lists of texts, the heading first */
};

/** Begins with a heading: texts, closed by NULL. */
void columns_init(struct columns *columns, ...) __attribute__((sentinel));

/** Adds a row of texts, closed by NULL. */
void columns_add(struct columns *columns, ...) __attribute__((sentinel));

/** Adds a row of members of an object; absent ones are "-". */
void columns_add_json(struct columns *columns, const json_t *object, ...)
    __attribute__((sentinel));

/** Prints all rows and releases them. */
void columns_print(struct columns *columns);

/** @return a JSON value as text for people, to be freed by g_free */
char *json_to_text(const json_t *value);

#endif
