#include "bamboorudderd/drain.h"

#include <time.h>

#include "bamboorudderd/listener.h"
#include "common/log.h"

#define POLL_INTERVAL_MS 20u
#define NS_PER_MS 1000000L
/* Time until the server has closed all idle keep-alive connections. */
#define IDLE_CONNECTIONS_MAX_MS (FRONTEND_KEEP_ALIVE_MS + 500u)
#define CLOSE_TIMEOUT_MS 2000u

/* State of a shutdown. */
struct drain {
	struct frontend *frontend;
	struct control *control;
	const sigset_t *signals;
	struct listener listener;
	uint32_t waited_ms; /* sum of the poll intervals so far */
	bool aborted; /* by a signal or the timeout */
};

/* Waits for a poll interval. @return false to stop waiting */
static bool
drain_wait(struct drain *drain)
{
	struct timespec pause = { 0, POLL_INTERVAL_MS * NS_PER_MS };
	int signal_number = sigtimedwait(drain->signals, NULL, &pause);

	drain->waited_ms += POLL_INTERVAL_MS;
	if (signal_number == SIGTERM || signal_number == SIGINT ||
	    drain->waited_ms >= drain->frontend->settings->drain_timeout_ms)
		drain->aborted = true;
	return !drain->aborted;
}

static bool
has_connections(const struct drain *drain)
{
	return listener_has_pending(&drain->listener) ||
	    atomic_load(&drain->frontend->connection_count) > 0;
}

/* Waits for running requests and, for a limited time, for connections that were
 * accepted before the drain started. New requests get an error response that
 * states that they were not run. */
static void
wait_for_requests(struct drain *drain)
{
	while (control_active_count(drain->control) > 0 ||
	    (atomic_load(&drain->frontend->pre_drain_connection_count) > 0 &&
		drain->waited_ms < IDLE_CONNECTIONS_MAX_MS))
		if (!drain_wait(drain))
			return;
}

/* Drops attempts to connect and waits, for CLOSE_TIMEOUT_MS at most, until all
 * open connections are closed. */
static void
wait_for_connections(struct drain *drain)
{
	uint32_t begin_ms = drain->waited_ms;

	if (!listener_drop_syn(&drain->listener))
		log_event(LOG_LEVEL_WARN, "listener_not_drained", NULL);
	/* Handshakes in progress complete within the first interval. */
	do
		if (!drain_wait(drain))
			return;
	while ((control_active_count(drain->control) > 0 ||
		   has_connections(drain)) &&
	    drain->waited_ms - begin_ms < CLOSE_TIMEOUT_MS);
}

bool
drain_run(struct frontend *frontend, struct control *control,
    const sigset_t *signals)
{
	struct drain drain = { .frontend = frontend,
		.control = control,
		.signals = signals };

	log_event(LOG_LEVEL_INFO, "draining", NULL);
	listener_init(&drain.listener, frontend->settings->listen_address);
	atomic_store(&frontend->draining, 1);
	control_drain(control);
	if (frontend->settings->drain_timeout_ms > 0)
		wait_for_requests(&drain);
	log_event(LOG_LEVEL_INFO, "requests_ended", NULL);
	if (!drain.aborted)
		wait_for_connections(&drain);
	log_event(LOG_LEVEL_INFO, "connections_ended", NULL);
	return control_active_count(control) == 0 && !has_connections(&drain);
}
