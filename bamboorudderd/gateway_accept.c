#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bamboorudderd/frontend.h"
#include "bamboorudderd/gateway_private.h"
#include "common/log.h"
#include "common/metric.h"

#define LISTEN_BACKLOG_COUNT 512
/* Connections accepted before other events are handled. */
#define ACCEPTS_PER_EVENT 64
/* Time in which a peer has to name itself. */
#define GREETING_TIMEOUT_MS 500u

/** A connection of a peer that has not named itself yet. */
struct gw_greeting {
	LIST_ENTRY(gw_greeting) entries;
	struct gw_source source;
	uint64_t accepted_ms;
	uint64_t node_id; /**< big-endian, as received */
	size_t length; /**< bytes of it that were received */
};

static int
open_listener(const struct sockaddr_in *address)
{
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (const struct sockaddr *)address, sizeof(*address)) == 0 &&
	    listen(fd, LISTEN_BACKLOG_COUNT) == 0)
		return fd;
	close(fd);
	return -1;
}

gboolean
gw_listen(struct gateway *gateway, struct gw_source *source,
    enum gw_source_kind kind, const char *text, GError **error)
{
	struct sockaddr_in address;

	gw_parse_address(text, &address);
	source->kind = kind;
	source->fd = open_listener(&address);
	if (source->fd < 0) {
		g_set_error(error, FRONTEND_ERROR, 0, "cannot listen on %s",
		    text);
		return FALSE;
	}
	gw_source_add(gateway, source, EPOLLIN);
	return TRUE;
}

/* A listener whose connections can't be accepted would wake the event loop again
 * and again: it is left alone until the next check. */
static void
pause_listener(struct gateway *gateway, const struct gw_source *source)
{
	gw_source_set(gateway, source, 0);
	gateway->accepts_paused = true;
}

static void
finish_greeting(struct gw_greeting *greeting, struct gateway *gateway,
    bool close_it)
{
	LIST_REMOVE(greeting, entries);
	epoll_ctl(gateway->epoll_fd, EPOLL_CTL_DEL, greeting->source.fd, NULL);
	if (close_it)
		close(greeting->source.fd);
	greeting->source.kind = GW_SOURCE_REMOVED;
	/* an event read earlier may still refer to it */
	g_ptr_array_add(gateway->removed_sources, greeting);
}

void
gw_accept_check(struct gateway *gateway, uint64_t now_ms)
{
	struct gw_greeting *greeting, *next;

	if (gateway->accepts_paused) {
		gateway->accepts_paused = false;
		gw_source_set(gateway, &gateway->listen_source, EPOLLIN);
		if (gateway->peers_source.fd >= 0)
			gw_source_set(gateway, &gateway->peers_source, EPOLLIN);
	}
	for (greeting = LIST_FIRST(&gateway->greetings); greeting != NULL;
	     greeting = next) {
		next = LIST_NEXT(greeting, entries);
		if (now_ms >= greeting->accepted_ms + GREETING_TIMEOUT_MS)
			finish_greeting(greeting, gateway, true);
	}
}

/* @return the descriptor of the next connection, or -1 */
static int
accept_next(struct gateway *gateway, const struct gw_source *source)
{
	int fd = accept4(source->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0 &&
	    (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
		errno == ENOMEM))
		pause_listener(gateway, source);
	return fd;
}

void
gw_serve_connection(struct gateway *gateway, int fd, uint64_t from_node_id)
{
	struct sockaddr_in address = { .sin_family = AF_INET };

	gateway->accepting_from = from_node_id;
	/* the server closes it if it has no room */
	MHD_add_connection(gateway->server, fd,
	    (const struct sockaddr *)&address, sizeof(address));
	gateway->accepting_from = 0;
	gateway->server_due = true;
}

static uint32_t
count_waiting(const struct gateway *gateway)
{
	return gateway->unread_count + gateway->unanswered_count;
}

static void
on_connection(struct gateway *gateway, int fd)
{
	/* each takes two descriptors */
	bool full = gateway->connections_count + gateway->handoffs_count >=
		gw_connections_max_count(gateway->settings) ||
	    gw_memory_is_crowded(gateway);
	enum handoff_choice choice = handoff_decide(&gateway->handoff,
	    count_waiting(gateway));

	if ((full || choice == HANDOFF_TURN_AWAY) && gw_turn_away(gateway, fd))
		return;
	if (choice != HANDOFF_PASS || !gw_handoff_start(gateway, fd))
		gw_serve_connection(gateway, fd, 0);
}

void
gw_accept_callers(struct gateway *gateway)
{
	for (int i = 0; i < ACCEPTS_PER_EVENT; i++) {
		int fd = accept_next(gateway, &gateway->listen_source);

		if (fd < 0)
			return;
		on_connection(gateway, fd);
	}
}

void
gw_accept_peers(struct gateway *gateway)
{
	for (int i = 0; i < ACCEPTS_PER_EVENT; i++) {
		int fd = accept_next(gateway, &gateway->peers_source);
		struct gw_greeting *greeting;

		if (fd < 0)
			return;
		greeting = g_new0(struct gw_greeting, 1);
		greeting->source.kind = GW_SOURCE_GREETING;
		greeting->source.fd = fd;
		greeting->source.greeting = greeting;
		greeting->accepted_ms = gw_now_ms(gateway);
		LIST_INSERT_HEAD(&gateway->greetings, greeting, entries);
		gw_source_add(gateway, &greeting->source, EPOLLIN);
	}
}

static bool
takes_from_peer(struct gateway *gateway, uint64_t node_id)
{
	return gw_find_peer(gateway, node_id) != NULL && gw_is_ready(gateway) &&
	    !feed_is_outdated(&gateway->feed) &&
	    !caller_memory_is_over(&gateway->caller_memory) &&
	    handoff_accept(&gateway->handoff);
}

/* @return whether the peer has named itself; closes its connection if it won't */
static bool
read_greeting(struct gateway *gateway, struct gw_greeting *greeting)
{
	ssize_t length = recv(greeting->source.fd,
	    (uint8_t *)&greeting->node_id + greeting->length,
	    sizeof(greeting->node_id) - greeting->length, 0);

	if (length < 0 && errno == EAGAIN)
		return false;
	if (length <= 0) {
		finish_greeting(greeting, gateway, true);
		return false;
	}
	greeting->length += (size_t)length;
	return greeting->length == sizeof(greeting->node_id);
}

void
gw_greeting_on_event(struct gateway *gateway, struct gw_greeting *greeting)
{
	const uint8_t answer = GW_HANDOFF_TAKEN;
	int fd = greeting->source.fd;
	uint64_t node_id;
	bool taken;

	if (!read_greeting(gateway, greeting))
		return;
	node_id = GUINT64_FROM_BE(greeting->node_id);
	taken = takes_from_peer(gateway, node_id) &&
	    send(fd, &answer, sizeof(answer), MSG_NOSIGNAL) == sizeof(answer);
	finish_greeting(greeting, gateway, !taken);
	if (!taken)
		return;
	metric_add(METRIC_HANDOFFS_TAKEN, 1);
	gw_serve_connection(gateway, fd, node_id);
}

void
gw_accept_finish(struct gateway *gateway)
{
	while (!LIST_EMPTY(&gateway->greetings))
		finish_greeting(LIST_FIRST(&gateway->greetings), gateway, true);
	if (gateway->listen_source.fd >= 0)
		close(gateway->listen_source.fd);
	if (gateway->peers_source.fd >= 0)
		close(gateway->peers_source.fd);
}
