#include "bamboorudderd/exchange.h"

#include <string.h>

#include "common/chat_request.h"
#include "common/digest.h"
#include "common/metric.h"
#include "common/path.h"
#include "core/hash.h"

#define RETRY_AFTER_TABLES_MS 1000u
#define HASHED_PREFIX_BYTES 512u
#define IDEMPOTENCY_KEY_MAX_BYTES 255u

void
exchange_init(struct exchange *exchange, struct frontend *frontend,
    struct mg_connection *connection)
{
	memset(exchange, 0, sizeof(*exchange));
	exchange->frontend = frontend;
	exchange->connection = connection;
	exchange->info = mg_get_request_info(connection);
	exchange->snapshot = tablestore_ref(frontend->store);
}

void
exchange_finish(struct exchange *exchange)
{
	g_free(exchange->target);
	g_free(exchange->body);
	snapshot_unref(exchange->snapshot);
}

void
exchange_send_error(struct exchange *exchange, uint32_t status,
    const char *type, const char *message, enum run_state run,
    uint32_t retry_after_ms)
{
	struct error_response error = { status, type, message, run,
		retry_after_ms, exchange->request_id };

	metric_add(run == RUN_NOT_RUN ? METRIC_REQUESTS_REFUSED
				      : METRIC_REQUESTS_UNKNOWN,
	    1);
	response_send_error(exchange->connection, &error);
}

static bool
reject_malformed(struct exchange *exchange, uint32_t status, const char *type,
    const char *message)
{
	metric_add(METRIC_REQUESTS_MALFORMED, 1);
	exchange_send_error(exchange, status, type, message, RUN_NOT_RUN, 0);
	return false;
}

/* Uses the caller's request id if it is valid or generates one. */
static void
set_request_id(struct exchange *exchange)
{
	const char *received = mg_get_header(exchange->connection,
	    HEADER_REQUEST_ID);
	char *generated;

	if (received != NULL && received[0] != '\0' &&
	    strlen(received) <= REQUEST_ID_MAX_BYTES &&
	    strspn(received,
		"abcdefghijklmnopqrstuvwxyz"
		"ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") ==
		strlen(received)) {
		g_strlcpy(exchange->request_id, received,
		    sizeof(exchange->request_id));
		return;
	}
	generated = g_uuid_string_random();
	g_strlcpy(exchange->request_id, generated,
	    sizeof(exchange->request_id));
	g_free(generated);
}

/* Validates the path as received, since CivetWeb normalises local_uri. */
static bool
set_target(struct exchange *exchange)
{
	const struct mg_request_info *info = exchange->info;

	if (info->request_uri == NULL || !path_is_normalized(info->request_uri))
		return reject_malformed(exchange, 400, "bad_path",
		    "the path must be absolute and plain");
	if (info->query_string == NULL)
		exchange->target = g_strdup(info->request_uri);
	else
		exchange->target = g_strdup_printf("%s?%s", info->request_uri,
		    info->query_string);
	return true;
}

static bool
find_route(struct exchange *exchange)
{
	const char *token = request_bearer_token(exchange->connection);
	char digest[DIGEST_HEX_BYTES + 1];
	enum route_match match = ROUTE_UNKNOWN_KEY;

	if (exchange->snapshot->tables.routes_version == 0) {
		exchange_send_error(exchange, 503, "no_tables",
		    "this daemon has no tables yet", RUN_NOT_RUN,
		    RETRY_AFTER_TABLES_MS);
		return false;
	}
	if (token != NULL) {
		digest_sha256_hex(token, digest);
		match = tables_match_route(&exchange->snapshot->tables, digest,
		    exchange->info->request_uri, &exchange->route);
	}
	if (match == ROUTE_FOUND) {
		exchange->pool = tables_find_pool(&exchange->snapshot->tables,
		    exchange->route->pool_id);
		return true;
	}
	metric_add(METRIC_REQUESTS_UNAUTHORIZED, 1);
	if (match == ROUTE_UNKNOWN_KEY)
		exchange_send_error(exchange, 401, "unknown_key",
		    "the bearer key is missing or belongs to no client account",
		    RUN_NOT_RUN, 0);
	else
		exchange_send_error(exchange, 403, "no_route",
		    "the client account has no route for this path",
		    RUN_NOT_RUN, 0);
	return false;
}

static bool
idempotency_key_is_valid(const char *key)
{
	size_t length = strlen(key);

	for (size_t i = 0; i < length; i++)
		if (!g_ascii_isgraph(key[i]))
			return false;
	return length > 0 && length <= IDEMPOTENCY_KEY_MAX_BYTES;
}

static bool
read_idempotency_key(struct exchange *exchange)
{
	const char *key = mg_get_header(exchange->connection,
	    "Idempotency-Key");

	if (key != NULL && !idempotency_key_is_valid(key))
		return reject_malformed(exchange, 400, "malformed",
		    "Idempotency-Key must be 1 to 255 printable characters");
	exchange->idempotency_key = key;
	return true;
}

static bool
read_body(struct exchange *exchange)
{
	uint32_t status;

	exchange->body = request_read_body(exchange->connection,
	    exchange->frontend->settings->body_max_bytes, &exchange->body_bytes,
	    &status);
	if (exchange->body != NULL)
		return true;
	if (status == 413)
		return reject_malformed(exchange, 413, "too_large",
		    "the body is too large");
	return reject_malformed(exchange, 400, "malformed",
	    "the body broke off");
}

static bool
read_completion(struct exchange *exchange)
{
	uint32_t hint_tokens;
	const char *problem = chat_request_validate(exchange->body,
	    exchange->body_bytes, exchange->pool->request_max_tokens,
	    &hint_tokens);

	if (problem != NULL)
		return reject_malformed(exchange, 400, "malformed", problem);
	exchange->params.estimate_tokens = exchange->pool->estimate_tokens;
	if (hint_tokens > 0 && hint_tokens < exchange->pool->estimate_tokens)
		exchange->params.estimate_tokens = hint_tokens;
	return true;
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
fill_params(struct exchange *exchange)
{
	struct entry_request_params *params = &exchange->params;

	params->pool_id = exchange->pool->pool_id;
	params->account_id = exchange->route->account_id;
	params->waiting_max_count = exchange->route->waiting_max_count;
	params->prefix_hash = hash_bytes(exchange->body,
	    MIN(exchange->body_bytes, HASHED_PREFIX_BYTES));
	if (params->estimate_tokens == 0)
		params->estimate_tokens = 1;
	exchange->idempotent = is_idempotent(exchange);
}

bool
exchange_read_request(struct exchange *exchange)
{
	set_request_id(exchange);
	if (!set_target(exchange) || !find_route(exchange) ||
	    !read_idempotency_key(exchange) || !read_body(exchange))
		return false;
	if (exchange->pool->kind == POOL_MODEL && !read_completion(exchange))
		return false;
	fill_params(exchange);
	return true;
}
