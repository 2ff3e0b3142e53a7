#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "bamboorudderd/frontend.h"
#include "bamboorudderd/gateway_private.h"
#include "common/log.h"
#include "common/metric.h"

#define READINESS_CONNECTIONS_MAX_COUNT 32u
#define IDLE_TIMEOUT_S 60u
/* Share of the configured idle timeout after which a connection is closed.
 * Callers reuse no connection that was idle for over 80 % of the timeout. */
#define IDLE_TIMEOUT_PERCENT 90u
/* A connection that a peer passes here uses descriptors of both. */
#define PASSED_IDLE_TIMEOUT_S 3u
#define MS_PER_S 1000u

void
gw_resume(struct gw_request *request)
{
	request->gateway->server_due = true;
	if (!request->suspended)
		return;
	request->suspended = false;
	MHD_resume_connection(request->connection);
}

void
gw_suspend(struct gw_request *request)
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

static struct gw_caller *
connection_caller(struct MHD_Connection *connection)
{
	return MHD_get_connection_info(connection,
	    MHD_CONNECTION_INFO_SOCKET_CONTEXT)
	    ->socket_context;
}

bool
gw_has_hung_up(int fd)
{
	struct pollfd caller = { .fd = fd, .events = POLLRDHUP };

	return poll(&caller, 1, 0) > 0;
}

bool
gw_has_unread(int fd)
{
	uint8_t byte;

	return recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool
gw_caller_has_left(const struct gw_request *request)
{
	return gw_has_hung_up(connection_fd(request->connection));
}

/* The server does not read suspended connections: only hang-ups are watched. */
void
gw_caller_watch(struct gw_request *request)
{
	if (request->caller_watched)
		return;
	request->caller_source.kind = GW_SOURCE_CALLER;
	request->caller_source.fd = connection_fd(request->connection);
	request->caller_source.request = request;
	gw_source_add(request->gateway, &request->caller_source,
	    EPOLLRDHUP | EPOLLONESHOT);
	request->caller_watched = true;
}

static unsigned int
idle_timeout_s(const struct gateway *gateway)
{
	if (gateway->configuration == NULL)
		return IDLE_TIMEOUT_S;
	return MAX(1,
	    gateway->configuration->limits.idle_timeout_ms *
		(uint64_t)IDLE_TIMEOUT_PERCENT / 100 / MS_PER_S);
}

static void
set_idle_timeout(struct MHD_Connection *connection, unsigned int idle_s)
{
	MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
	    idle_s);
}

static void *
on_target(void *context, const char *target, struct MHD_Connection *connection)
{
	struct gw_request *request = gw_request_new(context, target);

	request->connection = connection;
	gw_caller_begin(connection_caller(connection), request);
	if (request->caller->from_node_id != 0)
		set_idle_timeout(connection, idle_timeout_s(request->gateway));
	return request;
}

static enum MHD_Result
add_request_header(void *context, enum MHD_ValueKind kind, const char *name,
    const char *value)
{
	struct gw_request *request = context;

	(void)kind;
	wire_parse_request_header(&request->head, name,
	    value == NULL ? "" : value);
	return MHD_YES;
}

struct framing {
	uint32_t content_lengths_count;
	uint32_t transfer_encodings_count;
	uint32_t hosts_count;
	bool malformed;
};

static enum MHD_Result
collect_framing(void *context, enum MHD_ValueKind kind, const char *name,
    const char *value)
{
	struct framing *framing = context;

	(void)kind;
	if (g_ascii_strcasecmp(name, "Content-Length") == 0) {
		framing->content_lengths_count++;
		framing->malformed |= value == NULL || value[0] == '\0' ||
		    strspn(value, "0123456789") != strlen(value);
	} else if (g_ascii_strcasecmp(name, "Transfer-Encoding") == 0) {
		framing->transfer_encodings_count++;
		framing->malformed |= value == NULL ||
		    g_ascii_strcasecmp(value, "chunked") != 0;
	} else if (g_ascii_strcasecmp(name, "Host") == 0)
		framing->hosts_count++;
	else if (strpbrk(name, " \t") != NULL)
		framing->malformed = true;
	return MHD_YES;
}

/* Guards against request smuggling: a body whose end is ambiguous could hide a
 * second request. */
static bool
framing_is_unambiguous(struct MHD_Connection *connection)
{
	struct framing framing = { 0 };

	MHD_get_connection_values(connection, MHD_HEADER_KIND, collect_framing,
	    &framing);
	return !framing.malformed && framing.hosts_count <= 1 &&
	    framing.content_lengths_count + framing.transfer_encodings_count <=
	    1;
}

static uint64_t
content_length(struct MHD_Connection *connection)
{
	const char *text = MHD_lookup_connection_value(connection,
	    MHD_HEADER_KIND, "Content-Length");

	return text == NULL ? 0 : g_ascii_strtoull(text, NULL, 10);
}

static void
refuse_size(struct gw_request *request, uint32_t status, const char *outcome)
{
	request->close_connection = true;
	metric_add(METRIC_REQUESTS_MALFORMED, 1);
	gw_request_respond_error(request, status, outcome, 0);
}

/* @return whether the sizes that the head tells are within the limits */
static bool
check_sizes(struct gw_request *request)
{
	const struct config_limits *limits = &request->configuration->limits;

	if (gw_request_head_bytes(request) > limits->header_max_bytes)
		refuse_size(request, 431, "head_too_large");
	else if (content_length(request->connection) > limits->body_max_bytes)
		refuse_size(request, 413, "body_too_large");
	return request->state != GW_STATE_ENDED;
}

static enum MHD_Result
receive_head(struct gw_request *request, const char *method)
{
	request->method = g_strdup(method);
	MHD_get_connection_values(request->connection, MHD_HEADER_KIND,
	    add_request_header, request);
	if (!framing_is_unambiguous(request->connection)) {
		request->head_received = true;
		request->close_connection = true;
		metric_add(METRIC_REQUESTS_MALFORMED, 1);
		gw_request_respond_error(request, 400, "malformed", 0);
		return gw_response_queue(request);
	}
	if (gw_request_accept_head(request) && !check_sizes(request))
		return gw_response_queue(request);
	return MHD_YES;
}

static uint32_t
body_max_bytes(const struct gw_request *request)
{
	return request->configuration == NULL
	    ? request->gateway->settings->body_max_bytes
	    : request->configuration->limits.body_max_bytes;
}

/* Adds bytes to the body of a request, unless there is no room for them. */
static void
append_body(struct gw_request *request, const char *bytes, size_t length)
{
	g_byte_array_append(request->body, (const guint8 *)bytes,
	    (guint)length);
	gw_memory_update(request);
	if (!gw_memory_make_room(request->gateway) &&
	    request->state == GW_STATE_RECEIVING) {
		request->close_connection = true;
		gw_request_respond_error(request, 503, "callers_memory_full",
		    GW_RETRY_AFTER_MS);
	}
}

/* The body of a refused request is received and discarded, as the server responds
 * after it; one that does not end closes the connection. */
static enum MHD_Result
discard_body(struct gw_request *request, size_t length)
{
	request->discarded_bytes += length;
	return request->discarded_bytes > body_max_bytes(request) ? MHD_NO
								  : MHD_YES;
}

static enum MHD_Result
receive_body(struct gw_request *request, const char *bytes, size_t *length)
{
	size_t received_bytes = *length;

	*length = 0;
	if (request->state != GW_STATE_RECEIVING)
		return discard_body(request, received_bytes);
	if (request->body->len + received_bytes > body_max_bytes(request))
		refuse_size(request, 413, "body_too_large");
	else
		append_body(request, bytes, received_bytes);
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
	if (request->caller != NULL && request->caller->evicted)
		return MHD_NO;
	if (!request->head_received)
		return receive_head(request, method);
	if (*upload_bytes > 0)
		return receive_body(request, upload, upload_bytes);
	if (!request->received) {
		request->received = true;
		gw_memory_update(request);
	}
	if (request->state == GW_STATE_RECEIVING) {
		if (gw_response_has_room(request))
			gw_request_submit(request);
		else
			refuse_size(request, 431, "head_too_large");
		if (request->state != GW_STATE_ENDED) {
			gw_suspend(request);
			return MHD_YES;
		}
	}
	if (request->disconnected)
		return MHD_NO;
	return gw_response_queue(request);
}

static void
on_completed(void *context, struct MHD_Connection *connection, void **state,
    enum MHD_RequestTerminationCode code)
{
	struct gw_request *request = *state;

	(void)context;
	if (request == NULL)
		return;
	*state = NULL;
	gw_response_check_sent(request, code);
	/* ends the request unless it has ended already */
	gw_request_disconnected(request);
	if (request->caller_watched)
		epoll_ctl(request->gateway->epoll_fd, EPOLL_CTL_DEL,
		    request->caller_source.fd, NULL);
	request->caller_watched = false;
	request->server_done = true;
	if (request->caller != NULL && request->caller->from_node_id != 0)
		set_idle_timeout(connection, PASSED_IDLE_TIMEOUT_S);
	gw_caller_end(request);
	gw_request_release(request);
}

static void
on_connection(void *context, struct MHD_Connection *connection,
    void **socket_context, enum MHD_ConnectionNotificationCode code)
{
	struct gateway *gateway = context;

	if (code != MHD_CONNECTION_NOTIFY_STARTED) {
		gateway->connections_count--;
		gw_caller_free(gateway, *socket_context);
		return;
	}
	gateway->connections_count++;
	*socket_context = gw_caller_new(gateway, connection_fd(connection));
	set_idle_timeout(connection, idle_timeout_s(gateway));
}

static void
on_server_log(void *context, const char *format, va_list args)
{
	char text[256];

	(void)context;
	g_vsnprintf(text, sizeof(text), format, args);
	log_event(LOG_LEVEL_WARN, "server", "text", g_strchomp(text), NULL);
}

/* Keeps percent escapes: paths are matched and forwarded as received. */
static size_t
keep_escapes(void *context, struct MHD_Connection *connection, char *text)
{
	(void)context;
	(void)connection;
	return strlen(text);
}

bool
gw_is_ready(const struct gateway *gateway)
{
	return gateway->configuration != NULL &&
	    gateway->synced[RESOURCE_ENDPOINTS] &&
	    gateway->synced[RESOURCE_DRAINED_DOMAINS] && !gateway->draining &&
	    gateway->readiness.ready;
}

static enum MHD_Result
on_readiness_probe(void *context, struct MHD_Connection *connection,
    const char *url, const char *method, const char *version,
    const char *upload, size_t *upload_bytes, void **state)
{
	struct gateway *gateway = context;
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
	result = MHD_queue_response(connection,
	    gw_is_ready(gateway) ? 200 : 503, response);
	MHD_destroy_response(response);
	return result;
}

void
gw_parse_address(const char *text, struct sockaddr_in *out)
{
	const char *colon = strrchr(text, ':');
	char *host = g_strndup(text, (gsize)(colon - text));

	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	inet_pton(AF_INET, host, &out->sin_addr);
	out->sin_port = htons((uint16_t)g_ascii_strtoull(colon + 1, NULL, 10));
	g_free(host);
}

/* Connections are accepted by the event loop, see gateway_accept.c. */
static struct MHD_Daemon *
start_server(struct gateway *gateway)
{
	return MHD_start_daemon(MHD_USE_EPOLL | MHD_USE_NO_LISTEN_SOCKET |
		MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG,
	    0, NULL, NULL, on_request, gateway, MHD_OPTION_EXTERNAL_LOGGER,
	    on_server_log, gateway, MHD_OPTION_CONNECTION_LIMIT,
	    gw_connections_max_count(gateway->settings),
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT,
	    (size_t)GW_CONNECTION_MEMORY_BYTES, MHD_OPTION_STRICT_FOR_CLIENT, 1,
	    MHD_OPTION_URI_LOG_CALLBACK, on_target, gateway,
	    MHD_OPTION_UNESCAPE_CALLBACK, keep_escapes, gateway,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, gateway,
	    MHD_OPTION_NOTIFY_CONNECTION, on_connection, gateway,
	    MHD_OPTION_END);
}

static struct MHD_Daemon *
start_readiness_server(struct gateway *gateway)
{
	struct sockaddr_in address;

	gw_parse_address(gateway->settings->readiness_address, &address);
	return MHD_start_daemon(MHD_USE_EPOLL, 0, NULL, NULL,
	    on_readiness_probe, gateway, MHD_OPTION_SOCK_ADDR, &address,
	    MHD_OPTION_CONNECTION_LIMIT, READINESS_CONNECTIONS_MAX_COUNT,
	    MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S, MHD_OPTION_END);
}

static gboolean
add_server_source(struct gateway *gateway, struct MHD_Daemon *server,
    struct gw_source *source, enum gw_source_kind kind, const char *address,
    GError **error)
{
	const union MHD_DaemonInfo *info = server == NULL
	    ? NULL
	    : MHD_get_daemon_info(server, MHD_DAEMON_INFO_EPOLL_FD);

	if (info == NULL) {
		g_set_error(error, FRONTEND_ERROR, 0, "cannot listen on %s",
		    address);
		return FALSE;
	}
	source->kind = kind;
	source->fd = info->epoll_fd;
	gw_source_add(gateway, source, EPOLLIN);
	return TRUE;
}

gboolean
gw_server_init(struct gateway *gateway, GError **error)
{
	const struct settings *settings = gateway->settings;

	gateway->listen_source.fd = -1;
	gateway->peers_source.fd = -1;
	gateway->server = start_server(gateway);
	if (!add_server_source(gateway, gateway->server,
		&gateway->server_source, GW_SOURCE_SERVER,
		settings->listen_address, error))
		return FALSE;
	if (!gw_listen(gateway, &gateway->listen_source, GW_SOURCE_LISTEN,
		settings->listen_address, error) ||
	    (settings->handoff_address[0] != '\0' &&
		!gw_listen(gateway, &gateway->peers_source,
		    GW_SOURCE_PEERS_LISTEN, settings->handoff_address, error)))
		return FALSE;
	gateway->readiness_server = start_readiness_server(gateway);
	return add_server_source(gateway, gateway->readiness_server,
	    &gateway->readiness_source, GW_SOURCE_READINESS,
	    settings->readiness_address, error);
}

void
gw_server_finish(struct gateway *gateway)
{
	if (gateway->server != NULL)
		MHD_stop_daemon(gateway->server);
	if (gateway->readiness_server != NULL)
		MHD_stop_daemon(gateway->readiness_server);
	gateway->server = NULL;
	gateway->readiness_server = NULL;
}
