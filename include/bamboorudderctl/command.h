/**
 * @file
 * Commands of the command-line tool: one a file, behind a sorted table.
 */
#ifndef BAMBOORUDDERCTL_COMMAND_H
#define BAMBOORUDDERCTL_COMMAND_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/http_client.h"
#include "core/msg.h"

enum exit_status { EXIT_OK = 0, EXIT_FAILED = 1, EXIT_USAGE = 2 };

/** How to reach the administration API, and the options. */
struct admin_client {
	const char *const *admin_urls;
	size_t admin_urls_count; /**< at least 1 */
	const char *token;
	const char *if_match; /**< NULL if not given */
	bool json;
	bool watch;
};

/** A command; args are what followed its name. */
struct command {
	const char *name;
	const char *usage; /**< usage */
	const char *help;
	enum exit_status (*run)(const struct admin_client *client,
	    uint32_t arg_count, char **args);
};

enum exit_status command_accounts(const struct admin_client *client,
    uint32_t arg_count, char **args);
enum exit_status command_drain(const struct admin_client *client,
    uint32_t arg_count, char **args);
enum exit_status command_dump(const struct admin_client *client,
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

/** @return whether no args followed; else prints the usage */
bool command_check_no_args(const char *name, uint32_t arg_count);

/**
 * Calls the administration API of the first address.
 * @return false after a message on standard error if there was no response
 */
bool admin_client_request(const struct admin_client *client, const char *method,
    const char *path, const char *body, const char *if_match,
    struct http_response *response);

/**
 * Reads a JSON document from one of the addresses.
 * @param etag receives the version as sent; may be NULL
 * @return NULL after a message on standard error
 */
json_t *admin_client_get_json(const struct admin_client *client, size_t index,
    const char *path, char **etag);

/** Prints an error response's findings or message. @return EXIT_FAILED */
enum exit_status response_print_error(const struct http_response *response);

/** Prints a document for scripts. */
void print_json(const json_t *document);

/** Prints a difference between two tables, one row a line. */
void print_difference(const json_t *difference);

/** The commands of one table: get, check, diff, apply and so on. */
enum exit_status table_command(const struct admin_client *client,
    enum table_kind kind, uint32_t arg_count, char **args);

/** One command of a table. */
struct table_args {
	const struct admin_client *client;
	enum table_kind kind;
	const char *path; /**< of the table at the API */
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
