#include "common/table_diff.h"

#include <glib.h>
#include <string.h>

static const char *
row_text(const json_t *row, const char *field)
{
	const char *text = json_string_value(json_object_get(row, field));

	return text == NULL ? "?" : text;
}

char *
table_row_key(enum table_kind kind, const json_t *row)
{
	if (kind == TABLE_POOLS)
		return g_strdup(row_text(row, "pool"));
	return g_strconcat(row_text(row, "account"), " ", row_text(row, "path"),
	    NULL);
}

size_t
table_row_find(enum table_kind kind, const json_t *rows, const char *key)
{
	size_t index, found = TABLE_ROW_NONE;
	json_t *row;

	json_array_foreach (rows, index, row) {
		char *row_key = table_row_key(kind, row);
		if (found == TABLE_ROW_NONE && strcmp(row_key, key) == 0)
			found = index;
		g_free(row_key);
	}
	return found;
}

/* Maps keys to rows. The first of several rows with the same key is used. */
static GHashTable *
index_rows(enum table_kind kind, const json_t *rows)
{
	GHashTable *index_by_key = g_hash_table_new_full(g_str_hash,
	    g_str_equal, g_free, NULL);
	size_t index;
	json_t *row;

	json_array_foreach (rows, index, row) {
		char *key = table_row_key(kind, row);
		if (g_hash_table_contains(index_by_key, key))
			g_free(key);
		else
			g_hash_table_insert(index_by_key, key, row);
	}
	return index_by_key;
}

static json_t *
value_or_null(const json_t *row, const char *field)
{
	json_t *value = json_object_get(row, field);

	return value == NULL ? json_null() : json_incref(value);
}

static json_t *
diff_fields(json_t *old_row, json_t *new_row)
{
	json_t *fields = json_object(), *value;
	const char *name;

	json_object_foreach (old_row, name, value)
		if (!json_equal(value, json_object_get(new_row, name)))
			json_object_set_new(fields, name,
			    json_pack("[O, o]", value,
				value_or_null(new_row, name)));
	json_object_foreach (new_row, name, value)
		if (json_object_get(old_row, name) == NULL)
			json_object_set_new(fields, name,
			    json_pack("[n, O]", value));
	return fields;
}

json_t *
table_diff(enum table_kind kind, const json_t *old_rows, const json_t *new_rows)
{
	GHashTable *old_index = index_rows(kind, old_rows);
	GHashTable *new_index = index_rows(kind, new_rows);
	json_t *list = json_array(), *row, *old_row;
	size_t index;
	char *key;

	json_array_foreach (old_rows, index, row) {
		key = table_row_key(kind, row);
		if (!g_hash_table_contains(new_index, key))
			json_array_append_new(list,
			    json_pack("{s:s, s:s}", "row", key, "change",
				"removed"));
		g_free(key);
	}
	json_array_foreach (new_rows, index, row) {
		key = table_row_key(kind, row);
		old_row = g_hash_table_lookup(old_index, key);
		if (old_row == NULL)
			json_array_append_new(list,
			    json_pack("{s:s, s:s}", "row", key, "change",
				"added"));
		else if (!json_equal(old_row, row))
			json_array_append_new(list,
			    json_pack("{s:s, s:s, s:o}", "row", key, "change",
				"changed", "fields",
				diff_fields(old_row, row)));
		g_free(key);
	}
	g_hash_table_destroy(old_index);
	g_hash_table_destroy(new_index);
	return list;
}
