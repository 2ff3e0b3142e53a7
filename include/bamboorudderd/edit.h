/**
 * @file
 * Edits of the routes and pools tables in the platform's store. Both tables
 * are validated together before a conditional write. If the response to the
 * write is lost, the edit id in the object's history tells whether the write
 * took effect.
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

/** Number of latest edits in the history of a table's object. */
#define EDIT_HISTORY_MAX_COUNT 32u

enum edit_type {
	EDIT_REPLACE, /**< replaces all rows */
	/** Validates a replacement of all rows without writing; may be based on
	 * any version. */
	EDIT_DRY_RUN,
	EDIT_SET_ROW, /**< adds a row or replaces the row with the same key */
	EDIT_REMOVE_ROW
};

enum edit_outcome {
	EDIT_VALID, /**< valid; not written */
	EDIT_ACCEPTED,
	EDIT_INVALID, /**< rejected with findings */
	EDIT_VERSION_CONFLICT, /**< another version is current */
	EDIT_VERSION_REQUIRED, /**< If-Match is missing */
	EDIT_ROW_NOT_FOUND,
	EDIT_OTHER_TEAM, /**< outside the operator's scope */
	EDIT_TABLES_CONFLICT, /**< reverted: a concurrent edit of the other
			       * table made the combination invalid */
	EDIT_NOT_WRITTEN, /**< the store was unreachable or rejected the call */
	EDIT_OUTCOME_UNKNOWN /**< may have been written */
};

struct edit {
	enum table_kind kind;
	enum edit_type type;
	const struct operator_entry *author;
	json_t *rows; /**< of EDIT_REPLACE and EDIT_DRY_RUN */
	json_t *row; /**< of EDIT_SET_ROW */
	const char *row_key; /**< of EDIT_SET_ROW and EDIT_REMOVE_ROW */
	bool if_match; /**< base_version is set */
	uint64_t base_version; /**< 0: the table does not exist yet */
	/* Results. The JSON values are NULL where they do not apply. */
	char id[40];
	uint64_t version; /**< current version in the store */
	json_t *difference; /**< between the current and the edited table */
	json_t *changes_since; /**< edits after base_version */
	struct findings findings;
	char reason[FINDING_TEXT_MAX_BYTES];
};

struct edit_context {
	struct platform *platform;
	struct tablestore *store;
	const struct clk *clk;
};

/** Runs an edit. Blocks while it makes several calls to the platform, each of
 * which may take platform.timeout_ms. */
enum edit_outcome edit_run(const struct edit_context *context,
    struct edit *edit);

/** Releases the results. */
void edit_finish(struct edit *edit);

#endif
