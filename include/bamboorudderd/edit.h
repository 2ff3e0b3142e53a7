/**
 * @file
 * Edits of the two tables at the platform: validated as a whole, written by a
 * conditional update, recognised after a lost answer by an edit id that the
 * object itself keeps in its history.
 */
#ifndef BAMBOORUDDERD_EDIT_H
#define BAMBOORUDDERD_EDIT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "bamboorudderd/operator.h"
#include "bamboorudderd/tablestore.h"
#include "common/clk.h"
#include "common/platform.h"
#include "core/finding.h"

/** Edits that an object remembers. */
#define EDIT_HISTORY_MAX_COUNT 32u

enum edit_type {
	EDIT_REPLACE, /**< all rows */
	EDIT_DRY_RUN, /**< all rows, whatever the version; writes nothing */
	EDIT_SET_ROW, /**< adds a row, or changes the one of the same key */
	EDIT_REMOVE_ROW
};

enum edit_outcome {
	EDIT_VALID, /**< valid; nothing was written (dry run) */
	EDIT_ACCEPTED,
	EDIT_INVALID, /**< see findings */
	EDIT_VERSION_CONFLICT, /**< another version is current */
	EDIT_VERSION_REQUIRED, /**< If-Match is missing */
	EDIT_ROW_NOT_FOUND,
	EDIT_OTHER_TEAM, /**< beyond the operator's scope */
	EDIT_TABLES_CONFLICT, /**< undone: an edit of the other table at the
			       * same time made the two invalid together */
	EDIT_NOT_WRITTEN, /**< the platform was not reached */
	EDIT_OUTCOME_UNKNOWN /**< may have been written */
};

struct edit {
	enum table_kind kind;
	enum edit_type type;
	const struct operator_entry *author;
	json_t *rows; /**< of EDIT_REPLACE */
	json_t *row; /**< of EDIT_SET_ROW */
	const char *row_key; /**< of the other two */
	bool if_match; /**< base_version is given */
	uint64_t base_version; /**< 0: there is no table yet */
	/* results; json is NULL where it does not apply */
	char id[40];
	uint64_t version; /**< current at the platform */
	json_t *difference; /**< from the current table to the edit */
	json_t *changes_since; /**< history since base_version */
	struct findings findings;
	char reason[FINDING_TEXT_MAX_BYTES];
};

/** What edits work on. */
struct edit_context {
	struct platform *platform;
	struct tablestore *store;
	const struct clk *clk;
};

/** Runs an edit to its end; takes at most a few platform timeouts. */
enum edit_outcome edit_run(const struct edit_context *context,
    struct edit *edit);

/** Releases the results. */
void edit_finish(struct edit *edit);

#endif
