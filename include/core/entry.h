/**
 * @file
 * Entry side of one daemon: the truth about its own waiting and running
 * requests. Asks queue owners for slots and reports to them.
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

/** Where a daemon gets its slots from: the queue owner, or nobody. */
struct entry_ops {
	const char *name;
	/** Called once for a new waiting request. */
	void (*submit)(struct entry *entry, struct entry_request *request,
	    uint64_t now_ms, struct effects *effects);
	/** A running request ended. */
	void (*done)(const struct entry *entry,
	    const struct entry_request *request, enum done_outcome outcome,
	    struct effects *effects);
	/** A waiting request ended here, without having been started. */
	void (*withdraw)(const struct entry *entry,
	    const struct entry_request *request, struct effects *effects);
	/** The view or the pool's owner changed. */
	void (*owner_changed)(struct entry *entry, struct entry_pool *pool,
	    uint64_t now_ms, struct effects *effects);
	void (*handle)(struct entry *entry, const struct msg *msg,
	    uint64_t now_ms, struct effects *effects);
	void (*tick)(struct entry *entry, struct entry_pool *pool,
	    uint64_t now_ms, struct effects *effects);
};

/** Asks the pool's queue owner. */
extern const struct entry_ops entry_fleet;
/** The naive rival: starts at once, round-robin over the endpoints. */
extern const struct entry_ops entry_naive;

/** @return the policy of that name, or NULL */
const struct entry_ops *entry_find(const char *name);

struct entry_config {
	uint64_t node_id;
	uint64_t seq_first; /**< above every seq of earlier incarnations */
	const struct entry_ops *ops;
	const struct fair_ops *fair; /**< order of the fall-back */
	uint32_t report_period_ms;
	uint32_t fallback_after_ms; /**< no owner in reach for so long */
};

/** A request as its caller's worker submits it. */
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
	uint64_t seq_next;
	GHashTable *requests; /**< seq to struct entry_request */
	GHashTable *pools; /**< pool_id to struct entry_pool */
	const struct tables *tables;
	uint64_t *live_node_ids;
	size_t live_count;
	GHashTable *accounts; /**< account_id to its waiting count here */
	uint64_t last_tick_ms; /**< last tick, 0 before the first */
	uint64_t resume_until_ms; /**< starts nothing until then */
	bool draining;
	uint64_t stale_grants_count;
	uint64_t refused_count;
	uint64_t fallback_starts_count; /**< starts without an owner's grant */
	uint64_t returned_grants_count; /**< at endpoints that take no work */
};

void entry_init(struct entry *entry, const struct entry_config *config);
void entry_finish(struct entry *entry);

/** The tables belong to the caller and must outlive the next call. */
void entry_set_tables(struct entry *entry, const struct tables *tables,
    uint64_t now_ms, struct effects *effects);

/** Tells which nodes are live; owners follow by rendezvous hashing. */
void entry_set_members(struct entry *entry, const uint64_t *live_node_ids,
    size_t live_count, uint64_t now_ms, struct effects *effects);

/** @return the node that owns a pool in the current view, or 0 */
uint64_t entry_pool_owner_id(const struct entry *entry, uint64_t pool_id);

/** @return the newest epoch seen of a pool's owners, or 0 */
uint64_t entry_epoch_seen(const struct entry *entry, uint64_t pool_id);

/**
 * Takes a request in. It ends in EFFECT_START or EFFECT_REFUSE.
 * @return its seq
 */
uint64_t entry_submit(struct entry *entry,
    const struct entry_request_params *params, uint64_t now_ms,
    struct effects *effects);

/** Tokens of a running request so far. */
void entry_progress(struct entry *entry, uint64_t seq, uint64_t tokens);

/** A running request ended, well or not. */
void entry_done(struct entry *entry, uint64_t seq, uint64_t tokens,
    enum done_outcome outcome, struct effects *effects);

/** The caller of a request has gone; a running one counts as answered. */
void entry_cancel(struct entry *entry, uint64_t seq, struct effects *effects);

void entry_handle(struct entry *entry, const struct msg *msg, uint64_t now_ms,
    struct effects *effects);

/** To be called at least every 100 ms. */
void entry_tick(struct entry *entry, uint64_t now_ms, struct effects *effects);

/** Refuses what waits and takes nothing more in; running work goes on. */
void entry_drain(struct entry *entry, struct effects *effects);

/** @return whether a pool is served by the local share of its slots, for want
 * of an owner in reach */
bool entry_in_fallback(const struct entry *entry, uint64_t pool_id);

/** Counts for the state dump. */
void entry_counts(const struct entry *entry, uint32_t *waiting_count,
    uint32_t *running_count);

#endif
