#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "bamboorudderd/gateway_private.h"
#include "common/log.h"

#define EVENTS_PER_LOOK 64
#define REPLY_MAX_BYTES (8u * 1024u * 1024u)
#define REPLY_HEAD_MAX_COUNT 64u
#define IDLE_CALLS_MAX_COUNT 64u
/* A peer that acknowledges nothing for so long is gone. */
#define SILENT_PEER_MS 3000u
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_PERIOD_S 1
#define KEEPALIVE_COUNT 3

static int
watch_epoll_fd(const struct gateway *gateway, const struct gw_watch *watch)
{
	return watch->steady ? gateway->steady_fd : gateway->epoll_fd;
}

static void
set_watch(struct gateway *gateway, struct gw_watch *watch, int operation,
    int action)
{
	struct epoll_event event = { .data.ptr = watch };

	watch->events = (action & CURL_POLL_IN ? EPOLLIN : 0) |
	    (action & CURL_POLL_OUT ? EPOLLOUT : 0);
	event.events = watch->events;
	epoll_ctl(watch_epoll_fd(gateway, watch), operation, watch->fd, &event);
}

static void
remove_watch(struct gateway *gateway, struct gw_watch *watch)
{
	if (watch == NULL)
		return;
	epoll_ctl(watch_epoll_fd(gateway, watch), EPOLL_CTL_DEL, watch->fd,
	    NULL);
	watch->kind = GW_WATCH_ENDED;
	g_ptr_array_add(gateway->ended_watches, watch);
}

/* The events of a stream that runs need not be passed on one by one: its
 * socket is looked at by period. */
static void
make_steady(struct gw_request *request)
{
	struct gateway *gateway = request->gateway;
	struct gw_watch *watch = request->call_watch;
	struct epoll_event event = { .data.ptr = watch };

	if (watch == NULL || watch->steady)
		return;
	epoll_ctl(gateway->epoll_fd, EPOLL_CTL_DEL, watch->fd, NULL);
	watch->steady = true;
	event.events = watch->events;
	epoll_ctl(gateway->steady_fd, EPOLL_CTL_ADD, watch->fd, &event);
}

static int
on_socket(CURL *handle, curl_socket_t fd, int action, void *context,
    void *socket_context)
{
	struct gateway *gateway = context;
	struct gw_watch *watch = socket_context;
	struct gw_request *request = NULL;

	curl_easy_getinfo(handle, CURLINFO_PRIVATE, (char **)&request);
	if (action == CURL_POLL_REMOVE) {
		remove_watch(gateway, watch);
		if (request != NULL && request->call_watch == watch)
			request->call_watch = NULL;
		return 0;
	}
	if (watch == NULL) {
		watch = g_new0(struct gw_watch, 1);
		watch->kind = GW_WATCH_CURL;
		watch->fd = fd;
		curl_multi_assign(gateway->calls, fd, watch);
		set_watch(gateway, watch, EPOLL_CTL_ADD, action);
	} else
		set_watch(gateway, watch, EPOLL_CTL_MOD, action);
	if (request != NULL)
		request->call_watch = watch;
	return 0;
}

static int
on_timer(CURLM *calls, long timeout_ms, void *context)
{
	struct gateway *gateway = context;

	(void)calls;
	gateway->calls_due_ms = timeout_ms < 0
	    ? 0
	    : MAX(1, gw_now_ms(gateway) + (uint64_t)timeout_ms);
	return 0;
}

gboolean
gw_calls_init(struct gateway *gateway)
{
	gateway->ended_watches = g_ptr_array_new_with_free_func(g_free);
	gateway->idle_calls = g_ptr_array_new();
	gateway->calls = curl_multi_init();
	if (gateway->calls == NULL)
		return FALSE;
	curl_multi_setopt(gateway->calls, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(gateway->calls, CURLMOPT_SOCKETDATA, gateway);
	curl_multi_setopt(gateway->calls, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(gateway->calls, CURLMOPT_TIMERDATA, gateway);
	return TRUE;
}

void
gw_calls_finish(struct gateway *gateway)
{
	for (guint i = 0; i < gateway->idle_calls->len; i++)
		curl_easy_cleanup(g_ptr_array_index(gateway->idle_calls, i));
	g_ptr_array_free(gateway->idle_calls, TRUE);
	curl_multi_cleanup(gateway->calls);
	g_ptr_array_free(gateway->ended_watches, TRUE);
}

/* Only a time-out of the connection itself shows a peer that lost power. */
static int
set_socket(void *context, curl_socket_t fd, curlsocktype purpose)
{
	int on = 1, idle_s = KEEPALIVE_IDLE_S, period_s = KEEPALIVE_PERIOD_S;
	int count = KEEPALIVE_COUNT;
	uint32_t silent_ms = SILENT_PEER_MS;

	(void)context;
	(void)purpose;
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &period_s, sizeof(period_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silent_ms,
	    sizeof(silent_ms));
	return CURL_SOCKOPT_OK;
}

static void
clear_reply(struct gw_request *request)
{
	memset(&request->reply, 0, sizeof(request->reply));
	gw_headers_clear(request->reply_headers);
	g_byte_array_set_size(request->reply_body, 0);
	request->reply_head_ended = false;
}

static void
take_header(struct gw_request *request, char *line)
{
	char *colon = strchr(line, ':');
	struct gw_header header;

	if (colon == NULL || request->reply_headers->len > REPLY_HEAD_MAX_COUNT)
		return;
	*colon = '\0';
	header.name = g_strchomp(line);
	header.value = g_strstrip(colon + 1);
	wire_parse_response_header(&request->reply, header.name, header.value);
	header.name = g_strdup(header.name);
	header.value = g_strdup(header.value);
	g_array_append_val(request->reply_headers, header);
}

static size_t
on_header(char *bytes, size_t size, size_t count, void *context)
{
	struct gw_request *request = context;
	size_t length = size * count;
	char *line;
	long status = 0;

	if (length > 5 && strncmp(bytes, "HTTP/", 5) == 0) {
		clear_reply(request);
		return length;
	}
	/* trailers are of no use to a caller */
	if (request->reply_head_ended)
		return length;
	line = g_strchomp(g_strndup(bytes, length));
	if (line[0] == '\0') {
		curl_easy_getinfo(request->call, CURLINFO_RESPONSE_CODE,
		    &status);
		request->reply.status = (uint32_t)status;
		request->reply_head_ended = status >= 200;
		gw_headers_drop_unpassed(request);
	} else
		take_header(request, line);
	g_free(line);
	return length;
}

static bool
is_live_stream(const struct gw_request *request)
{
	return request->route->type == ROUTE_STREAMING &&
	    request->reply.status == 200 && request->reply.event_stream &&
	    wire_response_matches(&request->reply, &request->head);
}

static void
begin_stream(struct gw_request *request)
{
	GArray *headers = request->answer_headers;

	gw_observe_first(request);
	request->streaming = true;
	request->gateway->streams_count++;
	request->status = request->reply.status;
	request->answer_headers = request->reply_headers;
	request->reply_headers = headers;
	request->state = GW_ANSWERING;
}

/* Passes whole events on and keeps the start of the next one back, so that a
 * cut within an event never reaches the caller. */
static void
pass_events(struct gw_request *request)
{
	GByteArray *pending = request->reply_body;
	size_t whole = sse_whole_bytes((const char *)pending->data,
	    pending->len, 0);

	if (whole == 0)
		return;
	if (!request->first_told)
		gw_tell_first(request);
	if (!request->streaming)
		begin_stream(request);
	make_steady(request);
	sse_counter_feed(&request->sse, (const char *)pending->data, whole);
	g_byte_array_append(request->out, pending->data, (guint)whole);
	g_byte_array_remove_range(pending, 0, (guint)whole);
	gw_resume(request);
}

static size_t
on_body(char *bytes, size_t size, size_t count, void *context)
{
	struct gw_request *request = context;
	size_t length = size * count;

	if (request->reply_body->len + request->out->len + length >
	    REPLY_MAX_BYTES)
		return 0;
	g_byte_array_append(request->reply_body, (const guint8 *)bytes,
	    (guint)length);
	if (is_live_stream(request))
		pass_events(request);
	return length;
}

static void
set_transfer(struct gw_request *request, CURL *handle)
{
	const struct settings *settings = request->gateway->settings;

	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(handle, CURLOPT_HTTP09_ALLOWED, 0L);
	curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
	    (long)settings->connect_timeout_ms);
	/* a connection that carried one answer may still bring a late second
	 * one: each request takes its own */
	curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, set_socket);
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
gw_call_start(struct gw_request *request)
{
	struct gateway *gateway = request->gateway;
	char *url = g_strdup_printf("http://%s%s", request->decision.address,
	    request->target);
	CURL *handle = gateway->idle_calls->len > 0
	    ? g_ptr_array_steal_index_fast(gateway->idle_calls,
		  gateway->idle_calls->len - 1)
	    : curl_easy_init();

	request->call = handle;
	request->attempt_ms = gw_now_ms(gateway);
	request->state = request->streaming ? GW_ANSWERING : GW_CALLING;
	request->first_told = false;
	clear_reply(request);
	request->call_headers = gw_headers_forward(request);
	curl_easy_setopt(handle, CURLOPT_URL, url);
	curl_easy_setopt(handle, CURLOPT_HTTPHEADER, request->call_headers);
	set_transfer(request, handle);
	curl_multi_add_handle(gateway->calls, handle);
	g_free(url);
}

void
gw_call_stop(struct gw_request *request)
{
	struct gateway *gateway = request->gateway;

	if (request->call == NULL)
		return;
	curl_multi_remove_handle(gateway->calls, request->call);
	curl_easy_reset(request->call);
	if (gateway->idle_calls->len < IDLE_CALLS_MAX_COUNT)
		g_ptr_array_add(gateway->idle_calls, request->call);
	else
		curl_easy_cleanup(request->call);
	curl_slist_free_all(request->call_headers);
	request->call_headers = NULL;
	request->call = NULL;
	request->call_watch = NULL;
}

bool
gw_call_was_sent(struct gw_request *request)
{
	curl_off_t ready_us = 0;

	curl_easy_getinfo(request->call, CURLINFO_PRETRANSFER_TIME_T,
	    &ready_us);
	return ready_us > 0;
}

static void
collect_ended(struct gateway *gateway)
{
	struct gw_request *request;
	CURLMsg *message;
	int left;

	while (
	    (message = curl_multi_info_read(gateway->calls, &left)) != NULL) {
		CURLcode code = message->data.result;
		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
		    (char **)&request);
		gw_request_attempt_ended(request, code);
	}
}

void
gw_calls_on_event(struct gateway *gateway, int fd, uint32_t events)
{
	int flags = (events & EPOLLIN ? CURL_CSELECT_IN : 0) |
	    (events & EPOLLOUT ? CURL_CSELECT_OUT : 0) |
	    (events & (EPOLLERR | EPOLLHUP) ? CURL_CSELECT_ERR : 0);
	int running;

	curl_multi_socket_action(gateway->calls, fd, flags, &running);
	collect_ended(gateway);
}

void
gw_calls_on_period(struct gateway *gateway)
{
	struct epoll_event events[EVENTS_PER_LOOK];
	int count;

	do {
		count = epoll_wait(gateway->steady_fd, events, EVENTS_PER_LOOK,
		    0);
		for (int i = 0; i < count; i++) {
			const struct gw_watch *watch = events[i].data.ptr;
			if (watch->kind == GW_WATCH_CURL)
				gw_calls_on_event(gateway, watch->fd,
				    events[i].events);
		}
		g_ptr_array_set_size(gateway->ended_watches, 0);
	} while (count == EVENTS_PER_LOOK);
}

void
gw_calls_on_timer(struct gateway *gateway)
{
	int running;

	gateway->calls_due_ms = 0;
	curl_multi_socket_action(gateway->calls, CURL_SOCKET_TIMEOUT, 0,
	    &running);
	collect_ended(gateway);
}
