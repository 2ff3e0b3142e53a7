#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "bamboorudderctl/command.h"
#include "common/table_diff.h"

#define RACES_MAX_COUNT 5
#define NO_TABLE "\"0\""

/* Reads the table at the platform. */
static json_t *
newest_rows(const struct table_words *words, char **etag)
{
	char *path = g_strconcat(words->path, "?newest", NULL);
	json_t *table = target_get(words->target, 0, path, etag);
	json_t *rows = json_incref(json_object_get(table, "rows"));

	g_free(path);
	json_decref(table);
	return rows;
}

/* The rows of a file; NULL after a message with line and column. */
static json_t *
file_rows(const char *file)
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

/* Prints how an edit ended. */
static enum exit_status
finish_edit(const struct target *target, struct http_response *answer)
{
	enum exit_status status = EXIT_DONE;

	if (answer->status != 200)
		status = answer_print_error(answer);
	else if (target->json)
		printf("%s\n", answer->body->str);
	else
		printf("accepted as version %" PRIu64 "\n",
		    http_etag_version(answer->etag));
	http_response_finish(answer);
	return status;
}

static enum exit_status
put_rows(const struct table_words *words, json_t *rows, const char *etag)
{
	const char *if_match = words->target->if_match;
	json_t *table = json_pack("{s:O}", "rows", rows);
	char *text = json_dumps(table, JSON_COMPACT);
	enum exit_status status = EXIT_REFUSED;
	struct http_response answer;

	if (if_match == NULL && strcmp(etag, NO_TABLE) != 0)
		if_match = etag;
	if (target_call(words->target, "PUT", words->path, text, if_match,
		&answer))
		status = finish_edit(words->target, &answer);
	free(text);
	json_decref(table);
	return status;
}

/* Shows the difference between the newest table and a file, then applies. */
static enum exit_status
diff_file(const struct table_words *words, bool apply)
{
	json_t *rows = file_rows(words->words[0]), *newest, *difference;
	enum exit_status status = EXIT_DONE;
	char *etag = NULL;

	if (rows == NULL)
		return EXIT_USAGE;
	newest = newest_rows(words, &etag);
	if (newest == NULL) {
		json_decref(rows);
		g_free(etag);
		return EXIT_REFUSED;
	}
	difference = table_diff(words->kind, newest, rows);
	if (words->target->json && !apply)
		print_json(difference);
	else if (!words->target->json) {
		printf("difference to version %" PRIu64 ":\n",
		    http_etag_version(etag));
		print_difference(difference);
	}
	if (apply)
		status = put_rows(words, rows, etag);
	json_decref(difference);
	json_decref(newest);
	json_decref(rows);
	g_free(etag);
	return status;
}

enum exit_status
table_show_diff(const struct table_words *words)
{
	return diff_file(words, false);
}

enum exit_status
table_apply(const struct table_words *words)
{
	return diff_file(words, true);
}

/* Reads FIELD=VALUE words: a value that is JSON counts as JSON. */
static json_t *
read_fields(const struct table_words *words)
{
	json_t *fields = json_object();

	for (uint32_t i = 0; i < words->word_count; i++) {
		const char *equals = strchr(words->words[i], '=');
		json_t *value;
		char *name;

		if (equals == NULL) {
			fprintf(stderr,
			    "bamboorudderctl: %s is not FIELD=VALUE\n",
			    words->words[i]);
			json_decref(fields);
			return NULL;
		}
		name = g_strndup(words->words[i],
		    (gsize)(equals - words->words[i]));
		value = json_loads(equals + 1, JSON_DECODE_ANY, NULL);
		if (value == NULL)
			value = json_string(equals + 1);
		json_object_set_new(fields, name, value);
		g_free(name);
	}
	return fields;
}

static bool
has_key(const struct table_words *words, const json_t *fields)
{
	bool has = words->kind == TABLE_POOLS
	    ? json_is_string(json_object_get(fields, "pool"))
	    : json_is_string(json_object_get(fields, "account")) &&
		json_is_string(json_object_get(fields, "path"));

	if (!has)
		fprintf(stderr, "bamboorudderctl: the row is named by %s\n",
		    words->kind == TABLE_POOLS ? "pool=NAME"
					       : "account=NAME path=PATH");
	return has;
}

/* The row as it is, with the fields over it; null takes a field away. */
static json_t *
merge_row(const struct table_words *words, const json_t *rows,
    const json_t *fields)
{
	char *key = table_row_key(words->kind, fields);
	size_t index = table_row_find(words->kind, rows, key);
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
put_row(const struct table_words *words, const json_t *fields,
    struct http_response *answer)
{
	char *etag = NULL, *path, *text;
	json_t *rows = newest_rows(words, &etag), *row;
	bool done;

	if (rows == NULL)
		return false;
	row = merge_row(words, rows, fields);
	path = g_strconcat(words->path, "/row", NULL);
	text = json_dumps(row, JSON_COMPACT);
	done = target_call(words->target, "PUT", path, text,
	    words->target->if_match != NULL ? words->target->if_match : etag,
	    answer);
	free(text);
	g_free(path);
	g_free(etag);
	json_decref(row);
	json_decref(rows);
	return done;
}

/* A lost race is run again on the newer row, unless a version was given. */
enum exit_status
table_set(const struct table_words *words)
{
	json_t *fields = read_fields(words);
	enum exit_status status = EXIT_REFUSED;
	struct http_response answer;

	if (fields == NULL || !has_key(words, fields)) {
		json_decref(fields);
		return EXIT_USAGE;
	}
	for (int race = 0; race < RACES_MAX_COUNT; race++) {
		if (!put_row(words, fields, &answer))
			break;
		if (answer.status == 412 && words->target->if_match == NULL &&
		    race + 1 < RACES_MAX_COUNT) {
			http_response_finish(&answer);
			continue;
		}
		status = finish_edit(words->target, &answer);
		break;
	}
	json_decref(fields);
	return status;
}

static char *
row_path(const struct table_words *words, const json_t *fields)
{
	GString *path = g_string_new(words->path);
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
table_remove(const struct table_words *words)
{
	json_t *fields = read_fields(words);
	enum exit_status status = EXIT_REFUSED;
	struct http_response answer;
	char *path;

	if (fields == NULL || !has_key(words, fields)) {
		json_decref(fields);
		return EXIT_USAGE;
	}
	path = row_path(words, fields);
	if (target_call(words->target, "DELETE", path, NULL,
		words->target->if_match, &answer))
		status = finish_edit(words->target, &answer);
	g_free(path);
	json_decref(fields);
	return status;
}
