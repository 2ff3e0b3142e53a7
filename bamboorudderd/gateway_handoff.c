#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bamboorudderd/gateway_handoff_private.h"
#include "common/log.h"
#include "common/metric.h"

/* Time in which a peer has to take a connection. */
#define ANSWER_TIMEOUT_MS 200u
/* Time that a side has to close after the other one has closed. */
#define LINGER_MS 2000u
/* Time without an acknowledgement after which a peer is given up. */
#define UNACKNOWLEDGED_MAX_MS 3000u

void
gw_handoff_watch(struct gw_handoff *handoff, enum handoff_end end,
    uint32_t events)
{
	struct handoff_side *side = &handoff->sides[end];

	if (!side->watched) {
		side->source.events = events;
		gw_source_add(handoff->gateway, &side->source, events);
	} else if (side->source.events != events) {
		side->source.events = events;
		gw_source_set(handoff->gateway, &side->source, events);
	}
	side->watched = true;
}

/* Closing a descriptor removes it from the event loop as well. */
void
gw_handoff_close_side(struct gw_handoff *handoff, enum handoff_end end)
{
	struct handoff_side *side = &handoff->sides[end];

	if (side->source.fd >= 0)
		close(side->source.fd);
	side->source.fd = -1;
	side->watched = false;
}

uint64_t
gw_handoff_peer_id(const struct gw_handoff *handoff)
{
	return handoff->tried_ids[handoff->tried_count - 1];
}

void
gw_handoff_unwatch(struct gw_handoff *handoff, enum handoff_end end)
{
	struct handoff_side *side = &handoff->sides[end];

	if (side->watched)
		epoll_ctl(handoff->gateway->epoll_fd, EPOLL_CTL_DEL,
		    side->source.fd, NULL);
	side->watched = false;
}

void
gw_handoff_remove(struct gw_handoff *handoff)
{
	struct gateway *gateway = handoff->gateway;

	if (handoff->removed)
		return;
	handoff->removed = true;
	for (int end = 0; end < END_COUNT; end++) {
		gw_handoff_close_side(handoff, (enum handoff_end)end);
		handoff->sides[end].source.kind = GW_SOURCE_REMOVED;
		g_byte_array_free(handoff->sides[end].pending, TRUE);
	}
	gw_handoff_exchange_finish(handoff);
	gw_caller_free(gateway, handoff->caller);
	gateway->unanswered_count -= handoff->state != HANDOFF_RELAYING;
	gateway->handoffs_count--;
	LIST_REMOVE(handoff, entries);
	/* an event read earlier may still refer to it */
	g_ptr_array_add(gateway->removed_sources, handoff);
}

void
gw_handoff_reset_side(struct gw_handoff *handoff, enum handoff_end end)
{
	const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
	int fd = handoff->sides[end].source.fd;

	if (fd >= 0)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	gw_handoff_close_side(handoff, end);
}

/* A response that breaks off must not look like a complete one. */
void
gw_handoff_abort(struct gw_handoff *handoff)
{
	for (int end = 0; end < END_COUNT; end++)
		gw_handoff_reset_side(handoff, (enum handoff_end)end);
	gw_handoff_remove(handoff);
}

static void
set_peer_options(int fd)
{
	int on = 1;
	uint32_t unacknowledged_ms = UNACKNOWLEDGED_MAX_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
	    sizeof(unacknowledged_ms));
}

static const struct gw_peer *
choose_peer(const struct gw_handoff *handoff)
{
	const struct gateway *gateway = handoff->gateway;
	const struct handoff_peer *peers = (const void *)
					       gateway->handoff_peers->data;
	guint count = gateway->handoff_peers->len;
	guint index = handoff_choose(&gateway->handoff, peers, count,
	    handoff->tried_ids, handoff->tried_count, g_random_int(),
	    gw_now_ms(gateway));

	return index == count
	    ? NULL
	    : &g_array_index(gateway->peers, struct gw_peer, index);
}

/* @return whether a connection to a peer is under way */
static bool
ask_next_peer(struct gw_handoff *handoff)
{
	struct handoff_side *side = &handoff->sides[END_PEER];
	const struct gw_peer *peer;

	while ((peer = choose_peer(handoff)) != NULL) {
		handoff->tried_ids[handoff->tried_count++] = peer->node_id;
		side->source.fd = socket(AF_INET,
		    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		if (side->source.fd < 0)
			return false;
		set_peer_options(side->source.fd);
		handoff->state = HANDOFF_CONNECTING;
		handoff->asked_ms = gw_now_ms(handoff->gateway);
		if (connect(side->source.fd,
			(const struct sockaddr *)&peer->address,
			sizeof(peer->address)) == 0 ||
		    errno == EINPROGRESS) {
			gw_handoff_watch(handoff, END_PEER, EPOLLOUT);
			return true;
		}
		gw_handoff_close_side(handoff, END_PEER);
		handoff_record_answer(&handoff->gateway->handoff, peer->node_id,
		    HANDOFF_SILENT, handoff->asked_ms);
	}
	return false;
}

/* Asks another peer, or serves the connection here. */
static void
on_not_taken(struct gw_handoff *handoff, enum handoff_answer answer)
{
	struct gateway *gateway = handoff->gateway;
	int fd = handoff->sides[END_CALLER].source.fd;

	handoff_record_answer(&gateway->handoff, gw_handoff_peer_id(handoff),
	    answer, gw_now_ms(gateway));
	gw_handoff_close_side(handoff, END_PEER);
	if (ask_next_peer(handoff))
		return;
	handoff->sides[END_CALLER].source.fd = -1;
	gw_handoff_remove(handoff);
	gw_serve_connection(gateway, fd, 0);
}

bool
gw_handoff_start(struct gateway *gateway, int fd)
{
	struct gw_handoff *handoff;

	if (gateway->draining || gateway->peers->len == 0)
		return false;
	handoff = g_new0(struct gw_handoff, 1);
	handoff->gateway = gateway;
	for (int end = 0; end < END_COUNT; end++) {
		struct handoff_side *side = &handoff->sides[end];

		side->source.kind = GW_SOURCE_HANDOFF;
		side->source.fd = -1;
		side->source.handoff = handoff;
		side->pending = g_byte_array_new();
	}
	handoff->sides[END_CALLER].source.fd = fd;
	gw_handoff_exchange_init(handoff);
	handoff->caller = gw_caller_new_passed(gateway, fd, handoff);
	gateway->handoffs_count++;
	gateway->unanswered_count++;
	LIST_INSERT_HEAD(&gateway->handoffs, handoff, entries);
	if (ask_next_peer(handoff))
		return true;
	handoff->sides[END_CALLER].source.fd = -1;
	gw_handoff_remove(handoff);
	return false;
}

static void
greet_peer(struct gw_handoff *handoff)
{
	struct gateway *gateway = handoff->gateway;
	uint64_t node_id = GUINT64_TO_BE(
	    gateway->control->members.config.self.node_id);

	/* fails if the connection could not be made */
	if (send(handoff->sides[END_PEER].source.fd, &node_id, sizeof(node_id),
		MSG_NOSIGNAL) != sizeof(node_id)) {
		on_not_taken(handoff, HANDOFF_SILENT);
		return;
	}
	handoff->state = HANDOFF_ASKED;
	gw_handoff_watch(handoff, END_PEER, EPOLLIN);
}

static void
on_answer(struct gw_handoff *handoff)
{
	struct gateway *gateway = handoff->gateway;
	uint8_t answer = 0;
	int on = 1;
	ssize_t length = recv(handoff->sides[END_PEER].source.fd, &answer,
	    sizeof(answer), 0);

	if (length < 0 && errno == EAGAIN)
		return;
	if (length != sizeof(answer) || answer != GW_HANDOFF_TAKEN) {
		on_not_taken(handoff, HANDOFF_DECLINED);
		return;
	}
	handoff_record_answer(&gateway->handoff, gw_handoff_peer_id(handoff),
	    HANDOFF_ACCEPTED, gw_now_ms(gateway));
	metric_add(METRIC_HANDOFFS, 1);
	gateway->load_counts.passed_count++;
	handoff->state = HANDOFF_RELAYING;
	gateway->unanswered_count--;
	setsockopt(handoff->sides[END_CALLER].source.fd, IPPROTO_TCP,
	    TCP_NODELAY, &on, sizeof(on));
	gw_handoff_watch(handoff, END_CALLER, EPOLLIN);
}

void
gw_handoff_on_event(struct gw_source *source, uint32_t events)
{
	struct gw_handoff *handoff = source->handoff;
	enum handoff_end end = source == &handoff->sides[END_PEER].source
	    ? END_PEER
	    : END_CALLER;

	switch (handoff->state) {
	case HANDOFF_CONNECTING:
		greet_peer(handoff);
		break;
	case HANDOFF_ASKED:
		on_answer(handoff);
		break;
	case HANDOFF_RELAYING:
		gw_handoff_relay(handoff, end, events);
		break;
	}
}

/* @return whether a side has ended for good, or the caller sends no request while
 * this daemon stops */
static bool
is_over(const struct gw_handoff *handoff, uint64_t now_ms)
{
	const struct gateway *gateway = handoff->gateway;
	uint64_t peer_ended_ms = handoff->ended_ms[END_PEER];
	uint64_t caller_ended_ms = handoff->ended_ms[END_CALLER];

	if (peer_ended_ms > 0 && now_ms >= peer_ended_ms + LINGER_MS)
		return true;
	/* what a request still gets has a time limit of its own */
	if (caller_ended_ms > 0 && now_ms >= caller_ended_ms + LINGER_MS &&
	    !http_exchange_in_progress(&handoff->exchange))
		return true;
	return !handoff->used && gateway->draining &&
	    now_ms >= gateway->drain_start_ms + DRAIN_ACCEPT_MS;
}

/* The answer may have come while this daemon was busy. */
static void
on_answer_due(struct gw_handoff *handoff, uint64_t now_ms)
{
	enum handoff_state state = handoff->state;

	gw_handoff_on_event(&handoff->sides[END_PEER].source, 0);
	if (handoff->removed)
		return;
	if (handoff->state != state)
		handoff->asked_ms = now_ms;
	else if (now_ms >= handoff->asked_ms + ANSWER_TIMEOUT_MS)
		on_not_taken(handoff, HANDOFF_SILENT);
}

void
gw_handoffs_check(struct gateway *gateway, uint64_t now_ms)
{
	struct gw_handoff *handoff, *next;

	if (gateway->draining && now_ms >= gateway->stop_due_ms)
		gw_handoffs_stop(gateway);
	for (handoff = LIST_FIRST(&gateway->handoffs); handoff != NULL;
	     handoff = next) {
		next = LIST_NEXT(handoff, entries);
		if (handoff->state != HANDOFF_RELAYING) {
			if (now_ms >= handoff->asked_ms + ANSWER_TIMEOUT_MS)
				on_answer_due(handoff, now_ms);
		} else if (is_over(handoff, now_ms))
			gw_handoff_remove(handoff);
		else
			gw_handoff_check_exchange(handoff, now_ms);
	}
}

void
gw_handoffs_finish(struct gateway *gateway)
{
	while (!LIST_EMPTY(&gateway->handoffs))
		gw_handoff_abort(LIST_FIRST(&gateway->handoffs));
}
