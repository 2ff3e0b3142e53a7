#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bamboorudderctl/command.h"

#define ARGS_MAX_COUNT 16
#define ADMIN_URLS_MAX_COUNT 16
#define ADMIN_URL_DEFAULT "http://127.0.0.1:7080"

#define TABLE_SUBCOMMANDS_USAGE "get|history|check|diff|apply|set|remove"

/* Sorted by name for bsearch. */
static const struct command commands[] = {
	{ "accounts", "", "list client accounts, their shares and requests",
	    command_accounts },
	{ "domains", "", "list failure domains, and which are drained",
	    command_domains },
	{ "drain", "", "finish running requests and accept no new ones",
	    command_drain },
	{ "dump", "", "print the daemon's complete control state",
	    command_dump },
	{ "explain", "HOST/PATH", "tell where a request would go now, and why",
	    command_explain },
	{ "members", "", "list the daemons that this daemon knows",
	    command_members },
	{ "pools", TABLE_SUBCOMMANDS_USAGE, "read or change the pools table",
	    command_pools },
	{ "routes", TABLE_SUBCOMMANDS_USAGE, "read or change the routes table",
	    command_routes },
	{ "status", "[--watch]",
	    "show which daemons confirm which table versions", command_status },
	{ "version", "", "print the versions of the tool and the daemon",
	    command_version },
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
		printf("  %-8s %-41s %s\n", commands[i].name, commands[i].usage,
		    commands[i].help);
}

static enum exit_status
dispatch_command(const struct admin_client *client, uint32_t arg_count,
    char **args)
{
	const struct command *command = bsearch(args[0], commands,
	    COMMANDS_COUNT, sizeof(commands[0]), compare_name);
	enum exit_status status;

	if (command == NULL) {
		fprintf(stderr,
		    "bamboorudderctl: unknown command %s; see --help\n",
		    args[0]);
		return EXIT_USAGE;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	status = command->run(client, arg_count - 1, args + 1);
	curl_global_cleanup();
	return status;
}

/* Takes the URLs from --admin, then the environment, then the default. */
static void
set_admin_urls(struct admin_client *client, const struct arg_str *admin)
{
	static const char *default_urls[] = { ADMIN_URL_DEFAULT };
	const char *environment_url = getenv("BAMBOORUDDER_ADMIN");

	if (admin->count > 0) {
		client->admin_urls = (const char *const *)admin->sval;
		client->admin_urls_count = (size_t)admin->count;
		return;
	}
	if (environment_url != NULL)
		default_urls[0] = environment_url;
	client->admin_urls = default_urls;
	client->admin_urls_count = 1;
}

static const char *
first_value(const struct arg_str *option)
{
	return option->count > 0 ? option->sval[0] : NULL;
}

int
main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *watch = arg_lit0(NULL, "watch",
	    "with status: refresh every second");
	struct arg_str *if_match = arg_str0(NULL, "if-match", "VERSION",
	    "with edits: change nothing unless VERSION is current");
	struct arg_str *account = arg_str0(NULL, "account", "NAME",
	    "with explain: client account");
	struct arg_str *tokens = arg_str0(NULL, "tokens", "IN[,OUT]",
	    "with explain: tokens of the prompt and the response");
	struct arg_str *segments = arg_str0(NULL, "segments", "ID:TOKENS,...",
	    "with explain: segments of the prompt");
	struct arg_str *body_bytes = arg_str0(NULL, "body-bytes", "N",
	    "with explain: size of the body");
	struct arg_str *admin = arg_strn(NULL, "admin", "URL", 0,
	    ADMIN_URLS_MAX_COUNT,
	    "administration API (default: $BAMBOORUDDER_ADMIN); may be "
	    "repeated for accounts");
	struct arg_str *args = arg_strn(NULL, NULL, "COMMAND", 1,
	    ARGS_MAX_COUNT, "command and its arguments");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, json, watch, if_match, account, tokens,
		segments, body_bytes, admin, args, end };
	int errors = arg_parse(argc, argv, table);
	struct admin_client client = { 0 };
	enum exit_status status;

	if (help->count > 0) {
		print_help(table);
		status = EXIT_OK;
	} else if (errors > 0) {
		arg_print_errors(stderr, end, "bamboorudderctl");
		status = EXIT_USAGE;
	} else {
		set_admin_urls(&client, admin);
		client.token = getenv("BAMBOORUDDER_TOKEN");
		client.json = json->count > 0;
		client.watch = watch->count > 0;
		client.if_match = first_value(if_match);
		client.explain = (struct explain_flags){ first_value(account),
			first_value(tokens), first_value(segments),
			first_value(body_bytes) };
		status = dispatch_command(&client, (uint32_t)args->count,
		    (char **)(void *)args->sval);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
