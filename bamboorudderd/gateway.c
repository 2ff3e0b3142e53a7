#include "bamboorudderd/gateway.h"

#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "bamboorudderd/gateway_private.h"
#include "common/log.h"

#define EVENTS_PER_WAIT 64
#define CHECK_PERIOD_MS 50u
/* Share of the time within which a revoked key has to stop working; the
 * configuration is read from the store if peers have not confirmed it for that
 * long. */
#define FRESHNESS_PERCENT 40u
/* The same time if no limit on the use of revoked keys is set. */
#define FRESHNESS_MAX_MS 1500u
#define FRESHNESS_SPREAD_PERCENT 24u
/* Shares of the maximum age of the list of endpoints: how long a watch waits,
 * and after how long without confirmation a daemon that does not watch reads
 * the list from the store. */
#define LIST_WATCH_PERCENT 50u
#define LIST_POLL_PERCENT 75u
#define LIST_SPREAD_PERCENT 15u
/* The same for the drained failure domains: a change has to reach the daemons
 * that don't watch, too. */
#define DOMAINS_WATCH_PERCENT 40u
#define DOMAINS_POLL_PERCENT 50u
#define DOMAINS_SPREAD_PERCENT 15u
/* Time without requests after which the process may exit. */
#define DRAIN_IDLE_MS 300u
/* Time that the rest of the process needs to stop. */
#define DRAIN_ENDS_SOON_MS 1500u
/* Time for the answers to be written. */
#define DRAIN_FLUSH_MS 100u

uint64_t
gw_now_ms(const struct gateway *gateway)
{
	return clk_monotonic_ms(&gateway->clk);
}

void
gw_source_add(struct gateway *gateway, struct gw_source *source,
    uint32_t events)
{
	struct epoll_event event = { .events = events, .data.ptr = source };

	if (epoll_ctl(gateway->epoll_fd, EPOLL_CTL_ADD, source->fd, &event) !=
	    0)
		log_event(LOG_LEVEL_ERROR, "watch_failed", NULL);
}

void
gw_source_set(struct gateway *gateway, const struct gw_source *source,
    uint32_t events)
{
	struct epoll_event event = { .events = events,
		.data.ptr = (void *)source };

	epoll_ctl(gateway->epoll_fd, EPOLL_CTL_MOD, source->fd, &event);
}

static void
on_event(struct gateway *gateway, const struct epoll_event *event)
{
	struct gw_source *source = event->data.ptr;

	switch (source->kind) {
	case GW_SOURCE_SERVER:
		gateway->server_due = true;
		break;
	case GW_SOURCE_READINESS:
		MHD_run(gateway->readiness_server);
		break;
	case GW_SOURCE_MAILBOX:
		gw_mailbox_run(gateway);
		break;
	case GW_SOURCE_TRANSFER:
		gw_transfers_on_event(gateway, source->fd, event->events);
		break;
	case GW_SOURCE_CALLER:
		gw_request_disconnected(source->request);
		break;
	case GW_SOURCE_LISTEN:
		gw_accept_callers(gateway);
		break;
	case GW_SOURCE_PEERS_LISTEN:
		gw_accept_peers(gateway);
		break;
	case GW_SOURCE_GREETING:
		gw_greeting_on_event(gateway, source->greeting);
		break;
	case GW_SOURCE_HANDOFF:
		gw_handoff_on_event(source, event->events);
		break;
	case GW_SOURCE_TURNED_AWAY:
		gw_turned_away_on_event(gateway, source->turned_away);
		break;
	case GW_SOURCE_REMOVED:
		break;
	}
}

static void
check_deadlines(struct gateway *gateway, uint64_t now_ms)
{
	struct gw_request *request, *next;

	for (request = LIST_FIRST(&gateway->requests); request != NULL;
	     request = next) {
		next = LIST_NEXT(request, entries);
		gw_request_check_deadline(request, now_ms);
	}
}

static void
end_requests_for_exit(struct gateway *gateway)
{
	struct gw_request *request, *next;

	for (request = LIST_FIRST(&gateway->requests); request != NULL;
	     request = next) {
		next = LIST_NEXT(request, entries);
		gw_request_end_for_exit(request);
	}
}

/* Tells whether a caller still sends a request or receives a response. */
static bool
has_unfinished_exchanges(const struct gateway *gateway)
{
	const struct gw_request *request;

	LIST_FOREACH(request, &gateway->requests, entries)
	{
		if (request->head_received && !request->server_done &&
		    !request->disconnected)
			return true;
	}
	return false;
}

/* Answers the requests that still run, and refuses further ones. */
static void
begin_shutdown(struct gateway *gateway, uint64_t now_ms)
{
	if (gateway->shutting_down)
		return;
	gateway->shutting_down = true;
	gateway->shutdown_ms = now_ms;
	end_requests_for_exit(gateway);
}

/* Ends draining once no request has been active for a while, or at the latest
 * shortly before the platform kills the process. */
static void
check_drain(struct gateway *gateway, uint64_t now_ms)
{
	uint64_t draining_ms = now_ms - gateway->drain_start_ms;
	uint64_t end_ms = drain_admission_end_ms(&gateway->admission);
	bool time_is_up = now_ms >= end_ms;

	if (now_ms + DRAIN_ENDS_SOON_MS >= end_ms)
		atomic_store(&gateway->drain_ends_soon, 1);
	if (gateway->active_count > 0 || gateway->handoffs_count > 0 ||
	    has_unfinished_exchanges(gateway))
		gateway->idle_since_ms = now_ms;
	if (time_is_up ||
	    (draining_ms >= DRAIN_ACCEPT_MS &&
		now_ms >= gateway->idle_since_ms + DRAIN_IDLE_MS))
		begin_shutdown(gateway, now_ms);
	if (gateway->shutting_down &&
	    now_ms >= gateway->shutdown_ms + DRAIN_FLUSH_MS)
		atomic_store(&gateway->drained, 1);
}

static int32_t
wait_timeout_ms(struct gateway *gateway, uint64_t now_ms)
{
	uint64_t due_ms = gateway->check_due_ms;
	MHD_UNSIGNED_LONG_LONG server_ms;

	if (gateway->transfers_due_ms != 0)
		due_ms = MIN(due_ms, gateway->transfers_due_ms);
	if (gateway->streams_count > 0)
		due_ms = MIN(due_ms, gateway->stream_poll_due_ms);
	if (MHD_get_timeout(gateway->server, &server_ms) == MHD_YES) {
		due_ms = MIN(due_ms, now_ms + server_ms);
		gateway->server_due |= server_ms == 0;
	}
	return due_ms <= now_ms ? 0 : (int32_t)(due_ms - now_ms);
}

static void
run_timers(struct gateway *gateway, uint64_t now_ms)
{
	if (gateway->transfers_due_ms != 0 &&
	    gateway->transfers_due_ms <= now_ms)
		gw_transfers_on_timer(gateway);
	if (gateway->streams_count > 0 &&
	    gateway->stream_poll_due_ms <= now_ms) {
		gateway->stream_poll_due_ms = now_ms +
		    load_shedder_stream_period_ms(&gateway->load_shedder,
			gateway->settings->stream_delay_ms);
		gw_transfers_poll_streams(gateway);
		gateway->server_due = true;
	}
	if (gateway->check_due_ms > now_ms)
		return;
	gw_load_check(gateway, now_ms);
	gw_memory_report(gateway);
	gw_accept_check(gateway, now_ms);
	gw_handoffs_check(gateway, now_ms);
	gw_turned_away_check(gateway, now_ms);
	gateway->check_due_ms = now_ms + CHECK_PERIOD_MS;
	check_deadlines(gateway, now_ms);
	if (gateway->draining)
		check_drain(gateway, now_ms);
	/* lets the server apply its own timeouts */
	gateway->server_due = true;
}

static void *
gateway_main(void *pointer)
{
	struct gateway *gateway = pointer;
	struct epoll_event events[EVENTS_PER_WAIT];

	gw_load_start(gateway);
	while (!gateway->stopping) {
		uint64_t now_ms = gw_now_ms(gateway);
		int32_t timeout_ms = wait_timeout_ms(gateway, now_ms);
		uint64_t wait_start_us = clk_monotonic_us(&gateway->clk);
		int count = epoll_wait(gateway->epoll_fd, events,
		    EVENTS_PER_WAIT, timeout_ms);

		if (timeout_ms > 0)
			gw_load_add_idle(gateway,
			    clk_monotonic_us(&gateway->clk) - wait_start_us);
		/* while others wait, no new connection may be lost */
		if (count == EVENTS_PER_WAIT)
			gw_accept_callers(gateway);
		for (int i = 0; i < count; i++)
			on_event(gateway, &events[i]);
		g_ptr_array_set_size(gateway->removed_sources, 0);
		run_timers(gateway, gw_now_ms(gateway));
		if (gateway->server_due) {
			gateway->server_due = false;
			MHD_run(gateway->server);
		}
	}
	return NULL;
}

gboolean
gateway_init(struct gateway *gateway, const struct settings *settings,
    struct control *control, GError **error)
{
	uint32_t age_ms = settings->endpoints_age_ms;
	uint32_t domains_age_ms = settings->domains_age_ms;
	struct feed_config feed_config = {
		.url = settings->platform_url,
		.timings[RESOURCE_CONFIGURATION] = {
			.watch_wait_ms = settings->watch_wait_ms,
			.freshness_max_ms = settings->revoke_ms == 0
			    ? FRESHNESS_MAX_MS
			    : settings->revoke_ms * FRESHNESS_PERCENT / 100,
			.freshness_spread_ms = settings->revoke_ms *
			    FRESHNESS_SPREAD_PERCENT / 100,
		},
		.timings[RESOURCE_ENDPOINTS] = {
			.watch_wait_ms = age_ms * LIST_WATCH_PERCENT / 100,
			.freshness_max_ms = age_ms * LIST_POLL_PERCENT / 100,
			.freshness_spread_ms = age_ms * LIST_SPREAD_PERCENT /
			    100,
		},
		.timings[RESOURCE_DRAINED_DOMAINS] = {
			.watch_wait_ms = domains_age_ms *
			    DOMAINS_WATCH_PERCENT / 100,
			.freshness_max_ms = domains_age_ms *
			    DOMAINS_POLL_PERCENT / 100,
			.freshness_spread_ms = domains_age_ms *
			    DOMAINS_SPREAD_PERCENT / 100,
		},
		.reads_drained_domains = domains_age_ms > 0,
		.timeout_ms = settings->platform_timeout_ms,
		.spread_permille = control->dispatch.config.node_id % 1000,
	};

	memset(gateway, 0, sizeof(*gateway));
	gateway->settings = settings;
	gateway->control = control;
	control->gateway = gateway;
	gateway->synced[RESOURCE_DRAINED_DOMAINS] = domains_age_ms == 0;
	clk_init_system(&gateway->clk);
	pthread_mutex_init(&gateway->mailbox_mutex, NULL);
	STAILQ_INIT(&gateway->mailbox);
	LIST_INIT(&gateway->requests);
	gateway->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	gateway->stream_epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	gateway->rejection_holds = g_hash_table_new_full(g_int64_hash,
	    g_int64_equal, g_free, g_free);
	gateway->undecided_counts = g_hash_table_new_full(g_int64_hash,
	    g_int64_equal, g_free, g_free);
	load_shedder_init(&gateway->load_shedder);
	gw_memory_init(gateway);
	gw_peers_init(gateway);
	gateway->mailbox_source.kind = GW_SOURCE_MAILBOX;
	gateway->mailbox_source.fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	gw_source_add(gateway, &gateway->mailbox_source, EPOLLIN);
	if (!gw_transfers_init(gateway) || !gw_server_init(gateway, error))
		return FALSE;
	pthread_create(&gateway->thread, NULL, gateway_main, gateway);
	feed_init(&gateway->feed, &feed_config, &gw_feed_sink, gateway);
	return TRUE;
}

static void
run_drain(struct gateway *gateway, void *context)
{
	uint64_t *signal_ms = context;

	gateway->draining = true;
	drain_admission_begin(&gateway->admission, *signal_ms,
	    gateway->settings->shutdown_grace_ms);
	g_free(signal_ms);
	gateway->drain_start_ms = gw_now_ms(gateway);
	gateway->idle_since_ms = gateway->drain_start_ms;
	gw_observe_drain(gateway);
	gw_handoffs_stop(gateway);
}

void
gateway_drain(struct gateway *gateway, uint64_t signal_ms)
{
	gw_mailbox_post(gateway, run_drain,
	    g_memdup2(&signal_ms, sizeof(signal_ms)));
}

static void
run_end_drain(struct gateway *gateway, void *context)
{
	(void)context;
	begin_shutdown(gateway, gw_now_ms(gateway));
}

void
gateway_end_drain(struct gateway *gateway)
{
	gw_mailbox_post(gateway, run_end_drain, NULL);
}

bool
gateway_drain_ends_soon(struct gateway *gateway)
{
	return atomic_load(&gateway->drain_ends_soon) != 0;
}

void
gateway_stop_feed(struct gateway *gateway)
{
	feed_stop(&gateway->feed);
}

bool
gateway_drained(struct gateway *gateway)
{
	return atomic_load(&gateway->drained) != 0;
}

static void
run_stop(struct gateway *gateway, void *context)
{
	struct gw_request *request;

	(void)context;
	/* the server must not be stopped with suspended connections */
	LIST_FOREACH(request, &gateway->requests, entries)
	{
		gw_request_disconnected(request);
	}
	MHD_run(gateway->server);
	gateway->stopping = true;
}

/* Frees the requests whose decisions will not come any more. */
static void
release_undecided(struct gateway *gateway)
{
	struct gw_request *request, *next;

	for (request = LIST_FIRST(&gateway->requests); request != NULL;
	     request = next) {
		next = LIST_NEXT(request, entries);
		request->decision_pending = false;
		request->server_done = true;
		gw_request_release(request);
	}
}

void
gateway_finish(struct gateway *gateway)
{
	feed_finish(&gateway->feed);
	gw_mailbox_post(gateway, run_stop, NULL);
	pthread_join(gateway->thread, NULL);
	gw_handoffs_finish(gateway);
	gw_turned_away_finish(gateway);
	gw_accept_finish(gateway);
	gw_server_finish(gateway);
	gw_mailbox_run(gateway);
	release_undecided(gateway);
	gw_transfers_finish(gateway);
	config_snapshot_unref(gateway->configuration);
	g_hash_table_destroy(gateway->rejection_holds);
	g_hash_table_destroy(gateway->undecided_counts);
	load_shedder_finish(&gateway->load_shedder);
	gw_peers_finish(gateway);
	gw_memory_finish(gateway);
	pthread_mutex_destroy(&gateway->mailbox_mutex);
	close(gateway->mailbox_source.fd);
	close(gateway->stream_epoll_fd);
	close(gateway->epoll_fd);
}
