/**
 * @file
 * What the files of the entry side share; not for others.
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
	uint64_t returned_epoch; /**< newest grant that was given back */
	uint64_t returned_grant_seq;
};

/** What a pool's owner told of an account, and how long its requests wait. */
struct entry_account {
	int64_t vtime;
	uint64_t granted_at_ms; /**< 0: vtime is unknown */
	uint32_t wait_ms; /**< moving average */
};

struct entry_pool {
	uint64_t pool_id;
	uint64_t owner_id; /**< in the current view */
	uint64_t epoch_seen;
	uint64_t epoch_owner_id; /**< node that epoch_seen belongs to */
	uint64_t
	    owner_heard_ms; /**< last message of an owner, or first waiting */
	uint64_t
	    last_report_ms; /**< last report, or first request after none */
	uint64_t waiting_since_ms; /**< since when something waits */
	uint64_t last_end_ms; /**< last request that ended */
	bool report_due;
	uint64_t send_seq;
	uint32_t end_reports_left_count; /**< reports that repeat an end */
	uint32_t
	    full_reports_left_count; /**< reports still to be sent in full */
	uint32_t running_count;
	uint32_t next_endpoint_index;
	bool in_fallback;
	GQueue requests; /**< in the order of their seq */
	struct fair_queue queue; /**< waiting requests */
	GArray *accounts; /**< struct entry_account, by account index */
};

/** So many reports follow an end, or are sent in full, as one may be lost. */
#define ENTRY_REPORT_REPEATS_COUNT 2u

struct entry_pool *entry_pool(struct entry *entry, uint64_t pool_id);

/** @return the pool's record of an account; valid until another is added */
struct entry_account *entry_pool_account(struct entry_pool *pool,
    const struct entry_request *request);

/** Starts a waiting request at an endpoint. */
void entry_start(struct entry *entry, struct entry_request *request,
    uint64_t endpoint_id, uint64_t now_ms, struct effects *effects);

/** Refuses and removes a waiting request. */
void entry_refuse(struct entry *entry, struct entry_request *request,
    enum refuse_reason reason, uint32_t retry_after_ms,
    struct effects *effects);

/** @return the next endpoint in turn that takes new work, or NULL */
const struct endpoint *entry_next_endpoint(const struct entry *entry,
    struct entry_pool *pool);

/* entry_report.c */
void entry_send_report(struct entry *entry, struct entry_pool *pool,
    uint64_t to_node_id, uint64_t now_ms, struct effects *effects);

/** Makes the next report due now, in full. */
void entry_schedule_full_report(struct entry_pool *pool);

bool entry_report_is_due(const struct entry *entry,
    const struct entry_pool *pool, uint64_t now_ms);

#endif
