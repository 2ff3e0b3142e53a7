/**
 * @file
 * Commands of the command-line tool: one a file, behind a sorted table.
 */
#ifndef BAMBOORUDDERCTL_COMMAND_H
#define BAMBOORUDDERCTL_COMMAND_H

#include <stdbool.h>

#include "common/http.h"

enum exit_status { EXIT_DONE = 0, EXIT_REFUSED = 1, EXIT_USAGE = 2 };

/** How to reach the administration API. */
struct target {
	const char *admin_url;
	const char *token;
	bool json;
};

/** A command; words are what followed its name. */
struct command {
	const char *name;
	const char *words; /**< usage */
	const char *help;
	enum exit_status (
	    *run)(const struct target *target, int word_count, char **words);
};

enum exit_status command_dump(const struct target *target, int word_count,
    char **words);
enum exit_status command_drain(const struct target *target, int word_count,
    char **words);
enum exit_status command_pools(const struct target *target, int word_count,
    char **words);
enum exit_status command_routes(const struct target *target, int word_count,
    char **words);

/**
 * Calls the administration API.
 * @return false after a message on standard error if there was no answer
 */
bool target_call(const struct target *target, const char *method,
    const char *path, const char *body, const char *if_match,
    struct http_answer *answer);

/** Prints an error answer's findings or message. @return EXIT_REFUSED */
enum exit_status answer_print_error(const struct http_answer *answer);

/** The commands get and apply of one table. */
enum exit_status table_command(const struct target *target, const char *table,
    int word_count, char **words);

#endif
