/**
 * @file
 * Authentication and scopes of the operators of the administration API.
 */
#ifndef BAMBOORUDDERD_OPERATOR_H
#define BAMBOORUDDERD_OPERATOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/digest.h"
#include "core/limits.h"

/** Permissions of an operator; each scope includes the preceding ones. */
enum operator_scope {
	OPERATOR_NONE, /**< operations without authentication */
	OPERATOR_READ, /**< read tables and state */
	OPERATOR_EDIT_TEAM, /**< edit the routes of one team's accounts */
	OPERATOR_EDIT /**< edit both tables and drain the daemon */
};

struct operator_entry {
	char name[NAME_MAX_BYTES];
	char team[NAME_MAX_BYTES]; /**< set for OPERATOR_EDIT_TEAM */
	char token_sha256[DIGEST_HEX_BYTES + 1];
	enum operator_scope scope;
};

/**
 * Parses an item of admin.tokens: "NAME:SCOPE:SHA256", where SCOPE is "read",
 * "edit" or "edit@TEAM". A hash alone stands for an operator with the name
 * "operator" and the scope edit.
 * @return NULL or an error message
 */
const char *operator_parse(const char *text, struct operator_entry *entry);

/**
 * Finds an operator by its token in constant time with respect to the hashes.
 * @return NULL if the token is missing or unknown
 */
const struct operator_entry *operator_find(const struct operator_entry *entries,
    uint32_t count, const char *token);

#endif
