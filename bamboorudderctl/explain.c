#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bamboorudderctl/columns.h"
#include "bamboorudderctl/command.h"

static void
add_parameter(GString *path, const char *name, const char *value)
{
	char *escaped;

	if (value == NULL)
		return;
	escaped = curl_easy_escape(NULL, value, 0);
	g_string_append_printf(path, "%c%s=%s",
	    strchr(path->str, '?') == NULL ? '?' : '&', name, escaped);
	curl_free(escaped);
}

static char *
make_path(const struct explain_flags *flags, const char *target)
{
	GString *path = g_string_new("/v1/explain");
	const char *slash = strchr(target, '/');
	char *host = slash == NULL ? g_strdup(target)
				   : g_strndup(target, (gsize)(slash - target));

	add_parameter(path, "host", host);
	add_parameter(path, "path", slash == NULL ? "/" : slash);
	add_parameter(path, "account", flags->account);
	add_parameter(path, "tokens", flags->tokens);
	add_parameter(path, "segments", flags->segments);
	add_parameter(path, "body_bytes", flags->body_bytes);
	g_free(host);
	return g_string_free(path, FALSE);
}

static const char *
text_of(const json_t *document, const char *name)
{
	return json_string_value(json_object_get(document, name));
}

static json_int_t
number_of(const json_t *document, const char *name)
{
	return json_integer_value(json_object_get(document, name));
}

static void
print_decision(const json_t *document)
{
	if (json_is_true(json_object_get(document, "admitted")))
		printf("goes to %s, first token in about %" JSON_INTEGER_FORMAT
		       " ms\n",
		    text_of(document, "endpoint"),
		    number_of(document, "first_token_ms"));
	else
		printf("refused as %s, Retry-After %.3f s (best endpoint: "
		       "%s)\n",
		    text_of(document, "refused_as"),
		    (double)number_of(document, "retry_after_ms") / 1000,
		    text_of(document, "endpoint"));
	printf("account: %" JSON_INTEGER_FORMAT
	       " permille of its fair share, may wait %" JSON_INTEGER_FORMAT
	       " ms\n",
	    number_of(document, "share_permille"),
	    number_of(document, "limit_ms"));
	printf("leaves the failure domain: %s\n", text_of(document, "leaves"));
	if (json_is_true(json_object_get(document, "decided_here")))
		printf("decided by this daemon\n\n");
	else
		printf("decided by %s: the load below is what this daemon "
		       "knows; ask that one for all of it\n\n",
		    text_of(document, "decided_by"));
}

static void
print_endpoints(const json_t *document)
{
	struct columns columns;
	json_t *endpoint;
	size_t index;

	columns_init(&columns, "ENDPOINT", "STATE", "DOMAIN", "WAIT MS",
	    "PREFILL MS", "UNCACHED", "FIRST TOKEN MS", "CROSSING MS",
	    "CLOSED MS", "COST MS", NULL);
	json_array_foreach (json_object_get(document, "endpoints"), index,
	    endpoint)
		columns_add_json(&columns, endpoint, "endpoint", "state",
		    "domain", "wait_ms", "prefill_ms", "uncached_tokens",
		    "first_token_ms", "crossing_ms", "closed_ms", "cost_ms",
		    NULL);
	columns_print(&columns);
}

enum exit_status
command_explain(const struct admin_client *client, uint32_t arg_count,
    char **args)
{
	json_t *document;
	char *path;

	if (arg_count != 1) {
		fprintf(stderr,
		    "usage: bamboorudderctl explain HOST/PATH "
		    "[--account NAME] [--tokens IN[,OUT]] "
		    "[--segments ID:TOKENS,...] "
		    "[--body-bytes N]\n");
		return EXIT_USAGE;
	}
	path = make_path(&client->explain, args[0]);
	document = admin_client_get_json(client, 0, path, NULL);
	g_free(path);
	if (document == NULL)
		return EXIT_FAILED;
	if (client->json)
		print_json(document);
	else {
		print_decision(document);
		print_endpoints(document);
	}
	json_decref(document);
	return EXIT_OK;
}
