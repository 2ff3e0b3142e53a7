#include "bamboorudderd/admin.h"

#include <string.h>

#include "bamboorudderd/admin_operation.h"
#include "common/metric.h"

#define ADMIN_THREADS "8"

GQuark
admin_error_quark(void)
{
	return g_quark_from_static_string("admin-error");
}

/* Sorted by path and method. */
static const struct admin_operation operations[] = {
	{ "/healthz", "GET", OPERATOR_NONE, admin_get_healthz, 0 },
	{ "/metrics", "GET", OPERATOR_NONE, admin_get_metrics, 0 },
	{ "/readyz", "GET", OPERATOR_NONE, admin_get_readyz, 0 },
	{ "/v1/accounts", "GET", OPERATOR_READ, admin_get_accounts, 0 },
	{ "/v1/domains", "GET", OPERATOR_READ, admin_get_domains, 0 },
	{ "/v1/drain", "POST", OPERATOR_EDIT, admin_post_drain, 0 },
	{ "/v1/dump", "GET", OPERATOR_READ, admin_get_dump, 0 },
	{ "/v1/explain", "GET", OPERATOR_READ, admin_get_explain, 0 },
	{ "/v1/members", "GET", OPERATOR_READ, admin_get_members, 0 },
	{ "/v1/pools", "GET", OPERATOR_READ, admin_get_pools, 0 },
	{ "/v1/status", "GET", OPERATOR_READ, admin_get_status, 0 },
	{ "/v1/tables/pools", "GET", OPERATOR_READ, admin_get_table,
	    TABLE_POOLS },
	{ "/v1/tables/pools", "PUT", OPERATOR_EDIT, admin_put_table,
	    TABLE_POOLS },
	{ "/v1/tables/pools/check", "POST", OPERATOR_READ, admin_check_table,
	    TABLE_POOLS },
	{ "/v1/tables/pools/history", "GET", OPERATOR_READ, admin_get_history,
	    TABLE_POOLS },
	{ "/v1/tables/pools/row", "DELETE", OPERATOR_EDIT, admin_delete_row,
	    TABLE_POOLS },
	{ "/v1/tables/pools/row", "PUT", OPERATOR_EDIT, admin_put_row,
	    TABLE_POOLS },
	{ "/v1/tables/routes", "GET", OPERATOR_READ, admin_get_table,
	    TABLE_ROUTES },
	{ "/v1/tables/routes", "PUT", OPERATOR_EDIT_TEAM, admin_put_table,
	    TABLE_ROUTES },
	{ "/v1/tables/routes/check", "POST", OPERATOR_READ, admin_check_table,
	    TABLE_ROUTES },
	{ "/v1/tables/routes/history", "GET", OPERATOR_READ, admin_get_history,
	    TABLE_ROUTES },
	{ "/v1/tables/routes/row", "DELETE", OPERATOR_EDIT_TEAM,
	    admin_delete_row, TABLE_ROUTES },
	{ "/v1/tables/routes/row", "PUT", OPERATOR_EDIT_TEAM, admin_put_row,
	    TABLE_ROUTES },
	{ "/v1/test/cut", "POST", OPERATOR_EDIT, admin_post_cut, 0 },
	{ "/v1/test/heal", "POST", OPERATOR_EDIT, admin_post_heal, 0 },
	{ "/v1/version", "GET", OPERATOR_READ, admin_get_version, 0 },
};

const struct admin_operation *
admin_operations(size_t *count)
{
	*count = G_N_ELEMENTS(operations);
	return operations;
}

static json_t *
error_document(const char *type, const char *message, enum run_state run,
    json_t *extra_fields)
{
	json_t *error = json_pack("{s:s, s:s, s:s}", "type", type, "message",
	    message, "run", run == RUN_NOT_RUN ? "not-run" : "unknown");

	if (extra_fields != NULL) {
		json_object_update(error, extra_fields);
		json_decref(extra_fields);
	}
	return json_pack("{s:o}", "error", error);
}

static void
send_document(struct response_head *head, json_t *document,
    const struct admin_header *headers, size_t header_count)
{
	char *text = json_dumps(document, JSON_INDENT(2));

	for (size_t i = 0; i < header_count; i++)
		response_head_add(head, headers[i].name, headers[i].value);
	response_head_add(head, "Content-Type", "application/json");
	response_head_add_number(head, "Content-Length", strlen(text));
	response_head_send(head, text, strlen(text));
	free(text);
	json_decref(document);
}

void
admin_send_document(struct mg_connection *connection, uint32_t status,
    json_t *document, const struct admin_header *headers, size_t header_count)
{
	struct response_head head;

	response_head_init(&head, connection, status);
	send_document(&head, document, headers, header_count);
}

static void
send_error(struct mg_connection *connection, uint32_t status, json_t *document,
    enum run_state run, const struct admin_header *extra_header)
{
	struct admin_header headers[] = {
		{ HEADER_RUN, run == RUN_NOT_RUN ? "not-run" : "unknown" },
		{ NULL, NULL },
	};
	struct response_head head;

	if (extra_header != NULL)
		headers[1] = *extra_header;
	response_head_init(&head, connection, status);
	response_head_close(&head);
	send_document(&head, document, headers, extra_header == NULL ? 1 : 2);
}

bool
admin_get_value(const struct admin_request *request, const char *name,
    char *value, size_t value_bytes)
{
	const char *query = mg_get_request_info(request->connection)
				->query_string;

	value[0] = '\0';
	return query != NULL &&
	    mg_get_var(query, strlen(query), name, value, value_bytes) > 0;
}

void
admin_send_error(const struct admin_request *request, uint32_t status,
    const char *type, const char *message, enum run_state run,
    json_t *extra_fields)
{
	static const struct admin_header www_authenticate = {
		"WWW-Authenticate", "Bearer"
	};
	static const struct admin_header retry_after = { "Retry-After", "1" };
	const struct admin_header *header = NULL;

	if (status == 401)
		header = &www_authenticate;
	else if (status == 503)
		header = &retry_after;
	send_error(request->connection, status,
	    error_document(type, message, run, extra_fields), run, header);
}

static bool
authenticate(struct admin_request *request)
{
	struct admin *admin = request->admin;
	const struct operator_entry *entry;

	pthread_mutex_lock(&admin->operators_mutex);
	entry = operator_find(admin->operators, admin->operator_count,
	    request_bearer_token(request->connection));
	if (entry != NULL)
		request->requester = *entry;
	pthread_mutex_unlock(&admin->operators_mutex);
	return entry != NULL;
}

static void
run_operation(struct admin_request *request)
{
	if (request->operation->scope == OPERATOR_NONE)
		request->operation->run(request);
	else if (!authenticate(request)) {
		metric_add(METRIC_ADMIN_UNAUTHORIZED, 1);
		admin_send_error(request, 401, "unknown_token",
		    "the operator's token is missing or unknown", RUN_NOT_RUN,
		    NULL);
	} else if (request->requester.scope < request->operation->scope) {
		metric_add(METRIC_ADMIN_UNAUTHORIZED, 1);
		admin_send_error(request, 403, "scope_too_low",
		    "the operator's scope does not include this call",
		    RUN_NOT_RUN, NULL);
	} else
		request->operation->run(request);
}

static void
send_method_not_allowed(struct mg_connection *connection, const char *allowed)
{
	struct admin_header header = { "Allow", allowed };

	send_error(connection, 405,
	    error_document("no_such_method", "no such method here", RUN_NOT_RUN,
		NULL),
	    RUN_NOT_RUN, &header);
}

static int
handle_request(struct mg_connection *connection)
{
	const struct mg_request_info *info = mg_get_request_info(connection);
	struct admin_request request = { .admin = mg_get_user_data(
					     mg_get_context(connection)),
		.connection = connection };
	GString *allowed = g_string_new(NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(operations); i++) {
		if (strcmp(operations[i].path, info->local_uri) != 0)
			continue;
		g_string_append_printf(allowed, "%s%s",
		    allowed->len == 0 ? "" : ", ", operations[i].method);
		if (strcmp(operations[i].method, info->request_method) == 0)
			request.operation = &operations[i];
	}
	if (request.operation != NULL)
		run_operation(&request);
	else if (allowed->len > 0)
		send_method_not_allowed(connection, allowed->str);
	else
		admin_send_error(&request, 404, "no_such_path", "no such path",
		    RUN_NOT_RUN, NULL);
	g_string_free(allowed, TRUE);
	return 1;
}

void
admin_set_operators(struct admin *admin, const struct settings_list *tokens)
{
	pthread_mutex_lock(&admin->operators_mutex);
	admin->operator_count = 0;
	for (uint32_t i = 0; i < tokens->count; i++)
		if (operator_parse(tokens->items[i],
			&admin->operators[admin->operator_count]) == NULL)
			admin->operator_count++;
	pthread_mutex_unlock(&admin->operators_mutex);
}

gboolean
admin_init(struct admin *admin, const struct settings *settings,
    struct control *control, struct tablestore *store,
    struct platform *platform, GError **error)
{
	const char *options[] = { "listening_ports", settings->admin_address,
		"num_threads", ADMIN_THREADS, "tcp_nodelay", "1", NULL };
	struct mg_callbacks callbacks = { .begin_request = handle_request };

	memset(admin, 0, sizeof(*admin));
	admin->settings = settings;
	admin->control = control;
	admin->store = store;
	admin->platform = platform;
	clk_init_system(&admin->clk);
	pthread_mutex_init(&admin->operators_mutex, NULL);
	admin_set_operators(admin, &settings->operator_tokens);
	admin->server = mg_start(&callbacks, admin, options);
	if (admin->server != NULL)
		return TRUE;
	g_set_error(error, ADMIN_ERROR, 0, "cannot listen on %s",
	    settings->admin_address);
	return FALSE;
}

void
admin_finish(struct admin *admin)
{
	if (admin->server != NULL)
		mg_stop(admin->server);
	admin->server = NULL;
	pthread_mutex_destroy(&admin->operators_mutex);
}
