/*
 * Stand-in for a model engine. Runs at most SLOTS requests at once and queues
 * others in order of arrival. Streams server-sent events that end with the
 * usage and resumes a stream after Last-Event-ID. Serves a delayed load report,
 * rejects new requests while leaving, and accepts orders to load a model or
 * change role.
 *
 *   POST /v1/chat/completions  {"messages": [...], "stream": true,
 *                               "max_tokens": N, "standin_tokens": N}
 *   GET /load                  running and waiting requests, delayed
 *   POST /orders?fence=N       load a model or change role
 *   POST /standin/set?leaving=&break_after=&break_count=&fenced=&freeze_ms=
 *   GET /standin/counts
 */
#include <glib.h>
#include <inttypes.h>
#include <stdatomic.h>
#include <string.h>

#include "standin.h"

#define SERVER_THREADS_COUNT "256"
#define US_PER_MS 1000u
#define TOKENS_DEFAULT 16
#define EVENT_BYTES 512
#define LOAD_SNAPSHOT_PERIOD_US 200000u

struct engine {
	GMutex mutex;
	GCond changed;
	uint32_t slots;
	uint64_t token_us;
	uint32_t running;
	uint32_t peak;
	uint64_t next_ticket; /* requests get slots in order of their tickets */
	uint64_t serving_ticket;
	uint64_t load_taken_at_us;
	uint32_t load_running, load_waiting;
	uint64_t fence; /* highest fence of the accepted orders */
	uint64_t orders; /* accepted orders */
	bool fenced; /* rejects orders with a lower fence */
	_Atomic uint32_t leaving;
	_Atomic int64_t break_after; /* token index, or -1 for never */
	_Atomic int64_t break_count; /* remaining breaks, -1 for no limit */
	_Atomic uint64_t frozen_until_us; /* sends no tokens before */
	_Atomic uint64_t started, finished, cancelled, refused, tokens;
};

static void
acquire_slot(struct engine *engine)
{
	uint64_t ticket;

	g_mutex_lock(&engine->mutex);
	ticket = engine->next_ticket++;
	while (ticket != engine->serving_ticket ||
	    engine->running >= engine->slots)
		g_cond_wait(&engine->changed, &engine->mutex);
	engine->serving_ticket++;
	engine->running++;
	engine->peak = MAX(engine->peak, engine->running);
	g_cond_broadcast(&engine->changed);
	g_mutex_unlock(&engine->mutex);
}

static void
release_slot(struct engine *engine)
{
	g_mutex_lock(&engine->mutex);
	engine->running--;
	g_cond_broadcast(&engine->changed);
	g_mutex_unlock(&engine->mutex);
}

static void
wait_for_next_token(struct engine *engine, uint64_t *next_token_us)
{
	uint64_t now_us;

	*next_token_us += engine->token_us;
	now_us = standin_now_us();
	if (*next_token_us > now_us)
		standin_sleep_us(*next_token_us - now_us);
	while (standin_now_us() < atomic_load(&engine->frozen_until_us))
		standin_sleep_us(US_PER_MS);
}

static bool
send_event(struct mg_connection *connection, const char *text)
{
	return mg_send_chunk(connection, text, (unsigned)strlen(text)) > 0;
}

static bool
should_break_stream(struct engine *engine)
{
	int64_t remaining_count = atomic_load(&engine->break_count);

	if (remaining_count > 0)
		atomic_store(&engine->break_count, remaining_count - 1);
	return remaining_count != 0;
}

/* Streams the tokens from index first. @return true if all were sent */
static bool
stream_tokens(struct engine *engine, struct mg_connection *connection,
    int64_t first, int64_t count)
{
	const char *id = mg_get_header(connection, "X-Request-Id");
	uint64_t next_token_us = standin_now_us();
	char event[EVENT_BYTES];

	for (int64_t i = first; i < count; i++) {
		wait_for_next_token(engine, &next_token_us);
		if (i == atomic_load(&engine->break_after) &&
		    should_break_stream(engine))
			return false;
		g_snprintf(event, sizeof(event),
		    "id: %" PRId64 "\ndata: "
		    "{\"choices\":[{\"delta\":{\"content\":\"t%" PRId64
		    " \"}}],\"id\":\"%.64s\"}\n\n",
		    i, i, id == NULL ? "" : id);
		if (!send_event(connection, event)) {
			atomic_fetch_add(&engine->cancelled, 1);
			return false;
		}
		atomic_fetch_add(&engine->tokens, 1);
	}
	g_snprintf(event, sizeof(event),
	    "data: {\"choices\":[],\"usage\":"
	    "{\"completion_tokens\":%" PRId64 "}}\n\ndata: [DONE]\n\n",
	    count);
	return send_event(connection, event) &&
	    mg_send_chunk(connection, "", 0) > 0;
}

static void
send_stream_response(struct engine *engine, struct mg_connection *connection,
    int64_t count)
{
	const char *last = mg_get_header(connection, "Last-Event-ID");
	int64_t first = last == NULL ? 0 : g_ascii_strtoll(last, NULL, 10) + 1;

	mg_response_header_start(connection, 200);
	mg_response_header_add(connection, "Content-Type", "text/event-stream",
	    -1);
	mg_response_header_add(connection, "Transfer-Encoding", "chunked", -1);
	mg_response_header_send(connection);
	if (stream_tokens(engine, connection, first, count))
		atomic_fetch_add(&engine->finished, 1);
	else
		mg_disable_connection_keep_alive(connection);
}

static void
send_complete_response(struct engine *engine, struct mg_connection *connection,
    int64_t count)
{
	const char *id = mg_get_header(connection, "X-Request-Id");
	GString *content = g_string_new(NULL);
	uint64_t next_token_us = standin_now_us();

	for (int64_t i = 0; i < count; i++) {
		wait_for_next_token(engine, &next_token_us);
		g_string_append_printf(content, "t%" PRId64 " ", i);
	}
	atomic_fetch_add(&engine->tokens, (uint64_t)count);
	atomic_fetch_add(&engine->finished, 1);
	standin_send_json(connection, 200, NULL,
	    json_pack("{s:[{s:{s:s}}], s:{s:I}, s:s}", "choices", "message",
		"content", content->str, "usage", "completion_tokens",
		(json_int_t)count, "id", id == NULL ? "" : id));
	g_string_free(content, TRUE);
}

static void
reject_while_leaving(struct engine *engine, struct mg_connection *connection)
{
	static const char text[] = "{\"error\":\"leaving\"}";

	atomic_fetch_add(&engine->refused, 1);
	mg_response_header_start(connection, 503);
	mg_response_header_add(connection, "Bamboorudder-Run", "not-run", -1);
	mg_response_header_add(connection, "Content-Length", "19", -1);
	mg_response_header_send(connection);
	mg_write(connection, text, strlen(text));
}

static void
handle_completion(struct engine *engine, struct mg_connection *connection)
{
	char *body = standin_read_body(connection);
	json_t *root = json_loads(body, 0, NULL);
	int64_t count = TOKENS_DEFAULT;
	const json_t *max_tokens = json_object_get(root, "max_tokens");
	const json_t *requested_tokens = json_object_get(root,
	    "standin_tokens");
	bool stream = json_is_true(json_object_get(root, "stream"));

	if (json_is_integer(requested_tokens))
		count = json_integer_value(requested_tokens);
	if (json_is_integer(max_tokens))
		count = MIN(count, json_integer_value(max_tokens));
	json_decref(root);
	free(body);
	if (atomic_load(&engine->leaving)) {
		reject_while_leaving(engine, connection);
		return;
	}
	acquire_slot(engine);
	atomic_fetch_add(&engine->started, 1);
	if (stream)
		send_stream_response(engine, connection, count);
	else
		send_complete_response(engine, connection, count);
	release_slot(engine);
}

/* Sends an older snapshot, as the load reports of real engines are delayed. */
static void
send_load(struct engine *engine, struct mg_connection *connection)
{
	uint32_t running, waiting;

	g_mutex_lock(&engine->mutex);
	running = engine->load_running;
	waiting = engine->load_waiting;
	if (standin_now_us() >
	    engine->load_taken_at_us + LOAD_SNAPSHOT_PERIOD_US) {
		engine->load_taken_at_us = standin_now_us();
		engine->load_running = engine->running;
		engine->load_waiting = (uint32_t)(engine->next_ticket -
		    engine->serving_ticket);
	}
	g_mutex_unlock(&engine->mutex);
	standin_send_json(connection, 200, NULL,
	    json_pack("{s:i, s:i, s:i, s:b}", "running", (int)running,
		"waiting", (int)waiting, "slots", (int)engine->slots, "leaving",
		(int)atomic_load(&engine->leaving)));
}

static void
handle_order(struct engine *engine, struct mg_connection *connection)
{
	uint64_t fence = (uint64_t)standin_query_number(connection, "fence", 0);
	bool refused;

	g_mutex_lock(&engine->mutex);
	refused = engine->fenced && fence < engine->fence;
	if (!refused) {
		engine->fence = MAX(engine->fence, fence);
		engine->orders++;
	}
	g_mutex_unlock(&engine->mutex);
	standin_send_json(connection, refused ? 409 : 200, NULL, json_object());
}

static void
handle_set(struct engine *engine, struct mg_connection *connection)
{
	int64_t freeze_ms = standin_query_number(connection, "freeze_ms", 0);

	atomic_store(&engine->leaving,
	    (uint32_t)standin_query_number(connection, "leaving",
		atomic_load(&engine->leaving)));
	atomic_store(&engine->break_after,
	    standin_query_number(connection, "break_after",
		atomic_load(&engine->break_after)));
	atomic_store(&engine->break_count,
	    standin_query_number(connection, "break_count",
		atomic_load(&engine->break_count)));
	if (freeze_ms > 0)
		atomic_store(&engine->frozen_until_us,
		    standin_now_us() + (uint64_t)freeze_ms * US_PER_MS);
	g_mutex_lock(&engine->mutex);
	engine->fenced = standin_query_number(connection, "fenced",
			     engine->fenced) != 0;
	g_mutex_unlock(&engine->mutex);
	standin_send_json(connection, 200, NULL, json_object());
}

static void
send_counts(struct engine *engine, struct mg_connection *connection)
{
	standin_send_json(connection, 200, NULL,
	    json_pack("{s:I, s:I, s:I, s:I, s:I, s:i, s:I, s:I}", "started",
		(json_int_t)atomic_load(&engine->started), "finished",
		(json_int_t)atomic_load(&engine->finished), "cancelled",
		(json_int_t)atomic_load(&engine->cancelled), "refused",
		(json_int_t)atomic_load(&engine->refused), "tokens",
		(json_int_t)atomic_load(&engine->tokens), "peak",
		(int)engine->peak, "orders", (json_int_t)engine->orders,
		"fence", (json_int_t)engine->fence));
}

static int
handle(struct mg_connection *connection, void *context)
{
	const char *path = mg_get_request_info(connection)->local_uri;
	struct engine *engine = context;

	if (strcmp(path, "/v1/chat/completions") == 0)
		handle_completion(engine, connection);
	else if (strcmp(path, "/load") == 0)
		send_load(engine, connection);
	else if (strcmp(path, "/orders") == 0)
		handle_order(engine, connection);
	else if (strcmp(path, "/standin/set") == 0)
		handle_set(engine, connection);
	else if (strcmp(path, "/standin/counts") == 0)
		send_counts(engine, connection);
	else
		standin_send_json(connection, 404, NULL, json_object());
	return 1;
}

int
main(int argc, char **argv)
{
	struct engine engine = { 0 };

	if (argc != 4) {
		fprintf(stderr, "usage: %s IP:PORT SLOTS TOKEN_US\n", argv[0]);
		return 2;
	}
	g_mutex_init(&engine.mutex);
	g_cond_init(&engine.changed);
	engine.slots = (uint32_t)g_ascii_strtoull(argv[2], NULL, 10);
	engine.token_us = g_ascii_strtoull(argv[3], NULL, 10);
	atomic_store(&engine.break_after, -1);
	atomic_store(&engine.break_count, -1);
	return standin_serve(argv[1], SERVER_THREADS_COUNT, handle, &engine);
}
