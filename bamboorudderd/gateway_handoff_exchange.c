#include <sys/epoll.h>
#include <sys/socket.h>

#include "bamboorudderd/gateway_handoff_private.h"
#include "common/log.h"
#include "common/metric.h"

#define TEXT_BYTES 24
#define RESPONSE_MAX_BYTES 96

static void
clear_head(struct gw_handoff *handoff)
{
	if (handoff->head == NULL)
		return;
	wire_request_finish(handoff->head);
	g_free(handoff->head);
	handoff->head = NULL;
}

static void
on_header(void *context, const char *name, const char *value)
{
	struct gw_handoff *handoff = context;

	if (handoff->head == NULL) {
		handoff->head = g_new(struct wire_request, 1);
		wire_request_init(handoff->head);
	}
	wire_parse_request_header(handoff->head, name, value);
}

static void
on_head_end(void *context, const char *target)
{
	struct gw_handoff *handoff = context;
	const struct gateway *gateway = handoff->gateway;
	const struct wire_request *head = handoff->head;
	const struct config_route *route = NULL;

	if (head != NULL && gateway->configuration != NULL)
		route = config_snapshot_find_route(gateway->configuration,
		    head->host, target);
	handoff->begun_ms = gw_now_ms(gateway);
	handoff->deadline_ms = handoff->begun_ms +
	    gw_time_limit_ms(route, head == NULL ? 0 : head->remaining_ms);
	g_strlcpy(handoff->request_id, head == NULL ? "" : head->request_id,
	    sizeof(handoff->request_id));
	clear_head(handoff);
}

static const struct http_exchange_ops exchange_ops = {
	.on_header = on_header,
	.on_head_end = on_head_end,
};

void
gw_handoff_exchange_init(struct gw_handoff *handoff)
{
	http_exchange_init(&handoff->exchange, &exchange_ops, handoff);
	handoff->held = g_byte_array_new();
	handoff->deadline_ms = UINT64_MAX;
}

void
gw_handoff_exchange_finish(struct gw_handoff *handoff)
{
	http_exchange_finish(&handoff->exchange);
	clear_head(handoff);
	g_byte_array_free(handoff->held, TRUE);
}

struct handoff_exchange
gw_handoff_describe(const struct gw_handoff *handoff)
{
	const struct http_exchange *exchange = &handoff->exchange;
	bool peer_blocks = handoff->sides[END_PEER].pending->len > 0;
	bool caller_blocks = handoff->sides[END_CALLER].pending->len > 0;

	return (struct handoff_exchange){
		.in_progress = http_exchange_in_progress(exchange) &&
		    !exchange->answered,
		.whole = exchange->whole && !handoff->cut && !peer_blocks,
		.answering = exchange->answering,
		.opaque = exchange->opaque,
		.waits_for_caller = caller_blocks ||
		    (!exchange->whole && !exchange->answering &&
			!exchange->opaque && !peer_blocks),
		.deadline_ms = handoff->deadline_ms,
		.moved_ms = handoff->moved_ms,
	};
}

static void
log_unanswered(const struct gw_handoff *handoff, uint32_t status)
{
	const struct gateway *gateway = handoff->gateway;
	const struct gw_peer *peer = gw_find_peer(gateway,
	    gw_handoff_peer_id(handoff));
	char waited[TEXT_BYTES], text[TEXT_BYTES];

	metric_add(METRIC_HANDOFFS_UNANSWERED, 1);
	g_snprintf(waited, TEXT_BYTES, "%" G_GUINT64_FORMAT,
	    handoff->deadline_ms == UINT64_MAX
		? 0
		: gw_now_ms(gateway) - handoff->begun_ms);
	g_snprintf(text, TEXT_BYTES, "%u", status);
	log_event(LOG_LEVEL_INFO, "handoff_unanswered", "id",
	    handoff->request_id, "peer", peer == NULL ? "-" : peer->host,
	    "waited_ms", waited, "status", status == 0 ? "-" : text, NULL);
}

static void
send_status(const struct gw_handoff *handoff, uint32_t status)
{
	char text[RESPONSE_MAX_BYTES];
	int length = g_snprintf(text, sizeof(text),
	    "HTTP/1.1 %u %s\r\nConnection: close\r\n"
	    "Content-Length: 0\r\n\r\n",
	    status, status == 504 ? "Gateway Timeout" : "Bad Gateway");

	send(handoff->sides[END_CALLER].source.fd, text, (size_t)length,
	    MSG_NOSIGNAL);
}

void
gw_handoff_end_exchange(struct gw_handoff *handoff, enum handoff_ending ending,
    uint32_t status)
{
	struct handoff_side *caller = &handoff->sides[END_CALLER];

	switch (ending) {
	case HANDOFF_END_NOT_RUN:
		log_unanswered(handoff, 503);
		gw_refuse_unread(handoff->gateway, caller->source.fd);
		break;
	case HANDOFF_END_UNKNOWN:
		log_unanswered(handoff, status);
		send_status(handoff, status);
		break;
	case HANDOFF_END_NOTHING:
		/* its next request was not passed on */
		if (handoff->held->len > 0 ||
		    (!caller->ended && gw_has_unread(caller->source.fd)))
			gw_refuse_unread(handoff->gateway, caller->source.fd);
		break;
	case HANDOFF_END_RESET:
		log_unanswered(handoff, 0);
		gw_handoff_abort(handoff);
		return;
	}
	caller->shut = true;
	shutdown(caller->source.fd, SHUT_WR);
	handoff->ended_ms[END_PEER] = gw_now_ms(handoff->gateway);
}

static void
give_up(struct gw_handoff *handoff, enum handoff_ending ending)
{
	struct gateway *gateway = handoff->gateway;

	handoff_record_answer(&gateway->handoff, gw_handoff_peer_id(handoff),
	    HANDOFF_SILENT, gw_now_ms(gateway));
	gw_handoff_drop_peer(handoff);
	gw_handoff_end_exchange(handoff, ending, 504);
	if (!handoff->removed)
		gw_handoff_update(handoff);
}

static bool
is_due(const struct gw_handoff *handoff, uint64_t now_ms)
{
	const struct handoff_exchange exchange = gw_handoff_describe(handoff);

	return !handoff->sides[END_PEER].ended &&
	    now_ms >= handoff_exchange_due_ms(&exchange);
}

void
gw_handoff_check_exchange(struct gw_handoff *handoff, uint64_t now_ms)
{
	struct handoff_exchange exchange;

	if (!is_due(handoff, now_ms))
		return;
	/* the response may have come while this daemon was busy */
	if (gw_has_unread(handoff->sides[END_PEER].source.fd)) {
		gw_handoff_relay(handoff, END_PEER, EPOLLIN);
		if (handoff->removed || !is_due(handoff, now_ms))
			return;
	}
	exchange = gw_handoff_describe(handoff);
	give_up(handoff, handoff_exchange_end(&exchange));
}
