#include <errno.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "bamboorudderd/gateway_handoff_private.h"

#define BLOCK_BYTES (16u * 1024u)
/* Read before other events are handled. */
#define BLOCKS_PER_EVENT 4

void
gw_handoff_drop_peer(struct gw_handoff *handoff)
{
	struct handoff_side *peer = &handoff->sides[END_PEER];

	gw_handoff_reset_side(handoff, END_PEER);
	g_byte_array_set_size(peer->pending, 0);
	peer->ended = true;
	peer->shut = true;
}

/* The peer has ended: a request that it owes a response must not go without, and a
 * response that breaks off must not look complete. */
static void
pass_peer_end(struct gw_handoff *handoff)
{
	struct handoff_exchange exchange;

	if (!handoff->sides[END_PEER].ended ||
	    handoff->sides[END_CALLER].shut ||
	    handoff->sides[END_CALLER].pending->len > 0)
		return;
	http_exchange_end_response(&handoff->exchange);
	exchange = gw_handoff_describe(handoff);
	gw_handoff_end_exchange(handoff, handoff_exchange_end(&exchange), 502);
}

/* Passes the end of the caller's bytes on, once the peer has taken all of them. */
static void
pass_caller_end(struct gw_handoff *handoff)
{
	struct handoff_side *peer = &handoff->sides[END_PEER];

	if (!handoff->sides[END_CALLER].ended || peer->shut ||
	    peer->pending->len > 0)
		return;
	peer->shut = true;
	shutdown(peer->source.fd, SHUT_WR);
	handoff->ended_ms[END_CALLER] = gw_now_ms(handoff->gateway);
}

/* @return what can be read from a side: nothing while the other one does not take
 * its bytes, and no further requests of the caller before its response */
static uint32_t
readable_events(const struct gw_handoff *handoff, enum handoff_end end)
{
	if (handoff->sides[end].ended ||
	    handoff->sides[END_COUNT - 1 - end].pending->len > 0)
		return 0;
	return end == END_CALLER && handoff->held->len > 0 ? EPOLLRDHUP
							   : EPOLLIN;
}

static void
update_watches(struct gw_handoff *handoff)
{
	for (int end = 0; end < END_COUNT; end++) {
		const struct handoff_side *side = &handoff->sides[end];
		uint32_t events = side->pending->len > 0 ? EPOLLOUT : 0;

		events |= readable_events(handoff, (enum handoff_end)end);
		if (events == 0)
			gw_handoff_unwatch(handoff, (enum handoff_end)end);
		else
			gw_handoff_watch(handoff, (enum handoff_end)end,
			    events);
	}
	gw_caller_set_waiting(handoff->gateway, handoff->caller,
	    handoff->sides[END_CALLER].pending->len > 0);
}

/* @return false if the connection is broken */
static bool
send_bytes(struct handoff_side *to, const uint8_t *bytes, size_t length)
{
	ssize_t sent = send(to->source.fd, bytes, length, MSG_NOSIGNAL);

	if (sent < 0 && errno != EAGAIN)
		return false;
	sent = MAX(sent, 0);
	if ((size_t)sent < length)
		g_byte_array_append(to->pending, bytes + sent,
		    (guint)(length - (size_t)sent));
	return true;
}

static bool
flush_pending(struct handoff_side *to)
{
	ssize_t sent = send(to->source.fd, to->pending->data, to->pending->len,
	    MSG_NOSIGNAL);

	if (sent < 0)
		return errno == EAGAIN;
	g_byte_array_remove_range(to->pending, 0, (guint)sent);
	return true;
}

/* Passes bytes of the caller on, up to the end of the request in progress. */
static bool
pass_request(struct gw_handoff *handoff, const uint8_t *bytes, size_t length)
{
	struct handoff_side *peer = &handoff->sides[END_PEER];
	size_t passed;

	/* what comes after the end of the other side is for nobody */
	if (peer->shut)
		return true;
	if (!http_exchange_in_progress(&handoff->exchange))
		handoff->deadline_ms = UINT64_MAX;
	passed = http_exchange_add_request(&handoff->exchange, bytes, length);
	g_byte_array_append(handoff->held, bytes + passed,
	    (guint)(length - passed));
	handoff->cut = !send_bytes(peer, bytes, passed);
	return !handoff->cut;
}

/* Passes requests on that the caller sent before it had the last response. */
static bool
pass_held(struct gw_handoff *handoff)
{
	GByteArray *held = handoff->held;
	bool sound;

	if (held->len == 0 || http_exchange_in_progress(&handoff->exchange))
		return true;
	handoff->held = g_byte_array_new();
	sound = pass_request(handoff, held->data, held->len);
	g_byte_array_free(held, TRUE);
	return sound;
}

static bool
pass_response(struct gw_handoff *handoff, const uint8_t *bytes, size_t length)
{
	struct handoff_side *caller = &handoff->sides[END_CALLER];

	if (caller->shut)
		return true;
	http_exchange_add_response(&handoff->exchange, bytes, length);
	return send_bytes(caller, bytes, length) && pass_held(handoff);
}

/* @return false if the connection is broken */
static bool
read_side(struct gw_handoff *handoff, enum handoff_end from)
{
	struct handoff_side *side = &handoff->sides[from];
	uint8_t block[BLOCK_BYTES];

	for (int i = 0;
	     i < BLOCKS_PER_EVENT && readable_events(handoff, from) == EPOLLIN;
	     i++) {
		ssize_t length = recv(side->source.fd, block, sizeof(block), 0);

		if (length < 0)
			return errno == EAGAIN;
		if (length == 0) {
			side->ended = true;
			return true;
		}
		handoff->moved_ms = gw_now_ms(handoff->gateway);
		if (from == END_PEER) {
			if (!pass_response(handoff, block, (size_t)length))
				return false;
		} else {
			/* a request that waited here too long is not passed on */
			if (gw_has_hung_up(side->source.fd))
				return false;
			handoff->used = true;
			if (!pass_request(handoff, block, (size_t)length))
				return false;
		}
		if ((size_t)length < sizeof(block))
			break;
	}
	return true;
}

/* @return whether the caller has left while requests of it are held back */
static bool
has_left(const struct gw_handoff *handoff, enum handoff_end end,
    uint32_t events)
{
	return end == END_CALLER && handoff->held->len > 0 &&
	    (events & (EPOLLRDHUP | EPOLLHUP)) != 0;
}

void
gw_handoff_update(struct gw_handoff *handoff)
{
	if (handoff->sides[END_CALLER].shut && handoff->sides[END_PEER].shut &&
	    handoff->sides[END_CALLER].ended)
		gw_handoff_remove(handoff);
	else
		update_watches(handoff);
}

void
gw_handoff_relay(struct gw_handoff *handoff, enum handoff_end end,
    uint32_t events)
{
	struct handoff_side *side = &handoff->sides[end];
	bool sound = (events & EPOLLERR) == 0;

	if (sound && side->pending->len > 0 && (events & EPOLLOUT) != 0) {
		sound = flush_pending(side);
		handoff->moved_ms = gw_now_ms(handoff->gateway);
	}
	if (sound && !side->ended && (events & (EPOLLIN | EPOLLHUP)) != 0)
		sound = read_side(handoff, end);
	if (has_left(handoff, end, events) ||
	    (!sound && gw_has_hung_up(handoff->sides[END_CALLER].source.fd))) {
		gw_handoff_abort(handoff);
		return;
	}
	if (!sound)
		gw_handoff_drop_peer(handoff);
	pass_caller_end(handoff);
	pass_peer_end(handoff);
	if (!handoff->removed)
		gw_handoff_update(handoff);
}
