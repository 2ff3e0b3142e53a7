#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "bamboorudderctl/command.h"
#include "common/table_diff.h"

#define CONFLICT_ATTEMPTS_MAX_COUNT 5
#define NO_TABLE_ETAG "\"0\""

/* Gets the rows of the newest version in the store, whether in force or not. */
static json_t *
fetch_newest_rows(const struct table_args *args, char **etag)
{
	char *path = g_strconcat(args->path, "?newest", NULL);
	json_t *table = admin_client_get_json(args->client, 0, path, etag);
	json_t *rows = json_incref(json_object_get(table, "rows"));

	g_free(path);
	json_decref(table);
	return rows;
}

/* Returns the rows of a table file, or NULL after an error message. */
static json_t *
read_file_rows(const char *file)
{
	json_error_t error;
	json_t *root = json_load_file(file, JSON_REJECT_DUPLICATES, &error);
	json_t *rows = json_incref(json_object_get(root, "rows"));

	if (root == NULL && error.line > 0)
		fprintf(stderr, "%s:%d:%d: %s\n", file, error.line,
		    error.column, error.text);
	else if (root == NULL)
		fprintf(stderr, "bamboorudderctl: %s\n", error.text);
	else if (!json_is_array(rows)) {
		fprintf(stderr, "%s: must be an object with a list \"rows\"\n",
		    file);
		json_decref(rows);
		rows = NULL;
	}
	json_decref(root);
	return rows;
}

/* Prints the new version or the error, and frees the response. */
static enum exit_status
report_edit(const struct admin_client *client, struct http_response *response)
{
	enum exit_status status = EXIT_OK;

	if (response->status != 200)
		status = response_print_error(response);
	else if (client->json)
		printf("%s\n", response->body->str);
	else
		printf("accepted as version %" PRIu64 "\n",
		    http_etag_version(response->etag));
	http_response_finish(response);
	return status;
}

static enum exit_status
put_rows(const struct table_args *args, json_t *rows, const char *etag)
{
	const char *if_match = args->client->if_match;
	json_t *table = json_pack("{s:O}", "rows", rows);
	char *text = json_dumps(table, JSON_COMPACT);
	enum exit_status status = EXIT_FAILED;
	struct http_response response;

	if (if_match == NULL && strcmp(etag, NO_TABLE_ETAG) != 0)
		if_match = etag;
	if (admin_client_request(args->client, "PUT", args->path, text,
		if_match, &response))
		status = report_edit(args->client, &response);
	free(text);
	json_decref(table);
	return status;
}

/* Prints the changes from the newest table to a file and may apply them. */
static enum exit_status
compare_with_file(const struct table_args *args, bool apply)
{
	json_t *rows = read_file_rows(args->args[0]), *newest, *difference;
	enum exit_status status = EXIT_OK;
	char *etag = NULL;

	if (rows == NULL)
		return EXIT_USAGE;
	newest = fetch_newest_rows(args, &etag);
	if (newest == NULL) {
		json_decref(rows);
		g_free(etag);
		return EXIT_FAILED;
	}
	difference = table_diff(args->kind, newest, rows);
	if (args->client->json && !apply)
		print_json(difference);
	else if (!args->client->json) {
		printf("changes to version %" PRIu64 ":\n",
		    http_etag_version(etag));
		print_difference(difference);
	}
	if (apply)
		status = put_rows(args, rows, etag);
	json_decref(difference);
	json_decref(newest);
	json_decref(rows);
	g_free(etag);
	return status;
}

enum exit_status
table_diff_file(const struct table_args *args)
{
	return compare_with_file(args, false);
}

enum exit_status
table_apply(const struct table_args *args)
{
	return compare_with_file(args, true);
}

/* Parses FIELD=VALUE arguments. A value that isn't JSON becomes a string. */
static json_t *
parse_fields(const struct table_args *args)
{
	json_t *fields = json_object();

	for (uint32_t i = 0; i < args->arg_count; i++) {
		const char *equals = strchr(args->args[i], '=');
		json_t *value;
		char *name;

		if (equals == NULL) {
			fprintf(stderr,
			    "bamboorudderctl: %s: expected FIELD=VALUE\n",
			    args->args[i]);
			json_decref(fields);
			return NULL;
		}
		name = g_strndup(args->args[i],
		    (gsize)(equals - args->args[i]));
		value = json_loads(equals + 1, JSON_DECODE_ANY, NULL);
		if (value == NULL)
			value = json_string(equals + 1);
		json_object_set_new(fields, name, value);
		g_free(name);
	}
	return fields;
}

static bool
has_row_key(const struct table_args *args, const json_t *fields)
{
	bool named = args->kind == TABLE_POOLS
	    ? json_is_string(json_object_get(fields, "pool"))
	    : json_is_string(json_object_get(fields, "account")) &&
		json_is_string(json_object_get(fields, "path"));

	if (!named)
		fprintf(stderr, "bamboorudderctl: identify the row by %s\n",
		    args->kind == TABLE_POOLS ? "pool=NAME"
					      : "account=NAME path=PATH");
	return named;
}

/* Sets fields in a copy of the row or in a new row; null removes a field. */
static json_t *
merge_row(const struct table_args *args, const json_t *rows,
    const json_t *fields)
{
	char *key = table_row_key(args->kind, fields);
	size_t index = table_row_find(args->kind, rows, key);
	json_t *row = index == TABLE_ROW_NONE
	    ? json_object()
	    : json_copy(json_array_get(rows, index));
	const char *name;
	json_t *value;

	json_object_foreach ((json_t *)fields, name, value) {
		if (json_is_null(value))
			json_object_del(row, name);
		else
			json_object_set(row, name, value);
	}
	g_free(key);
	return row;
}

static bool
put_row(const struct table_args *args, const json_t *fields,
    struct http_response *response)
{
	char *etag = NULL, *path, *text;
	json_t *rows = fetch_newest_rows(args, &etag), *row;
	bool done;

	if (rows == NULL)
		return false;
	row = merge_row(args, rows, fields);
	path = g_strconcat(args->path, "/row", NULL);
	text = json_dumps(row, JSON_COMPACT);
	done = admin_client_request(args->client, "PUT", path, text,
	    args->client->if_match != NULL ? args->client->if_match : etag,
	    response);
	free(text);
	g_free(path);
	g_free(etag);
	json_decref(row);
	json_decref(rows);
	return done;
}

/*
 * After a version conflict, merges the fields into the newer row and retries,
 * unless the operator gave a version.
 */
enum exit_status
table_set(const struct table_args *args)
{
	json_t *fields = parse_fields(args);
	enum exit_status status = EXIT_FAILED;
	struct http_response response;

	if (fields == NULL || !has_row_key(args, fields)) {
		json_decref(fields);
		return EXIT_USAGE;
	}
	for (int attempt = 0; attempt < CONFLICT_ATTEMPTS_MAX_COUNT;
	     attempt++) {
		if (!put_row(args, fields, &response))
			break;
		if (response.status == 412 && args->client->if_match == NULL &&
		    attempt + 1 < CONFLICT_ATTEMPTS_MAX_COUNT) {
			http_response_finish(&response);
			continue;
		}
		status = report_edit(args->client, &response);
		break;
	}
	json_decref(fields);
	return status;
}

static char *
row_url_path(const struct table_args *args, const json_t *fields)
{
	GString *path = g_string_new(args->path);
	const char *name;
	json_t *value;
	char separator = '?';

	g_string_append(path, "/row");
	json_object_foreach ((json_t *)fields, name, value) {
		g_string_append_printf(path, "%c%s=", separator, name);
		g_string_append_uri_escaped(path, json_string_value(value),
		    NULL, FALSE);
		separator = '&';
	}
	return g_string_free(path, FALSE);
}

enum exit_status
table_remove(const struct table_args *args)
{
	json_t *fields = parse_fields(args);
	enum exit_status status = EXIT_FAILED;
	struct http_response response;
	char *path;

	if (fields == NULL || !has_row_key(args, fields)) {
		json_decref(fields);
		return EXIT_USAGE;
	}
	path = row_url_path(args, fields);
	if (admin_client_request(args->client, "DELETE", path, NULL,
		args->client->if_match, &response))
		status = report_edit(args->client, &response);
	g_free(path);
	json_decref(fields);
	return status;
}
