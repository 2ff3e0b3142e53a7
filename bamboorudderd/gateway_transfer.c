#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "bamboorudderd/gateway_private.h"
#include "common/http_header.h"
#include "common/log.h"

#define EVENTS_PER_POLL 64
#define RESPONSE_MAX_BYTES (8u * 1024u * 1024u)
/* Responses above the first size share the rest: endpoints that send without end
 * must not fill the memory of the instance, however many requests they have. */
#define RESPONSE_SMALL_BYTES (16u * 1024u)
#define RESPONSES_MIN_BYTES (8u * 1024u * 1024u)
#define RESPONSES_MEMORY_DIVISOR 4u
#define BYTES_PER_MB (1024u * 1024u)
#define EVENT_MAX_BYTES (1024u * 1024u)
/* Time without an acknowledgement after which a connection is given up. */
#define UNACKNOWLEDGED_MAX_MS 3000u
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_PERIOD_S 1
#define KEEPALIVE_COUNT 3

static int
source_epoll_fd(const struct gateway *gateway, const struct gw_source *source)
{
	return source->polled ? gateway->stream_epoll_fd : gateway->epoll_fd;
}

static void
set_source(struct gateway *gateway, struct gw_source *source, int operation,
    int action)
{
	struct epoll_event event = { .data.ptr = source };

	source->events = (action & CURL_POLL_IN ? EPOLLIN : 0) |
	    (action & CURL_POLL_OUT ? EPOLLOUT : 0);
	event.events = source->events;
	epoll_ctl(source_epoll_fd(gateway, source), operation, source->fd,
	    &event);
}

static void
remove_source(struct gateway *gateway, struct gw_source *source)
{
	if (source == NULL)
		return;
	epoll_ctl(source_epoll_fd(gateway, source), EPOLL_CTL_DEL, source->fd,
	    NULL);
	source->kind = GW_SOURCE_REMOVED;
	g_ptr_array_add(gateway->removed_sources, source);
}

/* Moves the socket of a running stream out of the event loop. It is polled
 * periodically, as events of streams need not be relayed one by one. */
static void
poll_periodically(struct gw_request *request)
{
	struct gateway *gateway = request->gateway;
	struct gw_source *source = request->transfer_source;
	struct epoll_event event = { .data.ptr = source };

	if (source == NULL || source->polled)
		return;
	epoll_ctl(gateway->epoll_fd, EPOLL_CTL_DEL, source->fd, NULL);
	source->polled = true;
	event.events = source->events;
	epoll_ctl(gateway->stream_epoll_fd, EPOLL_CTL_ADD, source->fd, &event);
}

static int
on_socket(CURL *handle, curl_socket_t fd, int action, void *context,
    void *socket_context)
{
	struct gateway *gateway = context;
	struct gw_source *source = socket_context;
	struct gw_request *request = NULL;

	curl_easy_getinfo(handle, CURLINFO_PRIVATE, (char **)&request);
	if (action == CURL_POLL_REMOVE) {
		remove_source(gateway, source);
		if (request != NULL && request->transfer_source == source)
			request->transfer_source = NULL;
		return 0;
	}
	if (source == NULL) {
		source = g_new0(struct gw_source, 1);
		source->kind = GW_SOURCE_TRANSFER;
		source->fd = fd;
		curl_multi_assign(gateway->transfers, fd, source);
		set_source(gateway, source, EPOLL_CTL_ADD, action);
	} else
		set_source(gateway, source, EPOLL_CTL_MOD, action);
	if (request != NULL)
		request->transfer_source = source;
	return 0;
}

static int
on_timer(CURLM *transfers, long timeout_ms, void *context)
{
	struct gateway *gateway = context;

	(void)transfers;
	gateway->transfers_due_ms = timeout_ms < 0
	    ? 0
	    : MAX(1, gw_now_ms(gateway) + (uint64_t)timeout_ms);
	return 0;
}

gboolean
gw_transfers_init(struct gateway *gateway)
{
	gateway->removed_sources = g_ptr_array_new_with_free_func(g_free);
	gateway->transfers = curl_multi_init();
	if (gateway->transfers == NULL)
		return FALSE;
	curl_multi_setopt(gateway->transfers, CURLMOPT_SOCKETFUNCTION,
	    on_socket);
	curl_multi_setopt(gateway->transfers, CURLMOPT_SOCKETDATA, gateway);
	curl_multi_setopt(gateway->transfers, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(gateway->transfers, CURLMOPT_TIMERDATA, gateway);
	return TRUE;
}

void
gw_transfers_finish(struct gateway *gateway)
{
	curl_multi_cleanup(gateway->transfers);
	g_ptr_array_free(gateway->removed_sources, TRUE);
}

/* Enables TCP timeouts, the only way to detect an endpoint that lost power. */
static int
set_socket_options(void *context, curl_socket_t fd, curlsocktype purpose)
{
	int on = 1, idle_s = KEEPALIVE_IDLE_S, period_s = KEEPALIVE_PERIOD_S;
	int count = KEEPALIVE_COUNT;
	uint32_t unacknowledged_ms = UNACKNOWLEDGED_MAX_MS;

	(void)context;
	(void)purpose;
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &period_s, sizeof(period_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
	    sizeof(unacknowledged_ms));
	return CURL_SOCKOPT_OK;
}

static void
clear_endpoint_response(struct gw_request *request)
{
	memset(&request->endpoint_response, 0,
	    sizeof(request->endpoint_response));
	gw_headers_clear(request->endpoint_headers);
	g_byte_array_set_size(request->endpoint_body, 0);
	request->endpoint_head_complete = false;
	request->endpoint_head_too_large = false;
}

static void
add_endpoint_header(struct gw_request *request)
{
	const struct http_head *head = &request->endpoint_head;
	struct gw_header header = { g_strdup(head->name),
		g_strdup(head->value) };

	wire_parse_response_header(&request->endpoint_response, header.name,
	    header.value);
	g_array_append_val(request->endpoint_headers, header);
}

/* Tells whether the endpoint's response will be relayed, head included. */
static bool
is_relayed_with_head(const struct gw_request *request)
{
	const struct wire_response *response = &request->endpoint_response;

	return !request->streaming &&
	    wire_response_matches(response, &request->head) &&
	    !wire_response_not_executed(response, &request->head) &&
	    !wire_response_moved(response, &request->head);
}

/* Takes note of a complete head. @return whether the response is wanted */
static bool
finish_endpoint_head(struct gw_request *request)
{
	uint32_t status = request->endpoint_head.status;

	request->endpoint_response.status = status;
	request->endpoint_head_complete = http_status_is_final(status);
	if (request->endpoint_head_complete)
		gw_dispatch_statement(request);
	gw_headers_filter_response(request);
	if (!request->endpoint_head_complete || !is_relayed_with_head(request))
		return true;
	request->endpoint_head_too_large = !gw_response_head_fits(request);
	if (request->endpoint_head_too_large)
		return false;
	if (gw_headers_are_sendable(request->endpoint_headers))
		return true;
	request->endpoint_head.problem = "tab in a field that is relayed";
	return false;
}

static size_t
on_header(char *bytes, size_t size, size_t count, void *context)
{
	struct gw_request *request = context;
	size_t length = size * count;
	bool wanted = true;

	switch (http_head_add_line(&request->endpoint_head, bytes, length)) {
	case HTTP_HEAD_STATUS:
		clear_endpoint_response(request);
		break;
	case HTTP_HEAD_FIELD:
		add_endpoint_header(request);
		break;
	case HTTP_HEAD_END:
		wanted = finish_endpoint_head(request);
		break;
	case HTTP_HEAD_TRAILER:
		/* trailers are not relayed to callers */
		break;
	case HTTP_HEAD_INVALID:
		wanted = false;
		break;
	}
	return wanted ? length : 0;
}

static bool
is_live_stream(const struct gw_request *request)
{
	return request->route->request_kind == REQUEST_STREAM &&
	    request->endpoint_response.status == 200 &&
	    request->endpoint_response.event_stream &&
	    wire_response_matches(&request->endpoint_response, &request->head);
}

static void
start_stream(struct gw_request *request)
{
	GArray *headers = request->response_headers;

	gw_observe_first_byte(request);
	request->streaming = true;
	request->gateway->streams_count++;
	request->status = request->endpoint_response.status;
	request->response_headers = request->endpoint_headers;
	request->endpoint_headers = headers;
	request->state = GW_STATE_RESPONDING;
}

/* Relays complete events only, so that the caller never receives part of an
 * event from a stream that breaks. No event ends in the bytes checked before. */
static void
relay_events(struct gw_request *request, size_t checked_bytes)
{
	GByteArray *pending = request->endpoint_body;
	size_t length = sse_complete_events_bytes((const char *)pending->data,
	    pending->len, checked_bytes);

	if (length == 0)
		return;
	if (!request->first_token_reported)
		gw_dispatch_first_token(request);
	if (!request->streaming)
		start_stream(request);
	poll_periodically(request);
	sse_parser_feed(&request->sse, (const char *)pending->data, length);
	g_byte_array_append(request->response_bytes, pending->data,
	    (guint)length);
	g_byte_array_remove_range(pending, 0, (guint)length);
	gw_resume(request);
}

/* @return what the responses of all requests may have in memory together */
static uint64_t
responses_max_bytes(const struct gateway *gateway)
{
	uint64_t memory_bytes = (uint64_t)gateway->settings->memory_mb *
	    BYTES_PER_MB;

	return MAX(memory_bytes / RESPONSES_MEMORY_DIVISOR,
	    RESPONSES_MIN_BYTES);
}

/* @return whether the response may have so many unsent bytes */
static bool
may_hold(struct gw_request *request, size_t unsent_bytes)
{
	struct gateway *gateway = request->gateway;

	if (unsent_bytes <= RESPONSE_SMALL_BYTES)
		return true;
	return unsent_bytes <= RESPONSE_MAX_BYTES &&
	    gateway->caller_memory.used_bytes[CALLER_MEMORY_RESPONSE] <=
	    responses_max_bytes(gateway) &&
	    gw_memory_make_room(gateway);
}

static size_t
on_body(char *bytes, size_t size, size_t count, void *context)
{
	struct gw_request *request = context;
	size_t length = size * count;
	size_t checked_bytes = request->endpoint_body->len;

	g_byte_array_append(request->endpoint_body, (const guint8 *)bytes,
	    (guint)length);
	gw_memory_update(request);
	if (!may_hold(request,
		checked_bytes + length + request->response_bytes->len))
		return 0;
	if (!is_live_stream(request))
		return length;
	relay_events(request, checked_bytes);
	return request->endpoint_body->len > EVENT_MAX_BYTES ? 0 : length;
}

static void
set_transfer_options(struct gw_request *request, CURL *handle)
{
	const struct settings *settings = request->gateway->settings;

	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(handle, CURLOPT_HTTP09_ALLOWED, 0L);
	curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
	    (long)settings->connect_timeout_ms);
	/* never reuse a connection: a late second response on it would be taken
	 * for the response to the next request */
	curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, set_socket_options);
	curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(handle, CURLOPT_HEADERDATA, request);
	curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(handle, CURLOPT_WRITEDATA, request);
	curl_easy_setopt(handle, CURLOPT_PRIVATE, request);
	curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request->method);
	if (strcmp(request->method, "HEAD") == 0)
		curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
	else if (request->body->len > 0 ||
	    strcmp(request->method, "GET") != 0) {
		curl_easy_setopt(handle, CURLOPT_POSTFIELDS,
		    request->body->len == 0 ? "" : (char *)request->body->data);
		curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)request->body->len);
	}
}

void
gw_transfer_start(struct gw_request *request)
{
	struct gateway *gateway = request->gateway;
	char *url = g_strdup_printf("http://%s/", request->decision.address);
	/* never a used handle: it refers to freed fields of its last response,
	 * to which libcurl appends a line that begins with a blank */
	CURL *handle = curl_easy_init();

	request->transfer = handle;
	request->attempt_ms = gw_now_ms(gateway);
	request->state = request->streaming ? GW_STATE_RESPONDING
					    : GW_STATE_FORWARDING;
	request->first_token_reported = false;
	http_head_init(&request->endpoint_head);
	clear_endpoint_response(request);
	request->transfer_headers = gw_headers_for_endpoint(request);
	curl_easy_setopt(handle, CURLOPT_URL, url);
	/* as part of the URL it would be cut at a number sign */
	curl_easy_setopt(handle, CURLOPT_REQUEST_TARGET, request->target);
	curl_easy_setopt(handle, CURLOPT_HTTPHEADER, request->transfer_headers);
	set_transfer_options(request, handle);
	curl_multi_add_handle(gateway->transfers, handle);
	g_free(url);
}

/* @return a figure of the current transfer */
static uint64_t
transfer_info(const struct gw_request *request, CURLINFO info)
{
	curl_off_t value = 0;

	curl_easy_getinfo(request->transfer, info, &value);
	return (uint64_t)MAX(value, 0);
}

uint32_t
gw_transfer_connect_us(const struct gw_request *request)
{
	return (uint32_t)MIN(transfer_info(request, CURLINFO_CONNECT_TIME_T),
	    UINT32_MAX);
}

bool
gw_transfer_was_sent(const struct gw_request *request)
{
	return transfer_info(request, CURLINFO_PRETRANSFER_TIME_T) > 0;
}

void
gw_transfer_stop(struct gw_request *request)
{
	struct gateway *gateway = request->gateway;

	if (request->transfer == NULL)
		return;
	if (gw_transfer_was_sent(request))
		gw_observe_attempt(request,
		    transfer_info(request, CURLINFO_SIZE_UPLOAD_T) +
			transfer_info(request, CURLINFO_SIZE_DOWNLOAD_T));
	curl_multi_remove_handle(gateway->transfers, request->transfer);
	curl_easy_cleanup(request->transfer);
	http_head_finish(&request->endpoint_head);
	curl_slist_free_all(request->transfer_headers);
	request->transfer_headers = NULL;
	request->transfer = NULL;
	request->transfer_source = NULL;
}

static void
finish_transfers(struct gateway *gateway)
{
	struct gw_request *request;
	CURLMsg *message;
	int messages_left;

	while ((message = curl_multi_info_read(gateway->transfers,
		    &messages_left)) != NULL) {
		CURLcode code = message->data.result;
		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
		    (char **)&request);
		gw_request_on_attempt_end(request, code);
	}
}

void
gw_transfers_on_event(struct gateway *gateway, int fd, uint32_t events)
{
	int flags = (events & EPOLLIN ? CURL_CSELECT_IN : 0) |
	    (events & EPOLLOUT ? CURL_CSELECT_OUT : 0) |
	    (events & (EPOLLERR | EPOLLHUP) ? CURL_CSELECT_ERR : 0);
	int running;

	curl_multi_socket_action(gateway->transfers, fd, flags, &running);
	finish_transfers(gateway);
}

void
gw_transfers_poll_streams(struct gateway *gateway)
{
	struct epoll_event events[EVENTS_PER_POLL];
	int count;

	do {
		count = epoll_wait(gateway->stream_epoll_fd, events,
		    EVENTS_PER_POLL, 0);
		for (int i = 0; i < count; i++) {
			const struct gw_source *source = events[i].data.ptr;
			if (source->kind == GW_SOURCE_TRANSFER)
				gw_transfers_on_event(gateway, source->fd,
				    events[i].events);
		}
		g_ptr_array_set_size(gateway->removed_sources, 0);
	} while (count == EVENTS_PER_POLL);
}

void
gw_transfers_on_timer(struct gateway *gateway)
{
	int running;

	gateway->transfers_due_ms = 0;
	curl_multi_socket_action(gateway->transfers, CURL_SOCKET_TIMEOUT, 0,
	    &running);
	finish_transfers(gateway);
}
