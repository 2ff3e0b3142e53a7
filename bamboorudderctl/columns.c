#include "bamboorudderctl/columns.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define COLUMN_GAP_SPACES 2

static void
free_row(gpointer row)
{
	g_strfreev(row);
}

static char **
row_from_args(va_list args)
{
	GPtrArray *row = g_ptr_array_new();
	const char *text;

	while ((text = va_arg(args, const char *)) != NULL)
		g_ptr_array_add(row, g_strdup(text));
	g_ptr_array_add(row, NULL);
	return (char **)g_ptr_array_free(row, FALSE);
}

void
columns_init(struct columns *columns, ...)
{
	va_list args;

	columns->rows = g_ptr_array_new_with_free_func(free_row);
	va_start(args, columns);
	g_ptr_array_add(columns->rows, row_from_args(args));
	va_end(args);
}

void
columns_add(struct columns *columns, ...)
{
	va_list args;

	va_start(args, columns);
	g_ptr_array_add(columns->rows, row_from_args(args));
	va_end(args);
}

char *
json_to_text(const json_t *value)
{
	char *json_text, *text;

	if (value == NULL || json_is_null(value))
		return g_strdup("-");
	if (json_is_string(value))
		return g_strdup(json_string_value(value));
	if (json_is_boolean(value))
		return g_strdup(json_is_true(value) ? "yes" : "no");
	if (json_is_real(value))
		return g_strdup_printf("%.3f", json_real_value(value));
	json_text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	text = g_strdup(json_text);
	free(json_text);
	return text;
}

void
columns_add_json(struct columns *columns, const json_t *object, ...)
{
	GPtrArray *row = g_ptr_array_new();
	const char *name;
	va_list args;

	va_start(args, object);
	while ((name = va_arg(args, const char *)) != NULL)
		g_ptr_array_add(row,
		    json_to_text(json_object_get(object, name)));
	va_end(args);
	g_ptr_array_add(row, NULL);
	g_ptr_array_add(columns->rows, g_ptr_array_free(row, FALSE));
}

static size_t
column_width(const struct columns *columns, size_t index)
{
	size_t width = 0;

	for (guint i = 0; i < columns->rows->len; i++) {
		char **row = g_ptr_array_index(columns->rows, i);
		if (index < g_strv_length(row))
			width = MAX(width, strlen(row[index]));
	}
	return width;
}

static void
print_row(const struct columns *columns, char **row)
{
	for (size_t i = 0; row[i] != NULL; i++) {
		if (row[i + 1] == NULL)
			printf("%s", row[i]);
		else
			printf("%-*s",
			    (int)column_width(columns, i) + COLUMN_GAP_SPACES,
			    row[i]);
	}
	printf("\n");
}

void
columns_print(struct columns *columns)
{
	for (guint i = 0; i < columns->rows->len; i++)
		print_row(columns, g_ptr_array_index(columns->rows, i));
	g_ptr_array_free(columns->rows, TRUE);
	columns->rows = NULL;
}
