/**
 * @file
 * Prints rows of text in aligned columns.
 */
#ifndef BAMBOORUDDERCTL_COLUMNS_H
#define BAMBOORUDDERCTL_COLUMNS_H

#include <glib.h>
#include <jansson.h>

struct columns {
	GPtrArray *rows; /**< arrays of strings, column titles first */
};

/** Initializes with the column titles, a list that ends with NULL. */
void columns_init(struct columns *columns, ...) __attribute__((sentinel));

/** Adds a row of cells, a list that ends with NULL. */
void columns_add(struct columns *columns, ...) __attribute__((sentinel));

/**
 * Adds a row with the named members of a JSON object, a list that ends with
 * NULL. A missing or null member is shown as "-".
 */
void columns_add_json(struct columns *columns, const json_t *object, ...)
    __attribute__((sentinel));

/** Prints all rows and frees them. */
void columns_print(struct columns *columns);

/** @return a JSON value as text for a terminal, to be freed with g_free */
char *json_to_text(const json_t *value);

#endif
