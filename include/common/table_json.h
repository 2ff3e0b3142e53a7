/**
 * @file
 * Reading the routes and pools tables from JSON.
 */
#ifndef COMMON_TABLE_JSON_H
#define COMMON_TABLE_JSON_H

#include <stdbool.h>

#include "core/finding.h"
#include "core/tables.h"

/**
 * Parses both tables and validates them together. Syntax errors, unknown fields
 * and wrong types are reported as findings with their positions. Besides "rows"
 * a text may contain the "history" that the platform's store keeps with a table.
 * @param tables initialised by this function; to be finished by the caller even
 *     on failure
 * @return true if this call added no findings
 */
bool table_json_read(const char *routes_text, const char *pools_text,
    struct tables *tables, struct findings *findings);

#endif
