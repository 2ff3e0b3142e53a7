/**
 * @file
 * Types and functions shared by the source files of dispatch.
 */
#ifndef CORE_DISPATCH_PRIVATE_H
#define CORE_DISPATCH_PRIVATE_H

#include "core/dispatch.h"

/** A running attempt at an endpoint. */
struct dispatch_attempt {
	uint64_t seq;
	uint64_t endpoint_id;
	uint64_t process_start_ms; /**< of the endpoint's process */
	uint64_t started_ms;
	uint64_t prefill_tokens;
	uint64_t kv_tokens;
	uint32_t forecast_ms; /**< until the end of its prefill */
	bool engine;
	bool first_token_arrived;
	/** Segments of the prompt but the request's own. */
	uint64_t shared_segment_ids[PROMPT_SEGMENTS_MAX_COUNT - 1];
	uint32_t shared_segments_count;
	uint64_t trial_segment_id; /**< a trial of a suspect; 0: none */
};

/** An attempt at an engine that was lost before its first token. */
struct dispatch_loss {
	struct dispatch_attempt attempt;
	uint64_t crash_id; /**< identifies the engine's process */
	uint64_t lost_ms;
};

static inline uint64_t
dispatch_moving_average(uint64_t average, uint64_t sample, uint64_t weight)
{
	return (average * (weight - 1) + sample) / weight;
}

/** The last load report of one peer; owns its arrays. */
struct dispatch_peer {
	uint64_t node_id;
	uint64_t received_ms;
	uint64_t stamp_ms; /**< the peer's stamp, to be echoed */
	bool is_hub;
	struct load_endpoint *endpoints;
	struct load_account *accounts;
	uint32_t endpoints_count;
	uint32_t accounts_count;
};

/** An endpoint evaluated for one request. */
struct dispatch_candidate {
	struct dispatch_endpoint *endpoint;
	uint64_t rendezvous_score;
	uint64_t uncached_tokens;
	uint64_t backlog_ms;
	uint64_t prefill_ms; /**< of the request's own prompt */
	uint64_t cost_ms; /**< the lowest cost wins */
	uint64_t pool_mean_backlog_ms; /**< set for the chosen one */
	uint64_t pool_min_backlog_ms; /**< set for the chosen one */
	/** Until the endpoint takes a request from this daemon. */
	uint64_t closed_ms;
};

/**
 * Chooses the endpoint with the lowest cost for a request.
 * @param closed_ms receives the time until an endpoint takes a request from
 * this daemon, if none does now; else 0
 * @return false if the pool has no usable endpoint
 */
bool dispatch_choose(struct dispatch *dispatch, const struct config_pool *pool,
    const struct dispatch_request *request, uint64_t now_ms,
    struct dispatch_candidate *chosen, uint64_t *closed_ms);

/** Starts an attempt at the chosen endpoint.
 * @param engine the endpoint is a model engine
 * @param trial_segment_id the suspect that the request is a trial of, or 0 */
void dispatch_start_attempt(struct dispatch *dispatch,
    const struct dispatch_request *request,
    const struct dispatch_candidate *candidate, bool engine,
    uint64_t trial_segment_id, uint64_t now_ms,
    struct dispatch_decision *decision);

/** A cached segment to be announced to peers. */
struct dispatch_cache_update {
	struct load_cached_segment item;
	uint64_t from_node_id;
	bool from_hub;
};

/** @return the last segment of the prompt that other requests can share, which
 * is the one before the request's own; NULL if there is none. An engine that
 * has it cached has all segments before it, too. */
const struct prompt_segment *dispatch_shared_segment(
    const struct dispatch_request *request);

/** Records the segments that an endpoint will have cached after a request, and
 * announces the shared one to peers. */
void dispatch_cache_record(struct dispatch *dispatch,
    struct dispatch_endpoint *endpoint, const struct dispatch_request *request,
    uint64_t now_ms);

/** Handles the cached segments in a peer's load report. */
void dispatch_cache_handle_updates(struct dispatch *dispatch,
    const struct msg_load *load, const struct dispatch_peer *peer);

/** Adds the cached segments to a load report for a member of this hub's group,
 * or for a hub if member is NULL. */
void dispatch_cache_fill_report(const struct dispatch *dispatch,
    const struct dispatch_peer *member, struct msg_load *load);

/** @return tokens of the prompt that the endpoint does not have cached */
uint64_t dispatch_uncached_tokens(const struct dispatch_endpoint *endpoint,
    const struct dispatch_request *request, uint64_t now_ms);

/** @return requests known to run at an endpoint */
uint64_t dispatch_running_requests(const struct dispatch_endpoint *endpoint);

/** @return the account's counters, created on first use */
struct dispatch_account *dispatch_get_account(struct dispatch *dispatch,
    uint64_t account_id);

void dispatch_peer_free(gpointer peer);

/** Recomputes the remote load if load reports changed. */
void dispatch_sum_remote_load(struct dispatch *dispatch);

/** Decays the accounts' counters and computes the fair share. */
void dispatch_update_shares(struct dispatch *dispatch, uint64_t now_ms);

/** Requests and retries for a pool in the current window, at index 0, and in
 * the previous one. */
struct dispatch_retry_budget {
	uint64_t pool_id;
	uint64_t window_start_ms;
	uint32_t requests_count[2];
	uint32_t retries_count[2];
};

/** Counts the first attempt of a request for a pool. */
void dispatch_count_request(struct dispatch *dispatch, uint64_t pool_id,
    uint64_t now_ms);

/**
 * Takes one retry from this daemon's part of the fleet's retry budget for a
 * pool.
 * @return false if the budget is spent
 */
bool dispatch_take_retry(struct dispatch *dispatch, uint64_t pool_id,
    uint64_t now_ms);

/** Copies the segments of a prompt but the request's own. @return their number
 */
uint32_t dispatch_shared_segment_ids(const struct dispatch_request *request,
    uint64_t segment_ids[PROMPT_SEGMENTS_MAX_COUNT - 1]);

/** Decides whether a request may reach an engine although its prompt may have
 * crashed others. */
void dispatch_check_suspects(const struct dispatch *dispatch,
    const struct dispatch_request *request, uint64_t now_ms,
    struct suspect_verdict *verdict);

/** Records an attempt whose connection ended without a whole response. */
void dispatch_record_loss(struct dispatch *dispatch,
    const struct dispatch_endpoint *endpoint,
    const struct dispatch_attempt *attempt, uint64_t now_ms);

/** Finds the crashes among the recorded losses, and sends changed records to
 * other daemons. */
void dispatch_tick_crashes(struct dispatch *dispatch, uint64_t now_ms,
    struct effects *effects);

/** Sends a message to the daemons that receive this daemon's load reports.
 * @param fill sets the message's array to a copy of the items */
void dispatch_send_to_peers(const struct dispatch *dispatch, enum msg_type type,
    void (*fill)(const GArray *items, struct msg *msg), const GArray *items,
    struct effects *effects);

/** Finds the holders of all limits again, since the live daemons changed. */
void dispatch_update_holders(struct dispatch *dispatch);

/** Sends changed limits to other daemons. */
void dispatch_tick_limits(struct dispatch *dispatch, uint64_t now_ms,
    struct effects *effects);

/** @return whether an endpoint has told this daemon that it leaves */
bool dispatch_said_leaving(const struct dispatch *dispatch,
    const struct dispatch_endpoint *endpoint);

/** @return time until an endpoint takes a request from this daemon, by its limit
 * and the pause that it asked for; 0: now */
uint64_t dispatch_closed_ms(const struct dispatch *dispatch,
    struct dispatch_endpoint *endpoint, uint64_t now_ms);

/** Updates an endpoint's health with the outcome of an attempt. */
enum dispatch_health_change
dispatch_update_health(struct dispatch_endpoint *endpoint,
    enum dispatch_outcome outcome, uint64_t now_ms);

/** @return whether an endpoint is neither ejected nor being probed */
bool dispatch_is_usable(const struct dispatch_endpoint *endpoint,
    uint64_t now_ms);

#endif
