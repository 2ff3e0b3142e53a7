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

enum exit_status { EXIT_DONE = 0, EXIT_REFUSED = 1, EXIT_USAGE = 2 };

/** How to reach the administration API, and the options. */
struct target {
	const char *const *admin_urls;
	size_t admin_count; /**< at least 1 */
	const char *token;
	const char *if_match; /**< NULL if not given */
	bool json;
	bool watch;
};

/** A command; words are what followed its name. */
struct command {
	const char *name;
	const char *words; /**< usage */
	const char *help;
	enum exit_status (*run)(const struct target *target,
	    uint32_t word_count, char **words);
};

enum exit_status command_accounts(const struct target *target,
    uint32_t word_count, char **words);
enum exit_status command_drain(const struct target *target, uint32_t word_count,
    char **words);
enum exit_status command_dump(const struct target *target, uint32_t word_count,
    char **words);
enum exit_status command_members(const struct target *target,
    uint32_t word_count, char **words);
enum exit_status command_pools(const struct target *target, uint32_t word_count,
    char **words);
enum exit_status command_routes(const struct target *target,
    uint32_t word_count, char **words);
enum exit_status command_status(const struct target *target,
    uint32_t word_count, char **words);
enum exit_status command_version(const struct target *target,
    uint32_t word_count, char **words);

/** @return whether no words followed; else prints the usage */
bool command_takes_no_words(const char *name, uint32_t word_count);

/**
 * Calls the administration API of the first address.
 * @return false after a message on standard error if there was no answer
 */
bool target_call(const struct target *target, const char *method,
    const char *path, const char *body, const char *if_match,
    struct http_response *answer);

/**
 * Reads a JSON document from one of the addresses.
 * @param etag receives the version as sent; may be NULL
 * @return NULL after a message on standard error
 */
json_t *target_get(const struct target *target, size_t index, const char *path,
    char **etag);

/** Prints an error answer's findings or message. @return EXIT_REFUSED */
enum exit_status answer_print_error(const struct http_response *answer);

/** Prints a document for scripts. */
void print_json(const json_t *document);

/** Prints a difference between two tables, one row a line. */
void print_difference(const json_t *difference);

/** The commands of one table: get, check, diff, apply and so on. */
enum exit_status table_command(const struct target *target,
    enum table_kind kind, uint32_t word_count, char **words);

/** One command of a table. */
struct table_words {
	const struct target *target;
	enum table_kind kind;
	const char *path; /**< of the table at the API */
	uint32_t word_count;
	char **words;
};

enum exit_status table_apply(const struct table_words *words);
enum exit_status table_check(const struct table_words *words);
enum exit_status table_show_diff(const struct table_words *words);
enum exit_status table_get(const struct table_words *words);
enum exit_status table_history(const struct table_words *words);
enum exit_status table_remove(const struct table_words *words);
enum exit_status table_set(const struct table_words *words);

#endif
