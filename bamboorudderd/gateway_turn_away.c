#include <errno.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bamboorudderd/gateway_private.h"
#include "common/metric.h"

/* Time that a caller has to send its request. */
#define REQUEST_WAIT_MS 1000u
/* Time that it has after that to take the response and close its side. */
#define LINGER_MS 300u
#define TURN_AWAY_MAX_COUNT 1024u
#define BLOCK_BYTES (16u * 1024u)
/* Read before other events are handled. */
#define BLOCKS_PER_EVENT 4
#define RESPONSE_MAX_BYTES 160

/** A connection that is refused without the server. What its caller sends is
 * discarded, since closing a connection with unread bytes resets it, and the
 * response would be lost. */
struct gw_turned_away {
	LIST_ENTRY(gw_turned_away) entries;
	struct gw_source source;
	uint64_t due_ms; /**< when it is closed at the latest */
	bool watched; /**< part of the event loop */
	bool responded;
};

static void
finish(struct gateway *gateway, struct gw_turned_away *item)
{
	LIST_REMOVE(item, entries);
	gateway->turned_away_count--;
	close(item->source.fd);
	item->source.kind = GW_SOURCE_REMOVED;
	/* an event read earlier may still refer to it */
	g_ptr_array_add(gateway->removed_sources, item);
}

void
gw_refuse_unread(struct gateway *gateway, int fd)
{
	uint32_t retry_after_ms = gw_load_retry_after_ms(gateway,
	    g_random_int(), gw_now_ms(gateway));
	char text[RESPONSE_MAX_BYTES];
	int length = g_snprintf(text, sizeof(text),
	    "HTTP/1.1 503 Service Unavailable\r\n"
	    "Retry-After: %u.%03u\r\n"
	    "Connection: close\r\nContent-Length: 0\r\n\r\n",
	    retry_after_ms / 1000, retry_after_ms % 1000);

	send(fd, text, (size_t)length, MSG_NOSIGNAL);
}

static void
respond(struct gateway *gateway, struct gw_turned_away *item)
{
	item->responded = true;
	item->due_ms = gw_now_ms(gateway) + LINGER_MS;
	gw_refuse_unread(gateway, item->source.fd);
	shutdown(item->source.fd, SHUT_WR);
}

void
gw_turned_away_on_event(struct gateway *gateway, struct gw_turned_away *item)
{
	uint8_t block[BLOCK_BYTES];

	for (int i = 0; i < BLOCKS_PER_EVENT; i++) {
		ssize_t length = recv(item->source.fd, block, sizeof(block), 0);

		if (length < 0 && errno == EAGAIN)
			return;
		if (length <= 0) {
			finish(gateway, item);
			return;
		}
		if (!item->responded)
			respond(gateway, item);
		if ((size_t)length < sizeof(block))
			return;
	}
}

static void
watch(struct gateway *gateway, struct gw_turned_away *item)
{
	if (!item->watched)
		gw_source_add(gateway, &item->source, EPOLLIN);
	item->watched = true;
}

bool
gw_turn_away(struct gateway *gateway, int fd)
{
	struct gw_turned_away *item;

	if (gateway->turned_away_count >= TURN_AWAY_MAX_COUNT)
		return false;
	metric_add(METRIC_CONNECTIONS_TURNED_AWAY, 1);
	gateway->load_counts.turned_away_count++;
	item = g_new0(struct gw_turned_away, 1);
	item->source.kind = GW_SOURCE_TURNED_AWAY;
	item->source.fd = fd;
	item->source.turned_away = item;
	item->due_ms = gw_now_ms(gateway) + REQUEST_WAIT_MS;
	gateway->turned_away_count++;
	LIST_INSERT_HEAD(&gateway->turned_away, item, entries);
	/* what waited to be accepted has mostly sent its request */
	gw_turned_away_on_event(gateway, item);
	if (item->source.kind != GW_SOURCE_REMOVED && !item->responded)
		watch(gateway, item);
	return true;
}

void
gw_turned_away_check(struct gateway *gateway, uint64_t now_ms)
{
	struct gw_turned_away *item, *next;

	for (item = LIST_FIRST(&gateway->turned_away); item != NULL;
	     item = next) {
		next = LIST_NEXT(item, entries);
		/* its request may have come while this daemon was busy */
		if (!item->watched || now_ms >= item->due_ms)
			gw_turned_away_on_event(gateway, item);
		if (item->source.kind != GW_SOURCE_REMOVED &&
		    now_ms >= item->due_ms)
			finish(gateway, item);
	}
}

void
gw_turned_away_finish(struct gateway *gateway)
{
	while (!LIST_EMPTY(&gateway->turned_away))
		finish(gateway, LIST_FIRST(&gateway->turned_away));
}
