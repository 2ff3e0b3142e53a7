/**
 * @file
 * Declarations shared by the files of the queue owner.
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
	uint64_t avoid_endpoint_id; /**< chosen as a last resort; 0: none */
	uint64_t endpoint_id; /**< 0 while waiting */
	uint64_t granted_at_ms;
	uint64_t grant_seq; /**< of its newest grant */
	uint64_t report_generation; /**< of the last report that has it */
	int64_t charged_tokens;
	uint32_t estimate_tokens;
	bool is_probe; /**< probe request at an ejected endpoint */
};

/** An entry daemon and its requests. */
struct owner_node {
	uint64_t node_id;
	uint64_t incarnation;
	GQueue requests;
	uint64_t last_report_seq; /**< send_seq of the newest report */
	/** send_seq of the newest MSG_DONE or MSG_CANCEL. */
	uint64_t last_end_seq;
	/** Newest request of the node when it sent the newest report. */
	uint64_t reported_seq_max;
	/** Newest report, or first request after none. */
	uint64_t reported_at_ms;
	uint64_t sync_sent_ms;
	/** No full report was received since the sync started. */
	bool awaiting_report;
	bool down; /**< failed, no message received since */
};

/* owner_request.c */
struct owner_request *owner_request_find(struct owner *owner, uint64_t node_id,
    uint64_t seq);
struct owner_request *owner_request_add(struct owner *owner,
    struct owner_node *node, const struct report_item *item);
void owner_request_remove(struct owner *owner, struct owner_request *request);
void owner_request_charge(struct owner *owner, struct owner_request *request,
    int64_t tokens);
/** Assigns a request to an endpoint, where it counts as running. */
void owner_request_assign(struct owner *owner, struct owner_request *request,
    uint64_t endpoint_id, uint64_t now_ms);
/** Puts a granted request back at the head of its queue and refunds its
 * charge. */
void owner_request_requeue(struct owner *owner, struct owner_request *request);
/** Refuses and removes a waiting request. */
void owner_request_refuse(struct owner *owner, struct owner_request *request,
    enum refuse_reason reason, struct effects *effects);
/** Refuses a request if its account has more waiting requests than allowed. */
void owner_request_enforce_waiting_max(struct owner *owner,
    struct owner_request *request, struct effects *effects);
/** @return the maximum debt of an account: the tokens of requests of maximum
 * length in all slots */
int64_t owner_debt_max_tokens(const struct owner *owner);

/* owner_endpoint.c */
struct owner_endpoint *owner_endpoint_find(const struct owner *owner,
    uint64_t endpoint_id);
/** @return the endpoint for a request, or NULL if no slot is free */
struct owner_endpoint *owner_endpoint_choose(const struct owner *owner,
    const struct owner_request *request, uint64_t now_ms);
/** Also considers the extra slots. */
struct owner_endpoint *owner_endpoint_choose_extra(const struct owner *owner,
    const struct owner_request *request, uint64_t now_ms);
/** @return the slots of all listed endpoints that are not leaving, without the
 * extra slots */
uint64_t owner_slots_count(const struct owner *owner);
/** Counts a request as running at its endpoint. */
void owner_endpoint_add_running(struct owner *owner,
    struct owner_request *request);
/** Ejects the endpoint of an ended request after failures, or ends its
 * ejection after a success. */
void owner_endpoint_record_outcome(struct owner *owner,
    const struct owner_request *request, enum done_outcome outcome,
    uint64_t now_ms);
/** Excludes an endpoint from grants for a short time, since the tables of an
 * entry daemon no longer allow it. */
void owner_endpoint_exclude(struct owner *owner, uint64_t endpoint_id,
    uint64_t now_ms);
/** @return whether any listed endpoint is not leaving */
bool owner_has_usable_endpoint(const struct owner *owner);
void owner_endpoints_set(struct owner *owner, const struct pool *pool);

/* owner.c */
void owner_send_grant(struct owner *owner, struct owner_request *request,
    struct effects *effects);

/* owner_node.c */
/** @return the node, which is added if it is new */
struct owner_node *owner_node_get(struct owner *owner, uint64_t node_id);
/** @return the sender, or NULL if an earlier incarnation of it sent the
 * message */
struct owner_node *owner_node_sender(struct owner *owner,
    const struct msg *msg);
/** Removes all requests of a node. */
void owner_node_release_requests(struct owner *owner, struct owner_node *node);
void owner_node_free(gpointer node);
/** Requests a full report. */
void owner_node_request_report(const struct owner *owner,
    struct owner_node *node, uint64_t now_ms, struct effects *effects);
/** Requests reports from silent nodes, and removes the requests of nodes that
 * have been silent for too long. */
void owner_nodes_tick(struct owner *owner, uint64_t now_ms,
    struct effects *effects);
void owner_handle_report(struct owner *owner, struct owner_node *node,
    const struct msg_request_report *report, uint64_t now_ms,
    struct effects *effects);
void owner_finish_sync_if_complete(struct owner *owner);
void owner_finish_sync(struct owner *owner);
/** Schedules a resync if another owner has superseded this one, that is, has a
 * newer epoch, or the same epoch and a higher node id. */
void owner_observe_epoch(struct owner *owner, uint64_t epoch, uint64_t node_id,
    uint64_t now_ms);

#endif
