/**
 * @file
 * Follows the configuration and the list of endpoints in the platform's store:
 * a list, then watches, each kind in a thread of its own.
 */
#ifndef PLATFORM_FEED_H
#define PLATFORM_FEED_H

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/config_snapshot.h"
#include "core/dispatch.h"

/** Where a feed puts what it learns; called from the feed's threads. */
struct feed_sink_ops {
	/** A configuration; the sink takes over the reference. */
	void (*on_configuration)(void *context,
	    struct config_snapshot *configuration);
	/** A version was the newest at a time of the clock that counts
	 * suspensions. The version of the endpoints is a revision of the
	 * store. */
	void (*on_freshness)(void *context, enum resource_kind kind,
	    const struct dispatch_freshness *freshness);
	void (*on_endpoint)(void *context,
	    const struct dispatch_endpoint_info *info);
	void (*on_endpoint_removed)(void *context, const char *name);
	/** All endpoints of a list were given; called once. */
	void (*on_endpoints_synced)(void *context);
};

/** How one kind of object is followed. */
struct feed_timing {
	uint32_t watch_wait_ms; /**< of a watch */
	uint32_t
	    freshness_max_ms; /**< an older freshness is renewed at the store */
};

struct feed_config {
	const char *url; /**< of the store */
	struct feed_timing timings[RESOURCE_KIND_COUNT];
	uint32_t timeout_ms; /**< of a call, beyond the wait of a watch */
};

struct feed;

/** One kind of object that is followed; belongs to its thread. */
struct reflector {
	struct feed *feed;
	enum resource_kind resource_kind;
	const char *object_kind; /**< of object, in the store */
	/** Takes an object; spec is NULL if it was removed or has none. */
	void (*apply_object)(struct reflector *reflector, const char *name,
	    const void *spec);
	/** A list or a watch was answered.
	 * @param changed the answer held objects */
	void (*on_response)(struct reflector *reflector, bool changed);
	pthread_t thread;
	uint64_t revision; /**< of the store, 0: to be listed */
	uint64_t as_of_ms; /**< the last answer held as of then, 0: untold */
	GHashTable *known_names; /**< names given to the sink */
	GHashTable
	    *pending_removals; /**< names that are gone, to the time when the
			     * sink is synced */
	uint64_t
	    recovered_ms; /**< first answer after the last failed call, 0: none
			       * failed */
	uint32_t backoff_ms;
	_Atomic uint64_t version; /**< of what the sink was given, 0: none */
	_Atomic uint64_t peer_version; /**< newest that a peer named */
	_Atomic uint64_t
	    confirmed_ms; /**< newest freshness given to the sink */
	_Atomic uint32_t failing; /**< the last call failed */
	/** Asks the store once, when it has to. @return whether it did */
	bool (*poll)(struct reflector *reflector);
	bool synced; /**< the sink knows that all were listed */
};

struct feed {
	struct feed_config config;
	const struct feed_sink_ops *sink;
	void *context;
	_Atomic uint32_t watching; /**< both kinds are watched here */
	_Atomic uint32_t daemons_count;
	pthread_mutex_t mutex;
	pthread_cond_t wakeup; /**< something to do at the store */
	struct reflector reflectors[RESOURCE_KIND_COUNT];
	_Atomic uint32_t stopping;
};

/** The clock that the freshness of a feed are given in, in ms. */
uint64_t feed_clock_ms(void);

/** Initialises a feed and starts its threads. */
void feed_init(struct feed *feed, const struct feed_config *config,
    const struct feed_sink_ops *sink, void *context);

/**
 * Tells whether this daemon watches the store. Others rely on what their peers
 * say of it, and ask it when that is newer than their own or too old.
 */
void feed_set_watching(struct feed *feed, bool watching, size_t daemons_count);

/** Takes a peer's freshness: a version that was the newest as of a time, 0: untold. */
void feed_offer_freshness(struct feed *feed, enum resource_kind kind,
    const struct dispatch_freshness *freshness);

/** @return whether a peer named a configuration that is not known_names here yet */
bool feed_is_behind(const struct feed *feed);

/** @return whether the last call for the configuration failed */
bool feed_is_failing(const struct feed *feed);

/** @return whether peers watch the store for this daemon, and name nothing that
 * it does not have */
bool reflector_relies_on_peers(const struct reflector *reflector);

/** Ends the threads. */
void feed_finish(struct feed *feed);

#endif
