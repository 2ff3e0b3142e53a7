/*
 * Stand-in for the platform: versioned objects with conditional writes and
 * watches, a rate limit, a delayed list of instances, and injected faults.
 *
 *   GET|PUT|DELETE /objects/NAME     If-Match, If-None-Match: *
 *   GET /objects?prefix=P            names and versions
 *   GET /watch/NAME?after=V&wait_ms=T  200 with a newer version, 204 on timeout
 *   GET|PUT /instances               a PUT is visible after instance_lag_ms
 *   POST /standin/faults?outage_ms=&slow_ms=&slow_for_ms=&lose_writes=&rate=
 *                        &instance_lag_ms=
 *                                  a missing parameter is reset to 0
 *   GET /standin/counts              requests since the start
 */
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "standin.h"

#define SERVER_THREADS_COUNT "200"
#define ETAG_BYTES 32
#define US_PER_MS 1000u
#define RATE_WINDOW_US 1000000u

struct object {
	char *text;
	uint64_t version;
};

struct platform {
	GMutex mutex;
	GCond changed;
	GHashTable *objects;
	uint64_t last_version;
	char *instances;
	char *pending_instances;
	uint64_t pending_visible_at_us;
	uint64_t instance_lag_us;
	uint64_t outage_until_us;
	uint64_t slow_until_us;
	uint64_t slow_us;
	uint32_t responses_to_lose_count;
	uint64_t rate_per_s; /* 0 for no limit */
	uint64_t window_start_us;
	uint64_t window_requests_count;
	uint64_t reads, writes, watches, refused;
};

static void
object_free(gpointer pointer)
{
	struct object *object = pointer;

	g_free(object->text);
	g_free(object);
}

static void
send_status(struct mg_connection *connection, uint32_t status)
{
	standin_send_json(connection, status, NULL, json_object());
}

static void
send_object(struct mg_connection *connection, uint32_t status, const char *text,
    uint64_t version)
{
	char etag[ETAG_BYTES];

	g_snprintf(etag, sizeof(etag), "\"%" PRIu64 "\"", version);
	standin_send_text(connection, status, etag, text);
}

/* Called with the mutex held. */
static bool
exceeds_rate_limit(struct platform *platform)
{
	uint64_t now_us = standin_now_us();

	if (now_us - platform->window_start_us >= RATE_WINDOW_US) {
		platform->window_start_us = now_us;
		platform->window_requests_count = 0;
	}
	platform->window_requests_count++;
	return platform->rate_per_s != 0 &&
	    platform->window_requests_count > platform->rate_per_s;
}

static void
get_object(struct platform *platform, struct mg_connection *connection,
    const char *name)
{
	struct object *object;
	uint64_t version = 0;
	char *text = NULL;

	g_mutex_lock(&platform->mutex);
	platform->reads++;
	object = g_hash_table_lookup(platform->objects, name);
	if (object != NULL) {
		text = g_strdup(object->text);
		version = object->version;
	}
	g_mutex_unlock(&platform->mutex);
	if (text == NULL)
		send_status(connection, 404);
	else
		send_object(connection, 200, text, version);
	g_free(text);
}

static bool
preconditions_hold(struct mg_connection *connection,
    const struct object *object)
{
	const char *if_match = mg_get_header(connection, "If-Match");
	const char *none_match = mg_get_header(connection, "If-None-Match");

	if (none_match != NULL && object != NULL)
		return false;
	if (if_match == NULL)
		return true;
	return object != NULL &&
	    g_ascii_strtoull(if_match + (if_match[0] == '"'), NULL, 10) ==
	    object->version;
}

/* Called with the mutex held. */
static uint64_t
store_object(struct platform *platform, const char *name, const char *text)
{
	struct object *object = g_new0(struct object, 1);

	object->text = g_strdup(text);
	object->version = ++platform->last_version;
	g_hash_table_replace(platform->objects, g_strdup(name), object);
	g_cond_broadcast(&platform->changed);
	return object->version;
}

static void
write_object(struct platform *platform, struct mg_connection *connection,
    const char *name, bool remove)
{
	char *text = standin_read_body(connection);
	struct object *object;
	uint64_t version = 0;
	bool holds, response_lost = false;

	g_mutex_lock(&platform->mutex);
	platform->writes++;
	object = g_hash_table_lookup(platform->objects, name);
	holds = preconditions_hold(connection, object);
	if (holds && remove)
		g_hash_table_remove(platform->objects, name);
	else if (holds)
		version = store_object(platform, name, text);
	if (holds && platform->responses_to_lose_count > 0) {
		platform->responses_to_lose_count--;
		response_lost = true;
	}
	g_mutex_unlock(&platform->mutex);
	if (response_lost)
		mg_disable_connection_keep_alive(connection);
	else if (!holds)
		send_status(connection, 412);
	else
		send_object(connection, 200, remove ? "{}" : text, version);
	free(text);
}

static void
watch_object(struct platform *platform, struct mg_connection *connection,
    const char *name)
{
	uint64_t after = (uint64_t)standin_query_number(connection, "after", 0);
	gint64 deadline_us = g_get_monotonic_time() +
	    standin_query_number(connection, "wait_ms", 1000) *
		(gint64)US_PER_MS;
	struct object *object;
	uint64_t version = 0;
	char *text = NULL;

	g_mutex_lock(&platform->mutex);
	platform->watches++;
	for (;;) {
		object = g_hash_table_lookup(platform->objects, name);
		if (object != NULL && object->version > after)
			break;
		if (!g_cond_wait_until(&platform->changed, &platform->mutex,
			deadline_us))
			break;
	}
	object = g_hash_table_lookup(platform->objects, name);
	if (object != NULL && object->version > after) {
		text = g_strdup(object->text);
		version = object->version;
	}
	g_mutex_unlock(&platform->mutex);
	if (text == NULL) {
		mg_response_header_start(connection, 204);
		mg_response_header_send(connection);
	} else
		send_object(connection, 200, text, version);
	g_free(text);
}

static void
list_objects(struct platform *platform, struct mg_connection *connection)
{
	const char *query = mg_get_request_info(connection)->query_string;
	json_t *items = json_array();
	char prefix[256] = "";
	GHashTableIter iter;
	gpointer name, value;

	if (query != NULL)
		mg_get_var(query, strlen(query), "prefix", prefix,
		    sizeof(prefix));
	g_mutex_lock(&platform->mutex);
	platform->reads++;
	g_hash_table_iter_init(&iter, platform->objects);
	while (g_hash_table_iter_next(&iter, &name, &value))
		if (g_str_has_prefix(name, prefix))
			json_array_append_new(items,
			    json_pack("{s:s, s:I}", "name", name, "version",
				(json_int_t)((struct object *)value)->version));
	g_mutex_unlock(&platform->mutex);
	standin_send_json(connection, 200, NULL,
	    json_pack("{s:o}", "items", items));
}

static void
handle_instances(struct platform *platform, struct mg_connection *connection,
    bool put)
{
	char *body = put ? standin_read_body(connection) : NULL;
	char *text;

	g_mutex_lock(&platform->mutex);
	if (put) {
		g_free(platform->pending_instances);
		platform->pending_instances = g_strdup(body);
		platform->pending_visible_at_us = standin_now_us() +
		    platform->instance_lag_us;
	}
	if (platform->pending_instances != NULL &&
	    standin_now_us() >= platform->pending_visible_at_us) {
		g_free(platform->instances);
		platform->instances = platform->pending_instances;
		platform->pending_instances = NULL;
	}
	platform->reads += put ? 0 : 1;
	text = g_strdup(platform->instances);
	g_mutex_unlock(&platform->mutex);
	standin_send_text(connection, 200, NULL, text);
	g_free(text);
	free(body);
}

static void
set_faults(struct platform *platform, struct mg_connection *connection)
{
	uint64_t now_us = standin_now_us();

	g_mutex_lock(&platform->mutex);
	platform->outage_until_us = now_us +
	    US_PER_MS *
		(uint64_t)standin_query_number(connection, "outage_ms", 0);
	platform->slow_us = US_PER_MS *
	    (uint64_t)standin_query_number(connection, "slow_ms", 0);
	platform->slow_until_us = now_us +
	    US_PER_MS *
		(uint64_t)standin_query_number(connection, "slow_for_ms", 0);
	platform->responses_to_lose_count = (uint32_t)
	    standin_query_number(connection, "lose_writes", 0);
	platform->rate_per_s = (uint64_t)standin_query_number(connection,
	    "rate", 0);
	platform->instance_lag_us = US_PER_MS *
	    (uint64_t)standin_query_number(connection, "instance_lag_ms", 0);
	g_mutex_unlock(&platform->mutex);
	send_status(connection, 200);
}

static void
send_counts(struct platform *platform, struct mg_connection *connection)
{
	json_t *counts;

	g_mutex_lock(&platform->mutex);
	counts = json_pack("{s:I, s:I, s:I, s:I}", "reads",
	    (json_int_t)platform->reads, "writes", (json_int_t)platform->writes,
	    "watches", (json_int_t)platform->watches, "refused",
	    (json_int_t)platform->refused);
	g_mutex_unlock(&platform->mutex);
	standin_send_json(connection, 200, NULL, counts);
}

/* Sleeps while calls are slowed down. @return an error status, or 0 */
static uint32_t
apply_faults(struct platform *platform)
{
	uint64_t now_us = standin_now_us(), slow_us = 0;
	uint32_t status = 0;

	g_mutex_lock(&platform->mutex);
	if (now_us < platform->outage_until_us)
		status = 503;
	else if (exceeds_rate_limit(platform))
		status = 429;
	if (now_us < platform->slow_until_us)
		slow_us = platform->slow_us;
	platform->refused += status != 0;
	g_mutex_unlock(&platform->mutex);
	if (slow_us > 0)
		standin_sleep_us(slow_us);
	return status;
}

static void
handle_api(struct platform *platform, struct mg_connection *connection,
    const char *path, const char *method)
{
	if (g_str_has_prefix(path, "/objects/") && strcmp(method, "GET") == 0)
		get_object(platform, connection, path + strlen("/objects/"));
	else if (g_str_has_prefix(path, "/objects/") &&
	    (strcmp(method, "PUT") == 0 || strcmp(method, "DELETE") == 0))
		write_object(platform, connection, path + strlen("/objects/"),
		    method[0] == 'D');
	else if (strcmp(path, "/objects") == 0)
		list_objects(platform, connection);
	else if (g_str_has_prefix(path, "/watch/"))
		watch_object(platform, connection, path + strlen("/watch/"));
	else if (strcmp(path, "/instances") == 0)
		handle_instances(platform, connection,
		    strcmp(method, "PUT") == 0);
	else
		send_status(connection, 404);
}

static int
handle(struct mg_connection *connection, void *context)
{
	const struct mg_request_info *info = mg_get_request_info(connection);
	struct platform *platform = context;
	uint32_t status;

	if (strcmp(info->local_uri, "/standin/faults") == 0)
		set_faults(platform, connection);
	else if (strcmp(info->local_uri, "/standin/counts") == 0)
		send_counts(platform, connection);
	else if ((status = apply_faults(platform)) != 0)
		send_status(connection, status);
	else
		handle_api(platform, connection, info->local_uri,
		    info->request_method);
	return 1;
}

int
main(int argc, char **argv)
{
	struct platform platform = { 0 };

	if (argc != 2) {
		fprintf(stderr, "usage: %s IP:PORT\n", argv[0]);
		return 2;
	}
	g_mutex_init(&platform.mutex);
	g_cond_init(&platform.changed);
	platform.instances = g_strdup("{\"instances\": []}");
	platform.objects = g_hash_table_new_full(g_str_hash, g_str_equal,
	    g_free, object_free);
	return standin_serve(argv[1], SERVER_THREADS_COUNT, handle, &platform);
}
