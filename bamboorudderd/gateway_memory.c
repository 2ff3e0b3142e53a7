#include <sys/socket.h>

#include "bamboorudderd/gateway_private.h"
#include "common/log.h"
#include "common/metric.h"

#define BYTES_PER_MB (1024u * 1024u)
/* Callers have this part of the instance's memory if the settings don't say. */
#define MEMORY_DEFAULT_PERCENT 35u
#define MEMORY_MIN_MB 16u
/* From this part of the connections on, one gives way to each new one: the server
 * accepts none beyond its limit. */
#define CONNECTIONS_FULL_PERCENT 90u
/* Descriptors that connections don't use, and the part of the others that is
 * for callers and the transfers of their requests, two each. */
#define FILES_RESERVED_COUNT 200u
#define FILES_CALLERS_PERCENT 75u
#define FILES_PER_CALLER 2u
#define CONNECTIONS_MIN_COUNT 16u
/* What a connection counts while its caller waits for the daemon. While the daemon
 * waits for the caller, all of the server's memory for it counts: its head or
 * trailer may be long and unfinished, also if the request is refused already. */
#define SERVED_BYTES (16u * 1024u)
#define HANDOFF_BYTES (4u * 1024u)
/* Unsent bytes of a response up to which its caller does not count as slow. */
#define UNSENT_USUAL_BYTES (16u * 1024u)
/* The server frees the memory of a closed connection a little later. While so many
 * are being closed, new ones are closed at once. */
#define CLOSING_MAX_COUNT 64u
/* Bytes that the kernel keeps of a caller, each way. */
#define SOCKET_BUFFER_BYTES (64 * 1024)
#define TEXT_BYTES 24

uint32_t
gw_connections_max_count(const struct settings *settings)
{
	uint32_t files_count = settings->files_max_count;
	uint64_t by_files;

	if (files_count == 0)
		return settings->connections_max_count;
	by_files = (uint64_t)(files_count -
		       MIN(files_count, FILES_RESERVED_COUNT)) *
	    FILES_CALLERS_PERCENT / 100 / FILES_PER_CALLER;
	return (uint32_t)CLAMP(by_files, CONNECTIONS_MIN_COUNT,
	    settings->connections_max_count);
}

static uint64_t
memory_max_bytes(const struct settings *settings)
{
	uint64_t max_mb = settings->callers_memory_mb;

	if (max_mb == 0)
		max_mb = MAX((uint64_t)settings->memory_mb *
			MEMORY_DEFAULT_PERCENT / 100,
		    MEMORY_MIN_MB);
	return max_mb * BYTES_PER_MB;
}

void
gw_memory_init(struct gateway *gateway)
{
	caller_memory_init(&gateway->caller_memory,
	    memory_max_bytes(gateway->settings),
	    gw_connections_max_count(gateway->settings) *
		CONNECTIONS_FULL_PERCENT / 100);
}

void
gw_memory_finish(struct gateway *gateway)
{
	caller_memory_finish(&gateway->caller_memory);
}

void
gw_caller_set_waiting(struct gateway *gateway, struct gw_caller *caller,
    bool waiting)
{
	uint64_t bytes = waiting ? GW_CONNECTION_MEMORY_BYTES : SERVED_BYTES;

	if (waiting)
		caller_memory_wait(&caller->holder, gw_now_ms(gateway));
	else
		caller_memory_serve(&caller->holder);
	caller_memory_set(&gateway->caller_memory, &caller->holder,
	    CALLER_MEMORY_CONNECTION,
	    caller->handoff != NULL ? HANDOFF_BYTES : bytes);
}

static void
limit_socket_buffers(int fd)
{
	int bytes = SOCKET_BUFFER_BYTES;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
}

static void
log_eviction(const struct gateway *gateway, const struct gw_caller *caller,
    uint64_t now_ms)
{
	const struct caller_holder *holder = &caller->holder;
	const struct gw_request *request = caller->request;
	char body[TEXT_BYTES], response[TEXT_BYTES], waited[TEXT_BYTES];
	char used[TEXT_BYTES];

	g_snprintf(body, TEXT_BYTES, "%" G_GUINT64_FORMAT,
	    holder->bytes[CALLER_MEMORY_BODY]);
	g_snprintf(response, TEXT_BYTES, "%" G_GUINT64_FORMAT,
	    holder->bytes[CALLER_MEMORY_RESPONSE]);
	g_snprintf(waited, TEXT_BYTES, "%" G_GUINT64_FORMAT,
	    now_ms - holder->waiting_since_ms);
	g_snprintf(used, TEXT_BYTES, "%" G_GUINT64_FORMAT,
	    caller_memory_used_bytes(&gateway->caller_memory) / BYTES_PER_MB);
	log_event(LOG_LEVEL_WARN, "caller_evicted", "id",
	    request == NULL || request->head.request_id[0] == '\0'
		? "-"
		: request->head.request_id,
	    "body_bytes", body, "response_bytes", response, "waited_ms", waited,
	    "callers_mb", used, NULL);
}

/* A connection whose caller has sent what this daemon has not read yet waits for the
 * daemon. */
static bool
has_unread_bytes(const struct gw_caller *caller)
{
	return caller->request == NULL && caller->handoff == NULL &&
	    gw_has_unread(caller->fd);
}

/* Closes a connection. The server frees its memory when it sees the end. A request
 * that it still reads before is not run. */
static void
close_connection(struct gateway *gateway, struct gw_caller *caller)
{
	if (has_unread_bytes(caller))
		gw_refuse_unread(gateway, caller->fd);
	caller->evicted = true;
	gateway->closing_count++;
	caller_memory_leave(&gateway->caller_memory, &caller->holder);
	shutdown(caller->fd, SHUT_RDWR);
	gateway->server_due = true;
}

/* Refuses a request that is being received, which frees its body, and closes any
 * other connection. */
static void
evict(struct gateway *gateway, struct gw_caller *caller, uint64_t now_ms)
{
	struct gw_request *request = caller->request;

	metric_add(METRIC_CALLERS_EVICTED, 1);
	log_eviction(gateway, caller, now_ms);
	if (caller->handoff != NULL) {
		gw_handoff_abort(caller->handoff);
		return;
	}
	if (request == NULL || request->state != GW_STATE_RECEIVING ||
	    request->body->len == 0) {
		close_connection(gateway, caller);
		return;
	}
	request->close_connection = true;
	gw_request_respond_error(request, 503, "callers_memory_full",
	    GW_RETRY_AFTER_MS);
}

bool
gw_memory_make_room(struct gateway *gateway)
{
	uint64_t now_ms = gw_now_ms(gateway);
	struct caller_holder *holder;

	while ((holder = caller_memory_victim(&gateway->caller_memory,
		    now_ms)) != NULL) {
		/* the holder is the first member of its connection */
		struct gw_caller *caller = (struct gw_caller *)holder;

		if (holder->waiting_since_ms < now_ms &&
		    has_unread_bytes(caller))
			holder->waiting_since_ms = now_ms;
		else
			evict(gateway, caller, now_ms);
	}
	return !caller_memory_is_over(&gateway->caller_memory);
}

bool
gw_memory_is_crowded(const struct gateway *gateway)
{
	return caller_memory_is_over(&gateway->caller_memory) &&
	    gateway->closing_count >= CLOSING_MAX_COUNT;
}

struct gw_caller *
gw_caller_new(struct gateway *gateway, int fd)
{
	struct gw_caller *caller = g_new0(struct gw_caller, 1);

	caller->fd = fd;
	caller->from_node_id = gateway->accepting_from;
	gw_caller_apply_stop(gateway, caller);
	limit_socket_buffers(fd);
	caller_memory_join(&gateway->caller_memory, &caller->holder,
	    gw_now_ms(gateway));
	caller->unread = true;
	gateway->unread_count++;
	gw_caller_set_waiting(gateway, caller, true);
	if (gw_memory_is_crowded(gateway))
		evict(gateway, caller, gw_now_ms(gateway));
	gw_memory_make_room(gateway);
	return caller;
}

struct gw_caller *
gw_caller_new_passed(struct gateway *gateway, int fd,
    struct gw_handoff *handoff)
{
	struct gw_caller *caller = g_new0(struct gw_caller, 1);

	caller->fd = fd;
	caller->handoff = handoff;
	caller_memory_join(&gateway->caller_memory, &caller->holder,
	    gw_now_ms(gateway));
	gw_caller_set_waiting(gateway, caller, false);
	return caller;
}

static void
set_read(struct gateway *gateway, struct gw_caller *caller)
{
	gateway->unread_count -= caller->unread;
	caller->unread = false;
}

void
gw_caller_free(struct gateway *gateway, struct gw_caller *caller)
{
	set_read(gateway, caller);
	if (caller->evicted)
		gateway->closing_count--;
	else
		caller_memory_leave(&gateway->caller_memory, &caller->holder);
	g_free(caller);
}

void
gw_caller_begin(struct gw_caller *caller, struct gw_request *request)
{
	request->caller = caller;
	caller->request = request;
	set_read(request->gateway, caller);
	/* the time since the last request was the caller's own */
	caller_memory_serve(&caller->holder);
	gw_caller_set_waiting(request->gateway, caller, true);
}

void
gw_caller_end(struct gw_request *request)
{
	struct gw_caller *caller = request->caller;

	request->caller = NULL;
	if (caller == NULL)
		return;
	caller->request = NULL;
	if (caller->evicted)
		return;
	caller_memory_set(&request->gateway->caller_memory, &caller->holder,
	    CALLER_MEMORY_BODY, 0);
	caller_memory_set(&request->gateway->caller_memory, &caller->holder,
	    CALLER_MEMORY_RESPONSE, 0);
	caller_memory_serve(&caller->holder);
	gw_caller_set_waiting(request->gateway, caller, true);
}

void
gw_memory_update(const struct gw_request *request)
{
	struct caller_memory *memory = &request->gateway->caller_memory;
	uint64_t unsent_bytes = request->response_bytes->len -
	    request->response_offset;
	struct caller_holder *holder;

	if (request->caller == NULL || request->caller->evicted)
		return;
	holder = &request->caller->holder;
	caller_memory_set(memory, holder, CALLER_MEMORY_BODY,
	    request->body->len);
	caller_memory_set(memory, holder, CALLER_MEMORY_RESPONSE,
	    request->endpoint_body->len + request->response_bytes->len);
	gw_caller_set_waiting(request->gateway, request->caller,
	    !request->received || unsent_bytes > UNSENT_USUAL_BYTES);
}

void
gw_memory_report(const struct gateway *gateway)
{
	metric_set(METRIC_CALLERS_BYTES,
	    caller_memory_used_bytes(&gateway->caller_memory));
}
