/**
 * @file
 * Queue owner of one pool: orders the waiting requests of all daemons and
 * grants slots. A state machine without input or output; it keeps nothing
 * that a successor can't rebuild from the daemons' reports.
 */
#ifndef CORE_OWNER_H
#define CORE_OWNER_H

#include <glib.h>
#include <stdint.h>

#include "core/effect.h"
#include "core/fair.h"
#include "core/fair_queue.h"
#include "core/msg.h"
#include "core/tables.h"

/** Waiting requests of one account at an owner: its bound for one daemon,
 * times this. */
#define OWNER_WAITING_MAX_FACTOR 8u

/** A slot holder: one endpoint of the pool, as long as work runs there. */
struct owner_endpoint {
	uint64_t endpoint_id;
	uint32_t slots;
	uint32_t extra_slots;
	uint32_t running_count;
	bool listed; /**< in the pool's row of the tables */
	bool leaving;
	uint32_t consecutive_failures_count; /**< failed requests in a row */
	uint32_t eject_ms; /**< length of the current ejection, 0 if none */
	uint64_t ejected_until_ms;
	uint64_t excluded_until_ms; /**< a daemon's tables excluded it */
	bool probe_running; /**< one request runs to try an ejected endpoint */
	uint32_t load_waiting_count; /**< as the endpoint itself reported */
	uint64_t load_at_ms;
};

/** Settings of an owner. */
struct owner_config {
	uint64_t node_id;
	uint64_t pool_id;
	const struct fair_ops *fair;
	uint32_t sync_timeout_ms; /**< grants wait this long for reports */
	uint32_t grant_settle_ms; /**< a report this much later than a grant
				    * tells whether the grant arrived */
	uint32_t report_period_ms; /**< of the entry daemons */
};

struct owner {
	struct owner_config config;
	uint64_t epoch;
	uint64_t superseding_epoch; /**< newest epoch of another owner, or 0 */
	bool syncing; /**< waits for reports and grants nothing */
	uint64_t sync_deadline_ms;
	uint64_t resync_due_ms; /**< 0: no newer owner was heard of */
	uint32_t resync_backoff_ms;
	uint64_t last_tick_ms; /**< last tick, 0 before the first */
	uint64_t report_generation;
	struct fair_queue queue;
	GHashTable *nodes; /**< node_id to struct owner_node */
	GHashTable *requests; /**< (node, seq) to struct owner_request */
	GHashTable *prefix_endpoints; /**< prefix_hash to its last endpoint */
	GArray
	    *waiting_max_counts; /**< uint32_t, by account index; 0: no bound */
	GArray *served_tokens; /**< int64_t, by account index */
	GArray *endpoints; /**< struct owner_endpoint */
	uint32_t estimate_tokens;
	uint32_t request_max_tokens;
	enum pool_kind kind;
	uint64_t last_completion_ms; /**< when the last request ended */
	uint64_t completion_interval_us; /**< moving average between two ends */
	uint64_t grant_seq_last;
	uint64_t grants_count;
	uint64_t reclaimed_slots_count; /**< slots taken back after a loss */
	uint64_t refusals_count;
	uint64_t resyncs_count;
	uint64_t outdated_reports_count;
};

/**
 * Initialises an owner and adds its MSG_SYNC to every live node to effects.
 * @param epoch_floor wall clock in ms, or higher: the first epoch
 */
void owner_init(struct owner *owner, const struct owner_config *config,
    uint64_t epoch_floor, uint64_t now_ms, const uint64_t *live_node_ids,
    size_t live_count, struct effects *effects);
void owner_finish(struct owner *owner);

/** Takes over a row of the pools table and the weights of the routes. */
void owner_set_tables(struct owner *owner, const struct tables *tables,
    uint64_t now_ms, struct effects *effects);

/** Handles a message of an entry daemon. */
void owner_handle(struct owner *owner, const struct msg *msg, uint64_t now_ms,
    struct effects *effects);

/** Forgets what a lost node held; its slots are free again. */
void owner_node_down(struct owner *owner, uint64_t node_id, uint64_t now_ms,
    struct effects *effects);

/** Takes a load report of an endpoint; it may be late or missing. */
void owner_set_load(struct owner *owner, uint64_t endpoint_id,
    uint32_t waiting_count, uint64_t now_ms);

/** @return tokens charged here so far, by the account's index */
int64_t owner_served_tokens(const struct owner *owner, size_t account_index);

/** To be called at least every 100 ms. */
void owner_tick(struct owner *owner, uint64_t now_ms, struct effects *effects);

#endif
