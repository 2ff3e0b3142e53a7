#include "bamboorudderd/front.h"

#include <jansson.h>
#include <string.h>

#include "bamboorudderd/reply.h"
#include "common/digest.h"
#include "common/metric.h"
#include "core/hash.h"

#define ATTEMPTS_MAX_COUNT 3u
#define REQUEST_ID_MAX_BYTES 64u
#define PREFIX_BYTES 512u
#define THREADS_TEXT_BYTES 16

/* One request of a caller on its way through its worker. */
struct exchange {
	struct front *front;
	struct mg_connection *connection;
	const struct mg_request_info *info;
	struct snapshot *snapshot;
	const struct route *route;
	const struct pool *pool;
	char request_id[REQUEST_ID_MAX_BYTES + 1];
	char *body;
	size_t body_bytes;
	struct entry_submit submit;
};

GQuark
front_error_quark(void)
{
	return g_quark_from_static_string("front-error");
}

static void
refuse(struct exchange *exchange, uint32_t status, const char *type,
    const char *message, enum run_state run, uint32_t retry_after_ms)
{
	struct reply_error error = { status, type, message, run, retry_after_ms,
		exchange->request_id };

	metric_add(run == RUN_NOT_RUN ? METRIC_REQUESTS_REFUSED
				      : METRIC_REQUESTS_UNKNOWN,
	    1);
	reply_send_error(exchange->connection, &error);
}

/* A caller's request id is kept if it is plain, else one is made. */
static void
set_request_id(struct exchange *exchange)
{
	const char *given = mg_get_header(exchange->connection,
	    HEADER_REQUEST_ID);
	char *made;

	if (given != NULL && given[0] != '\0' &&
	    strlen(given) <= REQUEST_ID_MAX_BYTES &&
	    strspn(given,
		"abcdefghijklmnopqrstuvwxyz"
		"ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == strlen(given)) {
		g_strlcpy(exchange->request_id, given,
		    sizeof(exchange->request_id));
		return;
	}
	made = g_uuid_string_random();
	g_strlcpy(exchange->request_id, made, sizeof(exchange->request_id));
	g_free(made);
}

static bool
find_route(struct exchange *exchange)
{
	const char *key = reply_bearer_token(exchange->connection);
	char digest[DIGEST_HEX_BYTES + 1];
	enum route_match match = ROUTE_UNKNOWN_KEY;

	if (key != NULL) {
		digest_sha256_hex(key, digest);
		match = tables_match_route(&exchange->snapshot->tables, digest,
		    exchange->info->local_uri, &exchange->route);
	}
	if (match == ROUTE_FOUND) {
		exchange->pool = tables_find_pool(&exchange->snapshot->tables,
		    exchange->route->pool_id);
		return true;
	}
	metric_add(METRIC_REQUESTS_UNAUTHORIZED, 1);
	if (match == ROUTE_UNKNOWN_KEY)
		refuse(exchange, 401, "unknown_key",
		    "the bearer key is missing or belongs to no client account",
		    RUN_NOT_RUN, 0);
	else
		refuse(exchange, 403, "no_route",
		    "the client account has no route for this path",
		    RUN_NOT_RUN, 0);
	return false;
}

static bool
read_body(struct exchange *exchange)
{
	uint32_t status;

	exchange->body = reply_read_body(exchange->connection,
	    exchange->front->settings->body_max_bytes, &exchange->body_bytes,
	    &status);
	if (exchange->body != NULL)
		return true;
	metric_add(METRIC_REQUESTS_MALFORMED, 1);
	if (status == 413)
		refuse(exchange, 413, "too_large", "the body is too large",
		    RUN_NOT_RUN, 0);
	else
		refuse(exchange, 400, "malformed", "the body broke off",
		    RUN_NOT_RUN, 0);
	return false;
}

static void
set_estimate(struct exchange *exchange, const json_t *document)
{
	const json_t *hint = json_object_get(document, "max_tokens");
	json_int_t tokens = json_integer_value(hint);

	exchange->submit.estimate_tokens = exchange->pool->estimate_tokens;
	if (json_is_integer(hint) && tokens > 0 &&
	    tokens < exchange->pool->estimate_tokens)
		exchange->submit.estimate_tokens = (uint32_t)tokens;
}

/* Checks a chat completion as far as routing needs it. */
static bool
read_completion(struct exchange *exchange)
{
	json_error_t error;
	json_t *document = json_loadb(exchange->body, exchange->body_bytes, 0,
	    &error);
	const json_t *hint = json_object_get(document, "max_tokens");
	const char *fault = NULL;

	if (!json_is_object(document))
		fault = "the body is no JSON object";
	else if (!json_is_array(json_object_get(document, "messages")))
		fault = "messages must be a list";
	else if (hint != NULL &&
	    (!json_is_integer(hint) || json_integer_value(hint) < 1 ||
		json_integer_value(hint) > exchange->pool->request_max_tokens))
		fault = "max_tokens is out of the pool's range";
	else
		set_estimate(exchange, document);
	json_decref(document);
	if (fault == NULL)
		return true;
	metric_add(METRIC_REQUESTS_MALFORMED, 1);
	refuse(exchange, 400, "malformed", fault, RUN_NOT_RUN, 0);
	return false;
}

static void
set_submit(struct exchange *exchange)
{
	struct entry_submit *submit = &exchange->submit;

	submit->pool_id = exchange->pool->pool_id;
	submit->account_id = exchange->route->account_id;
	submit->waiting_max_count = exchange->route->waiting_max_count;
	submit->prefix_hash = hash_bytes(exchange->body,
	    MIN(exchange->body_bytes, PREFIX_BYTES));
	if (submit->estimate_tokens == 0)
		submit->estimate_tokens = 1;
}

static bool
is_idempotent(const struct exchange *exchange)
{
	static const char *const methods[] = { "GET", "HEAD", "OPTIONS", "PUT",
		"DELETE", NULL };

	if (exchange->route->repeat != REPEAT_BY_METHOD)
		return exchange->route->repeat == REPEAT_ALWAYS;
	if (exchange->pool->kind == POOL_MODEL)
		return true;
	return g_strv_contains(methods, exchange->info->request_method);
}

static void
refuse_ticket(struct exchange *exchange, const struct ticket *ticket)
{
	switch (ticket->reason) {
	case REFUSE_QUEUE_FULL:
		refuse(exchange, 429, "queue_full",
		    "the client account has too many waiting requests",
		    RUN_NOT_RUN, ticket->retry_after_ms);
		break;
	case REFUSE_DEADLINE:
		refuse(exchange, 503, "queue_timeout",
		    "no slot became free in time", RUN_NOT_RUN,
		    ticket->retry_after_ms);
		break;
	case REFUSE_SHUTDOWN:
		refuse(exchange, 503, "shutting_down", "this daemon shuts down",
		    RUN_NOT_RUN, ticket->retry_after_ms);
		break;
	default:
		refuse(exchange, 503, "no_endpoint", "the pool has no endpoint",
		    RUN_NOT_RUN, ticket->retry_after_ms);
		break;
	}
}

static char *
request_target(const struct exchange *exchange)
{
	const struct mg_request_info *info = exchange->info;

	if (info->query_string == NULL)
		return g_strdup(info->local_uri);
	return g_strdup_printf("%s?%s", info->local_uri, info->query_string);
}

static enum relay_outcome
attempt(struct exchange *exchange, struct ticket *ticket)
{
	const struct endpoint *endpoint = pool_find_endpoint(exchange->pool,
	    ticket->endpoint_id);
	char *target = request_target(exchange);
	struct relay relay = {
		.config = &exchange->front->relay_config,
		.caller = exchange->connection,
		.target = target,
		.request_id = exchange->request_id,
		.body = exchange->body,
		.body_bytes = exchange->body_bytes,
		.idempotent = is_idempotent(exchange),
		.tokens = &ticket->tokens,
	};
	enum relay_outcome outcome = RELAY_NOT_SENT;

	if (endpoint != NULL) {
		relay.address = endpoint->address;
		outcome = relay_run(&relay);
	}
	g_free(target);
	return outcome;
}

static bool
may_retry(const struct exchange *exchange, enum relay_outcome outcome)
{
	if (outcome == RELAY_NOT_SENT || outcome == RELAY_REFUSED)
		return true;
	return outcome == RELAY_NO_ANSWER && is_idempotent(exchange);
}

static void
report_failure(struct exchange *exchange, enum relay_outcome outcome)
{
	if (outcome == RELAY_NOT_SENT || outcome == RELAY_REFUSED)
		refuse(exchange, 503, "endpoint_unreachable",
		    "no endpoint took the request", RUN_NOT_RUN, 1000);
	else if (outcome == RELAY_NO_ANSWER)
		refuse(exchange, 502, "outcome_unknown",
		    "the endpoint gave no answer; it may have run the request",
		    RUN_UNKNOWN, 0);
}

static enum done_outcome
done_outcome_of(enum relay_outcome outcome)
{
	if (outcome == RELAY_WHOLE || outcome == RELAY_CALLER_GONE)
		return DONE_WHOLE;
	return outcome == RELAY_REFUSED ? DONE_REFUSED : DONE_FAILED;
}

static void
run_attempts(struct exchange *exchange)
{
	enum relay_outcome outcome = RELAY_NOT_SENT;
	struct ticket *ticket;

	for (uint32_t i = 0; i < ATTEMPTS_MAX_COUNT; i++) {
		if (i > 0)
			metric_add(METRIC_RETRIES, 1);
		ticket = control_acquire(exchange->front->control,
		    &exchange->submit);
		if (ticket->state == TICKET_REFUSED) {
			refuse_ticket(exchange, ticket);
			control_release(exchange->front->control, ticket,
			    DONE_WHOLE);
			return;
		}
		outcome = attempt(exchange, ticket);
		control_release(exchange->front->control, ticket,
		    done_outcome_of(outcome));
		if (!may_retry(exchange, outcome))
			break;
	}
	report_failure(exchange, outcome);
}

static int
handle_request(struct mg_connection *connection, void *context)
{
	struct exchange exchange = { .front = context,
		.connection = connection,
		.info = mg_get_request_info(connection) };

	metric_add(METRIC_REQUESTS, 1);
	exchange.snapshot = tablestore_ref(exchange.front->store);
	set_request_id(&exchange);
	if (find_route(&exchange) && read_body(&exchange) &&
	    (exchange.pool->kind != POOL_MODEL || read_completion(&exchange))) {
		set_submit(&exchange);
		run_attempts(&exchange);
	}
	g_free(exchange.body);
	snapshot_unref(exchange.snapshot);
	return 1;
}

static int
on_connection(const struct mg_connection *connection, void **data)
{
	struct front *front = mg_get_user_data(mg_get_context(connection));

	atomic_fetch_add(&front->connection_count, 1);
	*data = atomic_load(&front->draining) ? NULL : front;
	if (*data != NULL)
		atomic_fetch_add(&front->earlier_count, 1);
	return 0;
}

static void
on_connection_close(const struct mg_connection *connection)
{
	struct front *front = mg_get_user_data(mg_get_context(connection));

	atomic_fetch_sub(&front->connection_count, 1);
	if (mg_get_user_connection_data(connection) != NULL)
		atomic_fetch_sub(&front->earlier_count, 1);
}

gboolean
front_init(struct front *front, const struct settings *settings,
    struct control *control, struct tablestore *store, GError **error)
{
	char threads[THREADS_TEXT_BYTES], timeout[THREADS_TEXT_BYTES];
	char keep_alive[THREADS_TEXT_BYTES];
	const char *options[] = { "listening_ports", settings->listen_address,
		"num_threads", threads, "enable_keep_alive", "yes",
		"request_timeout_ms", timeout, "keep_alive_timeout_ms",
		keep_alive, "tcp_nodelay", "1", "decode_url", "no", NULL };
	struct mg_callbacks callbacks = { .init_connection = on_connection,
		.connection_close = on_connection_close };

	memset(front, 0, sizeof(*front));
	front->settings = settings;
	front->control = control;
	front->store = store;
	front->relay_config.connect_timeout_ms = settings->connect_timeout_ms;
	front->relay_config.idle_timeout_ms = settings->idle_timeout_ms;
	front->relay_config.request_timeout_ms = settings->request_timeout_ms;
	g_snprintf(threads, sizeof(threads), "%u",
	    settings->worker_threads_count);
	g_snprintf(keep_alive, sizeof(keep_alive), "%u", FRONT_KEEP_ALIVE_MS);
	g_snprintf(timeout, sizeof(timeout), "%u",
	    settings->request_timeout_ms);
	front->server = mg_start(&callbacks, front, options);
	if (front->server == NULL) {
		g_set_error(error, FRONT_ERROR, 0, "cannot listen on %s",
		    settings->listen_address);
		return FALSE;
	}
	mg_set_request_handler(front->server, "**", handle_request, front);
	return TRUE;
}

void
front_finish(struct front *front)
{
	if (front->server != NULL)
		mg_stop(front->server);
	front->server = NULL;
}
