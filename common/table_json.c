#include "common/table_json.h"

#include <glib.h>
#include <jansson.h>
#include <stddef.h>
#include <string.h>

/* A custom field is not read by row_read, but by its caller. */
enum field_type { FIELD_TEXT, FIELD_UINT32, FIELD_BOOL, FIELD_CUSTOM };

/* Maps a JSON object member to a struct member. */
struct field {
	const char *name;
	enum field_type type;
	bool required;
	size_t offset;
	size_t size_bytes;
};

struct row_context {
	struct findings *findings;
	const char *table;
	uint32_t row;
};

static void
field_read_text(const struct row_context *context, const struct field *field,
    const json_t *value, char *out)
{
	if (!json_is_string(value))
		findings_add_row(context->findings, context->table,
		    context->row, "%s must be a text", field->name);
	else if (json_string_length(value) == 0 ||
	    json_string_length(value) >= field->size_bytes)
		findings_add_row(context->findings, context->table,
		    context->row, "%s must have 1 to %zu bytes", field->name,
		    field->size_bytes - 1);
	else
		g_strlcpy(out, json_string_value(value), field->size_bytes);
}

static void
field_read_uint32(const struct row_context *context, const struct field *field,
    const json_t *value, uint32_t *out)
{
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value) || number < 0 || number > UINT32_MAX)
		findings_add_row(context->findings, context->table,
		    context->row, "%s must be a whole number from 0",
		    field->name);
	else
		*out = (uint32_t)number;
}

static void
field_read(const struct row_context *context, const struct field *field,
    const json_t *value, void *target)
{
	char *out = (char *)target + field->offset;

	switch (field->type) {
	case FIELD_TEXT:
		field_read_text(context, field, value, out);
		break;
	case FIELD_UINT32:
		field_read_uint32(context, field, value,
		    (uint32_t *)(void *)out);
		break;
	case FIELD_BOOL:
		if (json_is_boolean(value))
			*(bool *)out = json_is_true(value);
		else
			findings_add_row(context->findings, context->table,
			    context->row, "%s must be true or false",
			    field->name);
		break;
	case FIELD_CUSTOM:
		break;
	}
}

static const struct field *
field_find(const struct field *fields, size_t count, const char *name)
{
	for (size_t i = 0; i < count; i++)
		if (strcmp(fields[i].name, name) == 0)
			return &fields[i];
	return NULL;
}

static bool
row_read(const struct row_context *context, json_t *row,
    const struct field *fields, size_t count, void *target)
{
	const char *name;
	json_t *value;

	if (!json_is_object(row)) {
		findings_add_row(context->findings, context->table,
		    context->row, "must be an object");
		return false;
	}
	json_object_foreach (row, name, value) {
		const struct field *field = field_find(fields, count, name);
		if (field == NULL)
			findings_add_row(context->findings, context->table,
			    context->row, "unknown field %.64s", name);
		else
			field_read(context, field, value, target);
	}
	for (size_t i = 0; i < count; i++)
		if (fields[i].required &&
		    json_object_get(row, fields[i].name) == NULL)
			findings_add_row(context->findings, context->table,
			    context->row, "%s is missing", fields[i].name);
	return true;
}

#define ROUTE_TEXT(member, is_required)                                        \
	{                                                                      \
#member, FIELD_TEXT, is_required,                              \
		    offsetof(struct route, member),                            \
		    sizeof(((struct route *)0)->member)                        \
	}
#define POOL_NUMBER(member)                                                    \
	{                                                                      \
#member, FIELD_UINT32, false, offsetof(struct pool, member), 0 \
	}

static const struct field route_fields[] = {
	ROUTE_TEXT(account, true),
	ROUTE_TEXT(team, false),
	ROUTE_TEXT(path, true),
	ROUTE_TEXT(pool, true),
	{ "key_sha256", FIELD_CUSTOM, true, 0, 0 },
	{ "repeat", FIELD_CUSTOM, false, 0, 0 },
	{ "weight", FIELD_UINT32, false, offsetof(struct route, weight), 0 },
	{ "waiting_max_count", FIELD_UINT32, false,
	    offsetof(struct route, waiting_max_count), 0 },
};

static const struct field pool_fields[] = {
	{ "pool", FIELD_TEXT, true, offsetof(struct pool, name),
	    NAME_MAX_BYTES },
	{ "kind", FIELD_CUSTOM, true, 0, 0 },
	{ "endpoints", FIELD_CUSTOM, true, 0, 0 },
	POOL_NUMBER(slots_per_endpoint),
	POOL_NUMBER(extra_slots_per_endpoint),
	POOL_NUMBER(estimate_tokens),
	POOL_NUMBER(request_max_tokens),
	{ "resume", FIELD_BOOL, false, offsetof(struct pool, resume), 0 },
};

static const struct field endpoint_fields[] = {
	{ "address", FIELD_TEXT, true, offsetof(struct endpoint, address),
	    ADDRESS_MAX_BYTES },
	{ "domain", FIELD_TEXT, false, offsetof(struct endpoint, domain),
	    NAME_MAX_BYTES },
	{ "leaving", FIELD_BOOL, false, offsetof(struct endpoint, leaving), 0 },
	{ "fenced", FIELD_BOOL, false, offsetof(struct endpoint, fenced), 0 },
};

#define ROUTE_WEIGHT_DEFAULT 1u
#define ROUTE_WAITING_DEFAULT_COUNT 64u
#define POOL_SLOTS_DEFAULT_COUNT 1u
#define POOL_ESTIMATE_DEFAULT_TOKENS 256u
#define POOL_REQUEST_MAX_DEFAULT_TOKENS 8192u

static bool
key_is_sha256_hex(const char *text)
{
	return strlen(text) == KEY_HASH_HEX_BYTES &&
	    strspn(text, "0123456789abcdef") == KEY_HASH_HEX_BYTES;
}

static void
route_read_keys(const struct row_context *context, const json_t *keys,
    struct route *route)
{
	size_t index;
	json_t *key;

	if (!json_is_array(keys) || json_array_size(keys) == 0 ||
	    json_array_size(keys) > ROUTE_KEYS_MAX_COUNT) {
		findings_add_row(context->findings, context->table,
		    context->row, "key_sha256 must be a list of 1 to %u hashes",
		    ROUTE_KEYS_MAX_COUNT);
		return;
	}
	json_array_foreach (keys, index, key) {
		const char *text = json_string_value(key);
		if (text == NULL || !key_is_sha256_hex(text)) {
			findings_add_row(context->findings, context->table,
			    context->row,
			    "key_sha256 %zu must be 64 lower-case "
			    "hexadecimal digits",
			    index + 1);
			continue;
		}
		g_strlcpy(route->key_sha256[route->key_count++], text,
		    KEY_HASH_HEX_BYTES + 1);
	}
}

/* Returns the index of a text in a list of names, which is the value of its
 * enum constant, or 0 after a finding. */
static uint32_t
row_read_enum(const struct row_context *context, const json_t *value,
    const char *field, const char *const *names, uint32_t count)
{
	const char *text = json_string_value(value);
	char *allowed;

	for (uint32_t i = 0; text != NULL && i < count; i++)
		if (strcmp(text, names[i]) == 0)
			return i;
	allowed = g_strjoinv(", ", (char **)(void *)names);
	findings_add_row(context->findings, context->table, context->row,
	    "%s must be one of: %s", field, allowed);
	g_free(allowed);
	return 0;
}

static void
route_read(const struct row_context *context, json_t *row, struct route *route)
{
	static const char *const repeats[] = { "by-method", "always", "never",
		NULL };
	json_t *repeat = json_object_get(row, "repeat");

	route->weight = ROUTE_WEIGHT_DEFAULT;
	route->waiting_max_count = ROUTE_WAITING_DEFAULT_COUNT;
	if (!row_read(context, row, route_fields, G_N_ELEMENTS(route_fields),
		route))
		return;
	if (json_object_get(row, "key_sha256") != NULL)
		route_read_keys(context, json_object_get(row, "key_sha256"),
		    route);
	if (repeat != NULL)
		route->repeat = (enum route_repeat)row_read_enum(context,
		    repeat, "repeat", repeats, 3);
}

static void
pool_read_endpoints(const struct row_context *context, const json_t *list,
    struct pool *pool)
{
	size_t index;
	json_t *item;

	if (!json_is_array(list) ||
	    json_array_size(list) > ENDPOINTS_MAX_COUNT) {
		findings_add_row(context->findings, context->table,
		    context->row, "endpoints must be a list of at most %u",
		    ENDPOINTS_MAX_COUNT);
		return;
	}
	pool->endpoints = g_new0(struct endpoint, json_array_size(list) + 1);
	json_array_foreach (list, index, item) {
		if (row_read(context, item, endpoint_fields,
			G_N_ELEMENTS(endpoint_fields),
			&pool->endpoints[pool->endpoint_count]))
			pool->endpoint_count++;
	}
}

static void
pool_read(const struct row_context *context, json_t *row, struct pool *pool)
{
	static const char *const kinds[] = { "model", "service", NULL };
	json_t *kind = json_object_get(row, "kind");

	pool->slots_per_endpoint = POOL_SLOTS_DEFAULT_COUNT;
	pool->estimate_tokens = POOL_ESTIMATE_DEFAULT_TOKENS;
	pool->request_max_tokens = POOL_REQUEST_MAX_DEFAULT_TOKENS;
	if (!row_read(context, row, pool_fields, G_N_ELEMENTS(pool_fields),
		pool))
		return;
	if (kind != NULL)
		pool->kind = (enum pool_kind)row_read_enum(context, kind,
		    "kind", kinds, 2);
	if (json_object_get(row, "endpoints") != NULL)
		pool_read_endpoints(context, json_object_get(row, "endpoints"),
		    pool);
}

/* A table is an object with a list "rows" and, in the platform's store, a list
 * "history". */
static bool
root_is_table(const json_t *root)
{
	const json_t *history = json_object_get(root, "history");
	size_t members_count = history == NULL ? 1 : 2;

	return json_is_array(json_object_get(root, "rows")) &&
	    (history == NULL || json_is_array(history)) &&
	    json_object_size(root) == members_count;
}

/* Parses a table and returns its list of rows, or NULL after a finding. */
static json_t *
rows_load(const char *text, const char *table, uint32_t max_count,
    struct findings *findings)
{
	json_error_t error;
	json_t *root = json_loads(text, JSON_REJECT_DUPLICATES, &error);
	json_t *rows = json_object_get(root, "rows");

	if (root == NULL)
		findings_add_line(findings, table, (uint32_t)error.line,
		    (uint32_t)MAX(error.column, 1), "%s", error.text);
	else if (!root_is_table(root)) {
		findings_add_row(findings, table, 0,
		    "must be an object with just a list \"rows\"");
		rows = NULL;
	} else if (json_array_size(rows) > max_count) {
		findings_add_row(findings, table, 0,
		    "has %zu rows, allowed are %u", json_array_size(rows),
		    max_count);
		rows = NULL;
	}
	json_incref(rows);
	json_decref(root);
	return rows;
}

#define ROUTES_MAX_COUNT 8192u

bool
table_json_read(const char *routes_text, const char *pools_text,
    struct tables *tables, struct findings *findings)
{
	size_t before_count = findings->total_count, index;
	json_t *routes, *pools, *row;

	tables_init(tables);
	pools = rows_load(pools_text, "pools", POOLS_MAX_COUNT, findings);
	routes = rows_load(routes_text, "routes", ROUTES_MAX_COUNT, findings);
	tables->pools = g_new0(struct pool, json_array_size(pools) + 1);
	tables->routes = g_new0(struct route, json_array_size(routes) + 1);
	json_array_foreach (pools, index, row) {
		struct row_context context = { findings, "pools",
			(uint32_t)index + 1 };
		pool_read(&context, row, &tables->pools[tables->pool_count++]);
	}
	json_array_foreach (routes, index, row) {
		struct row_context context = { findings, "routes",
			(uint32_t)index + 1 };
		route_read(&context, row,
		    &tables->routes[tables->route_count++]);
	}
	json_decref(pools);
	json_decref(routes);
	tables_validate(tables, findings);
	return findings->total_count == before_count;
}
