/*
 * Stand-in for a service that is not a model engine: counts how often each
 * booking ran, and serves stock reads.
 *
 *   POST /bookings   {"booking": "ID"}
 *   GET /stock
 *   POST /standin/set?delay_ms=&drop_before=&drop_after=&leaving=
 *   GET /standin/runs   how often each booking ran
 *
 * Each run is also logged to stderr as "run ID", because the counts are lost
 * when the process ends.
 */
#include <glib.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "standin.h"

#define SERVER_THREADS_COUNT "64"
#define US_PER_MS 1000u

struct service {
	GMutex mutex;
	json_t *runs;
	_Atomic int64_t delay_ms;
	_Atomic int64_t drop_before; /* connections to close before the run */
	_Atomic int64_t drop_after; /* connections to close after the run */
	_Atomic int64_t leaving;
};

static bool
decrement_if_positive(_Atomic int64_t *count)
{
	int64_t remaining_count = atomic_load(count);

	while (remaining_count > 0)
		if (atomic_compare_exchange_weak(count, &remaining_count,
			remaining_count - 1))
			return true;
	return false;
}

static json_int_t
record_run(struct service *service, const char *booking)
{
	json_int_t runs;

	g_mutex_lock(&service->mutex);
	runs = 1 + json_integer_value(json_object_get(service->runs, booking));
	json_object_set_new(service->runs, booking, json_integer(runs));
	fprintf(stderr, "run %s\n", booking);
	g_mutex_unlock(&service->mutex);
	return runs;
}

static void
handle_booking(struct service *service, struct mg_connection *connection)
{
	char *body = standin_read_body(connection);
	json_t *root = json_loads(body, 0, NULL);
	const char *booking = json_string_value(
	    json_object_get(root, "booking"));
	json_int_t runs;

	if (atomic_load(&service->leaving)) {
		mg_response_header_start(connection, 503);
		mg_response_header_add(connection, "Bamboorudder-Run",
		    "not-run", -1);
		mg_response_header_add(connection, "Content-Length", "0", -1);
		mg_response_header_send(connection);
	} else if (booking == NULL)
		standin_send_json(connection, 400, NULL, json_object());
	else if (decrement_if_positive(&service->drop_before))
		mg_disable_connection_keep_alive(connection);
	else {
		runs = record_run(service, booking);
		standin_sleep_us(
		    (uint64_t)atomic_load(&service->delay_ms) * US_PER_MS);
		if (decrement_if_positive(&service->drop_after))
			mg_disable_connection_keep_alive(connection);
		else
			standin_send_json(connection, 201, NULL,
			    json_pack("{s:s, s:I}", "booking", booking, "run",
				runs));
	}
	json_decref(root);
	free(body);
}

static void
handle_set(struct service *service, struct mg_connection *connection)
{
	atomic_store(&service->delay_ms,
	    standin_query_number(connection, "delay_ms",
		atomic_load(&service->delay_ms)));
	atomic_store(&service->drop_before,
	    standin_query_number(connection, "drop_before",
		atomic_load(&service->drop_before)));
	atomic_store(&service->drop_after,
	    standin_query_number(connection, "drop_after",
		atomic_load(&service->drop_after)));
	atomic_store(&service->leaving,
	    standin_query_number(connection, "leaving",
		atomic_load(&service->leaving)));
	standin_send_json(connection, 200, NULL, json_object());
}

static void
send_runs(struct service *service, struct mg_connection *connection)
{
	json_t *runs;

	g_mutex_lock(&service->mutex);
	runs = json_deep_copy(service->runs);
	g_mutex_unlock(&service->mutex);
	standin_send_json(connection, 200, NULL, runs);
}

static int
handle(struct mg_connection *connection, void *context)
{
	const char *path = mg_get_request_info(connection)->local_uri;
	struct service *service = context;

	if (strcmp(path, "/bookings") == 0)
		handle_booking(service, connection);
	else if (strcmp(path, "/stock") == 0)
		standin_send_json(connection, 200, NULL,
		    json_pack("{s:i}", "screens", 12));
	else if (strcmp(path, "/standin/set") == 0)
		handle_set(service, connection);
	else if (strcmp(path, "/standin/runs") == 0)
		send_runs(service, connection);
	else
		standin_send_json(connection, 404, NULL, json_object());
	return 1;
}

int
main(int argc, char **argv)
{
	struct service service = { 0 };

	if (argc != 2) {
		fprintf(stderr, "usage: %s IP:PORT\n", argv[0]);
		return 2;
	}
	g_mutex_init(&service.mutex);
	service.runs = json_object();
	return standin_serve(argv[1], SERVER_THREADS_COUNT, handle, &service);
}
