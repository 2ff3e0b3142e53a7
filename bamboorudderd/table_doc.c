#include "bamboorudderd/table_doc.h"

#include <string.h>

#include "bamboorudderd/edit.h"
#include "bamboorudderd/tablestore.h"
#include "common/platform.h"

#define HISTORY_CHANGES_MAX_COUNT 8u
#define MS_PER_S 1000u

void
table_doc_init(struct table_doc *doc, const char *text, uint64_t version)
{
	json_t *root = json_loads(text, 0, NULL);
	json_t *rows = json_object_get(root, "rows");
	json_t *history = json_object_get(root, "history");

	doc->version = version;
	doc->text = g_strdup(text);
	doc->rows = json_is_array(rows) ? json_incref(rows) : json_array();
	doc->history = json_is_array(history) ? json_incref(history)
					      : json_array();
	json_decref(root);
}

void
table_doc_finish(struct table_doc *doc)
{
	g_free(doc->text);
	json_decref(doc->rows);
	json_decref(doc->history);
	memset(doc, 0, sizeof(*doc));
}

gboolean
table_doc_fetch(struct table_doc *doc, struct platform *platform,
    enum table_kind kind, GError **error)
{
	struct platform_object object;
	GError *cause = NULL;

	if (platform->ops->get(platform, table_kind_name(kind), &object,
		&cause)) {
		table_doc_init(doc, object.text, object.version);
		g_free(object.text);
		return TRUE;
	}
	if (g_error_matches(cause, PLATFORM_ERROR, PLATFORM_ERROR_NOT_FOUND)) {
		g_error_free(cause);
		table_doc_init(doc, "{\"rows\": []}", 0);
		return TRUE;
	}
	g_propagate_error(error, cause);
	return FALSE;
}

static json_t *
history_changes(const json_t *difference)
{
	json_t *list = json_array(), *change;
	size_t index;

	json_array_foreach (difference, index, change) {
		if (index == HISTORY_CHANGES_MAX_COUNT)
			break;
		json_array_append_new(list,
		    json_pack("{s:O, s:O}", "row",
			json_object_get(change, "row"), "change",
			json_object_get(change, "change")));
	}
	return list;
}

static json_t *
history_entry(const struct table_doc *doc, const struct table_doc_edit *edit)
{
	GDateTime *date = g_date_time_new_from_unix_utc(
	    (gint64)(edit->wall_ms / MS_PER_S));
	char *time = g_date_time_format(date, "%Y-%m-%dT%H:%M:%SZ");
	json_t *entry = json_pack("{s:s, s:s, s:s, s:I, s:o, s:I}", "id",
	    edit->id, "operator", edit->author, "time", time, "base_version",
	    (json_int_t)doc->version, "changes",
	    history_changes(edit->difference), "changes_count",
	    (json_int_t)json_array_size(edit->difference));

	g_free(time);
	g_date_time_unref(date);
	return entry;
}

char *
table_doc_edited_text(const struct table_doc *doc, json_t *rows,
    const struct table_doc_edit *edit)
{
	json_t *history = json_copy(doc->history), *root;
	char *text;

	while (json_array_size(history) >= EDIT_HISTORY_MAX_COUNT)
		json_array_remove(history, 0);
	json_array_append_new(history, history_entry(doc, edit));
	root = json_pack("{s:O, s:o}", "rows", rows, "history", history);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static uint64_t
history_version(const struct table_doc *doc, size_t index)
{
	json_t *next = json_array_get(doc->history, index + 1);

	if (next == NULL)
		return doc->version;
	return (uint64_t)json_integer_value(
	    json_object_get(next, "base_version"));
}

json_t *
table_doc_edits_since(const struct table_doc *doc, uint64_t version)
{
	json_t *list = json_array(), *entry;
	size_t index;

	json_array_foreach (doc->history, index, entry) {
		uint64_t edit_version = history_version(doc, index);
		if (!json_is_object(entry) || edit_version <= version)
			continue;
		entry = json_copy(entry);
		json_object_set_new(entry, "version",
		    json_integer((json_int_t)edit_version));
		json_array_append_new(list, entry);
	}
	return list;
}

json_t *
table_doc_history(const struct table_doc *doc)
{
	return table_doc_edits_since(doc, 0);
}

uint64_t
table_doc_edit_version(const struct table_doc *doc, const char *id)
{
	json_t *entry;
	size_t index;

	json_array_foreach (doc->history, index, entry) {
		const char *entry_id = json_string_value(
		    json_object_get(entry, "id"));
		if (entry_id != NULL && strcmp(entry_id, id) == 0)
			return history_version(doc, index);
	}
	return 0;
}
