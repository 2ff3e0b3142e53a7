#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bamboorudderctl/command.h"

#define WORDS_MAX_COUNT 16
#define ADMIN_URL_DEFAULT "http://127.0.0.1:7080"

/* Sorted by name. */
static const struct command commands[] = {
	{ "drain", "", "let the daemon finish its work and take no more",
	    command_drain },
	{ "dump", "", "print the daemon's whole control state", command_dump },
	{ "pools", "get|apply FILE", "read or replace the pools table",
	    command_pools },
	{ "routes", "get|apply FILE", "read or replace the routes table",
	    command_routes },
};

#define COMMANDS_COUNT (sizeof(commands) / sizeof(commands[0]))

static int
compare_name(const void *name, const void *command)
{
	return strcmp(name, ((const struct command *)command)->name);
}

static void
print_help(void **table)
{
	printf("usage: bamboorudderctl");
	arg_print_syntax(stdout, table, "\n");
	arg_print_glossary(stdout, table, "  %-18s %s\n");
	printf("commands:\n");
	for (size_t i = 0; i < COMMANDS_COUNT; i++)
		printf("  %-8s %-16s %s\n", commands[i].name, commands[i].words,
		    commands[i].help);
}

static const char *
option_or_environment(const struct arg_str *option, const char *variable,
    const char *preset)
{
	const char *value = getenv(variable);

	if (option->count > 0)
		return option->sval[0];
	return value == NULL ? preset : value;
}

static enum exit_status
run_command(const struct target *target, int word_count, char **words)
{
	const struct command *command = bsearch(words[0], commands,
	    COMMANDS_COUNT, sizeof(commands[0]), compare_name);
	enum exit_status status;

	if (command == NULL) {
		fprintf(stderr, "bamboorudderctl: unknown command %s\n",
		    words[0]);
		return EXIT_USAGE;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	status = command->run(target, word_count - 1, words + 1);
	curl_global_cleanup();
	return status;
}

int
main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_str *admin = arg_str0(NULL, "admin", "URL",
	    "administration API; else $BAMBOORUDDER_ADMIN");
	struct arg_str *words = arg_strn(NULL, NULL, "COMMAND", 1,
	    WORDS_MAX_COUNT, "command and its words");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, json, admin, words, end };
	int errors = arg_parse(argc, argv, table);
	enum exit_status status;
	struct target target;

	if (help->count > 0) {
		print_help(table);
		status = EXIT_DONE;
	} else if (errors > 0) {
		arg_print_errors(stderr, end, "bamboorudderctl");
		status = EXIT_USAGE;
	} else {
		target.admin_url = option_or_environment(admin,
		    "BAMBOORUDDER_ADMIN", ADMIN_URL_DEFAULT);
		target.token = getenv("BAMBOORUDDER_TOKEN");
		target.json = json->count > 0;
		status = run_command(&target, words->count,
		    (char **)(void *)words->sval);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
