/**
 * @file
 * JSON form of the two tables.
 */
#ifndef COMMON_TABLE_JSON_H
#define COMMON_TABLE_JSON_H

#include <stdbool.h>

#include "core/finding.h"
#include "core/tables.h"

/**
 * Reads both tables and validates them as a whole. Unknown fields, wrong
 * types and broken JSON are findings with their place. Beside "rows" a text may
 * hold the "history" that is stored with it.
 * @param tables initialised by the call; to be finished by the caller
 * @return true if nothing was found
 */
bool table_json_read(const char *routes_text, const char *pools_text,
    struct tables *tables, struct findings *findings);

#endif
