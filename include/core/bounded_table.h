/**
 * @file
 * Hash tables of limited size.
 */
#ifndef CORE_BOUNDED_TABLE_H
#define CORE_BOUNDED_TABLE_H

#include <glib.h>
#include <stdint.h>

/** @return rank of a value: the lowest is removed first */
typedef uint64_t (*bounded_table_rank)(gconstpointer value);

/** Removes the entry with the lowest rank if a table holds max_count entries. */
void bounded_table_make_room(GHashTable *table, uint32_t max_count,
    bounded_table_rank rank);

#endif
