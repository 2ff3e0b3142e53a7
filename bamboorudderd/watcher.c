#include "bamboorudderd/watcher.h"

#include <glib.h>
#include <string.h>
#include <time.h>

#include "common/log.h"

#define RETRY_MIN_MS 100u
#define RETRY_MAX_MS 2000u
#define MS_PER_S 1000u
#define NS_PER_MS 1000000L
#define NS_PER_S 1000000000L

static void
pause_ms(struct watcher *watcher, uint32_t wait_ms)
{
	struct timespec end;

	clock_gettime(CLOCK_MONOTONIC, &end);
	end.tv_sec += wait_ms / MS_PER_S;
	end.tv_nsec += (long)(wait_ms % MS_PER_S) * NS_PER_MS;
	if (end.tv_nsec >= NS_PER_S) {
		end.tv_sec++;
		end.tv_nsec -= NS_PER_S;
	}
	pthread_mutex_lock(&watcher->mutex);
	while (!atomic_load(&watcher->stopping) &&
	    pthread_cond_clockwait(&watcher->stop_changed, &watcher->mutex,
		CLOCK_MONOTONIC, &end) == 0)
		continue;
	pthread_mutex_unlock(&watcher->mutex);
}

/* Logs only when the platform comes in or out of reach. */
static void
note_reach(const struct watcher *watcher, bool *reached, bool now_reached,
    const char *message)
{
	if (*reached == now_reached)
		return;
	*reached = now_reached;
	log_event(now_reached ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
	    now_reached ? "platform_reached" : "platform_lost", "table",
	    table_kind_name(watcher->kind), "reason", message, NULL);
}

static void *
watcher_main(void *pointer)
{
	struct watcher *watcher = pointer;
	struct platform *platform = watcher->platform;
	uint32_t retry_ms = RETRY_MIN_MS;
	struct platform_object object;
	uint64_t version = 0;
	bool reached = true;
	GError *error = NULL;

	while (!atomic_load(&watcher->stopping)) {
		if (!platform->ops->watch(platform,
			table_kind_name(watcher->kind), version,
			watcher->wait_ms, &object, &error)) {
			note_reach(watcher, &reached, false, error->message);
			g_clear_error(&error);
			pause_ms(watcher, retry_ms);
			retry_ms = MIN(2 * retry_ms, RETRY_MAX_MS);
			continue;
		}
		note_reach(watcher, &reached, true, "");
		retry_ms = RETRY_MIN_MS;
		if (object.text == NULL)
			continue;
		version = object.version;
		tablestore_offer(watcher->store, watcher->kind, version,
		    object.text);
		g_free(object.text);
	}
	return NULL;
}

void
watcher_init(struct watcher *watcher, struct platform *platform,
    struct tablestore *store, enum table_kind kind, uint32_t wait_ms)
{
	memset(watcher, 0, sizeof(*watcher));
	watcher->platform = platform;
	watcher->store = store;
	watcher->kind = kind;
	watcher->wait_ms = wait_ms;
	pthread_mutex_init(&watcher->mutex, NULL);
	pthread_cond_init(&watcher->stop_changed, NULL);
	pthread_create(&watcher->thread, NULL, watcher_main, watcher);
}

void
watcher_finish(struct watcher *watcher)
{
	pthread_mutex_lock(&watcher->mutex);
	atomic_store(&watcher->stopping, 1);
	pthread_cond_signal(&watcher->stop_changed);
	pthread_mutex_unlock(&watcher->mutex);
	pthread_join(watcher->thread, NULL);
	pthread_mutex_destroy(&watcher->mutex);
	pthread_cond_destroy(&watcher->stop_changed);
}
