/**
 * @file
 * Threads that fetch new versions of the tables from the platform's store. A
 * thread uses long polling if this daemon is a watcher. Otherwise it only polls
 * once in a while, since other daemons announce new versions to this one.
 */
#ifndef BAMBOORUDDERD_TABLE_WATCHER_H
#define BAMBOORUDDERD_TABLE_WATCHER_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>

#include "bamboorudderd/tablestore.h"
#include "common/platform.h"

/** A thread that fetches new versions of a table. */
struct table_watcher {
	struct platform *platform;
	struct tablestore *store;
	enum table_kind kind;
	uint32_t wait_ms;
	_Atomic uint32_t stopping;
	_Atomic uint32_t poll_period_ms; /**< 0: long polling */
	_Atomic uint32_t platform_unreachable; /**< last call failed */
	pthread_mutex_t mutex;
	pthread_cond_t wakeup;
	pthread_t thread;
};

/** Starts the thread. */
void table_watcher_init(struct table_watcher *watcher,
    struct platform *platform, struct tablestore *store, enum table_kind kind,
    uint32_t wait_ms);

/** Sets the mean polling period; 0 switches to long polling. */
void table_watcher_set_period(struct table_watcher *watcher,
    uint32_t poll_period_ms);

/** Stops the thread; blocks for wait_ms at most. */
void table_watcher_finish(struct table_watcher *watcher);

#endif
