#include "bamboorudderd/table_watcher.h"

#include <glib.h>
#include <string.h>
#include <time.h>

#include "common/log.h"

#define BACKOFF_MIN_MS 100u
#define BACKOFF_MAX_MS 2000u
#define POLL_WAIT_MS 1u
#define MS_PER_S 1000u
#define NS_PER_MS 1000000L
#define NS_PER_S 1000000000L

/* Returns early if the watcher is stopping or its period changes. */
static void
wait_interruptible(struct table_watcher *watcher, uint32_t wait_ms)
{
	uint32_t period_ms = atomic_load(&watcher->poll_period_ms);
	struct timespec deadline;

	clock_gettime(CLOCK_MONOTONIC, &deadline);
	deadline.tv_sec += wait_ms / MS_PER_S;
	deadline.tv_nsec += (long)(wait_ms % MS_PER_S) * NS_PER_MS;
	if (deadline.tv_nsec >= NS_PER_S) {
		deadline.tv_sec++;
		deadline.tv_nsec -= NS_PER_S;
	}
	pthread_mutex_lock(&watcher->mutex);
	while (!atomic_load(&watcher->stopping) &&
	    atomic_load(&watcher->poll_period_ms) == period_ms &&
	    pthread_cond_clockwait(&watcher->wakeup, &watcher->mutex,
		CLOCK_MONOTONIC, &deadline) == 0)
		continue;
	pthread_mutex_unlock(&watcher->mutex);
}

/* Logs when the platform becomes unreachable or reachable. */
static void
log_platform_state(struct table_watcher *watcher, bool unreachable,
    const char *message)
{
	if (atomic_exchange(&watcher->platform_unreachable, unreachable) ==
	    unreachable)
		return;
	log_event(unreachable ? LOG_LEVEL_WARN : LOG_LEVEL_INFO,
	    unreachable ? "platform_lost" : "platform_reached", "table",
	    table_kind_name(watcher->kind), "reason", message, NULL);
}

/* Fetches a newer version if there is one: waits for it by long polling or, if
 * a polling period is set, only checks for it. @return false if the call to the
 * platform failed */
static bool
fetch_newer(struct table_watcher *watcher, uint64_t *version)
{
	struct platform *platform = watcher->platform;
	bool polls = atomic_load(&watcher->poll_period_ms) != 0;
	struct platform_object object;
	GError *error = NULL;

	if (!platform->ops->watch(platform, table_kind_name(watcher->kind),
		*version, polls ? POLL_WAIT_MS : watcher->wait_ms, &object,
		&error)) {
		log_platform_state(watcher, true, error->message);
		g_error_free(error);
		return false;
	}
	log_platform_state(watcher, false, "");
	if (object.text == NULL)
		return true;
	*version = object.version;
	tablestore_update(watcher->store, watcher->kind, object.version,
	    object.text);
	g_free(object.text);
	return true;
}

/* Random time around the period, to spread the requests of the fleet. */
static uint32_t
jitter_ms(uint32_t period_ms)
{
	return period_ms / 2 +
	    (uint32_t)g_random_int_range(0, (gint32)period_ms + 1);
}

static void *
table_watcher_main(void *pointer)
{
	struct table_watcher *watcher = pointer;
	uint32_t backoff_ms = BACKOFF_MIN_MS, period_ms;
	uint64_t version = 0;

	while (!atomic_load(&watcher->stopping)) {
		bool reached = fetch_newer(watcher, &version);

		period_ms = atomic_load(&watcher->poll_period_ms);
		if (period_ms != 0)
			wait_interruptible(watcher, jitter_ms(period_ms));
		else if (!reached) {
			wait_interruptible(watcher, jitter_ms(backoff_ms));
			backoff_ms = MIN(2 * backoff_ms, BACKOFF_MAX_MS);
		}
		if (reached)
			backoff_ms = BACKOFF_MIN_MS;
	}
	return NULL;
}

void
table_watcher_set_period(struct table_watcher *watcher, uint32_t poll_period_ms)
{
	uint32_t before_ms = atomic_load(&watcher->poll_period_ms);

	/* Small changes in the size of the fleet must not interrupt a wait. */
	if (before_ms == poll_period_ms ||
	    (before_ms != 0 && poll_period_ms != 0 &&
		poll_period_ms < 2 * before_ms &&
		before_ms < 2 * poll_period_ms))
		return;
	pthread_mutex_lock(&watcher->mutex);
	atomic_store(&watcher->poll_period_ms, poll_period_ms);
	pthread_cond_signal(&watcher->wakeup);
	pthread_mutex_unlock(&watcher->mutex);
}

void
table_watcher_init(struct table_watcher *watcher, struct platform *platform,
    struct tablestore *store, enum table_kind kind, uint32_t wait_ms)
{
	memset(watcher, 0, sizeof(*watcher));
	watcher->platform = platform;
	watcher->store = store;
	watcher->kind = kind;
	watcher->wait_ms = wait_ms;
	pthread_mutex_init(&watcher->mutex, NULL);
	pthread_cond_init(&watcher->wakeup, NULL);
	pthread_create(&watcher->thread, NULL, table_watcher_main, watcher);
}

void
table_watcher_finish(struct table_watcher *watcher)
{
	pthread_mutex_lock(&watcher->mutex);
	atomic_store(&watcher->stopping, 1);
	pthread_cond_signal(&watcher->wakeup);
	pthread_mutex_unlock(&watcher->mutex);
	pthread_join(watcher->thread, NULL);
	pthread_mutex_destroy(&watcher->mutex);
	pthread_cond_destroy(&watcher->wakeup);
}
