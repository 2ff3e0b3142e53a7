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
	/** A version was the newest configuration at a time of the clock that
	 * counts suspensions. */
	void (*on_proof)(void *context, uint64_t version, uint64_t as_of_ms);
	void (*on_endpoint)(void *context,
	    const struct dispatch_listing *listing);
	void (*on_endpoint_gone)(void *context, const char *name);
	/** All endpoints of a list were given; called once. */
	void (*on_endpoints_known)(void *context);
};

struct feed_config {
	const char *url; /**< of the store */
	uint32_t watch_wait_ms; /**< of the configuration */
	uint32_t endpoints_wait_ms;
	uint32_t proof_max_ms; /**< an older proof is renewed at the store */
	uint32_t timeout_ms; /**< of a call, beyond the wait of a watch */
};

struct feed;

/** One kind of object that is followed; belongs to its thread. */
struct feed_follower {
	struct feed *feed;
	const char *kind;
	/** Takes an object; spec is NULL if it was removed or has none. */
	void (*take)(struct feed_follower *follower, const char *name,
	    const void *spec);
	/** A list or a watch was answered as of a time. */
	void (*answered)(struct feed_follower *follower, uint64_t as_of_ms);
	pthread_t thread;
	uint64_t revision; /**< of the store, 0: to be listed */
	GHashTable *known; /**< names given to the sink */
	GHashTable *lapsed; /**< names that are gone, to the time when the
			     * sink is told */
	uint64_t failed_ms; /**< last failed call, 0 if none */
	uint32_t backoff_ms;
	uint32_t wait_ms; /**< of a watch */
	_Atomic uint32_t lost; /**< the last call failed */
	void (*step)(struct feed_follower *follower);
	bool told; /**< the sink knows that all were listed */
};

struct feed {
	struct feed_config config;
	const struct feed_sink_ops *sink;
	void *context;
	_Atomic uint64_t version; /**< of the newest configuration given */
	_Atomic uint64_t heard_version; /**< newest that a peer named */
	_Atomic uint64_t proof_ms; /**< newest proof given to the sink */
	_Atomic uint32_t watching; /**< the configuration is watched here */
	_Atomic uint32_t daemons_count;
	pthread_mutex_t mutex;
	pthread_cond_t nudged; /**< something to do at the store */
	struct feed_follower configuration;
	struct feed_follower endpoints;
	_Atomic uint32_t stopping;
};

/** The clock that the proofs of a feed are given in, in ms. */
uint64_t feed_clock_ms(void);

/** Initialises a feed and starts its threads. */
void feed_init(struct feed *feed, const struct feed_config *config,
    const struct feed_sink_ops *sink, void *context);

/**
 * Tells whether this daemon watches the configuration. Others rely on what
 * their peers say of it, and read it when that is newer or too old.
 */
void feed_set_duty(struct feed *feed, bool watching, size_t daemons_count);

/** Takes a peer's proof: the version was the newest at as_of_ms; 0: unknown. */
void feed_offer_proof(struct feed *feed, uint64_t version, uint64_t as_of_ms);

/** @return whether the last call for the configuration failed */
bool feed_is_lost(const struct feed *feed);

/** Ends the threads. */
void feed_finish(struct feed *feed);

#endif
