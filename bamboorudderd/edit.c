#include "bamboorudderd/edit.h"

#include <glib.h>
#include <string.h>
#include <time.h>

#include "bamboorudderd/table_doc.h"
#include "common/log.h"
#include "common/metric.h"
#include "common/table_diff.h"
#include "common/table_json.h"

#define CONFLICT_ATTEMPTS_MAX_COUNT 8u
#define WRITE_ATTEMPTS_MAX_COUNT 5u
#define RECHECK_READS_MAX_COUNT 3u
#define BACKOFF_MIN_MS 20u
#define NS_PER_MS 1000000L
#define OBJECT_MAX_BYTES (1024u * 1024u)

/* State of a running edit. */
struct edit_transaction {
	const struct edit_context *context;
	struct edit *edit;
	struct table_doc docs[TABLE_KIND_COUNT]; /* as stored */
	json_t *rows; /* rows of the edited table */
	char *text; /* document of the edited table */
};

static enum table_kind
other_kind(enum table_kind kind)
{
	return kind == TABLE_ROUTES ? TABLE_POOLS : TABLE_ROUTES;
}

static struct table_doc *
edited_doc(struct edit_transaction *transaction)
{
	return &transaction->docs[transaction->edit->kind];
}

static void
back_off(uint32_t attempt)
{
	struct timespec pause = { 0,
		(long)(BACKOFF_MIN_MS << attempt) * NS_PER_MS };

	nanosleep(&pause, NULL);
}

static void
transaction_clear(struct edit_transaction *transaction)
{
	for (int kind = 0; kind < TABLE_KIND_COUNT; kind++)
		table_doc_finish(&transaction->docs[kind]);
	json_decref(transaction->rows);
	transaction->rows = NULL;
	free(transaction->text);
	transaction->text = NULL;
}

static void
set_reason(struct edit *edit, GError *error)
{
	g_strlcpy(edit->reason, error->message, sizeof(edit->reason));
	g_error_free(error);
}

static bool
transaction_read_tables(struct edit_transaction *transaction)
{
	GError *error = NULL;

	for (int kind = 0; kind < TABLE_KIND_COUNT; kind++) {
		if (!table_doc_fetch(&transaction->docs[kind],
			transaction->context->platform, (enum table_kind)kind,
			&error)) {
			set_reason(transaction->edit, error);
			return false;
		}
	}
	transaction->edit->version = edited_doc(transaction)->version;
	return true;
}

static bool
texts_valid(const char *const *texts, struct findings *findings)
{
	struct tables tables;
	bool valid;

	findings_init(findings);
	valid = table_json_read(texts[TABLE_ROUTES], texts[TABLE_POOLS],
	    &tables, findings);
	tables_finish(&tables);
	return valid;
}

/*
 * Checks whether the other stored table is invalid on its own. Such a table is
 * not in force on any daemon, so the edit is validated against the one in force
 * here. This allows two invalid tables to be repaired one after the other.
 */
static bool
other_table_is_invalid(struct edit_transaction *transaction,
    const struct snapshot *snapshot)
{
	enum table_kind other = other_kind(transaction->edit->kind);
	struct findings *findings = g_new(struct findings, 1);
	const char *texts[TABLE_KIND_COUNT];
	bool invalid;

	texts[other] = transaction->docs[other].text;
	texts[transaction->edit->kind] = snapshot
					     ->texts[transaction->edit->kind];
	invalid = !texts_valid(texts, findings);
	g_free(findings);
	return invalid;
}

static bool
transaction_validate(struct edit_transaction *transaction)
{
	enum table_kind other = other_kind(transaction->edit->kind);
	struct snapshot *snapshot = tablestore_ref(transaction->context->store);
	const char *texts[TABLE_KIND_COUNT];
	bool valid;

	texts[transaction->edit->kind] = transaction->text;
	texts[other] = transaction->docs[other].text;
	valid = texts_valid(texts, &transaction->edit->findings);
	if (!valid && other_table_is_invalid(transaction, snapshot)) {
		texts[other] = snapshot->texts[other];
		valid = texts_valid(texts, &transaction->edit->findings);
	}
	if (strlen(transaction->text) > OBJECT_MAX_BYTES) {
		findings_add_row(&transaction->edit->findings,
		    table_kind_name(transaction->edit->kind), 0,
		    "has more than %u bytes", OBJECT_MAX_BYTES);
		valid = false;
	}
	snapshot_unref(snapshot);
	return valid;
}

static enum edit_outcome
check_version(struct edit_transaction *transaction, bool first)
{
	struct edit *edit = transaction->edit;
	uint64_t version = edited_doc(transaction)->version;

	if (edit->if_match && edit->base_version != version)
		return EDIT_VERSION_CONFLICT;
	if (!edit->if_match && edit->type == EDIT_REPLACE && version != 0)
		return first ? EDIT_VERSION_REQUIRED : EDIT_VERSION_CONFLICT;
	return EDIT_VALID;
}

static bool
build_rows(struct edit_transaction *transaction)
{
	const struct edit *edit = transaction->edit;
	size_t index;

	if (edit->type == EDIT_REPLACE || edit->type == EDIT_DRY_RUN) {
		transaction->rows = json_incref(edit->rows);
		return true;
	}
	transaction->rows = json_copy(edited_doc(transaction)->rows);
	index = table_row_find(edit->kind, transaction->rows, edit->row_key);
	if (edit->type == EDIT_REMOVE_ROW) {
		if (index == TABLE_ROW_NONE)
			return false;
		json_array_remove(transaction->rows, index);
	} else if (index == TABLE_ROW_NONE)
		json_array_append(transaction->rows, edit->row);
	else
		json_array_set(transaction->rows, index, edit->row);
	return true;
}

static bool
row_is_of_team(const json_t *row, const char *team)
{
	const char *row_team = json_string_value(json_object_get(row, "team"));

	return row_team != NULL && strcmp(row_team, team) == 0;
}

/* @return true if all rows of the row's account belong to the team */
static bool
account_is_of_team(const json_t *rows, const json_t *row, const char *team)
{
	json_t *account = json_object_get(row, "account"), *other;
	size_t index;

	json_array_foreach (rows, index, other)
		if (json_equal(json_object_get(other, "account"), account) &&
		    !row_is_of_team(other, team))
			return false;
	return true;
}

/* An operator with the scope of a team may edit only accounts of that team. */
static bool
scope_allows(struct edit_transaction *transaction)
{
	const struct operator_entry *author = transaction->edit->author;
	json_t *old_rows = edited_doc(transaction)->rows, *change;
	size_t index;

	if (author->scope == OPERATOR_EDIT)
		return true;
	if (author->scope != OPERATOR_EDIT_TEAM ||
	    transaction->edit->kind != TABLE_ROUTES)
		return false;
	json_array_foreach (transaction->edit->difference, index, change) {
		const char *key = json_string_value(
		    json_object_get(change, "row"));
		const json_t *sides[] = { old_rows, transaction->rows };
		for (size_t side = 0; side < G_N_ELEMENTS(sides); side++) {
			const json_t *row = json_array_get(sides[side],
			    table_row_find(TABLE_ROUTES, sides[side], key));
			if (row != NULL &&
			    (!account_is_of_team(old_rows, row, author->team) ||
				!account_is_of_team(transaction->rows, row,
				    author->team)))
				return false;
		}
	}
	return true;
}

static void
set_difference(struct edit_transaction *transaction)
{
	struct edit *edit = transaction->edit;

	json_decref(edit->difference);
	json_decref(edit->changes_since);
	edit->difference = table_diff(edit->kind, edited_doc(transaction)->rows,
	    transaction->rows);
	edit->changes_since = table_doc_edits_since(edited_doc(transaction),
	    edit->base_version);
}

static enum edit_outcome
transaction_prepare(struct edit_transaction *transaction, bool first)
{
	struct edit *edit = transaction->edit;
	struct table_doc_edit entry = { edit->id, edit->author->name,
		clk_wall_ms(transaction->context->clk), NULL };
	enum edit_outcome outcome = check_version(transaction, first);
	bool row_found = build_rows(transaction);

	if (row_found)
		set_difference(transaction);
	if (outcome != EDIT_VALID)
		return outcome;
	if (!row_found)
		return EDIT_ROW_NOT_FOUND;
	if (!scope_allows(transaction))
		return EDIT_OTHER_TEAM;
	entry.difference = edit->difference;
	transaction->text = table_doc_edited_text(edited_doc(transaction),
	    transaction->rows, &entry);
	return transaction_validate(transaction) ? EDIT_VALID : EDIT_INVALID;
}

/*
 * Reads the object back after a write with an unknown outcome. If its version
 * differs from the base version and its history lacks the edit, the write can
 * no longer take effect, since it is conditional on the base version.
 */
static enum edit_outcome
transaction_read_back(struct edit_transaction *transaction)
{
	struct edit *edit = transaction->edit;
	enum edit_outcome outcome = EDIT_OUTCOME_UNKNOWN;
	struct table_doc doc;
	uint64_t version;

	if (!table_doc_fetch(&doc, transaction->context->platform, edit->kind,
		NULL))
		return EDIT_OUTCOME_UNKNOWN;
	version = table_doc_edit_version(&doc, edit->id);
	if (version != 0) {
		edit->version = version;
		outcome = EDIT_ACCEPTED;
	} else if (doc.version != edited_doc(transaction)->version)
		outcome = EDIT_VERSION_CONFLICT;
	table_doc_finish(&doc);
	return outcome;
}

/* Retries a write with an unknown outcome. All attempts are conditional on the
 * same base version, so that the edit takes effect at most once. */
static enum edit_outcome
transaction_write(struct edit_transaction *transaction)
{
	struct platform *platform = transaction->context->platform;
	struct edit *edit = transaction->edit;
	enum edit_outcome outcome;
	bool maybe_written = false;
	GError *error = NULL;
	int code;

	for (uint32_t attempt = 0; attempt < WRITE_ATTEMPTS_MAX_COUNT;
	     attempt++) {
		uint64_t version = edited_doc(transaction)->version;
		if (platform->ops->put(platform, table_kind_name(edit->kind),
			transaction->text, &version, &error)) {
			edit->version = version;
			return EDIT_ACCEPTED;
		}
		code = error->code;
		set_reason(edit, error);
		error = NULL;
		if (!maybe_written && code == PLATFORM_ERROR_CONFLICT)
			return EDIT_VERSION_CONFLICT;
		if (!maybe_written && code != PLATFORM_ERROR_UNKNOWN)
			return EDIT_NOT_WRITTEN;
		maybe_written = true;
		back_off(attempt);
		outcome = transaction_read_back(transaction);
		if (outcome != EDIT_OUTCOME_UNKNOWN)
			return outcome;
	}
	return EDIT_OUTCOME_UNKNOWN;
}

/* Restores the document before the edit unless a later edit was written. */
static enum edit_outcome
transaction_revert(struct edit_transaction *transaction)
{
	struct edit *edit = transaction->edit;
	struct platform *platform = transaction->context->platform;
	uint64_t version = edit->version;
	GError *error = NULL;

	if (platform->ops->put(platform, table_kind_name(edit->kind),
		edited_doc(transaction)->text, &version, &error)) {
		edit->version = version;
		return EDIT_TABLES_CONFLICT;
	}
	set_reason(edit, error);
	return EDIT_OUTCOME_UNKNOWN;
}

/*
 * Concurrent edits of both tables may each be valid with the tables that they
 * read, but invalid together. Each edit therefore reads the other table again
 * after its own write, so that at least one of them sees both edits and is
 * reverted before success is reported.
 */
static enum edit_outcome
transaction_check_other_table(struct edit_transaction *transaction)
{
	enum table_kind other = other_kind(transaction->edit->kind);
	const char *texts[TABLE_KIND_COUNT];
	enum edit_outcome outcome = EDIT_OUTCOME_UNKNOWN;
	struct table_doc doc;

	for (uint32_t i = 0; i < RECHECK_READS_MAX_COUNT; i++) {
		if (!table_doc_fetch(&doc, transaction->context->platform,
			other, NULL)) {
			back_off(i);
			continue;
		}
		texts[transaction->edit->kind] = transaction->text;
		texts[other] = doc.text;
		if (doc.version == transaction->docs[other].version ||
		    texts_valid(texts, &transaction->edit->findings))
			outcome = EDIT_ACCEPTED;
		else
			outcome = transaction_revert(transaction);
		table_doc_finish(&doc);
		return outcome;
	}
	g_strlcpy(transaction->edit->reason,
	    "written, but the other table could not be read again",
	    sizeof(transaction->edit->reason));
	return outcome;
}

static enum edit_outcome
transaction_commit(struct edit_transaction *transaction)
{
	enum edit_outcome outcome = transaction_write(transaction);

	if (outcome == EDIT_ACCEPTED)
		outcome = transaction_check_other_table(transaction);
	if (outcome == EDIT_ACCEPTED) {
		metric_add(METRIC_EDITS_ACCEPTED, 1);
		tablestore_update(transaction->context->store,
		    transaction->edit->kind, transaction->edit->version,
		    transaction->text);
		log_event(LOG_LEVEL_INFO, "table_edited", "table",
		    table_kind_name(transaction->edit->kind), "operator",
		    transaction->edit->author->name, "edit",
		    transaction->edit->id, NULL);
	}
	return outcome;
}

enum edit_outcome
edit_run(const struct edit_context *context, struct edit *edit)
{
	struct edit_transaction transaction = { .context = context,
		.edit = edit };
	enum edit_outcome outcome = EDIT_VERSION_CONFLICT;
	char *id = g_uuid_string_random();

	g_strlcpy(edit->id, id, sizeof(edit->id));
	g_free(id);
	findings_init(&edit->findings);
	for (uint32_t attempt = 0; attempt < CONFLICT_ATTEMPTS_MAX_COUNT;
	     attempt++) {
		outcome = EDIT_NOT_WRITTEN;
		if (transaction_read_tables(&transaction))
			outcome = transaction_prepare(&transaction,
			    attempt == 0);
		if (outcome == EDIT_VALID && edit->type != EDIT_DRY_RUN) {
			outcome = transaction_commit(&transaction);
			if (outcome == EDIT_VERSION_CONFLICT) {
				transaction_clear(&transaction);
				back_off(attempt % WRITE_ATTEMPTS_MAX_COUNT);
				continue;
			}
		}
		break;
	}
	transaction_clear(&transaction);
	return outcome;
}

void
edit_finish(struct edit *edit)
{
	json_decref(edit->difference);
	json_decref(edit->changes_since);
	edit->difference = NULL;
	edit->changes_since = NULL;
}
