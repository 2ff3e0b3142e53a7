#include <inttypes.h>
#include <string.h>

#include "bamboorudderd/admin.h"
#include "bamboorudderd/admin_operation.h"
#include "bamboorudderd/edit.h"
#include "bamboorudderd/table_doc.h"
#include "common/http_client.h"
#include "common/metric.h"
#include "common/table_diff.h"

#define TABLE_MAX_BYTES (1024u * 1024u)
#define NUMBER_TEXT_BYTES 32
#define QUERY_VALUE_MAX_BYTES 256
/* Keeps threads free for the load balancer's health checks if the platform is
 * slow. */
#define CONCURRENT_EDITS_MAX_COUNT 4u

static void
send_with_version(struct mg_connection *connection, uint64_t version,
    json_t *document)
{
	char etag[NUMBER_TEXT_BYTES];
	struct admin_header header = { "ETag", etag };

	g_snprintf(etag, sizeof(etag), "\"%" PRIu64 "\"", version);
	admin_send_document(connection, 200, document, &header, 1);
}

static void
load_doc_in_force(const struct admin_request *request, struct table_doc *doc)
{
	struct snapshot *snapshot = tablestore_ref(request->admin->store);
	enum table_kind kind = request->operation->kind;

	table_doc_init(doc, snapshot->texts[kind],
	    kind == TABLE_ROUTES ? snapshot->tables.routes_version
				 : snapshot->tables.pools_version);
	snapshot_unref(snapshot);
}

/* Loads the table in force or, with the query "newest", the stored table, which
 * may be invalid. @return false after an error response */
static bool
load_requested_doc(const struct admin_request *request, struct table_doc *doc)
{
	const struct mg_request_info *info = mg_get_request_info(
	    request->connection);
	GError *error = NULL;

	if (info->query_string == NULL ||
	    strcmp(info->query_string, "newest") != 0) {
		load_doc_in_force(request, doc);
		return true;
	}
	if (table_doc_fetch(doc, request->admin->platform,
		request->operation->kind, &error))
		return true;
	admin_send_error(request, 503, "platform_down", error->message,
	    RUN_NOT_RUN, NULL);
	g_error_free(error);
	return false;
}

void
admin_get_table(const struct admin_request *request)
{
	struct table_doc doc;

	if (!load_requested_doc(request, &doc))
		return;
	send_with_version(request->connection, doc.version,
	    json_pack("{s:O}", "rows", doc.rows));
	table_doc_finish(&doc);
}

void
admin_get_history(const struct admin_request *request)
{
	struct table_doc doc;

	if (!load_requested_doc(request, &doc))
		return;
	send_with_version(request->connection, doc.version,
	    json_pack("{s:o}", "history", table_doc_history(&doc)));
	table_doc_finish(&doc);
}

static json_t *
findings_json(const struct findings *findings)
{
	json_t *list = json_array();

	for (size_t i = 0; i < findings->count; i++) {
		const struct finding *finding = &findings->items[i];
		json_array_append_new(list,
		    json_pack("{s:s, s:i, s:i, s:i, s:s}", "table",
			finding->place, "row", (int)finding->row, "line",
			(int)finding->line, "column", (int)finding->column,
			"text", finding->text));
	}
	return list;
}

static void
send_findings(const struct admin_request *request,
    const struct findings *findings)
{
	admin_send_error(request, 422, "invalid_table",
	    "the table was not accepted; nothing was changed", RUN_NOT_RUN,
	    json_pack("{s:o, s:I}", "findings", findings_json(findings),
		"findings_count", (json_int_t)findings->total_count));
}

static void
send_success(const struct admin_request *request, const struct edit *edit)
{
	json_t *document = json_pack("{s:I, s:O}", "version",
	    (json_int_t)edit->version, "difference", edit->difference);

	if (edit->type != EDIT_DRY_RUN)
		json_object_set_new(document, "edit", json_string(edit->id));
	send_with_version(request->connection, edit->version, document);
}

static void
send_version_conflict(const struct admin_request *request,
    const struct edit *edit)
{
	admin_send_error(request, 412, "version_conflict",
	    "another version is current; nothing was changed", RUN_NOT_RUN,
	    json_pack("{s:I, s:O?, s:O?}", "version", (json_int_t)edit->version,
		"difference", edit->difference, "changes_since",
		edit->changes_since));
}

/* Error responses that contain only a message and the version. If the message
 * is NULL, the reason of the edit is sent. */
static const struct outcome_response {
	enum edit_outcome outcome;
	uint32_t status;
	const char *type;
	const char *message;
	enum run_state run;
} outcome_responses[] = {
	{ EDIT_VERSION_REQUIRED, 428, "version_required",
	    "the table exists: send its version as If-Match", RUN_NOT_RUN },
	{ EDIT_ROW_NOT_FOUND, 404, "no_such_row", "the table has no such row",
	    RUN_NOT_RUN },
	{ EDIT_OTHER_TEAM, 403, "other_team",
	    "the edit touches accounts of another team", RUN_NOT_RUN },
	{ EDIT_TABLES_CONFLICT, 409, "tables_conflict",
	    "an edit of the other table at the same time contradicts this "
	    "one; it was taken back",
	    RUN_NOT_RUN },
	{ EDIT_NOT_WRITTEN, 503, "platform_down", NULL, RUN_NOT_RUN },
	{ EDIT_OUTCOME_UNKNOWN, 503, "outcome_unknown", NULL, RUN_UNKNOWN },
};

static void
send_outcome(const struct admin_request *request, enum edit_outcome outcome,
    const struct edit *edit)
{
	if (outcome == EDIT_ACCEPTED || outcome == EDIT_VALID) {
		send_success(request, edit);
		return;
	}
	metric_add(METRIC_EDITS_REFUSED, 1);
	if (outcome == EDIT_INVALID)
		send_findings(request, &edit->findings);
	else if (outcome == EDIT_VERSION_CONFLICT)
		send_version_conflict(request, edit);
	for (size_t i = 0; i < G_N_ELEMENTS(outcome_responses); i++) {
		const struct outcome_response *response = &outcome_responses[i];
		if (response->outcome == outcome)
			admin_send_error(request, response->status,
			    response->type,
			    response->message == NULL ? edit->reason
						      : response->message,
			    response->run,
			    json_pack("{s:I}", "version",
				(json_int_t)edit->version));
	}
}

/* Runs an edit unless too many edits are in progress. */
static void
run_edit_limited(const struct admin_request *request, struct edit *edit)
{
	struct admin *admin = request->admin;
	struct edit_context context = { admin->platform, admin->store,
		&admin->clk };

	edit->kind = request->operation->kind;
	if (atomic_fetch_add(&admin->active_edits_count, 1) <
	    CONCURRENT_EDITS_MAX_COUNT)
		send_outcome(request, edit_run(&context, edit), edit);
	else {
		metric_add(METRIC_EDITS_REFUSED, 1);
		admin_send_error(request, 503, "busy",
		    "other edits wait for the platform; nothing was changed",
		    RUN_NOT_RUN, NULL);
	}
	atomic_fetch_sub(&admin->active_edits_count, 1);
	edit_finish(edit);
}

static void
run_edit(const struct admin_request *request, struct edit *edit)
{
	const char *if_match = mg_get_header(request->connection, "If-Match");

	edit->author = &request->requester;
	edit->if_match = if_match != NULL;
	if (if_match != NULL)
		edit->base_version = http_etag_version(if_match);
	run_edit_limited(request, edit);
}

/* Reads a JSON body. @return NULL after an error response */
static json_t *
read_json(const struct admin_request *request)
{
	struct findings *findings;
	json_error_t error;
	size_t length_bytes;
	uint32_t status;
	json_t *root;
	char *text = request_read_body(request->connection, TABLE_MAX_BYTES,
	    &length_bytes, &status);

	if (text == NULL) {
		admin_send_error(request, status,
		    status == 413 ? "too_large" : "malformed",
		    "the body was not read", RUN_NOT_RUN, NULL);
		return NULL;
	}
	root = json_loadb(text, length_bytes, JSON_REJECT_DUPLICATES, &error);
	if (root == NULL) {
		findings = g_new(struct findings, 1);
		findings_init(findings);
		findings_add_line(findings,
		    table_kind_name(request->operation->kind),
		    (uint32_t)error.line, (uint32_t)MAX(error.column, 1), "%s",
		    error.text);
		send_findings(request, findings);
		g_free(findings);
	}
	g_free(text);
	return root;
}

static json_t *
read_rows(const struct admin_request *request)
{
	json_t *root = read_json(request);
	json_t *rows = json_object_get(root, "rows");
	struct findings *findings;

	if (root == NULL)
		return NULL;
	if (json_is_array(rows) && json_object_size(root) == 1)
		json_incref(rows);
	else {
		rows = NULL;
		findings = g_new(struct findings, 1);
		findings_init(findings);
		findings_add_row(findings,
		    table_kind_name(request->operation->kind), 0,
		    "must be an object with just a list \"rows\"");
		send_findings(request, findings);
		g_free(findings);
	}
	json_decref(root);
	return rows;
}

void
admin_put_table(const struct admin_request *request)
{
	struct edit *edit = g_new0(struct edit, 1);

	edit->type = EDIT_REPLACE;
	edit->rows = read_rows(request);
	if (edit->rows != NULL)
		run_edit(request, edit);
	json_decref(edit->rows);
	g_free(edit);
}

void
admin_put_row(const struct admin_request *request)
{
	struct edit *edit = g_new0(struct edit, 1);
	json_t *row = read_json(request);
	char *key = table_row_key(request->operation->kind, row);

	edit->type = EDIT_SET_ROW;
	edit->row = row;
	edit->row_key = key;
	if (row != NULL)
		run_edit(request, edit);
	json_decref(row);
	g_free(key);
	g_free(edit);
}

/* @return the key fields of a row from the query, or NULL if one is missing */
static json_t *
row_from_query(const struct admin_request *request)
{
	static const char *const route_names[] = { "account", "path", NULL };
	static const char *const pool_names[] = { "pool", NULL };
	const char *const *names = request->operation->kind == TABLE_ROUTES
	    ? route_names
	    : pool_names;
	char value[QUERY_VALUE_MAX_BYTES];
	json_t *row = json_object();

	for (size_t i = 0; names[i] != NULL; i++) {
		if (!admin_get_value(request, names[i], value, sizeof(value))) {
			json_decref(row);
			return NULL;
		}
		json_object_set_new(row, names[i], json_string(value));
	}
	return row;
}

void
admin_delete_row(const struct admin_request *request)
{
	struct edit *edit = g_new0(struct edit, 1);
	json_t *row = row_from_query(request);
	char *key = table_row_key(request->operation->kind, row);

	edit->type = EDIT_REMOVE_ROW;
	edit->row_key = key;
	if (row != NULL)
		run_edit(request, edit);
	else
		admin_send_error(request, 400, "malformed",
		    "the query must name the row: account and path, or pool",
		    RUN_NOT_RUN, NULL);
	json_decref(row);
	g_free(key);
	g_free(edit);
}

void
admin_check_table(const struct admin_request *request)
{
	struct edit *edit = g_new0(struct edit, 1);
	struct operator_entry unrestricted = { .scope = OPERATOR_EDIT };

	edit->type = EDIT_DRY_RUN;
	edit->author = &unrestricted;
	edit->rows = read_rows(request);
	if (edit->rows != NULL)
		run_edit_limited(request, edit);
	json_decref(edit->rows);
	g_free(edit);
}
