/**
 * @file
 * Keeps copies of the configuration and of the endpoint list in the platform's
 * store up to date. Each resource has a reflector, a client that lists and then
 * watches its objects, with a thread of its own.
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
#include "core/store_outage.h"
#include "core/store_restore.h"
#include "core/store_revision.h"

/** Receives what a feed learns. The functions are called on the threads of the
 * reflectors, on_freshness also on the thread that calls
 * feed_offer_freshness(). */
struct feed_sink_ops {
	/** A new configuration; the sink takes over the reference. */
	void (*on_configuration)(void *context,
	    struct config_snapshot *configuration);
	/** A version was the newest at a time of feed_clock_ms. The version of
	 * the endpoint list is one of store_revision_make(). */
	void (*on_freshness)(void *context, enum resource_kind kind,
	    const struct dispatch_freshness *freshness);
	void (*on_endpoint)(void *context,
	    const struct dispatch_endpoint_info *info);
	void (*on_endpoint_removed)(void *context, const char *name);
	/** A failure domain was taken out of use, or back in. */
	void (*on_domain)(void *context, const char *name, bool drained);
	/** The first list of a kind, other than the configuration, is complete;
	 * called once for each. */
	void (*on_synced)(void *context, enum resource_kind kind);
};

struct feed_timing {
	uint32_t watch_wait_ms; /**< longest wait of a watch call */
	uint32_t freshness_max_ms; /**< age at which the store is asked again */
	/** The same is this much later at most for daemons of a large fleet that
	 * decide on no endpoints. */
	uint32_t freshness_spread_ms;
};

struct feed_config {
	const char *url; /**< of the store */
	struct feed_timing timings[RESOURCE_KIND_COUNT];
	bool reads_drained_domains; /**< else no failure domain is drained */
	uint32_t timeout_ms; /**< of a call, in addition to its wait */
	/** From 0 to 999, different for each daemon, so that in a large fleet
	 * the calls of the daemons are spread. */
	uint32_t spread_permille;
};

struct feed;

/** List-then-watch client for one resource. Its own thread uses it; other
 * threads change its atomic fields and its outage only. */
struct reflector {
	struct feed *feed;
	enum resource_kind resource_kind;
	const char *object_kind; /**< kind of the objects in the store */
	/** Applies an object; spec is NULL if it was removed or has none.
	 * @param revision of its last change, as of store_revision_make() */
	void (*apply_object)(struct reflector *reflector, const char *name,
	    uint64_t revision, const void *spec);
	/** Called after the response to a list or a watch.
	 * @param changed the response held objects */
	void (*on_response)(struct reflector *reflector, bool changed);
	pthread_t thread;
	uint64_t revision; /**< the store's number; 0: a list is needed */
	uint32_t restores_count; /**< of the store, at that revision */
	uint32_t answer_restores_count; /**< of the store, at its last answer */
	/** Time that the last response reflects, 0 if unknown. */
	uint64_t as_of_ms;
	GHashTable *known_names; /**< names given to the sink */
	/** Names of removed objects to the time when the sink is told. */
	GHashTable *pending_removals;
	struct store_outage outage; /**< guarded by the feed's mutex */
	uint32_t backoff_ms;
	_Atomic uint64_t version; /**< version given to the sink, 0: none */
	_Atomic uint64_t peer_version; /**< newest version known to peers */
	/** Latest freshness given to the sink. */
	_Atomic uint64_t confirmed_ms;
	_Atomic uint32_t failing; /**< the last call failed */
	/** The newest configuration in the store is not in force here, as it can't
	 * be read: no response or peer confirms the one in force. */
	_Atomic uint32_t outdated;
	/** A restored store holds an older configuration than the one in force,
	 * so a newer one may be lost, too. */
	_Atomic uint32_t older;
	/** The last response confirmed no configuration, for a restore. */
	_Atomic uint32_t unconfirmed;
	/** Calls the store if that is due. @return whether it was due */
	bool (*poll)(struct reflector *reflector);
	bool synced; /**< the first list is complete */
	uint64_t polled_ms; /**< start of the last call */
};

struct feed {
	struct feed_config config;
	const struct feed_sink_ops *sink;
	void *context;
	_Atomic uint32_t watching; /**< this daemon is a watcher */
	_Atomic uint32_t deciding; /**< this daemon decides on endpoints */
	_Atomic uint64_t peer_heard_ms; /**< last report of a peer */
	_Atomic uint32_t daemons_count;
	pthread_mutex_t mutex;
	pthread_cond_t wakeup; /**< a call to the store may be due */
	struct store_restore restore; /**< guarded by the mutex */
	/** When what the last restore lost has been written again; 0: none. */
	_Atomic uint64_t settled_ms;
	struct reflector reflectors[RESOURCE_KIND_COUNT];
	_Atomic uint32_t stopping;
};

/** @return time in ms of a clock that runs on while the machine is suspended */
uint64_t feed_clock_ms(void);

/** Initialises a feed and starts its reflectors. */
void feed_init(struct feed *feed, const struct feed_config *config,
    const struct feed_sink_ops *sink, void *context);

/** Part of this daemon in the fleet. */
struct feed_role {
	/** The others rely on the freshness in their peers' reports, and call the
	 * store only when a peer has a newer version or when their own copy was
	 * not confirmed for too long. */
	bool watching;
	/** The others hear of endpoints from those that decide on them, and
	 * update their list less often. */
	bool deciding;
	size_t daemons_count;
};

void feed_set_role(struct feed *feed, const struct feed_role *role);

/** Handles a peer's report of how fresh its copy of a resource is. */
void feed_offer_freshness(struct feed *feed, enum resource_kind kind,
    const struct dispatch_freshness *freshness);

/** @return whether a peer has a newer configuration than this daemon */
bool feed_is_outdated(const struct feed *feed);

/** @return whether a peer has a newer configuration, or there may be one that a
 * restore of the store lost and that will be written again */
bool feed_is_behind(const struct feed *feed);

/** @return whether the last call for the configuration failed */
bool feed_is_failing(const struct feed *feed);

/** Makes the reflectors stop, which takes up to a second, and returns at once. */
void feed_stop(struct feed *feed);

/** Stops the reflectors and waits for them. */
void feed_finish(struct feed *feed);

#endif
