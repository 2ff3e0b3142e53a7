#include <jansson.h>
#include <stdio.h>

#include "bamboorudderctl/columns.h"
#include "bamboorudderctl/command.h"

#define REQUEST_TIMEOUT_MS 20000u
#define JSON_INDENT_SPACES 2

static bool
send_request_to(const struct admin_client *client, size_t index,
    const struct http_request *template, const char *path,
    struct http_response *response)
{
	char *url = g_strconcat(client->admin_urls[index], path, NULL);
	struct http_request request = *template;
	GError *error = NULL;
	gboolean done;

	request.url = url;
	request.bearer_token = client->token;
	request.timeout_ms = REQUEST_TIMEOUT_MS;
	done = http_perform(&request, response, &error);
	if (!done) {
		fprintf(stderr, "bamboorudderctl: %s\n", error->message);
		g_error_free(error);
	}
	g_free(url);
	return done;
}

bool
admin_client_request(const struct admin_client *client, const char *method,
    const char *path, const char *body, const char *if_match,
    struct http_response *response)
{
	struct http_request request = { .method = method,
		.body = body,
		.if_match = if_match };

	return send_request_to(client, 0, &request, path, response);
}

json_t *
admin_client_get_json(const struct admin_client *client, size_t index,
    const char *path, char **etag)
{
	struct http_request request = { .method = "GET" };
	struct http_response response;
	json_t *document = NULL;

	if (!send_request_to(client, index, &request, path, &response))
		return NULL;
	if (response.status == 200) {
		document = json_loads(response.body->str, 0, NULL);
		if (document == NULL)
			fprintf(stderr,
			    "bamboorudderctl: the response is not valid "
			    "JSON\n");
		if (etag != NULL)
			*etag = g_strdup(response.etag);
	} else
		response_print_error(&response);
	http_response_finish(&response);
	return document;
}

static void
print_finding(const json_t *finding)
{
	const char *table = "", *text = "";
	int row = 0, line = 0, column = 0;

	json_unpack((json_t *)finding, "{s:s, s:i, s:i, s:i, s:s}", "table",
	    &table, "row", &row, "line", &line, "column", &column, "text",
	    &text);
	if (line != 0)
		fprintf(stderr, "%s:%d:%d: %s\n", table, line, column, text);
	else if (row != 0)
		fprintf(stderr, "%s: row %d: %s\n", table, row, text);
	else
		fprintf(stderr, "%s: %s\n", table, text);
}

static void
print_changes_since(const json_t *changes)
{
	json_t *edit;
	size_t index;

	json_array_foreach (changes, index, edit)
		fprintf(stderr,
		    "version %" JSON_INTEGER_FORMAT " by %s at %s\n",
		    json_integer_value(json_object_get(edit, "version")),
		    json_string_value(json_object_get(edit, "operator")),
		    json_string_value(json_object_get(edit, "time")));
}

enum exit_status
response_print_error(const struct http_response *response)
{
	json_t *root = json_loads(response->body->str, 0, NULL);
	const json_t *error = json_object_get(root, "error");
	const char *message = json_string_value(
	    json_object_get(error, "message"));
	const char *run = json_string_value(json_object_get(error, "run"));
	const json_t *difference = json_object_get(error, "difference");
	size_t index;
	json_t *finding;

	fprintf(stderr, "bamboorudderctl: %u: %s%s\n", response->status,
	    message == NULL ? "the response has no error message" : message,
	    g_strcmp0(run, "unknown") == 0
		? " (it may have taken effect; see history)"
		: "");
	json_array_foreach (json_object_get(error, "findings"), index, finding)
		print_finding(finding);
	print_changes_since(json_object_get(error, "changes_since"));
	if (difference != NULL) {
		fprintf(stderr,
		    "the current version is %" JSON_INTEGER_FORMAT
		    ", changes from it to yours:\n",
		    json_integer_value(json_object_get(error, "version")));
		print_difference(difference);
	}
	json_decref(root);
	return EXIT_FAILED;
}

void
print_json(const json_t *document)
{
	json_dumpf(document, stdout, JSON_INDENT(JSON_INDENT_SPACES));
	printf("\n");
}

static void
print_fields(const json_t *change)
{
	json_t *fields = json_object_get(change, "fields"), *pair;
	const char *name;

	json_object_foreach (fields, name, pair) {
		char *before = json_to_text(json_array_get(pair, 0));
		char *after = json_to_text(json_array_get(pair, 1));
		printf("    %s: %s -> %s\n", name, before, after);
		g_free(before);
		g_free(after);
	}
}

void
print_difference(const json_t *difference)
{
	json_t *change;
	size_t index;

	if (json_array_size(difference) == 0)
		printf("no difference\n");
	json_array_foreach (difference, index, change) {
		const char *kind = json_string_value(
		    json_object_get(change, "change"));
		printf("%c %s\n",
		    g_strcmp0(kind, "added") == 0         ? '+'
			: g_strcmp0(kind, "removed") == 0 ? '-'
							  : '~',
		    json_string_value(json_object_get(change, "row")));
		print_fields(change);
	}
}

bool
command_check_no_args(const char *name, uint32_t arg_count)
{
	if (arg_count != 0)
		fprintf(stderr, "usage: bamboorudderctl %s\n", name);
	return arg_count == 0;
}
