/**
 * @file
 * Declarations shared by the files of the entry side.
 */
#ifndef CORE_ENTRY_PRIVATE_H
#define CORE_ENTRY_PRIVATE_H

#include "core/entry.h"
#include "core/fair_queue.h"

/** A waiting or running request of this daemon. */
struct entry_request {
	struct fair_waiter waiter; /**< queued while it waits */
	GList pool_link;
	struct entry_pool *pool;
	uint64_t seq;
	struct entry_request_params params;
	uint64_t submitted_at_ms;
	uint64_t endpoint_id; /**< 0 while waiting */
	uint64_t tokens;
	uint64_t returned_epoch; /**< of the newest grant that was returned */
	uint64_t returned_grant_seq;
};

/** State of an account in a pool. */
struct entry_account {
	int64_t vtime; /**< from its newest grant */
	uint64_t granted_at_ms; /**< 0: vtime is unknown */
	uint32_t wait_ms; /**< moving average of its requests */
};

struct entry_pool {
	uint64_t pool_id;
	uint64_t owner_id; /**< in the current membership view */
	uint64_t epoch_seen; /**< newest epoch of the pool's owners */
	uint64_t epoch_owner_id; /**< owner with epoch_seen */
	/** Last message of an owner, or first waiting request after none. */
	uint64_t last_owner_message_ms;
	/** Last report, or first request after none. */
	uint64_t last_report_ms;
	uint64_t waiting_since_ms; /**< since when requests wait */
	uint64_t last_end_ms; /**< when the last request ended */
	bool report_due; /**< regardless of the report period */
	uint64_t send_seq; /**< see struct msg_request_report */
	/** Reports still to be sent after the end of a request. */
	uint32_t end_reports_left_count;
	/** Full reports still to be sent. */
	uint32_t full_reports_left_count;
	uint32_t running_count;
	uint32_t next_endpoint_index;
	bool in_fallback;
	GQueue requests; /**< waiting and running, ordered by seq */
	struct fair_queue queue; /**< waiting requests */
	GArray *accounts; /**< struct entry_account, by account index */
};

/** Number of reports that are sent after the end of a request, and of full
 * reports when one is due, since a message may be lost. */
#define ENTRY_REPORT_REPEATS_COUNT 2u

/** @return the pool, which is added if it is new */
struct entry_pool *entry_pool(struct entry *entry, uint64_t pool_id);

/** @return the state of the request's account; valid until another account is
 * added */
struct entry_account *entry_pool_account(struct entry_pool *pool,
    const struct entry_request *request);

/** Starts a waiting request at an endpoint. */
void entry_start(struct entry *entry, struct entry_request *request,
    uint64_t endpoint_id, uint64_t now_ms, struct effects *effects);

/** Refuses and removes a waiting request. */
void entry_refuse(struct entry *entry, struct entry_request *request,
    enum refuse_reason reason, uint32_t retry_after_ms,
    struct effects *effects);

/** @return the next endpoint in round-robin order that accepts new work, or
 * NULL */
const struct endpoint *entry_next_endpoint(const struct entry *entry,
    struct entry_pool *pool);

/* entry_report.c */
void entry_send_report(struct entry *entry, struct entry_pool *pool,
    uint64_t to_node_id, uint64_t now_ms, struct effects *effects);

/** Schedules a full report for the next tick. */
void entry_schedule_full_report(struct entry_pool *pool);

bool entry_report_is_due(const struct entry *entry,
    const struct entry_pool *pool, uint64_t now_ms);

#endif
