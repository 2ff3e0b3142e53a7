#include "core/bounded_table.h"

void
bounded_table_make_room(GHashTable *table, uint32_t max_count,
    bounded_table_rank rank)
{
	uint64_t lowest_rank = UINT64_MAX;
	gpointer lowest_key = NULL, key, value;
	GHashTableIter iter;

	if (g_hash_table_size(table) < max_count)
		return;
	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (lowest_key != NULL && rank(value) >= lowest_rank)
			continue;
		lowest_rank = rank(value);
		lowest_key = key;
	}
	g_hash_table_remove(table, lowest_key);
}
