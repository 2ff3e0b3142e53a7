/**
 * @file
 * Threads that watch the tables at the platform.
 */
#ifndef BAMBOORUDDERD_WATCHER_H
#define BAMBOORUDDERD_WATCHER_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>

#include "bamboorudderd/tablestore.h"
#include "common/platform.h"

/** Watches one table. */
struct watcher {
	struct platform *platform;
	struct tablestore *store;
	enum table_kind kind;
	uint32_t wait_ms;
	_Atomic uint32_t stopping;
	pthread_mutex_t mutex;
	pthread_cond_t stop_changed;
	pthread_t thread;
};

/** Initialises and starts a watcher. */
void watcher_init(struct watcher *watcher, struct platform *platform,
    struct tablestore *store, enum table_kind kind, uint32_t wait_ms);

/** Stops the watcher; waits at most one watch of wait_ms. */
void watcher_finish(struct watcher *watcher);

#endif
