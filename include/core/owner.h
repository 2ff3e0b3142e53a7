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
#include "core/msg.h"
#include "core/tables.h"

struct owner_request;

/** A slot holder: one endpoint of the pool. */
struct owner_endpoint {
	uint64_t endpoint_id;
	uint32_t slots;
	uint32_t extra_slots;
	uint32_t running_count;
	bool leaving;
};

/** Settings of an owner. */
struct owner_config {
	uint64_t node_id;
	uint64_t pool_id;
	const struct fair_ops *fair;
	uint32_t sync_timeout_ms; /**< grants wait this long for reports */
	uint32_t grant_settle_ms; /**< a report this much later than a grant
				    * tells whether the grant arrived */
};

struct owner {
	struct owner_config config;
	uint64_t epoch;
	uint64_t arrival_next;
	uint64_t sync_deadline_ms;
	bool syncing;
	uint64_t *unreported_nodes; /**< live nodes whose report is missing */
	size_t unreported_count;
	GArray *accounts; /**< struct fair_account */
	GHashTable *account_index; /**< account_id to index + 1 */
	GHashTable *requests; /**< (node, seq) to owner_request */
	GArray *endpoints; /**< struct owner_endpoint */
	uint32_t estimate_tokens;
	uint32_t request_max_tokens;
	GHashTable *served; /**< account_id to tokens charged here */
	uint64_t grants_count;
	uint64_t releases_lost_count; /**< slots taken back after a loss */
};

/**
 * Initialises an owner and adds its MSG_SYNC to every live node to effects.
 * @param wall_ms wall clock, the floor of the new epoch
 */
void owner_init(struct owner *owner, const struct owner_config *config,
    uint64_t wall_ms, uint64_t now_ms, const uint64_t *live_node_ids,
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

/** @return tokens charged to an account by this owner so far */
int64_t owner_served_tokens(const struct owner *owner, uint64_t account_id);

/** To be called at least every 100 ms. */
void owner_tick(struct owner *owner, uint64_t now_ms, struct effects *effects);

#endif
