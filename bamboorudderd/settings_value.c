#include <stdarg.h>
#include <string.h>

#include "bamboorudderd/settings_private.h"

#define MILLI_PER_UNIT 1000.0
#define SECRET_MASK "***"

void
settings_add_finding(const struct settings_input *input,
    const struct toml_value *value, const char *format, ...)
{
	char text[FINDING_TEXT_MAX_BYTES];
	va_list args;

	va_start(args, format);
	g_vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	findings_add_line(input->findings, input->path, value->line,
	    value->column, "%s", text);
}

static void
keep_zero(const struct settings_key *key, void *target)
{
	(void)key;
	(void)target;
}

static bool
choice_is_allowed(const char *choices, const char *text)
{
	char **list = g_strsplit(choices, ",", -1);
	bool found = g_strv_contains((const char *const *)list, text);

	g_strfreev(list);
	return found;
}

static void
validate_string(const struct settings_input *input,
    const struct settings_key *key, const struct toml_value *value)
{
	const char *problem = key->validate == NULL
	    ? NULL
	    : key->validate(value->string);

	if (problem != NULL)
		settings_add_finding(input, value, "%s %s", key->name, problem);
}

static void
set_default_string(const struct settings_key *key, void *target)
{
	if (key->default_string != NULL)
		g_strlcpy(target, key->default_string,
		    SETTINGS_STRING_MAX_BYTES);
}

static void
read_string(const struct settings_input *input, const struct settings_key *key,
    const struct toml_value *value, void *target)
{
	if (value->type != TOML_STRING || value->in_array)
		settings_add_finding(input, value, "%s must be a text",
		    key->name);
	else if (strlen(value->string) >= SETTINGS_STRING_MAX_BYTES)
		settings_add_finding(input, value, "%s is longer than %u bytes",
		    key->name, SETTINGS_STRING_MAX_BYTES - 1);
	else if (key->choices != NULL &&
	    !choice_is_allowed(key->choices, value->string))
		settings_add_finding(input, value, "%s must be one of: %s",
		    key->name, key->choices);
	else {
		validate_string(input, key, value);
		g_strlcpy(target, value->string, SETTINGS_STRING_MAX_BYTES);
	}
}

static void
print_string(const struct settings_key *key, const void *target, GString *out)
{
	g_string_append_printf(out, "\"%s\"",
	    key->secret ? SECRET_MASK : (const char *)target);
}

static void
set_default_number(const struct settings_key *key, void *target)
{
	*(uint32_t *)target = key->default_number;
}

static void
read_integer(const struct settings_input *input, const struct settings_key *key,
    const struct toml_value *value, void *target)
{
	if (value->type != TOML_INTEGER || value->in_array)
		settings_add_finding(input, value, "%s must be a whole number",
		    key->name);
	else if (value->integer < key->min || value->integer > key->max)
		settings_add_finding(input, value,
		    "%s is %" G_GINT64_FORMAT ", allowed is %u to %u %s",
		    key->name, value->integer, key->min, key->max, key->unit);
	else
		*(uint32_t *)target = (uint32_t)value->integer;
}

/* Stores a number in units of 1 / scale, without further decimal places. */
static void
read_number(const struct settings_input *input, const struct settings_key *key,
    const struct toml_value *value, double scale, void *target)
{
	double number = value->floating * scale;

	if ((value->type != TOML_INTEGER && value->type != TOML_FLOAT) ||
	    value->in_array)
		settings_add_finding(input, value, "%s must be a number",
		    key->name);
	else if (!(number >= key->min && number <= key->max))
		settings_add_finding(input, value,
		    "%s is %g, allowed is %.9g to %.9g", key->name,
		    value->floating, key->min / scale, key->max / scale);
	else
		*(uint32_t *)target = (uint32_t)number;
}

static void
read_rounded(const struct settings_input *input, const struct settings_key *key,
    const struct toml_value *value, void *target)
{
	read_number(input, key, value, 1, target);
}

static void
read_decimal(const struct settings_input *input, const struct settings_key *key,
    const struct toml_value *value, void *target)
{
	read_number(input, key, value, MILLI_PER_UNIT, target);
}

static void
print_integer(const struct settings_key *key, const void *target, GString *out)
{
	(void)key;
	g_string_append_printf(out, "%u", *(const uint32_t *)target);
}

static void
print_decimal(const struct settings_key *key, const void *target, GString *out)
{
	(void)key;
	g_string_append_printf(out, "%g",
	    *(const uint32_t *)target / MILLI_PER_UNIT);
}

static void
read_boolean(const struct settings_input *input, const struct settings_key *key,
    const struct toml_value *value, void *target)
{
	if (value->type != TOML_BOOLEAN || value->in_array)
		settings_add_finding(input, value, "%s must be true or false",
		    key->name);
	else
		*(bool *)target = value->boolean;
}

static void
print_boolean(const struct settings_key *key, const void *target, GString *out)
{
	(void)key;
	g_string_append(out, *(const bool *)target ? "true" : "false");
}

static void
read_list(const struct settings_input *input, const struct settings_key *key,
    const struct toml_value *value, void *target)
{
	struct settings_list *list = target;

	if (value->type != TOML_STRING || !value->in_array)
		settings_add_finding(input, value, "%s must be a list of texts",
		    key->name);
	else if (list->count == SETTINGS_LIST_MAX_COUNT)
		settings_add_finding(input, value, "%s has more than %u items",
		    key->name, SETTINGS_LIST_MAX_COUNT);
	else if (strlen(value->string) >= SETTINGS_STRING_MAX_BYTES)
		settings_add_finding(input, value,
		    "%s has an item longer than %u bytes", key->name,
		    SETTINGS_STRING_MAX_BYTES - 1);
	else {
		validate_string(input, key, value);
		g_strlcpy(list->items[list->count++], value->string,
		    SETTINGS_STRING_MAX_BYTES);
	}
}

static void
print_list(const struct settings_key *key, const void *target, GString *out)
{
	const struct settings_list *list = target;

	g_string_append_c(out, '[');
	for (uint32_t i = 0; i < list->count; i++)
		g_string_append_printf(out, "%s\"%s\"", i == 0 ? "" : ", ",
		    key->secret ? SECRET_MASK : list->items[i]);
	g_string_append_c(out, ']');
}

const struct settings_type_ops *
settings_key_ops(const struct settings_key *key)
{
	static const struct settings_type_ops ops[] = {
		[SETTINGS_STRING] = { SETTINGS_STRING_MAX_BYTES,
		    set_default_string, read_string, print_string },
		[SETTINGS_UINT32] = { sizeof(uint32_t), set_default_number,
		    read_integer, print_integer },
		[SETTINGS_ROUNDED] = { sizeof(uint32_t), set_default_number,
		    read_rounded, print_integer },
		[SETTINGS_DECIMAL] = { sizeof(uint32_t), set_default_number,
		    read_decimal, print_decimal },
		[SETTINGS_BOOL] = { sizeof(bool), keep_zero, read_boolean,
		    print_boolean },
		[SETTINGS_LIST] = { sizeof(struct settings_list), keep_zero,
		    read_list, print_list },
	};

	return &ops[key->type];
}
