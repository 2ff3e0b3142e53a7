#include "bamboorudderd/frontend.h"

#include <string.h>

#include "bamboorudderd/attempt.h"
#include "bamboorudderd/exchange.h"
#include "bamboorudderd/idempotency.h"
#include "bamboorudderd/response.h"
#include "common/metric.h"

#define NUMBER_TEXT_BYTES 16

GQuark
frontend_error_quark(void)
{
	return g_quark_from_static_string("front-error");
}

static int
handle_request(struct mg_connection *connection)
{
	struct frontend *frontend = mg_get_user_data(
	    mg_get_context(connection));
	struct exchange exchange;

	metric_add(METRIC_REQUESTS, 1);
	exchange_init(&exchange, frontend, connection);
	if (exchange_read_request(&exchange)) {
		if (exchange.idempotent || exchange.idempotency_key == NULL)
			attempts_run_without_claim(&exchange);
		else
			idempotency_run(&exchange);
	}
	exchange_finish(&exchange);
	return 1;
}

static int
on_connection(const struct mg_connection *connection, void **data)
{
	struct frontend *frontend = mg_get_user_data(
	    mg_get_context(connection));

	atomic_fetch_add(&frontend->connection_count, 1);
	/* Only connections accepted before draining have user data. */
	*data = atomic_load(&frontend->draining) ? NULL : frontend;
	if (*data != NULL)
		atomic_fetch_add(&frontend->pre_drain_connection_count, 1);
	return 0;
}

static void
on_connection_close(const struct mg_connection *connection)
{
	struct frontend *frontend = mg_get_user_data(
	    mg_get_context(connection));

	atomic_fetch_sub(&frontend->connection_count, 1);
	if (mg_get_user_connection_data(connection) != NULL)
		atomic_fetch_sub(&frontend->pre_drain_connection_count, 1);
}

/* Responds to a request that the server rejects without calling a handler. */
static int
handle_error(struct mg_connection *connection, int status, const char *text)
{
	struct error_response error = { (uint32_t)status, "malformed",
		text == NULL || text[0] == '\0' ? "the request is malformed"
						: text,
		RUN_NOT_RUN, 0, NULL };

	metric_add(METRIC_REQUESTS_MALFORMED, 1);
	response_send_error(connection, &error);
	return 0;
}

static struct mg_context *
start_server(struct frontend *frontend)
{
	const struct settings *settings = frontend->settings;
	char threads[NUMBER_TEXT_BYTES], timeout[NUMBER_TEXT_BYTES];
	char keep_alive[NUMBER_TEXT_BYTES];
	const char *options[] = { "listening_ports", settings->listen_address,
		"num_threads", threads, "enable_keep_alive", "yes",
		"request_timeout_ms", timeout, "keep_alive_timeout_ms",
		keep_alive, "tcp_nodelay", "1", "decode_url", "no", NULL };
	struct mg_callbacks callbacks = { .begin_request = handle_request,
		.http_error = handle_error,
		.init_connection = on_connection,
		.connection_close = on_connection_close };

	g_snprintf(threads, sizeof(threads), "%u",
	    settings->worker_threads_count);
	g_snprintf(keep_alive, sizeof(keep_alive), "%u",
	    FRONTEND_KEEP_ALIVE_MS);
	g_snprintf(timeout, sizeof(timeout), "%u",
	    settings->request_timeout_ms);
	return mg_start(&callbacks, frontend, options);
}

gboolean
frontend_init(struct frontend *frontend, const struct settings *settings,
    struct control *control, struct tablestore *store,
    struct platform *platform, GError **error)
{
	memset(frontend, 0, sizeof(*frontend));
	frontend->settings = settings;
	frontend->control = control;
	frontend->store = store;
	frontend->timeouts.connect_timeout_ms = settings->connect_timeout_ms;
	frontend->timeouts.idle_timeout_ms = settings->idle_timeout_ms;
	frontend->timeouts.request_timeout_ms = settings->request_timeout_ms;
	pthread_mutex_init(&frontend->retry_mutex, NULL);
	retry_init(&frontend->retry);
	claimstore_init(&frontend->claims, settings, platform);
	/* Requests are handled from here on. */
	frontend->server = start_server(frontend);
	if (frontend->server != NULL)
		return TRUE;
	g_set_error(error, FRONTEND_ERROR, 0, "cannot listen on %s",
	    settings->listen_address);
	return FALSE;
}

void
frontend_finish(struct frontend *frontend)
{
	if (frontend->server == NULL)
		return;
	mg_stop(frontend->server);
	frontend->server = NULL;
	claimstore_finish(&frontend->claims);
	retry_finish(&frontend->retry);
	pthread_mutex_destroy(&frontend->retry_mutex);
}
