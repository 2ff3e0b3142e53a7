/**
 * @file
 * Messages between daemons as C structs. The wire encoding is in
 * common/codec.h, outside the core.
 */
#ifndef CORE_MSG_H
#define CORE_MSG_H

#include <stdbool.h>
#include <stdint.h>

#include "core/domain_crossing.h"
#include "core/domain_delay.h"
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
	MSG_REPORT,
	MSG_CRASH_RECORDS,
	MSG_ENDPOINT_LIMITS,
	MSG_PLACE_REQUEST,
	MSG_PLACEMENT,
	MSG_ATTEMPT_EVENTS,
	MSG_RUNNING_ATTEMPTS,
	/** The sender is about to stop: connections of callers that it passes to
	 * the receiver take no further request. */
	MSG_HANDOFF_STOP,
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

/** Tokens that an account requested and received, as decaying sums. */
struct load_account {
	uint64_t account_id;
	uint32_t asked_tokens;
	uint32_t served_tokens;
};

/** Kinds of data that a daemon watches in the platform's store. */
enum resource_kind {
	RESOURCE_CONFIGURATION,
	RESOURCE_ENDPOINTS,
	RESOURCE_DRAINED_DOMAINS,
	RESOURCE_KIND_COUNT
};

/** Freshness of a daemon's copy of a resource. */
struct reported_freshness {
	uint64_t version; /**< 0 without a copy */
	/** time since the copy was known to be current; UINT32_MAX if never */
	uint32_t age_ms;
};

/**
 * Report of the freshness of the sender's configuration and endpoint list. The
 * clocks of two daemons can't be compared, so the sender returns the
 * receiver's last stamp as echo: the receiver knows that the sender's copy was
 * current age_ms before that moment of the receiver's own clock, or later.
 * Hubs tell each other also of the accounts that they served. The array has the
 * same owner as those of msg_request_report.
 */
struct msg_report {
	/** Moment of the sender's clock, which includes suspend time; only the
	 * sending process can read it. */
	uint64_t stamp;
	uint64_t echo; /**< last stamp of the receiver, 0 if none */
	struct reported_freshness freshness[RESOURCE_KIND_COUNT];
	const struct load_account *accounts;
	uint32_t accounts_count;
	uint8_t has_accounts; /**< 0: the last ones still hold */
};

/** A piece of a prompt that an engine can cache for later requests. */
struct prompt_segment {
	uint64_t segment_id;
	uint32_t tokens;
};

/** Asks a hub for the endpoint of a request. */
struct msg_place_request {
	uint64_t attempt_id; /**< chosen by the sender, unique in the fleet */
	uint64_t pool_id;
	uint64_t account_id;
	uint64_t request_hash;
	struct prompt_segment segments[PROMPT_SEGMENTS_MAX_COUNT];
	uint64_t tried_ids[TRIED_MAX_COUNT]; /**< endpoints to leave out */
	uint32_t segments_count;
	uint32_t tried_count;
	uint32_t prompt_tokens;
	uint32_t response_tokens;
	uint32_t latency_target_ms;
	uint32_t remaining_ms;
	uint8_t asked_before; /**< another hub was asked for the same attempt */
	uint32_t body_bytes;
	uint64_t domain_id; /**< of the sender; 0: its domain doesn't matter */
	struct domain_delays delays; /**< of the sender */
};

/** Answer of a hub: the endpoint, or why the request is refused. */
struct msg_placement {
	uint64_t attempt_id;
	uint64_t endpoint_id;
	/** Name, address and process of the endpoint, which the receiver may not
	 * have discovered yet; "" and 0 if the request is refused. */
	char name[ENDPOINT_NAME_MAX_BYTES];
	char address[ADDRESS_MAX_BYTES];
	uint64_t process_start_ms;
	/** Of the list, at the last change of the endpoint; 0 if unknown. */
	uint64_t endpoint_revision;
	uint64_t prefill_tokens; /**< charged to the endpoint */
	uint64_t kv_tokens; /**< charged to the endpoint */
	uint32_t retry_after_ms;
	uint32_t rejection_hold_ms;
	uint32_t backlog_ms;
	uint32_t prefill_ms;
	uint32_t first_token_ms;
	uint32_t admission_limit_ms;
	uint32_t running_count;
	uint32_t share_permille;
	uint32_t limit_per_1000_s; /**< of the endpoint; 0: none is known */
	struct reported_freshness list; /**< the hub's list of endpoints */
	uint8_t start;
	uint8_t reason; /**< enum refuse_reason */
	uint8_t over_share;
	uint8_t crossing; /**< enum crossing_reason */
};

enum attempt_event_kind {
	ATTEMPT_BEGAN, /**< the first token arrived */
	ATTEMPT_ENDED,
	ATTEMPT_LIMIT, /**< the response told whether the endpoint has a limit */
	ATTEMPT_STATEMENT, /**< the endpoint said that it leaves or pauses */
	ATTEMPT_EVENT_KIND_COUNT
};

/** What happened to an attempt. */
struct attempt_event {
	uint64_t attempt_id;
	/** ATTEMPT_BEGAN, ATTEMPT_ENDED: since the decision, UINT32_MAX if not
	 * measured. */
	uint32_t taken_ms;
	uint32_t limit_per_1000_s; /**< ATTEMPT_LIMIT; 0: none */
	uint32_t pause_ms; /**< ATTEMPT_STATEMENT; 0: none */
	uint8_t kind; /**< enum attempt_event_kind */
	uint8_t outcome; /**< ATTEMPT_ENDED: enum dispatch_outcome */
	uint8_t leaving; /**< ATTEMPT_STATEMENT */
	uint16_t pace_percent; /**< ATTEMPT_BEGAN; 0: the engine states none */
};

/** Events of attempts that the receiver placed. The array has the same owner as
 * those of msg_request_report. */
struct msg_attempt_events {
	const struct attempt_event *items;
	uint32_t count;
};

/** An attempt in progress. */
struct running_attempt {
	uint64_t attempt_id;
	uint64_t endpoint_id;
	uint32_t prefill_tokens; /**< 0 once the first token arrived */
	uint32_t kv_tokens;
};

/** All attempts of the sender at endpoints that the receiver decides on. The
 * array has the same owner as those of msg_request_report. */
struct msg_running_attempts {
	const struct running_attempt *items;
	uint32_t count;
};

/** The stop of a daemon that passes connections to the receiver. */
struct msg_handoff_stop {
	uint32_t elapsed_ms; /**< since it was told to stop */
	uint32_t grace_ms; /**< it is killed this long after that */
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
		struct msg_report report;
		struct msg_crash_records crash_records;
		struct msg_endpoint_limits endpoint_limits;
		struct msg_place_request place_request;
		struct msg_placement placement;
		struct msg_attempt_events attempt_events;
		struct msg_running_attempts running_attempts;
		struct msg_handoff_stop handoff_stop;
	} u;
};

#endif
