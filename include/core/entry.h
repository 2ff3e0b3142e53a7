/**
 * @file
 * Entry side of one daemon: holds the authoritative state of the requests that
 * wait or run at this daemon, requests slots from queue owners and reports to
 * them.
 */
#ifndef CORE_ENTRY_H
#define CORE_ENTRY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/effect.h"
#include "core/fair.h"
#include "core/msg.h"
#include "core/tables.h"

struct entry;
struct entry_pool;
struct entry_request;

/** A policy by which a daemon gets slots for its requests. */
struct entry_ops {
	const char *name;
	/** Called once for a new waiting request. */
	void (*submit)(struct entry *entry, struct entry_request *request,
	    uint64_t now_ms, struct effects *effects);
	/** Called when a running request ends. */
	void (*done)(const struct entry *entry,
	    const struct entry_request *request, enum done_outcome outcome,
	    struct effects *effects);
	/** Called when a waiting request ends without having been started. */
	void (*withdraw)(const struct entry *entry,
	    const struct entry_request *request, struct effects *effects);
	/** Called when the pool's owner changed. */
	void (*owner_changed)(struct entry *entry, struct entry_pool *pool,
	    uint64_t now_ms, struct effects *effects);
	void (*handle)(struct entry *entry, const struct msg *msg,
	    uint64_t now_ms, struct effects *effects);
	void (*tick)(struct entry *entry, struct entry_pool *pool,
	    uint64_t now_ms, struct effects *effects);
};

/** Requests slots from the pool's queue owner. */
extern const struct entry_ops entry_fleet;
/** Baseline without queueing: starts each request at once, at the endpoints in
 * round-robin order. */
extern const struct entry_ops entry_naive;

/** @return the policy of that name, or NULL */
const struct entry_ops *entry_find(const char *name);

struct entry_config {
	uint64_t node_id;
	uint64_t seq_first; /**< above every seq of earlier incarnations */
	const struct entry_ops *ops;
	const struct fair_ops *order; /**< while in fallback */
	uint32_t report_period_ms;
	uint32_t fallback_after_ms; /**< time without a message of the owner */
};

/** Parameters of a new request. */
struct entry_request_params {
	uint64_t pool_id;
	uint64_t account_id;
	uint64_t prefix_hash;
	uint64_t avoid_endpoint_id; /**< failed an earlier attempt, or 0 */
	uint64_t deadline_ms;
	uint32_t estimate_tokens;
	uint32_t waiting_max_count;
};

struct entry {
	struct entry_config config;
	uint64_t last_seq;
	GHashTable *requests; /**< seq to struct entry_request */
	GHashTable *pools; /**< pool_id to struct entry_pool */
	const struct tables *tables;
	uint64_t *live_node_ids;
	size_t live_count;
	GHashTable *accounts; /**< account_id to struct account_waiting */
	uint64_t last_tick_ms; /**< 0 before the first tick */
	/** No request is started until then, after a pause of the process. */
	uint64_t resume_until_ms;
	bool draining;
	uint64_t stale_grants_count; /**< messages of superseded owners */
	uint64_t refused_count;
	uint64_t fallback_starts_count; /**< starts without a grant */
	/** Grants for endpoints that accept no work. */
	uint64_t returned_grants_count;
};

void entry_init(struct entry *entry, const struct entry_config *config);
void entry_finish(struct entry *entry);

/** The tables belong to the caller and must stay valid until the next call of
 * this function. */
void entry_set_tables(struct entry *entry, const struct tables *tables,
    uint64_t now_ms, struct effects *effects);

/** Sets the live nodes, from which the owner of each pool is picked by
 * rendezvous hashing. */
void entry_set_members(struct entry *entry, const uint64_t *live_node_ids,
    size_t live_count, uint64_t now_ms, struct effects *effects);

/** @return the node that owns a pool in the current membership view, or 0 */
uint64_t entry_pool_owner_id(const struct entry *entry, uint64_t pool_id);

/** @return the newest epoch seen of a pool's owners, or 0 */
uint64_t entry_epoch_seen(const struct entry *entry, uint64_t pool_id);

/**
 * Submits a request, which leads to EFFECT_START or EFFECT_REFUSE.
 * @return its seq
 */
uint64_t entry_submit(struct entry *entry,
    const struct entry_request_params *params, uint64_t now_ms,
    struct effects *effects);

/** Sets the tokens of a running request so far. */
void entry_progress(struct entry *entry, uint64_t seq, uint64_t tokens);

/** Ends a running request. */
void entry_done(struct entry *entry, uint64_t seq, uint64_t tokens,
    enum done_outcome outcome, struct effects *effects);

/** Ends a request whose caller disconnected. If it was running, it counts as
 * complete. */
void entry_cancel(struct entry *entry, uint64_t seq, struct effects *effects);

void entry_handle(struct entry *entry, const struct msg *msg, uint64_t now_ms,
    struct effects *effects);

/** Has to be called at least every 100 ms. */
void entry_tick(struct entry *entry, uint64_t now_ms, struct effects *effects);

/** Refuses all waiting and new requests. Running requests continue. */
void entry_drain(struct entry *entry, struct effects *effects);

/** @return whether this daemon uses its share of the pool's slots without
 * grants, since the pool's owner is unreachable */
bool entry_in_fallback(const struct entry *entry, uint64_t pool_id);

/** Counts the requests of all pools. */
void entry_counts(const struct entry *entry, uint32_t *waiting_count,
    uint32_t *running_count);

#endif
