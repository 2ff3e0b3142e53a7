/**
 * @file
 * Queue owner of one pool: queues the waiting requests of all entry daemons
 * and grants slots at the pool's endpoints. It is a state machine without
 * input or output, and keeps no state that its successor can't rebuild from
 * the reports of the entry daemons.
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

/** The owner's limit on waiting requests of an account is the limit for one
 * daemon times this factor. */
#define OWNER_WAITING_MAX_FACTOR 8u

/** An endpoint of the pool. One that was removed from the tables is kept as
 * long as it has running requests. */
struct owner_endpoint {
	uint64_t endpoint_id;
	uint32_t slots;
	uint32_t extra_slots;
	uint32_t running_count;
	bool listed; /**< in the pool's row of the pools table */
	bool leaving;
	uint32_t consecutive_failures_count; /**< reset by a success */
	uint32_t eject_ms; /**< length of the ejection, 0 if not ejected */
	uint64_t ejected_until_ms;
	/** Gets no grants until then, since an entry daemon returned one. */
	uint64_t excluded_until_ms;
	bool probe_running; /**< a probe request is running */
	uint32_t load_waiting_count; /**< reported by the endpoint */
	uint64_t load_at_ms;
};

/** Settings of an owner. */
struct owner_config {
	uint64_t node_id;
	uint64_t pool_id;
	const struct fair_ops *order;
	uint32_t sync_timeout_ms; /**< maximum wait for reports in a sync */
	/** A grant that a report shows as missing after this time is sent
	 * again. */
	uint32_t grant_settle_ms;
	uint32_t report_period_ms; /**< of the entry daemons */
};

struct owner {
	struct owner_config config;
	uint64_t epoch;
	uint64_t superseding_epoch; /**< newest epoch of a superseding owner,
				      * or 0 */
	bool syncing; /**< waits for full reports; grants no slots */
	uint64_t sync_deadline_ms;
	uint64_t resync_due_ms; /**< 0 unless superseded */
	uint32_t resync_backoff_ms;
	uint64_t last_tick_ms; /**< 0 before the first tick */
	uint64_t report_generation; /**< number of the last report */
	struct fair_queue queue;
	GHashTable *nodes; /**< node_id to struct owner_node */
	GHashTable *requests; /**< (node, seq) to struct owner_request */
	/** prefix_hash to the endpoint that got its last request. */
	GHashTable *prefix_endpoints;
	/** uint32_t by account index; 0: unlimited. */
	GArray *waiting_max_counts;
	GArray *served_tokens; /**< int64_t by account index */
	GArray *endpoints; /**< struct owner_endpoint */
	uint32_t estimate_tokens;
	uint32_t request_max_tokens;
	enum pool_kind kind;
	uint64_t last_completion_ms;
	/** Moving average of the time between two ends of requests. */
	uint64_t completion_interval_us;
	uint64_t last_grant_seq;
	uint64_t grants_count;
	uint64_t reclaimed_slots_count; /**< slots of requests that their daemon
					 * no longer reports */
	uint64_t refusals_count;
	uint64_t resyncs_count;
	uint64_t outdated_reports_count;
};

/**
 * Initialises an owner and starts a sync: requests a full report from every
 * live node.
 * @param epoch_floor first epoch, at least the wall clock in ms
 */
void owner_init(struct owner *owner, const struct owner_config *config,
    uint64_t epoch_floor, uint64_t now_ms, const uint64_t *live_node_ids,
    size_t live_count, struct effects *effects);
void owner_finish(struct owner *owner);

/** Applies the pool's row of the pools table, and the weights and limits of
 * the routes to the pool. */
void owner_set_tables(struct owner *owner, const struct tables *tables,
    uint64_t now_ms, struct effects *effects);

/** Handles a message of an entry daemon. */
void owner_handle(struct owner *owner, const struct msg *msg, uint64_t now_ms,
    struct effects *effects);

/** Removes the requests of a failed node, which frees their slots. */
void owner_node_down(struct owner *owner, uint64_t node_id, uint64_t now_ms,
    struct effects *effects);

/** Sets the number of requests that an endpoint reports as waiting. It expires
 * if no newer report arrives. */
void owner_set_load(struct owner *owner, uint64_t endpoint_id,
    uint32_t waiting_count, uint64_t now_ms);

/** @return tokens charged to an account by this owner so far */
int64_t owner_served_tokens(const struct owner *owner, size_t account_index);

/** Has to be called at least every 100 ms. */
void owner_tick(struct owner *owner, uint64_t now_ms, struct effects *effects);

#endif
