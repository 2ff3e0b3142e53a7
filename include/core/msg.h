/**
 * @file
 * Messages between daemons as C structs. The wire encoding is in
 * common/codec.h, outside the core.
 */
#ifndef CORE_MSG_H
#define CORE_MSG_H

#include <stdbool.h>
#include <stdint.h>

#include "core/limits.h"

enum msg_type {
	MSG_HEARTBEAT,
	MSG_HEARTBEAT_ACK,
	MSG_PROBE_REQUEST,
	MSG_GOSSIP,
	MSG_JOIN,
	MSG_MEMBER_LIST,
	MSG_SLOT_REQUEST,
	MSG_CANCEL,
	MSG_DONE,
	MSG_REQUEST_REPORT,
	MSG_SYNC,
	MSG_GRANT,
	MSG_REFUSE,
	MSG_STALE_OWNER,
	MSG_TABLES_ANNOUNCE,
	MSG_TABLES_PULL,
	MSG_TABLES_DATA,
	MSG_LOAD,
	MSG_CRASH_RECORDS,
	MSG_ENDPOINT_LIMITS,
	MSG_TYPE_COUNT
};

/** Reason for refusing a request that has not run. */
enum refuse_reason {
	REFUSE_NONE,
	REFUSE_QUEUE_FULL,
	REFUSE_DEADLINE,
	REFUSE_NO_ENDPOINT,
	REFUSE_SHUTDOWN,
	REFUSE_ACCOUNT_SHARE, /**< the account is over its fair share */
	REFUSE_RETRY_BUDGET, /**< no further attempt is allowed now */
	REFUSE_ENDPOINT_LIMIT, /**< all endpoints are at their limits */
	REFUSE_CRASH_SUSPECT, /**< its prompt may crash engines */
	REFUSE_REASON_COUNT
};

enum member_state { MEMBER_UNKNOWN, MEMBER_LIVE, MEMBER_SUSPECT, MEMBER_DOWN };

#define MEMBER_FLAG_LEAVING 1u /**< accepts no new work */
#define MEMBER_FLAG_PLATFORM_LOST 2u /**< can't reach the platform */
#define MEMBER_FLAG_HIGH_CPU 4u /**< has processor time to spare for a hub */
#define MEMBER_FLAGS_MAX 7u

/**
 * State of one member as the sender knows it. To save bytes, address and
 * domain are set only if the member is live: receivers of any other state
 * either know the member already or ignore the update.
 */
struct member_update {
	uint64_t node_id;
	char address[ADDRESS_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	uint64_t incarnation; /**< identifies the member's process */
	/** increased to refute a suspicion and to change the flags */
	uint32_t revision;
	uint8_t state; /**< enum member_state */
	uint8_t flags; /**< MEMBER_FLAG_... */
};

/** Versions of the tables that a member has in force. */
struct member_versions {
	uint32_t node_id_low; /**< low 32 bits of the node_id */
	uint32_t incarnation_low; /**< low 32 bits of the incarnation */
	uint64_t routes_version;
	uint64_t pools_version;
};

/**
 * Membership message: the sender's own state and a bounded number of updates
 * about other members. Also the body of MSG_HEARTBEAT_ACK, MSG_GOSSIP (not
 * acknowledged), MSG_JOIN (answered by MSG_MEMBER_LIST) and MSG_PROBE_REQUEST
 * (asks the receiver to probe target_node_id).
 */
struct msg_heartbeat {
	uint64_t probe_seq;
	uint64_t target_node_id;
	struct member_update self;
	uint64_t routes_version;
	uint64_t pools_version;
	struct member_update updates[GOSSIP_UPDATES_MAX_COUNT];
	struct member_versions versions[GOSSIP_VERSIONS_MAX_COUNT];
	uint32_t updates_count;
	uint32_t versions_count;
};

/** All live members that the sender knows. The array has the same owner as
 * those of msg_request_report. */
struct msg_member_list {
	const struct member_update *items;
	uint32_t item_count;
};

/** Request of an entry daemon to the queue owner for a slot. */
struct msg_slot_request {
	uint64_t pool_id;
	uint64_t account_id;
	uint64_t seq;
	uint64_t prefix_hash;
	uint64_t avoid_endpoint_id; /**< endpoint of a failed attempt, or 0 */
	uint32_t estimate_tokens;
};

/**
 * Withdraws a slot request, or returns an unused grant. With endpoint_id 0 the
 * request ended before it was started. Otherwise the grant at that endpoint
 * was not used and the request waits again.
 */
struct msg_cancel {
	uint64_t pool_id;
	uint64_t seq;
	uint64_t send_seq; /**< see msg_request_report */
	uint64_t endpoint_id;
	uint64_t grant_seq; /**< grant_seq of the unused grant */
};

/** How a granted request ended at its endpoint. */
enum done_outcome {
	DONE_COMPLETE, /**< response complete, or cancelled by the caller */
	DONE_FAILED, /**< the endpoint failed or was unreachable */
	DONE_REFUSED, /**< refused by the endpoint without running */
	DONE_OUTCOME_COUNT
};

/** Reports the end of a granted request and returns its slot. */
struct msg_done {
	uint64_t pool_id;
	uint64_t seq;
	uint64_t tokens;
	uint64_t send_seq; /**< see msg_request_report */
	uint8_t outcome; /**< enum done_outcome */
};

enum report_state { REPORT_WAITING, REPORT_RUNNING };

/** One waiting or running request in a report. */
struct report_item {
	uint64_t account_id;
	uint64_t seq;
	uint64_t endpoint_id;
	uint64_t prefix_hash;
	uint64_t tokens;
	uint32_t estimate_tokens;
	uint8_t state;
};

/** Virtual time of an account as given in its last grant. */
struct report_vtime {
	uint64_t account_id;
	int64_t vtime;
};

/**
 * All requests that the sender holds for one pool. The arrays of a message in
 * an effect are freed by effects_clear, those of a decoded message by
 * codec_release. A report that is not full contains only the seq, tokens and
 * state of each request; the owner asks for a full report when it finds a
 * request that it doesn't know.
 */
struct msg_request_report {
	uint64_t pool_id;
	uint64_t epoch_seen;
	const struct report_item *items;
	const struct report_vtime *vtimes;
	uint32_t item_count;
	uint32_t vtime_count;
	/** owner that announced epoch_seen; 0 stands for the receiver */
	uint64_t owner_seen;
	/** increased with each report, done and cancel message of the sender
	 * for this pool, so that the owner can detect outdated reports */
	uint64_t send_seq;
	uint64_t seq_max; /**< newest request accepted by the sender */
	uint8_t full;
	/** asks for MSG_SYNC, since nothing was received from the owner
	 * recently */
	uint8_t wants_ack;
};

/** Announces the epoch of a queue owner. */
struct msg_sync {
	uint64_t pool_id;
	uint64_t epoch;
	uint8_t wants_report; /**< asks for a full request report */
};

/** Grants one request a slot at an endpoint. */
struct msg_grant {
	uint64_t pool_id;
	uint64_t epoch;
	uint64_t seq;
	uint64_t endpoint_id;
	int64_t account_vtime;
	uint64_t grant_seq; /**< increased with each grant of the owner */
};

/** Refuses a slot request; the request has not run. */
struct msg_refuse {
	uint64_t pool_id;
	uint64_t epoch;
	uint64_t seq;
	uint32_t retry_after_ms;
	uint8_t reason;
};

/** Tells an owner that another daemon owns its pool with a newer epoch, or with
 * the same epoch and a higher node id. */
struct msg_stale_owner {
	uint64_t pool_id;
	uint64_t epoch_seen;
	uint64_t owner_seen;
};

/** Versions of the tables that the sender has in force. */
struct msg_tables_versions {
	uint64_t routes_version;
	uint64_t pools_version;
};

/** Load of an endpoint from the requests of one daemon or group. */
struct load_endpoint {
	uint64_t endpoint_id;
	uint32_t running_count;
	uint32_t prefill_tokens; /**< in prompts without a first token yet */
	uint32_t kv_tokens;
};

/** Tokens that an account requested and received, as decaying sums. */
struct load_account {
	uint64_t account_id;
	uint32_t asked_tokens;
	uint32_t served_tokens;
};

/** Prompt segment that was sent to an endpoint and is likely cached there. */
struct load_cached_segment {
	uint64_t endpoint_id;
	uint64_t segment_id;
};

/** Kinds of data that a daemon watches in the platform's store. */
enum resource_kind {
	RESOURCE_CONFIGURATION,
	RESOURCE_ENDPOINTS,
	RESOURCE_KIND_COUNT
};

/** Freshness of a daemon's copy of a resource. */
struct load_freshness {
	uint64_t version; /**< 0 without a copy */
	/** time since the copy was known to be current; UINT32_MAX if never */
	uint32_t age_ms;
};

/**
 * Load report: load that the sender causes or aggregates for its group. The
 * arrays have the same owner as those of msg_request_report. The report also
 * states the freshness of the sender's configuration and endpoint list. The
 * clocks of two daemons can't be compared, so the sender returns the
 * receiver's last timestamp as echo_ms: the receiver knows that the sender's
 * copy was current at echo_ms - age_ms of the receiver's own clock or later.
 */
struct msg_load {
	uint64_t stamp_ms; /**< sender's clock, which includes suspend time */
	uint64_t echo_ms; /**< last stamp_ms of the receiver, 0 if none */
	struct load_freshness freshness[RESOURCE_KIND_COUNT];
	const struct load_endpoint *endpoints;
	const struct load_account *accounts;
	/** segments recorded since the previous report */
	const struct load_cached_segment *cached_segments;
	uint32_t endpoints_count;
	uint32_t accounts_count;
	uint32_t cached_segments_count;
};

/** What a daemon knows of a prompt segment that was in engine crashes. */
struct crash_record {
	uint64_t segment_id;
	uint64_t crash_ids[CRASH_RECORD_IDS_COUNT]; /**< engine processes */
	uint32_t crashes_count; /**< valid entries of crash_ids */
	uint32_t failed_trials_count;
	/** Grows when the segment is suspected again after it was cleared. */
	uint32_t epoch;
	uint32_t age_ms; /**< of the latest evidence */
	uint32_t depth; /**< last place in the prompts of lost requests */
	bool cleared; /**< a response began since */
};

/** Records that changed, and those of blocked segments from time to time. The
 * array has the same owner as those of msg_request_report. */
struct msg_crash_records {
	const struct crash_record *items;
	uint32_t count;
};

/** Rate of requests that an endpoint takes from all daemons together. */
struct reported_limit {
	uint64_t endpoint_id;
	uint32_t per_1000_s; /**< requests in 1,000 s; 0: no limit any more */
	uint32_t age_ms; /**< time since the endpoint said so */
};

/** Limits that changed, and those in force from time to time. The array has the
 * same owner as those of msg_request_report. */
struct msg_endpoint_limits {
	const struct reported_limit *items;
	uint32_t count;
};

enum table_kind { TABLE_ROUTES, TABLE_POOLS, TABLE_KIND_COUNT };

/** JSON text of one table. In an effect the text belongs to the caller of
 * tablesync_handle_pull. */
struct msg_tables_data {
	uint64_t version;
	const char *text;
	uint32_t text_bytes;
	uint8_t kind;
};

struct msg {
	enum msg_type type;
	uint64_t from_node_id;
	uint64_t from_incarnation;
	union {
		struct msg_heartbeat heartbeat;
		struct msg_member_list member_list;
		struct msg_slot_request slot_request;
		struct msg_cancel cancel;
		struct msg_done done;
		struct msg_request_report request_report;
		struct msg_sync sync;
		struct msg_grant grant;
		struct msg_refuse refuse;
		struct msg_stale_owner stale_owner;
		struct msg_tables_versions versions;
		struct msg_tables_data tables_data;
		struct msg_load load;
		struct msg_crash_records crash_records;
		struct msg_endpoint_limits endpoint_limits;
	} u;
};

#endif
