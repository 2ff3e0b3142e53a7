/**
 * @file
 * A table's object at the platform as a JSON document: its rows, and the
 * history of the last edits. The version that an edit made is the base
 * version of the next one, or the object's own for the last.
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
	uint64_t version; /**< 0: no object */
	char *text; /**< as stored */
	json_t *rows; /**< empty if the text can't be read */
	json_t *history;
};

/** One edit for the history. */
struct table_doc_edit {
	const char *id;
	const char *author;
	uint64_t wall_ms;
	const json_t *difference;
};

/** Reads a table's object; an absent one is a table without rows. */
gboolean table_doc_fetch(struct table_doc *doc, struct platform *platform,
    enum table_kind kind, GError **error);
void table_doc_init(struct table_doc *doc, const char *text, uint64_t version);
void table_doc_finish(struct table_doc *doc);

/** @return the text of a successor with other rows, to be freed by free() */
char *table_doc_edited_text(const struct table_doc *doc, json_t *rows,
    const struct table_doc_edit *edit);

/** @return the history, each edit with its version, a new reference */
json_t *table_doc_history(const struct table_doc *doc);

/** @return the version that an edit made, or 0 if it isn't in the history */
uint64_t table_doc_edit_version(const struct table_doc *doc, const char *id);

/** @return the edits that made versions above version, a new reference */
json_t *table_doc_edits_since(const struct table_doc *doc, uint64_t version);

#endif
