/**
 * @file
 * Typed messages between daemons. Their encoding lives outside the core.
 */
#ifndef CORE_MSG_H
#define CORE_MSG_H

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
	MSG_TYPE_COUNT
};

/** Why a request was refused before it ran. */
enum refuse_reason {
	REFUSE_NONE,
	REFUSE_QUEUE_FULL,
	REFUSE_DEADLINE,
	REFUSE_NO_ENDPOINT,
	REFUSE_SHUTDOWN,
	REFUSE_RETRY_BUDGET, /**< no further attempt is allowed now */
	REFUSE_REASON_COUNT
};

enum member_state { MEMBER_UNKNOWN, MEMBER_LIVE, MEMBER_SUSPECT, MEMBER_DOWN };

#define MEMBER_FLAG_LEAVING 1u /**< takes no new work */
#define MEMBER_FLAG_PLATFORM_LOST 2u /**< can't reach the platform */
#define MEMBER_FLAG_HIGH_CPU 4u /**< has processor time for duties */
#define MEMBER_FLAGS_MAX 7u

/**
 * What the sender believes of one member. Address and domain are empty unless
 * the member is live: what is told of others concerns those who know them.
 */
struct member_update {
	uint64_t node_id;
	char address[ADDRESS_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	uint64_t incarnation; /**< of the member's process */
	uint32_t revision; /**< grows when the member refutes a suspicion or
			     * changes its flags */
	uint8_t state; /**< enum member_state */
	uint8_t flags; /**< MEMBER_FLAG_... */
};

/** Versions of the tables that a member has in force. */
struct member_versions {
	uint32_t node_id_low; /**< low half of its node_id */
	uint32_t incarnation_low; /**< low half of its incarnation */
	uint64_t routes_version;
	uint64_t pools_version;
};

/**
 * Membership message: what the sender says of itself and, of bounded size,
 * what it believes of others. Also the body of MSG_HEARTBEAT_ACK, MSG_GOSSIP
 * (wants no answer), MSG_JOIN (wants MSG_MEMBER_LIST) and MSG_PROBE_REQUEST
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

/** All members that the sender knows; owned as the arrays of a report. */
struct msg_member_list {
	const struct member_update *items;
	uint32_t item_count;
};

/** An entry daemon asks the queue owner for a slot. */
struct msg_slot_request {
	uint64_t pool_id;
	uint64_t account_id;
	uint64_t seq;
	uint64_t prefix_hash;
	uint64_t avoid_endpoint_id; /**< failed an earlier attempt, or 0 */
	uint32_t estimate_tokens;
};

/**
 * A request of the sender ended before it was started, or its grant at
 * endpoint_id was not used and it waits again (endpoint_id is not 0).
 */
struct msg_cancel {
	uint64_t pool_id;
	uint64_t seq;
	uint64_t send_seq; /**< see msg_request_report */
	uint64_t endpoint_id;
	uint64_t grant_seq; /**< of the grant that was not used */
};

/** How a granted request ended at its endpoint. */
enum done_outcome {
	DONE_COMPLETE, /**< answered, or cancelled by its caller */
	DONE_FAILED, /**< the endpoint failed or was not reached */
	DONE_REFUSED, /**< the endpoint refused it before running */
	DONE_OUTCOME_COUNT
};

/** The end of a granted request. */
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

/** The virtual time of an account as its last grant told it. */
struct report_vtime {
	uint64_t account_id;
	int64_t vtime;
};

/**
 * All requests that the sender holds for one pool. In an effect the arrays
 * belong to the list of effects; in a received message, to the decoder. A
 * report that is not full names requests by seq, tokens and state alone; the
 * owner asks for a full one when it doesn't know a request.
 */
struct msg_request_report {
	uint64_t pool_id;
	uint64_t epoch_seen;
	const struct report_item *items;
	const struct report_vtime *vtimes;
	uint32_t item_count;
	uint32_t vtime_count;
	uint64_t owner_seen; /**< node that epoch_seen belongs to; 0: the
			       * receiver */
	uint64_t send_seq; /**< rises with each report, done and cancel of the
			     * sender for this pool */
	uint64_t seq_max; /**< newest request taken in by the sender */
	uint8_t full;
	uint8_t wants_ack; /**< the owner has not been heard lately */
};

/** A queue owner announces its epoch. */
struct msg_sync {
	uint64_t pool_id;
	uint64_t epoch;
	uint8_t wants_report; /**< asks for a full report */
};

/** A slot at an endpoint for one request. */
struct msg_grant {
	uint64_t pool_id;
	uint64_t epoch;
	uint64_t seq;
	uint64_t endpoint_id;
	int64_t account_vtime;
	uint64_t grant_seq; /**< rises with each grant of the owner */
};

/** The request was not run and will not be granted. */
struct msg_refuse {
	uint64_t pool_id;
	uint64_t epoch;
	uint64_t seq;
	uint32_t retry_after_ms;
	uint8_t reason;
};

/** Tells an owner that a newer (epoch, owner) of its pool exists. */
struct msg_stale_owner {
	uint64_t pool_id;
	uint64_t epoch_seen;
	uint64_t owner_seen;
};

/** Versions of the tables that the sender holds. */
struct msg_tables_versions {
	uint64_t routes_version;
	uint64_t pools_version;
};

/** What one daemon runs at an endpoint. */
struct load_endpoint {
	uint64_t endpoint_id;
	uint32_t running_count;
	uint32_t prefill_tokens; /**< of prompts whose first token is due */
	uint32_t kv_tokens;
};

/** What an account asked and got at one daemon, as decaying sums. */
struct load_account {
	uint64_t account_id;
	uint32_t asked_tokens;
	uint32_t served_tokens;
};

/** A part of a prompt that an endpoint has got to read. */
struct load_cached_segment {
	uint64_t endpoint_id;
	uint64_t segment_id;
};

/** What a daemon follows in the platform's store. */
enum resource_kind {
	RESOURCE_CONFIGURATION,
	RESOURCE_ENDPOINTS,
	RESOURCE_KIND_COUNT
};

/** How fresh a daemon's copy is of what it follows. */
struct load_freshness {
	uint64_t version; /**< 0: none */
	uint32_t age_ms; /**< UINT32_MAX: never proven */
};

/**
 * Load that the sender causes or knows of; owned as the arrays of a report. It
 * also says how fresh the sender's configuration and list of endpoints are:
 * each was the newest age_ms before a time that was not earlier than the
 * receiver's own stamp, which comes back as echo_ms.
 */
struct msg_load {
	uint64_t stamp_ms; /**< sender's clock that counts suspensions */
	uint64_t echo_ms; /**< the receiver's last stamp, 0: none */
	struct load_freshness freshness[RESOURCE_KIND_COUNT];
	const struct load_endpoint *endpoints;
	const struct load_account *accounts;
	const struct load_cached_segment
	    *cached_segments; /**< since the report before */
	uint32_t endpoints_count;
	uint32_t accounts_count;
	uint32_t cached_segments_count;
};

enum table_kind { TABLE_ROUTES, TABLE_POOLS, TABLE_KIND_COUNT };

/** The text of one table at a version; belongs to the sender of the effect. */
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
		struct msg_tables_versions tables_versions;
		struct msg_tables_data tables_data;
		struct msg_load load;
	} u;
};

#endif
