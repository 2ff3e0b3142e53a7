/**
 * @file
 * Operators of the administration API: who they are by the hash of their
 * token, and what they may do.
 */
#ifndef BAMBOORUDDERD_OPERATOR_H
#define BAMBOORUDDERD_OPERATOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/digest.h"
#include "core/limits.h"

/** What an operator may do; each scope includes the ones before it. */
enum operator_scope {
	OPERATOR_NONE, /**< calls that need no token */
	OPERATOR_READ, /**< tables and state */
	OPERATOR_EDIT_TEAM, /**< routes of one team's client accounts */
	OPERATOR_EDIT /**< both tables, and drain */
};

struct operator_entry {
	char name[NAME_MAX_BYTES];
	char team[NAME_MAX_BYTES]; /**< of OPERATOR_EDIT_TEAM */
	char token_sha256[DIGEST_HEX_BYTES + 1];
	enum operator_scope scope;
};

/**
 * Reads one item of admin.tokens: "NAME:SCOPE:SHA256", where SCOPE is "read",
 * "edit" or "edit@TEAM", or just a hash, which is the operator named "operator"
 * with the scope edit.
 * @return NULL, or what is wrong with the text
 */
const char *operator_parse(const char *text, struct operator_entry *entry);

/**
 * Finds an operator by its token; the time does not depend on the hashes.
 * @return NULL if the token is missing or unknown
 */
const struct operator_entry *operator_find(const struct operator_entry *entries,
    uint32_t count, const char *token);

#endif
