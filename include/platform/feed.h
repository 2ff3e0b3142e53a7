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

#include "core/catalog.h"
#include "core/dispatch.h"

/** Where a feed puts what it learns; called from the feed's threads. */
struct feed_sink_ops {
	/** A configuration; the sink takes over the reference. */
	void (*on_catalog)(void *context, struct catalog *catalog);
	/** A version was the newest at a time of the clock that counts
	 * suspensions. The version of the endpoints is a revision of the
	 * store. */
	void (*on_proof)(void *context, enum proof_kind kind,
	    const struct dispatch_proof *proof);
	void (*on_endpoint)(void *context,
	    const struct dispatch_listing *listing);
	void (*on_endpoint_gone)(void *context, const char *name);
	/** All endpoints of a list were given; called once. */
	void (*on_endpoints_known)(void *context);
};

/** How one kind of object is followed. */
struct feed_pace {
	uint32_t wait_ms; /**< of a watch */
	uint32_t proof_max_ms; /**< an older proof is renewed at the store */
};

struct feed_config {
	const char *url; /**< of the store */
	struct feed_pace paces[PROOF_KIND_COUNT];
	uint32_t timeout_ms; /**< of a call, beyond the wait of a watch */
};

struct feed;

/** One kind of object that is followed; belongs to its thread. */
struct feed_follower {
	struct feed *feed;
	enum proof_kind proof_kind;
	const char *kind; /**< of object, in the store */
	/** Takes an object; spec is NULL if it was removed or has none. */
	void (*take)(struct feed_follower *follower, const char *name,
	    const void *spec);
	/** A list or a watch was answered.
	 * @param changed the answer held objects */
	void (*answered)(struct feed_follower *follower, bool changed);
	pthread_t thread;
	uint64_t revision; /**< of the store, 0: to be listed */
	uint64_t as_of_ms; /**< the last answer held as of then, 0: untold */
	GHashTable *known; /**< names given to the sink */
	GHashTable *lapsed; /**< names that are gone, to the time when the
			     * sink is told */
	uint64_t
	    regained_ms; /**< first answer after the last failed call, 0: none
			       * failed */
	uint32_t backoff_ms;
	_Atomic uint64_t version; /**< of what the sink was given, 0: none */
	_Atomic uint64_t heard_version; /**< newest that a peer named */
	_Atomic uint64_t proof_ms; /**< newest proof given to the sink */
	_Atomic uint32_t lost; /**< the last call failed */
	/** Asks the store once, when it has to. @return whether it did */
	bool (*step)(struct feed_follower *follower);
	bool told; /**< the sink knows that all were listed */
};

struct feed {
	struct feed_config config;
	const struct feed_sink_ops *sink;
	void *context;
	_Atomic uint32_t watching; /**< both kinds are watched here */
	_Atomic uint32_t daemons_count;
	pthread_mutex_t mutex;
	pthread_cond_t nudged; /**< something to do at the store */
	struct feed_follower followers[PROOF_KIND_COUNT];
	_Atomic uint32_t stopping;
};

/** The clock that the proofs of a feed are given in, in ms. */
uint64_t feed_clock_ms(void);

/** Initialises a feed and starts its threads. */
void feed_init(struct feed *feed, const struct feed_config *config,
    const struct feed_sink_ops *sink, void *context);

/**
 * Tells whether this daemon watches the store. Others rely on what their peers
 * say of it, and ask it when that is newer than their own or too old.
 */
void feed_set_duty(struct feed *feed, bool watching, size_t daemons_count);

/** Takes a peer's proof: a version that was the newest as of a time, 0: untold. */
void feed_offer_proof(struct feed *feed, enum proof_kind kind,
    const struct dispatch_proof *proof);

/** @return whether a peer named a configuration that is not known here yet */
bool feed_is_behind(const struct feed *feed);

/** @return whether the last call for the configuration failed */
bool feed_is_lost(const struct feed *feed);

/** @return whether peers watch the store for this daemon, and name nothing that
 * it does not have */
bool feed_is_left(const struct feed_follower *follower);

/** Ends the threads. */
void feed_finish(struct feed *feed);

#endif
