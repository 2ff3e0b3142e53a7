#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "bamboorudderd/front.h"
#include "bamboorudderd/gateway_private.h"
#include "common/log.h"
#include "common/metric.h"

/* Room for the largest head that a configuration allows by default. */
#define CONNECTION_MEMORY_BYTES (20u * 1024u)
#define STREAM_BLOCK_BYTES 8192u
#define BACKLOG_COUNT 512u
#define PROBE_CONNECTIONS_COUNT 32u
#define IDLE_TIMEOUT_S 60u
/* Callers use no connection that was idle for over 0.8 of the limit. */
#define IDLE_PERCENT 90u
/* Beyond this part of the connections allowed, answers close theirs. */
#define CROWDED_PERCENT 25u
#define MS_PER_S 1000u

void
gw_resume(struct gw_request *request)
{
	request->gateway->resumed = true;
	if (!request->suspended)
		return;
	request->suspended = false;
	MHD_resume_connection(request->connection);
}

static void
suspend(struct gw_request *request)
{
	request->suspended = true;
	MHD_suspend_connection(request->connection);
}

static int
connection_fd(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(connection,
		MHD_CONNECTION_INFO_CONNECTION_FD);

	return info == NULL ? -1 : info->connect_fd;
}

/* A suspended connection is not read: only its hang-up is watched. */
void
gw_watch_caller(struct gw_request *request)
{
	if (request->watched)
		return;
	request->watch.kind = GW_WATCH_CALLER;
	request->watch.fd = connection_fd(request->connection);
	request->watch.request = request;
	gw_watch_add(request->gateway, &request->watch,
	    EPOLLRDHUP | EPOLLONESHOT);
	request->watched = true;
}

static void *
on_target(void *context, const char *target, struct MHD_Connection *connection)
{
	struct gw_request *request = gw_request_new(context, target);

	request->connection = connection;
	return request;
}

static enum MHD_Result
take_header(void *context, enum MHD_ValueKind kind, const char *name,
    const char *value)
{
	struct gw_request *request = context;

	(void)kind;
	wire_parse_request_header(&request->head, name,
	    value == NULL ? "" : value);
	return MHD_YES;
}

struct framing {
	uint32_t lengths_count;
	uint32_t encodings_count;
	uint32_t hosts_count;
	bool bad;
};

static enum MHD_Result
take_framing(void *context, enum MHD_ValueKind kind, const char *name,
    const char *value)
{
	struct framing *framing = context;

	(void)kind;
	if (g_ascii_strcasecmp(name, "Content-Length") == 0) {
		framing->lengths_count++;
		framing->bad |= value == NULL || value[0] == '\0' ||
		    strspn(value, "0123456789") != strlen(value);
	} else if (g_ascii_strcasecmp(name, "Transfer-Encoding") == 0) {
		framing->encodings_count++;
		framing->bad |= value == NULL ||
		    g_ascii_strcasecmp(value, "chunked") != 0;
	} else if (g_ascii_strcasecmp(name, "Host") == 0)
		framing->hosts_count++;
	else if (strpbrk(name, " \t") != NULL)
		framing->bad = true;
	return MHD_YES;
}

/* A body whose end can be read in two ways could hide a second request. */
static bool
framing_is_plain(struct MHD_Connection *connection)
{
	struct framing framing = { 0 };

	MHD_get_connection_values(connection, MHD_HEADER_KIND, take_framing,
	    &framing);
	return !framing.bad && framing.hosts_count <= 1 &&
	    framing.lengths_count + framing.encodings_count <= 1;
}

static uint64_t
announced_bytes(struct MHD_Connection *connection)
{
	const char *text = MHD_lookup_connection_value(connection,
	    MHD_HEADER_KIND, "Content-Length");

	return text == NULL ? 0 : g_ascii_strtoull(text, NULL, 10);
}

static ssize_t
read_answer(void *context, uint64_t position, char *buffer, size_t max_bytes)
{
	struct gw_request *request = context;
	size_t left = request->out->len - request->out_at;
	size_t length = MIN(left, max_bytes);

	(void)position;
	if (request->gone)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (length > 0) {
		memcpy(buffer, request->out->data + request->out_at, length);
		request->out_at += length;
		if (request->out_at == request->out->len) {
			g_byte_array_set_size(request->out, 0);
			request->out_at = 0;
		}
		return (ssize_t)length;
	}
	if (request->out_broken)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (request->out_ended)
		return MHD_CONTENT_READER_END_OF_STREAM;
	/* the server asks again when it is run next */
	return 0;
}

static struct MHD_Response *
make_response(struct gw_request *request)
{
	if (request->streaming)
		return MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
		    STREAM_BLOCK_BYTES, read_answer, request, NULL);
	return MHD_create_response_from_buffer(request->out->len,
	    request->out->data, MHD_RESPMEM_MUST_COPY);
}

static bool
must_close(const struct gw_request *request)
{
	const struct gateway *gateway = request->gateway;

	return gateway->draining || request->close_after ||
	    gateway->connections_count * 100 >
	    gateway->settings->connections_max_count * CROWDED_PERCENT;
}

static enum MHD_Result
queue_answer(struct gw_request *request)
{
	struct MHD_Response *response = make_response(request);
	enum MHD_Result result;

	gw_request_was_read(request);
	for (guint i = 0; i < request->answer_headers->len; i++) {
		const struct gw_header *header =
		    &g_array_index(request->answer_headers, struct gw_header,
			i);
		MHD_add_response_header(response, header->name, header->value);
	}
	if (must_close(request))
		MHD_add_response_header(response, "Connection", "close");
	result = MHD_queue_response(request->connection, request->status,
	    response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result
begin(struct gw_request *request, const char *method)
{
	request->method = g_strdup(method);
	MHD_get_connection_values(request->connection, MHD_HEADER_KIND,
	    take_header, request);
	if (!framing_is_plain(request->connection)) {
		request->begun = true;
		request->close_after = true;
		metric_add(METRIC_REQUESTS_MALFORMED, 1);
		gw_request_refuse(request, 400, "malformed", 0);
		return queue_answer(request);
	}
	if (gw_request_begin(request) &&
	    announced_bytes(request->connection) >
		request->configuration->limits.body_max_bytes) {
		request->close_after = true;
		gw_request_refuse(request, 413, "body_too_large", 0);
		return queue_answer(request);
	}
	return MHD_YES;
}

static enum MHD_Result
take_body(struct gw_request *request, const char *bytes, size_t *length)
{
	uint32_t max_bytes = request->configuration == NULL
	    ? request->gateway->settings->body_max_bytes
	    : request->configuration->limits.body_max_bytes;

	/* the body of a refused request is read and dropped */
	if (request->state == GW_READING) {
		if (request->body->len + *length > max_bytes) {
			request->close_after = true;
			gw_request_refuse(request, 413, "body_too_large", 0);
		} else
			g_byte_array_append(request->body,
			    (const guint8 *)bytes, (guint)*length);
	}
	*length = 0;
	return MHD_YES;
}

static enum MHD_Result
on_request(void *context, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *upload,
    size_t *upload_bytes, void **state)
{
	struct gw_request *request = *state;

	(void)context;
	(void)connection;
	(void)url;
	(void)version;
	if (!request->begun)
		return begin(request, method);
	if (*upload_bytes > 0)
		return take_body(request, upload, upload_bytes);
	if (request->state == GW_READING) {
		suspend(request);
		gw_request_submit(request);
		return MHD_YES;
	}
	if (request->gone)
		return MHD_NO;
	return queue_answer(request);
}

static void
on_completed(void *context, struct MHD_Connection *connection, void **state,
    enum MHD_RequestTerminationCode code)
{
	struct gw_request *request = *state;

	(void)context;
	(void)connection;
	(void)code;
	if (request == NULL)
		return;
	*state = NULL;
	gw_request_gone(request);
	if (request->watched)
		epoll_ctl(request->gateway->epoll_fd, EPOLL_CTL_DEL,
		    request->watch.fd, NULL);
	request->watched = false;
	request->finished = true;
	gw_request_release(request);
}

static void
on_connection(void *context, struct MHD_Connection *connection,
    void **socket_context, enum MHD_ConnectionNotificationCode code)
{
	struct gateway *gateway = context;
	unsigned int idle_s = IDLE_TIMEOUT_S;

	(void)socket_context;
	if (code != MHD_CONNECTION_NOTIFY_STARTED) {
		gateway->connections_count--;
		return;
	}
	gateway->connections_count++;
	if (gateway->configuration != NULL)
		idle_s = MAX(1,
		    gateway->configuration->limits.idle_timeout_ms *
			(uint64_t)IDLE_PERCENT / 100 / MS_PER_S);
	MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
	    idle_s);
}

static void
on_server_log(void *context, const char *format, va_list args)
{
	char text[256];

	(void)context;
	g_vsnprintf(text, sizeof(text), format, args);
	log_event(LOG_LEVEL_WARN, "server", "text", g_strchomp(text), NULL);
}

/* Paths are compared and passed on as they came. */
static size_t
keep_escapes(void *context, struct MHD_Connection *connection, char *text)
{
	(void)context;
	(void)connection;
	return strlen(text);
}

static enum MHD_Result
on_probe(void *context, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *upload,
    size_t *upload_bytes, void **state)
{
	struct gateway *gateway = context;
	bool ready = gateway->configuration != NULL &&
	    gateway->endpoints_known && !gateway->draining &&
	    !gateway->overloaded;
	struct MHD_Response *response;
	enum MHD_Result result;

	(void)url;
	(void)method;
	(void)version;
	(void)upload;
	(void)upload_bytes;
	(void)state;
	response = MHD_create_response_from_buffer(0, (void *)"",
	    MHD_RESPMEM_PERSISTENT);
	result = MHD_queue_response(connection, ready ? 200 : 503, response);
	MHD_destroy_response(response);
	return result;
}

static void
read_address(const char *text, struct sockaddr_in *out)
{
	const char *colon = strrchr(text, ':');
	char *host = g_strndup(text, (gsize)(colon - text));

	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	inet_pton(AF_INET, host, &out->sin_addr);
	out->sin_port = htons((uint16_t)g_ascii_strtoull(colon + 1, NULL, 10));
	g_free(host);
}

static struct MHD_Daemon *
start_server(struct gateway *gateway)
{
	struct sockaddr_in address;

	read_address(gateway->settings->listen_address, &address);
	return MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME |
		MHD_USE_ERROR_LOG,
	    0, NULL, NULL, on_request, gateway, MHD_OPTION_EXTERNAL_LOGGER,
	    on_server_log, gateway, MHD_OPTION_SOCK_ADDR, &address,
	    MHD_OPTION_CONNECTION_LIMIT,
	    gateway->settings->connections_max_count,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
	    MHD_OPTION_LISTEN_BACKLOG_SIZE, BACKLOG_COUNT,
	    MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_URI_LOG_CALLBACK,
	    on_target, gateway, MHD_OPTION_UNESCAPE_CALLBACK, keep_escapes,
	    gateway, MHD_OPTION_NOTIFY_COMPLETED, on_completed, gateway,
	    MHD_OPTION_NOTIFY_CONNECTION, on_connection, gateway,
	    MHD_OPTION_END);
}

static struct MHD_Daemon *
start_probe(struct gateway *gateway)
{
	struct sockaddr_in address;

	read_address(gateway->settings->readiness_address, &address);
	return MHD_start_daemon(MHD_USE_EPOLL, 0, NULL, NULL, on_probe, gateway,
	    MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT,
	    PROBE_CONNECTIONS_COUNT, MHD_OPTION_CONNECTION_TIMEOUT,
	    IDLE_TIMEOUT_S, MHD_OPTION_END);
}

static gboolean
watch_server(struct gateway *gateway, struct MHD_Daemon *server,
    struct gw_watch *watch, enum gw_watch_kind kind, const char *address,
    GError **error)
{
	const union MHD_DaemonInfo *info = server == NULL
	    ? NULL
	    : MHD_get_daemon_info(server, MHD_DAEMON_INFO_EPOLL_FD);

	if (info == NULL) {
		g_set_error(error, FRONT_ERROR, 0, "cannot listen on %s",
		    address);
		return FALSE;
	}
	watch->kind = kind;
	watch->fd = info->epoll_fd;
	gw_watch_add(gateway, watch, EPOLLIN);
	return TRUE;
}

gboolean
gw_front_init(struct gateway *gateway, GError **error)
{
	const struct settings *settings = gateway->settings;

	gateway->server = start_server(gateway);
	if (!watch_server(gateway, gateway->server, &gateway->server_watch,
		GW_WATCH_SERVER, settings->listen_address, error))
		return FALSE;
	gateway->probe = start_probe(gateway);
	return watch_server(gateway, gateway->probe, &gateway->probe_watch,
	    GW_WATCH_PROBE, settings->readiness_address, error);
}

void
gw_front_finish(struct gateway *gateway)
{
	if (gateway->server != NULL)
		MHD_stop_daemon(gateway->server);
	if (gateway->probe != NULL)
		MHD_stop_daemon(gateway->probe);
	gateway->server = NULL;
	gateway->probe = NULL;
}
