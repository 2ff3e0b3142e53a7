/**
 * @file
 * What the files of the queue owner share; not for others.
 */
#ifndef CORE_OWNER_PRIVATE_H
#define CORE_OWNER_PRIVATE_H

#include "core/owner.h"

#define RESYNC_BACKOFF_MIN_MS 100u
#define RESYNC_BACKOFF_MAX_MS 8000u

struct request_key {
	uint64_t node_id;
	uint64_t seq;
};

/** A waiting or granted request of an entry daemon. */
struct owner_request {
	struct fair_waiter waiter; /**< queued while it waits */
	GList node_link;
	struct request_key key;
	struct owner_node *node;
	uint64_t prefix_hash;
	uint64_t avoid_endpoint_id; /**< chosen last; 0 for none */
	uint64_t endpoint_id; /**< 0 while waiting */
	uint64_t granted_at_ms;
	uint64_t grant_seq; /**< number of its newest grant */
	uint64_t report_generation; /**< of the last report that named it */
	int64_t charged_tokens;
	uint32_t estimate_tokens;
	bool is_probe; /**< tries an ejected endpoint */
};

/** What an owner knows of one entry daemon. */
struct owner_node {
	uint64_t node_id;
	uint64_t incarnation;
	GQueue requests;
	uint64_t last_report_seq; /**< send_seq of the newest report */
	uint64_t last_end_seq; /**< send_seq of the newest done or cancel */
	uint64_t
	    reported_seq_max; /**< newest request that the newest report knew */
	uint64_t reported_at_ms; /**< newest report, or first request */
	uint64_t sync_sent_ms;
	bool awaiting_report; /**< its full report is missing since the sync */
	bool down; /**< lost, and not heard of since */
};

/* owner_request.c */
struct owner_request *owner_request_find(struct owner *owner, uint64_t node_id,
    uint64_t seq);
struct owner_request *owner_request_add(struct owner *owner,
    struct owner_node *node, const struct report_item *item);
void owner_request_remove(struct owner *owner, struct owner_request *request);
void owner_request_charge(struct owner *owner, struct owner_request *request,
    int64_t tokens);
/** Counts a waiting request as running at an endpoint. */
void owner_request_assign(struct owner *owner, struct owner_request *request,
    uint64_t endpoint_id, uint64_t now_ms);
/** Puts a granted request back in front of its queue, uncharged. */
void owner_request_requeue(struct owner *owner, struct owner_request *request);
/** Refuses and removes a waiting request. */
void owner_request_refuse(struct owner *owner, struct owner_request *request,
    enum refuse_reason reason, struct effects *effects);
/** Refuses a waiting request beyond its account's bound. */
void owner_request_enforce_waiting_max(struct owner *owner,
    struct owner_request *request, struct effects *effects);
/** What accounts may be apart: all slots filled with the longest requests. */
int64_t owner_debt_max_tokens(const struct owner *owner);

/* owner_endpoint.c */
struct owner_endpoint *owner_endpoint_find(const struct owner *owner,
    uint64_t endpoint_id);
/** @return where the request may run, or NULL if no slot is free */
struct owner_endpoint *owner_endpoint_choose(const struct owner *owner,
    const struct owner_request *request, uint64_t now_ms);
/** The same, with the extra slots. */
struct owner_endpoint *owner_endpoint_choose_extra(const struct owner *owner,
    const struct owner_request *request, uint64_t now_ms);
/** Slots of endpoints that take new work, without the extra ones. */
uint64_t owner_slots_count(const struct owner *owner);
void owner_endpoint_add_running(struct owner *owner,
    struct owner_request *request);
void owner_endpoint_record_outcome(struct owner *owner,
    const struct owner_request *request, enum done_outcome outcome,
    uint64_t now_ms);
/** Gives an endpoint no new work for a moment: a daemon's tables exclude it. */
void owner_endpoint_exclude(struct owner *owner, uint64_t endpoint_id,
    uint64_t now_ms);
bool owner_has_usable_endpoint(const struct owner *owner);
void owner_endpoints_set(struct owner *owner, const struct pool *pool);

/* owner.c */
void owner_send_grant(struct owner *owner, struct owner_request *request,
    struct effects *effects);

/* owner_node.c */
struct owner_node *owner_node_get(struct owner *owner, uint64_t node_id);
/** @return the sender, or NULL if the message is of an earlier incarnation */
struct owner_node *owner_node_sender(struct owner *owner,
    const struct msg *msg);
void owner_node_release_requests(struct owner *owner, struct owner_node *node);
void owner_node_free(gpointer node);
void owner_node_request_report(const struct owner *owner,
    struct owner_node *node, uint64_t now_ms, struct effects *effects);
/** Asks silent nodes for a report and releases those silent for too long. */
void owner_nodes_tick(struct owner *owner, uint64_t now_ms,
    struct effects *effects);
void owner_handle_report(struct owner *owner, struct owner_node *node,
    const struct msg_report *report, uint64_t now_ms, struct effects *effects);
void owner_finish_sync_if_complete(struct owner *owner);
void owner_finish_sync(struct owner *owner);
/** Steps aside when another owner's epoch is newer than this one's. */
void owner_observe_epoch(struct owner *owner, uint64_t epoch, uint64_t node_id,
    uint64_t now_ms);

#endif
