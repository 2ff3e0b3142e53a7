#include <stdio.h>
#include <string.h>

#include "bamboorudderctl/command.h"

static enum exit_status
table_get(const struct target *target, const char *path)
{
	enum exit_status status = EXIT_DONE;
	struct http_answer answer;

	if (!target_call(target, "GET", path, NULL, NULL, &answer))
		return EXIT_REFUSED;
	if (answer.status == 200)
		printf("%s\n", answer.body->str);
	else
		status = answer_print_error(&answer);
	http_answer_finish(&answer);
	return status;
}

/* The version in force, quoted; NULL if there is none yet. */
static bool
table_version(const struct target *target, const char *path, char **version)
{
	struct http_answer answer;

	*version = NULL;
	if (!target_call(target, "GET", path, NULL, NULL, &answer))
		return false;
	if (answer.status != 200) {
		answer_print_error(&answer);
		http_answer_finish(&answer);
		return false;
	}
	if (http_etag_version(answer.etag) != 0)
		*version = g_strdup(answer.etag);
	http_answer_finish(&answer);
	return true;
}

static enum exit_status
table_apply(const struct target *target, const char *path, const char *file)
{
	enum exit_status status = EXIT_REFUSED;
	struct http_answer answer;
	GError *error = NULL;
	char *text, *version;

	if (!g_file_get_contents(file, &text, NULL, &error)) {
		fprintf(stderr, "bamboorudderctl: %s\n", error->message);
		g_error_free(error);
		return EXIT_USAGE;
	}
	if (table_version(target, path, &version) &&
	    target_call(target, "PUT", path, text, version, &answer)) {
		if (answer.status == 200) {
			printf("version %s\n", answer.etag);
			status = EXIT_DONE;
		} else
			status = answer_print_error(&answer);
		if (answer.status == 422)
			status = EXIT_USAGE;
		http_answer_finish(&answer);
	}
	g_free(version);
	g_free(text);
	return status;
}

enum exit_status
table_command(const struct target *target, const char *table, int word_count,
    char **words)
{
	char *path = g_strdup_printf("/v1/tables/%s", table);
	enum exit_status status = EXIT_USAGE;

	if (word_count == 1 && strcmp(words[0], "get") == 0)
		status = table_get(target, path);
	else if (word_count == 2 && strcmp(words[0], "apply") == 0)
		status = table_apply(target, path, words[1]);
	else
		fprintf(stderr, "usage: bamboorudderctl %s get|apply FILE\n",
		    table);
	g_free(path);
	return status;
}
