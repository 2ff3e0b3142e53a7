/**
 * @file
 * Rows of the routes and pools tables as JSON: row keys, and the difference
 * between two lists of rows.
 */
#ifndef COMMON_TABLE_DIFF_H
#define COMMON_TABLE_DIFF_H

#include <jansson.h>
#include <stddef.h>

#include "core/msg.h"

#define TABLE_ROW_NONE ((size_t)-1)

/** @return the key of a row ("account path" or "pool"), to be freed with
 * g_free */
char *table_row_key(enum table_kind kind, const json_t *row);

/** @return the index of the row with a key, or TABLE_ROW_NONE */
size_t table_row_find(enum table_kind kind, const json_t *rows,
    const char *key);

/**
 * Compares two lists of rows by their keys. The order of rows is ignored.
 * @return a list of {"row", "change": added|changed|removed, "fields":
 *     {name: [old, new]}}, a new reference
 */
json_t *table_diff(enum table_kind kind, const json_t *old_rows,
    const json_t *new_rows);

#endif
