/**
 * @file
 * Threads that watch the tables at the platform, or read them now and then
 * while other daemons watch.
 */
#ifndef BAMBOORUDDERD_TABLE_WATCHER_H
#define BAMBOORUDDERD_TABLE_WATCHER_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>

#include "bamboorudderd/tablestore.h"
#include "common/platform.h"

/** Watches one table. */
struct table_watcher {
	struct platform *platform;
	struct tablestore *store;
	enum table_kind kind;
	uint32_t wait_ms;
	_Atomic uint32_t stopping;
	_Atomic uint32_t poll_period_ms; /**< 0: watch */
	_Atomic uint32_t platform_unreachable; /**< the last call failed */
	pthread_mutex_t mutex;
	pthread_cond_t wakeup;
	pthread_t thread;
};

/** Initialises and starts a watcher. */
void table_watcher_init(struct table_watcher *watcher,
    struct platform *platform, struct tablestore *store, enum table_kind kind,
    uint32_t wait_ms);

/** Watches if poll_period_ms is 0, else reads about once in that period. */
void table_watcher_set_period(struct table_watcher *watcher,
    uint32_t poll_period_ms);

/** Stops the watcher; waits at most one watch of wait_ms. */
void table_watcher_finish(struct table_watcher *watcher);

#endif
