/**
 * @file
 * JSON document of a table in the platform's store: the rows and the history of
 * the latest edits. A history entry has the version before the edit
 * (base_version); the version that the edit created is the base_version of the
 * next entry, or the version of the object for the last entry.
 */
#ifndef BAMBOORUDDERD_TABLE_DOC_H
#define BAMBOORUDDERD_TABLE_DOC_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/msg.h"

struct platform;

struct table_doc {
	uint64_t version; /**< 0 if the object does not exist */
	char *text; /**< as stored */
	json_t *rows; /**< empty if the text is invalid */
	json_t *history;
};

/** An edit to be added to the history. */
struct table_doc_edit {
	const char *id;
	const char *author;
	uint64_t wall_ms;
	const json_t *difference;
};

/** Reads the object of a table; an object that does not exist has no rows. */
gboolean table_doc_fetch(struct table_doc *doc, struct platform *platform,
    enum table_kind kind, GError **error);
void table_doc_init(struct table_doc *doc, const char *text, uint64_t version);
void table_doc_finish(struct table_doc *doc);

/** @return the text of the document after an edit, to be freed by free() */
char *table_doc_edited_text(const struct table_doc *doc, json_t *rows,
    const struct table_doc_edit *edit);

/** @return a new reference to the history with the version of each edit */
json_t *table_doc_history(const struct table_doc *doc);

/** @return the version created by an edit, or 0 if the history lacks the edit */
uint64_t table_doc_edit_version(const struct table_doc *doc, const char *id);

/** @return a new reference to the edits that created versions after version */
json_t *table_doc_edits_since(const struct table_doc *doc, uint64_t version);

#endif
