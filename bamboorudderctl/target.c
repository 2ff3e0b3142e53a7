#include <jansson.h>
#include <stdio.h>

#include "bamboorudderctl/command.h"

#define CALL_TIMEOUT_MS 10000u

bool
target_call(const struct target *target, const char *method, const char *path,
    const char *body, const char *if_match, struct http_answer *answer)
{
	char *url = g_strconcat(target->admin_url, path, NULL);
	struct http_call call = { .method = method,
		.url = url,
		.body = body,
		.bearer_token = target->token,
		.if_match = if_match,
		.timeout_ms = CALL_TIMEOUT_MS };
	GError *error = NULL;
	gboolean done = http_perform(&call, answer, &error);

	if (!done) {
		fprintf(stderr, "bamboorudderctl: %s\n", error->message);
		g_error_free(error);
	}
	g_free(url);
	return done;
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

enum exit_status
answer_print_error(const struct http_answer *answer)
{
	json_t *root = json_loads(answer->body->str, 0, NULL);
	const json_t *error = json_object_get(root, "error");
	const char *message = json_string_value(
	    json_object_get(error, "message"));
	size_t index;
	json_t *finding;

	fprintf(stderr, "bamboorudderctl: %u: %s\n", answer->status,
	    message == NULL ? "no reason was given" : message);
	json_array_foreach (json_object_get(error, "findings"), index, finding)
		print_finding(finding);
	json_decref(root);
	return EXIT_REFUSED;
}
