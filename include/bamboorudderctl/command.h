/**
 * @file
 * Commands of the command-line tool and the helpers that they share. Each
 * command has a file of its own and an entry in the sorted table in main.c.
 */
#ifndef BAMBOORUDDERCTL_COMMAND_H
#define BAMBOORUDDERCTL_COMMAND_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/http_client.h"
#include "core/msg.h"

enum exit_status { EXIT_OK = 0, EXIT_FAILED = 1, EXIT_USAGE = 2 };

/** A request to be explained, as its headers say it; NULL: not given. */
struct explain_flags {
	const char *account;
	const char *tokens; /**< of the prompt and the response */
	const char *segments; /**< ID:TOKENS, separated by commas */
	const char *body_bytes;
};

/** Addresses of the administration API, the token and global options. */
struct admin_client {
	const char *const *admin_urls;
	size_t admin_urls_count; /**< at least 1 */
	const char *token; /**< NULL to send no Authorization header */
	const char *if_match; /**< version that an edit requires, or NULL */
	bool json;
	bool watch;
	struct explain_flags explain;
};

/** A command of the tool. */
struct command {
	const char *name;
	const char *usage; /**< arguments, as shown by --help */
	const char *help;
	enum exit_status (*run)(const struct admin_client *client,
	    uint32_t arg_count, char **args);
};

enum exit_status command_accounts(const struct admin_client *client,
    uint32_t arg_count, char **args);
enum exit_status command_domains(const struct admin_client *client,
    uint32_t arg_count, char **args);
enum exit_status command_drain(const struct admin_client *client,
    uint32_t arg_count, char **args);
enum exit_status command_dump(const struct admin_client *client,
    uint32_t arg_count, char **args);
enum exit_status command_explain(const struct admin_client *client,
    uint32_t arg_count, char **args);
enum exit_status command_members(const struct admin_client *client,
    uint32_t arg_count, char **args);
enum exit_status command_pools(const struct admin_client *client,
    uint32_t arg_count, char **args);
enum exit_status command_routes(const struct admin_client *client,
    uint32_t arg_count, char **args);
enum exit_status command_status(const struct admin_client *client,
    uint32_t arg_count, char **args);
enum exit_status command_version(const struct admin_client *client,
    uint32_t arg_count, char **args);

/** @return false after printing the usage if there are any arguments */
bool command_check_no_args(const char *name, uint32_t arg_count);

/**
 * Sends a request to the administration API at the first address.
 * @return false after a message on standard error if there was no response
 */
bool admin_client_request(const struct admin_client *client, const char *method,
    const char *path, const char *body, const char *if_match,
    struct http_response *response);

/**
 * Gets a JSON document from the administration API.
 * @param index index of the address in admin_urls
 * @param etag receives the ETag header, to be freed with g_free; may be NULL
 * @return a new reference, or NULL after a message on standard error
 */
json_t *admin_client_get_json(const struct admin_client *client, size_t index,
    const char *path, char **etag);

/**
 * Prints the message and the findings of an error response on standard error.
 * @return EXIT_FAILED
 */
enum exit_status response_print_error(const struct http_response *response);

/** Prints a JSON document on standard output. */
void print_json(const json_t *document);

/** Prints the rows that differ between two versions of a table. */
void print_difference(const json_t *difference);

/** Runs a subcommand of a table: get, history, check, diff and so on. */
enum exit_status table_command(const struct admin_client *client,
    enum table_kind kind, uint32_t arg_count, char **args);

/** Arguments of a subcommand of a table. */
struct table_args {
	const struct admin_client *client;
	enum table_kind kind;
	const char *path; /**< of the table in the administration API */
	uint32_t arg_count;
	char **args;
};

enum exit_status table_apply(const struct table_args *args);
enum exit_status table_check(const struct table_args *args);
enum exit_status table_diff_file(const struct table_args *args);
enum exit_status table_get(const struct table_args *args);
enum exit_status table_history(const struct table_args *args);
enum exit_status table_remove(const struct table_args *args);
enum exit_status table_set(const struct table_args *args);

#endif
