#include "bamboorudderd/drain.h"

#include <time.h>

#include "bamboorudderd/listener.h"
#include "common/log.h"

#define POLL_MS 20u
#define NS_PER_MS 1000000L
/* Idle connections of callers end by themselves within this time. */
#define IDLE_MAX_MS (FRONT_KEEP_ALIVE_MS + 500u)
#define CLOSING_MAX_MS 2000u

/* One shutdown; its time is counted in pauses. */
struct drain {
	struct front *front;
	struct control *control;
	const sigset_t *signals;
	struct listener listener;
	uint32_t waited_ms;
	bool ended; /* by a signal or the limit */
};

/* Pauses once. @return false once the shutdown must not wait longer */
static bool
drain_pause(struct drain *drain)
{
	struct timespec pause = { 0, POLL_MS * NS_PER_MS };
	int signal_number = sigtimedwait(drain->signals, NULL, &pause);

	drain->waited_ms += POLL_MS;
	if (signal_number == SIGTERM || signal_number == SIGINT ||
	    drain->waited_ms >= drain->front->settings->drain_timeout_ms)
		drain->ended = true;
	return !drain->ended;
}

static bool
has_connections(const struct drain *drain)
{
	return listener_has_waiting(&drain->listener) ||
	    atomic_load(&drain->front->connection_count) > 0;
}

/* New requests are still answered: refused as not run. */
static void
wait_for_requests(struct drain *drain)
{
	while (control_active_count(drain->control) > 0 ||
	    (atomic_load(&drain->front->earlier_count) > 0 &&
		drain->waited_ms < IDLE_MAX_MS))
		if (!drain_pause(drain))
			return;
}

/* From here on callers find no listener; those that came before do. */
static void
wait_for_connections(struct drain *drain)
{
	uint32_t begin_ms = drain->waited_ms;

	if (!listener_drop_new(&drain->listener))
		log_event(LOG_LEVEL_WARN, "listener_not_drained", NULL);
	/* a handshake that has begun ends within the first pause */
	do
		if (!drain_pause(drain))
			return;
	while ((control_active_count(drain->control) > 0 ||
		   has_connections(drain)) &&
	    drain->waited_ms - begin_ms < CLOSING_MAX_MS);
}

bool
drain_run(struct front *front, struct control *control, const sigset_t *signals)
{
	struct drain drain = { .front = front,
		.control = control,
		.signals = signals };

	log_event(LOG_LEVEL_INFO, "draining", NULL);
	listener_init(&drain.listener, front->settings->listen_address);
	atomic_store(&front->draining, 1);
	control_drain(control);
	if (front->settings->drain_timeout_ms > 0)
		wait_for_requests(&drain);
	log_event(LOG_LEVEL_INFO, "requests_ended", NULL);
	if (!drain.ended)
		wait_for_connections(&drain);
	log_event(LOG_LEVEL_INFO, "connections_ended", NULL);
	return control_active_count(control) == 0 && !has_connections(&drain);
}
