#include "bamboorudderd/admin.h"

#include <inttypes.h>
#include <string.h>

#include "bamboorudderd/reply.h"
#include "common/digest.h"
#include "common/http.h"
#include "common/metric.h"
#include "common/table_json.h"

#define TABLE_MAX_BYTES (1024u * 1024u)
#define ETAG_TEXT_BYTES 32
#define ADMIN_THREADS "8"
#define CUT_QUERY_MAX_BYTES 4096

typedef void (*admin_fn)(struct admin *admin, struct mg_connection *conn);

/* One call of the API. */
struct admin_call {
	const char *path;
	const char *method;
	bool open; /* needs no operator token */
	admin_fn run;
};

GQuark
admin_error_quark(void)
{
	return g_quark_from_static_string("admin-error");
}

static void
fail(struct mg_connection *conn, uint32_t status, const char *type,
    const char *message)
{
	struct reply_error error = { .status = status,
		.type = type,
		.message = message,
		.run = RUN_NOT_RUN };

	reply_send_error(conn, &error);
}

static void
send_table(struct mg_connection *conn, uint32_t status, uint64_t version,
    const char *text)
{
	char etag[ETAG_TEXT_BYTES], length[ETAG_TEXT_BYTES];

	g_snprintf(etag, sizeof(etag), "\"%" PRIu64 "\"", version);
	g_snprintf(length, sizeof(length), "%zu", strlen(text));
	mg_response_header_start(conn, (int)status);
	mg_response_header_add(conn, "ETag", etag, -1);
	mg_response_header_add(conn, "Content-Type", "application/json", -1);
	mg_response_header_add(conn, "Content-Length", length, -1);
	mg_response_header_send(conn);
	mg_write(conn, text, strlen(text));
}

static void
get_table(struct admin *admin, struct mg_connection *conn, enum table_kind kind)
{
	struct snapshot *snapshot = tablestore_ref(admin->store);

	send_table(conn, 200,
	    kind == TABLE_ROUTES ? snapshot->tables.routes_version
				 : snapshot->tables.pools_version,
	    snapshot->texts[kind]);
	snapshot_unref(snapshot);
}

static void
send_findings(struct mg_connection *conn, const struct findings *findings)
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
	reply_send_json(conn, 422,
	    json_pack("{s:{s:s, s:s, s:s, s:o}}", "error", "type",
		"invalid_table", "message",
		"the table was not accepted; nothing was changed", "run",
		"not-run", "findings", list));
}

/* Validates a new text of one table together with the other in force. */
static bool
check_table(struct admin *admin, enum table_kind kind, const char *text,
    struct findings *findings)
{
	struct snapshot *snapshot = tablestore_ref(admin->store);
	struct tables tables;
	bool valid;

	findings_init(findings);
	valid = table_json_read(kind == TABLE_ROUTES
		? text
		: snapshot->texts[TABLE_ROUTES],
	    kind == TABLE_POOLS ? text : snapshot->texts[TABLE_POOLS], &tables,
	    findings);
	tables_finish(&tables);
	snapshot_unref(snapshot);
	return valid;
}

static void
send_platform_error(struct mg_connection *conn, const GError *error)
{
	struct reply_error reply = { .status = 503,
		.type = "platform_down",
		.message = error->message,
		.run = RUN_NOT_RUN,
		.retry_after_ms = 1000 };

	if (error->code == PLATFORM_ERROR_CONFLICT) {
		reply.status = 412;
		reply.type = "version_conflict";
	} else if (error->code == PLATFORM_ERROR_UNKNOWN) {
		reply.type = "outcome_unknown";
		reply.run = RUN_UNKNOWN;
	}
	reply_send_error(conn, &reply);
}

static void
write_table(struct admin *admin, struct mg_connection *conn,
    enum table_kind kind, const char *text)
{
	const char *if_match = mg_get_header(conn, "If-Match");
	uint64_t version = if_match == NULL ? 0 : http_etag_version(if_match);
	GError *error = NULL;

	if (!admin->platform->ops->put(admin->platform, table_kind_name(kind),
		text, &version, &error)) {
		send_platform_error(conn, error);
		g_error_free(error);
		return;
	}
	tablestore_offer(admin->store, kind, version, text);
	send_table(conn, 200, version, text);
}

static void
put_table(struct admin *admin, struct mg_connection *conn, enum table_kind kind)
{
	struct findings *findings = g_new(struct findings, 1);
	size_t length_bytes;
	uint32_t status;
	char *text = reply_read_body(conn, TABLE_MAX_BYTES, &length_bytes,
	    &status);

	if (text == NULL)
		fail(conn, status, "malformed", "the table was not read");
	else if (!check_table(admin, kind, text, findings))
		send_findings(conn, findings);
	else
		write_table(admin, conn, kind, text);
	g_free(text);
	g_free(findings);
}

static void
get_routes(struct admin *admin, struct mg_connection *conn)
{
	get_table(admin, conn, TABLE_ROUTES);
}

static void
get_pools(struct admin *admin, struct mg_connection *conn)
{
	get_table(admin, conn, TABLE_POOLS);
}

static void
put_routes(struct admin *admin, struct mg_connection *conn)
{
	put_table(admin, conn, TABLE_ROUTES);
}

static void
put_pools(struct admin *admin, struct mg_connection *conn)
{
	put_table(admin, conn, TABLE_POOLS);
}

static void
get_dump(struct admin *admin, struct mg_connection *conn)
{
	reply_send_json(conn, 200, control_dump(admin->control));
}

static void
get_healthz(struct admin *admin, struct mg_connection *conn)
{
	(void)admin;
	reply_send_json(conn, 200, json_pack("{s:s}", "status", "ok"));
}

static void
get_readyz(struct admin *admin, struct mg_connection *conn)
{
	struct snapshot *snapshot = tablestore_ref(admin->store);
	bool ready = snapshot->tables.routes_version != 0 &&
	    snapshot->tables.pools_version != 0 &&
	    !atomic_load(&admin->draining);

	snapshot_unref(snapshot);
	reply_send_json(conn, ready ? 200 : 503,
	    json_pack("{s:s}", "status", ready ? "ready" : "not ready"));
}

static void
get_metrics(struct admin *admin, struct mg_connection *conn)
{
	GString *text = g_string_new(NULL);

	(void)admin;
	metric_render(text);
	mg_response_header_start(conn, 200);
	mg_response_header_add(conn, "Content-Type",
	    "text/plain; version=0.0.4", -1);
	mg_response_header_add(conn, "Connection", "close", -1);
	mg_response_header_send(conn);
	mg_write(conn, text->str, text->len);
	g_string_free(text, TRUE);
}

static void
post_drain(struct admin *admin, struct mg_connection *conn)
{
	atomic_store(&admin->draining, 1);
	control_drain(admin->control);
	reply_send_json(conn, 202, json_pack("{s:s}", "status", "draining"));
}

static void
post_cut(struct admin *admin, struct mg_connection *conn)
{
	const char *query = mg_get_request_info(conn)->query_string;
	size_t length_bytes = query == NULL ? 0 : strlen(query);
	char peers[CUT_QUERY_MAX_BYTES], platform[2];

	if (admin->control->hook == NULL) {
		fail(conn, 404, "no_such_path", "test.hooks is off");
		return;
	}
	if (mg_get_var(query, length_bytes, "peers", peers, sizeof(peers)) > 0)
		hook_cut_peers(admin->control->hook, peers);
	if (mg_get_var(query, length_bytes, "platform", platform,
		sizeof(platform)) > 0)
		hook_cut_platform(admin->control->hook);
	reply_send_json(conn, 200, json_pack("{s:s}", "status", "cut"));
}

static void
post_heal(struct admin *admin, struct mg_connection *conn)
{
	if (admin->control->hook == NULL) {
		fail(conn, 404, "no_such_path", "test.hooks is off");
		return;
	}
	hook_heal(admin->control->hook);
	reply_send_json(conn, 200, json_pack("{s:s}", "status", "healed"));
}

static const struct admin_call calls[] = {
	{ "/healthz", "GET", true, get_healthz },
	{ "/metrics", "GET", true, get_metrics },
	{ "/readyz", "GET", true, get_readyz },
	{ "/v1/drain", "POST", false, post_drain },
	{ "/v1/dump", "GET", false, get_dump },
	{ "/v1/tables/pools", "GET", false, get_pools },
	{ "/v1/tables/pools", "PUT", false, put_pools },
	{ "/v1/tables/routes", "GET", false, get_routes },
	{ "/v1/tables/routes", "PUT", false, put_routes },
	{ "/v1/test/cut", "POST", false, post_cut },
	{ "/v1/test/heal", "POST", false, post_heal },
};

static bool
token_known(const struct admin *admin, const char *token)
{
	const struct settings_list *tokens = &admin->settings->operator_tokens;
	char digest[DIGEST_HEX_BYTES + 1];
	uint32_t difference, known = 0;

	if (token == NULL)
		return false;
	digest_sha256_hex(token, digest);
	for (uint32_t i = 0; i < tokens->count; i++) {
		difference = strlen(tokens->items[i]) != DIGEST_HEX_BYTES;
		for (size_t j = 0; j < DIGEST_HEX_BYTES; j++)
			difference |= (uint32_t)(tokens->items[i][j] ^
			    digest[j]);
		known |= difference == 0;
	}
	return known != 0;
}

static int
handle_request(struct mg_connection *conn, void *context)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	struct admin *admin = context;
	bool path_known = false;

	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
		if (strcmp(calls[i].path, info->local_uri) != 0)
			continue;
		path_known = true;
		if (strcmp(calls[i].method, info->request_method) != 0)
			continue;
		if (calls[i].open ||
		    token_known(admin, reply_bearer_token(conn)))
			calls[i].run(admin, conn);
		else
			fail(conn, 401, "unknown_token",
			    "the operator's token is missing or unknown");
		return 1;
	}
	if (path_known)
		fail(conn, 405, "no_such_method", "no such method here");
	else
		fail(conn, 404, "no_such_path", "no such path");
	return 1;
}

gboolean
admin_init(struct admin *admin, const struct settings *settings,
    struct control *control, struct tablestore *store,
    struct platform *platform, GError **error)
{
	const char *options[] = { "listening_ports", settings->admin_address,
		"num_threads", ADMIN_THREADS, "tcp_nodelay", "1", NULL };
	struct mg_callbacks callbacks = { 0 };

	memset(admin, 0, sizeof(*admin));
	admin->settings = settings;
	admin->control = control;
	admin->store = store;
	admin->platform = platform;
	admin->server = mg_start(&callbacks, admin, options);
	if (admin->server == NULL) {
		g_set_error(error, ADMIN_ERROR, 0, "cannot listen on %s",
		    settings->admin_address);
		return FALSE;
	}
	mg_set_request_handler(admin->server, "**", handle_request, admin);
	return TRUE;
}

void
admin_finish(struct admin *admin)
{
	if (admin->server != NULL)
		mg_stop(admin->server);
	admin->server = NULL;
}
