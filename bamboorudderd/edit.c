#include "bamboorudderd/edit.h"

#include <glib.h>
#include <string.h>
#include <time.h>

#include "bamboorudderd/table_doc.h"
#include "common/log.h"
#include "common/metric.h"
#include "common/table_diff.h"
#include "common/table_json.h"

#define RACES_MAX_COUNT 8u
#define WRITES_MAX_COUNT 5u
#define SETTLE_READS_MAX_COUNT 3u
#define RETRY_PAUSE_MIN_MS 20u
#define NS_PER_MS 1000000L
#define OBJECT_MAX_BYTES (1024u * 1024u)

/* An edit at work. */
struct work {
	const struct edit_context *context;
	struct edit *edit;
	struct table_doc docs[TABLE_KIND_COUNT]; /* as read */
	json_t *rows; /* the edited table */
	char *text; /* its document */
};

static enum table_kind
other_kind(enum table_kind kind)
{
	return kind == TABLE_ROUTES ? TABLE_POOLS : TABLE_ROUTES;
}

static struct table_doc *
own_doc(struct work *work)
{
	return &work->docs[work->edit->kind];
}

static void
pause_before(uint32_t attempt)
{
	struct timespec pause = { 0,
		(long)(RETRY_PAUSE_MIN_MS << attempt) * NS_PER_MS };

	nanosleep(&pause, NULL);
}

static void
work_clear(struct work *work)
{
	for (int kind = 0; kind < TABLE_KIND_COUNT; kind++)
		table_doc_finish(&work->docs[kind]);
	json_decref(work->rows);
	work->rows = NULL;
	free(work->text);
	work->text = NULL;
}

static void
set_reason(struct edit *edit, GError *error)
{
	g_strlcpy(edit->reason, error->message, sizeof(edit->reason));
	g_error_free(error);
}

static bool
work_read(struct work *work)
{
	GError *error = NULL;

	for (int kind = 0; kind < TABLE_KIND_COUNT; kind++) {
		if (!table_doc_get(&work->docs[kind], work->context->platform,
			(enum table_kind)kind, &error)) {
			set_reason(work->edit, error);
			return false;
		}
	}
	work->edit->version = own_doc(work)->version;
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
 * Whether the other table at the platform is broken by itself: then it is not
 * in force anywhere, and the one in force here stands for it, so that two
 * broken tables can be mended one after the other.
 */
static bool
other_is_broken(struct work *work, const struct snapshot *snapshot)
{
	enum table_kind other = other_kind(work->edit->kind);
	struct findings *findings = g_new(struct findings, 1);
	const char *texts[TABLE_KIND_COUNT];
	bool broken;

	texts[other] = work->docs[other].text;
	texts[work->edit->kind] = snapshot->texts[work->edit->kind];
	broken = !texts_valid(texts, findings);
	g_free(findings);
	return broken;
}

static bool
work_validate(struct work *work)
{
	enum table_kind other = other_kind(work->edit->kind);
	struct snapshot *snapshot = tablestore_ref(work->context->store);
	const char *texts[TABLE_KIND_COUNT];
	bool valid;

	texts[work->edit->kind] = work->text;
	texts[other] = work->docs[other].text;
	valid = texts_valid(texts, &work->edit->findings);
	if (!valid && other_is_broken(work, snapshot)) {
		texts[other] = snapshot->texts[other];
		valid = texts_valid(texts, &work->edit->findings);
	}
	if (strlen(work->text) > OBJECT_MAX_BYTES) {
		findings_add_row(&work->edit->findings,
		    table_kind_name(work->edit->kind), 0,
		    "has more than %u bytes", OBJECT_MAX_BYTES);
		valid = false;
	}
	snapshot_unref(snapshot);
	return valid;
}

static enum edit_outcome
check_version(struct work *work, bool first)
{
	struct edit *edit = work->edit;
	uint64_t version = own_doc(work)->version;

	if (edit->if_match && edit->base_version != version)
		return EDIT_LOST_RACE;
	if (!edit->if_match && edit->type == EDIT_REPLACE && version != 0)
		return first ? EDIT_VERSION_REQUIRED : EDIT_LOST_RACE;
	return EDIT_READY;
}

static bool
make_rows(struct work *work)
{
	const struct edit *edit = work->edit;
	size_t index;

	if (edit->type == EDIT_REPLACE || edit->type == EDIT_CHECK) {
		work->rows = json_incref(edit->rows);
		return true;
	}
	work->rows = json_copy(own_doc(work)->rows);
	index = table_row_find(edit->kind, work->rows, edit->row_key);
	if (edit->type == EDIT_REMOVE_ROW) {
		if (index == TABLE_ROW_NONE)
			return false;
		json_array_remove(work->rows, index);
	} else if (index == TABLE_ROW_NONE)
		json_array_append(work->rows, edit->row);
	else
		json_array_set(work->rows, index, edit->row);
	return true;
}

static bool
row_is_of_team(const json_t *row, const char *team)
{
	const char *row_team = json_string_value(json_object_get(row, "team"));

	return row_team != NULL && strcmp(row_team, team) == 0;
}

/* Whether all rows of the account of one row are of that team. */
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

/* A team's operator changes rows of that team's client accounts alone. */
static bool
scope_allows(struct work *work)
{
	const struct operator_entry *author = work->edit->author;
	json_t *old_rows = own_doc(work)->rows, *change;
	size_t index;

	if (author->scope == OPERATOR_EDIT)
		return true;
	if (author->scope != OPERATOR_EDIT_TEAM ||
	    work->edit->kind != TABLE_ROUTES)
		return false;
	json_array_foreach (work->edit->difference, index, change) {
		const char *key = json_string_value(
		    json_object_get(change, "row"));
		const json_t *sides[] = { old_rows, work->rows };
		for (size_t side = 0; side < G_N_ELEMENTS(sides); side++) {
			const json_t *row = json_array_get(sides[side],
			    table_row_find(TABLE_ROUTES, sides[side], key));
			if (row != NULL &&
			    (!account_is_of_team(old_rows, row, author->team) ||
				!account_is_of_team(work->rows, row,
				    author->team)))
				return false;
		}
	}
	return true;
}

static void
set_difference(struct work *work)
{
	struct edit *edit = work->edit;

	json_decref(edit->difference);
	json_decref(edit->changes_since);
	edit->difference = table_diff(edit->kind, own_doc(work)->rows,
	    work->rows);
	edit->changes_since = table_doc_since(own_doc(work),
	    edit->base_version);
}

static enum edit_outcome
work_prepare(struct work *work, bool first)
{
	struct edit *edit = work->edit;
	struct table_doc_edit entry = { edit->id, edit->author->name,
		clk_wall_ms(work->context->clk), NULL };
	enum edit_outcome outcome = check_version(work, first);
	bool row_known = make_rows(work);

	if (row_known)
		set_difference(work);
	if (outcome != EDIT_READY)
		return outcome;
	if (!row_known)
		return EDIT_NO_SUCH_ROW;
	if (!scope_allows(work))
		return EDIT_OTHER_TEAM;
	entry.difference = edit->difference;
	work->text = table_doc_next(own_doc(work), work->rows, &entry);
	return work_validate(work) ? EDIT_READY : EDIT_INVALID;
}

/*
 * Reads back after a write whose outcome is not known. A version other than
 * the base, without the edit in its history, ends it: the write was
 * conditional on the base.
 */
static enum edit_outcome
work_read_back(struct work *work)
{
	struct edit *edit = work->edit;
	enum edit_outcome outcome = EDIT_UNKNOWN;
	struct table_doc doc;
	uint64_t version;

	if (!table_doc_get(&doc, work->context->platform, edit->kind, NULL))
		return EDIT_UNKNOWN;
	version = table_doc_find_edit(&doc, edit->id);
	if (version != 0) {
		edit->version = version;
		outcome = EDIT_ACCEPTED;
	} else if (doc.version != own_doc(work)->version)
		outcome = EDIT_LOST_RACE;
	table_doc_finish(&doc);
	return outcome;
}

/* Repeats an unknown write with the same base: it takes effect once. */
static enum edit_outcome
work_write(struct work *work)
{
	struct platform *platform = work->context->platform;
	struct edit *edit = work->edit;
	enum edit_outcome outcome;
	bool maybe_written = false;
	GError *error = NULL;
	int code;

	for (uint32_t attempt = 0; attempt < WRITES_MAX_COUNT; attempt++) {
		uint64_t version = own_doc(work)->version;
		if (platform->ops->put(platform, table_kind_name(edit->kind),
			work->text, &version, &error)) {
			edit->version = version;
			return EDIT_ACCEPTED;
		}
		code = error->code;
		set_reason(edit, error);
		error = NULL;
		if (!maybe_written && code == PLATFORM_ERROR_CONFLICT)
			return EDIT_LOST_RACE;
		if (!maybe_written && code != PLATFORM_ERROR_UNKNOWN)
			return EDIT_NOT_RUN;
		maybe_written = true;
		pause_before(attempt);
		outcome = work_read_back(work);
		if (outcome != EDIT_UNKNOWN)
			return outcome;
	}
	return EDIT_UNKNOWN;
}

/* Puts the rows before the edit back, unless another edit came since. */
static enum edit_outcome
work_undo(struct work *work)
{
	struct edit *edit = work->edit;
	struct platform *platform = work->context->platform;
	uint64_t version = edit->version;
	GError *error = NULL;

	if (platform->ops->put(platform, table_kind_name(edit->kind),
		own_doc(work)->text, &version, &error)) {
		edit->version = version;
		return EDIT_TABLES_CONFLICT;
	}
	set_reason(edit, error);
	return EDIT_UNKNOWN;
}

/*
 * Two edits, one of each table, may each be valid with what they read and
 * invalid together. Each looks at the other table again after its own write,
 * so that at least one of them sees both and takes itself back before its
 * operator is told of success.
 */
static enum edit_outcome
work_settle(struct work *work)
{
	enum table_kind other = other_kind(work->edit->kind);
	const char *texts[TABLE_KIND_COUNT];
	enum edit_outcome outcome = EDIT_UNKNOWN;
	struct table_doc doc;

	for (uint32_t i = 0; i < SETTLE_READS_MAX_COUNT; i++) {
		if (!table_doc_get(&doc, work->context->platform, other,
			NULL)) {
			pause_before(i);
			continue;
		}
		texts[work->edit->kind] = work->text;
		texts[other] = doc.text;
		if (doc.version == work->docs[other].version ||
		    texts_valid(texts, &work->edit->findings))
			outcome = EDIT_ACCEPTED;
		else
			outcome = work_undo(work);
		table_doc_finish(&doc);
		return outcome;
	}
	g_strlcpy(work->edit->reason,
	    "written, but the other table could not be read again",
	    sizeof(work->edit->reason));
	return outcome;
}

static enum edit_outcome
work_commit(struct work *work)
{
	enum edit_outcome outcome = work_write(work);

	if (outcome == EDIT_ACCEPTED)
		outcome = work_settle(work);
	if (outcome == EDIT_ACCEPTED) {
		metric_add(METRIC_EDITS_ACCEPTED, 1);
		tablestore_offer(work->context->store, work->edit->kind,
		    work->edit->version, work->text);
		log_event(LOG_LEVEL_INFO, "table_edited", "table",
		    table_kind_name(work->edit->kind), "operator",
		    work->edit->author->name, "edit", work->edit->id, NULL);
	}
	return outcome;
}

enum edit_outcome
edit_run(const struct edit_context *context, struct edit *edit)
{
	struct work work = { .context = context, .edit = edit };
	enum edit_outcome outcome = EDIT_LOST_RACE;
	char *id = g_uuid_string_random();

	g_strlcpy(edit->id, id, sizeof(edit->id));
	g_free(id);
	findings_init(&edit->findings);
	for (uint32_t race = 0; race < RACES_MAX_COUNT; race++) {
		outcome = EDIT_NOT_RUN;
		if (work_read(&work))
			outcome = work_prepare(&work, race == 0);
		if (outcome == EDIT_READY && edit->type != EDIT_CHECK) {
			outcome = work_commit(&work);
			if (outcome == EDIT_LOST_RACE) {
				work_clear(&work);
				pause_before(race % WRITES_MAX_COUNT);
				continue;
			}
		}
		break;
	}
	work_clear(&work);
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
