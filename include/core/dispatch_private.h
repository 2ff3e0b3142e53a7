/**
 * @file
 * Types and functions shared by the source files of dispatch.
 */
#ifndef CORE_DISPATCH_PRIVATE_H
#define CORE_DISPATCH_PRIVATE_H

#include "core/dispatch.h"

/** A running attempt at an endpoint, placed by this daemon. */
struct dispatch_attempt {
	uint64_t seq;
	uint64_t node_id; /**< daemon that sends the request */
	/** When another daemon last named it among its running ones. */
	uint64_t confirmed_ms;
	uint64_t endpoint_id;
	uint64_t process_start_ms; /**< of the endpoint's process */
	uint64_t started_ms;
	uint64_t prefill_tokens;
	uint64_t kv_tokens;
	uint64_t
	    ahead_tokens; /**< of all prompts to prefill, its own included */
	uint32_t forecast_ms; /**< until the end of its prefill */
	bool engine;
	bool first_token_arrived;
	uint64_t account_id;
	uint64_t served_tokens; /**< counted as served to the account */
	/** Segments of the prompt; the last one is the request's own. */
	uint64_t segment_ids[PROMPT_SEGMENTS_MAX_COUNT];
	uint32_t segments_count;
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

/** The last report of one peer; owns its array. */
struct dispatch_peer {
	uint64_t node_id;
	uint64_t incarnation; /**< identifies its process */
	uint64_t received_ms;
	uint64_t stamp; /**< the peer's last one, to be echoed */
	/** Configuration that it has itself; 0: unknown. */
	uint64_t configuration_version;
	struct load_account *accounts;
	uint32_t accounts_count;
};

/** An endpoint that discovery no longer lists. */
struct dispatch_gone {
	uint64_t endpoint_id;
	uint64_t process_start_ms;
	uint64_t revision; /**< of its last entry */
	bool leaving; /**< its process had said that it leaves */
	uint64_t order; /**< the lowest is forgotten first */
};

/** Remembers that an endpoint is gone. */
void dispatch_record_gone(struct dispatch *dispatch,
    const struct dispatch_endpoint *endpoint);

/** Endpoints of a pool that one hub decides on. */
struct dispatch_group {
	uint64_t hub_id;
	uint32_t endpoints_count; /**< that take new requests */
};

/** The listed endpoints of a pool, as they are assigned to hubs. */
struct dispatch_pool {
	uint64_t pool_id;
	GArray *groups; /**< struct dispatch_group */
	GPtrArray *endpoints; /**< struct dispatch_endpoint */
	GPtrArray *own_endpoints; /**< those that this daemon decides on */
};

/** Frees a struct dispatch_pool; a GDestroyNotify. */
void dispatch_pool_free(gpointer pool);

/** @return the pool, or NULL if none of its endpoints is listed; valid until the
 * endpoints or the hubs change */
const struct dispatch_pool *dispatch_find_pool(const struct dispatch *dispatch,
    uint64_t pool_id);

/** Score of a group by weighted rendezvous hashing: requests are spread over the
 * groups by their endpoints, and those with the same key have the same best
 * group. */
double dispatch_group_score(const struct dispatch_group *group, uint32_t index,
    uint64_t key);

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
	/** Why the request leaves its domain; set for the chosen one. */
	enum crossing_reason crossing;
};

/** The cheapest endpoints in and out of a request's domain; NULL: none. */
struct dispatch_crossing {
	struct dispatch_candidate *own;
	struct dispatch_candidate *other;
};

/** @return whether an endpoint is in the failure domain that a request is to stay
 * in */
bool dispatch_is_own_domain(const struct dispatch *dispatch,
    const struct dispatch_request *request,
    const struct dispatch_endpoint *endpoint);

/** @return what it costs a request to go to an endpoint of another domain;
 * UINT64_MAX if it is too far away */
uint64_t dispatch_crossing_cost_ms(const struct dispatch *dispatch,
    const struct dispatch_request *request,
    const struct dispatch_endpoint *endpoint);

/** Keeps a candidate if it is the cheapest of its kind. */
void dispatch_crossing_offer(struct dispatch_crossing *crossing,
    struct dispatch_candidate *candidate, bool own_domain);

/** @return the candidate that a request goes to, or NULL; with the reason if it
 * leaves its domain for a price */
struct dispatch_candidate *
dispatch_crossing_choose(const struct dispatch *dispatch,
    const struct dispatch_request *request,
    const struct dispatch_crossing *crossing);

/** Sets a decision's reason for leaving this daemon's domain. */
void dispatch_set_crossing(const struct dispatch *dispatch,
    struct dispatch_decision *decision);

/** @return longest backlog that a request is admitted with, if its account is
 * within its share */
uint64_t dispatch_whole_limit_ms(const struct dispatch_request *request);

/** @return whether a candidate's backlog is too long for a request */
bool dispatch_exceeds_limit(const struct dispatch_candidate *candidate,
    uint64_t admission_limit_ms);

/** Number for rendezvous hashing. Requests with the same shared segment have the
 * same; the others are spread evenly.
 * @return the request's affinity key */
uint64_t dispatch_affinity_key(const struct dispatch_request *request);

/** @return the endpoint's score among others for an affinity key */
uint64_t dispatch_rendezvous_score(const struct dispatch_endpoint *endpoint,
    uint64_t key);

/** @return whether a request leaves an endpoint out */
bool dispatch_was_tried(const struct dispatch_request *request,
    uint64_t endpoint_id);

/** Marks an attempt as begun, and learns from the time that it took.
 * @param taken_ms UINT32_MAX if it was not measured
 * @param pace_percent that the engine states, or 0 */
void dispatch_begin_attempt(struct dispatch *dispatch, uint64_t seq,
    uint32_t taken_ms, uint32_t pace_percent, uint64_t now_ms);

/** Ends an attempt.
 * @param taken_ms UINT32_MAX if it was not measured */
void dispatch_finish_attempt(struct dispatch *dispatch, uint64_t seq,
    enum dispatch_outcome outcome, uint32_t taken_ms, uint64_t now_ms,
    struct dispatch_health_update *health_update);

/** Takes over a daemon's attempt that this hub has not placed. */
void dispatch_adopt_attempt(struct dispatch *dispatch, uint64_t node_id,
    const struct running_attempt *running, uint64_t now_ms);

/** Ends attempts of other daemons that no longer name them. */
void dispatch_expire_attempts(struct dispatch *dispatch, uint64_t now_ms);

/**
 * Evaluates the endpoints for a request.
 * @param own_endpoints choose among those that are assigned to this hub, if any
 * @param candidates receives a struct dispatch_candidate for each usable endpoint
 * @return the one with the lowest cost, among the candidates, or NULL if none takes
 * the request now
 */
const struct dispatch_candidate *dispatch_evaluate(struct dispatch *dispatch,
    const struct config_pool *pool, const struct dispatch_request *request,
    bool own_endpoints, uint64_t now_ms, GArray *candidates);

/** What a decision follows from; owns the candidates. */
struct dispatch_evaluation {
	GArray *candidates; /**< struct dispatch_candidate */
	/** Among the candidates; NULL if none takes the request. */
	const struct dispatch_candidate *best;
	bool engine; /**< the pool consists of model engines */
	uint64_t trial_segment_id; /**< suspect that it would be a trial of */
};

/** @return the pool in the configuration, or NULL */
const struct config_pool *
dispatch_find_config_pool(const struct dispatch *dispatch, uint64_t pool_id);

/**
 * Decides on a request: fills in the forecast, and where it starts or why it is
 * refused and when a retry can succeed. Counts, starts and learns nothing.
 * @param own_endpoints choose among those that are assigned to this hub, if any
 * @param evaluation to be finished by the caller
 */
void dispatch_decide(struct dispatch *dispatch,
    const struct dispatch_request *request, bool own_endpoints, uint64_t now_ms,
    struct dispatch_evaluation *evaluation, struct dispatch_decision *decision);
void dispatch_evaluation_finish(struct dispatch_evaluation *evaluation);

/** Makes a decision a refusal. */
void dispatch_fill_refusal(enum refuse_reason reason, uint64_t retry_after_ms,
    struct dispatch_decision *decision);

/** @return time to wait where no backlog tells how soon a retry can succeed */
uint32_t dispatch_default_retry_after_ms(
    const struct dispatch_request *request);

/** Starts an attempt at the best endpoint of an evaluation. */
void dispatch_start_attempt(struct dispatch *dispatch,
    const struct dispatch_request *request,
    const struct dispatch_origin *origin,
    const struct dispatch_evaluation *evaluation, uint64_t now_ms,
    struct dispatch_decision *decision);

/** @return the last segment of the prompt that other requests can share, which
 * is the one before the request's own; NULL if there is none. An engine that
 * has it cached has all segments before it, too. */
const struct prompt_segment *dispatch_shared_segment(
    const struct dispatch_request *request);

/** Records the segments that an endpoint will have cached after a request. */
void dispatch_cache_record(struct dispatch_endpoint *endpoint,
    const struct dispatch_request *request, uint64_t now_ms);

/** @return tokens of the prompt that the endpoint does not have cached */
uint64_t dispatch_uncached_tokens(const struct dispatch_endpoint *endpoint,
    const struct dispatch_request *request, uint64_t now_ms);

/** @return requests known to run at an endpoint */
uint64_t dispatch_running_requests(const struct dispatch_endpoint *endpoint);

/** @return the account's counters, created on first use */
struct dispatch_account *dispatch_get_account(struct dispatch *dispatch,
    uint64_t account_id);

void dispatch_peer_free(gpointer peer);

/** Recomputes what other hubs served if their reports changed. */
void dispatch_sum_remote_shares(struct dispatch *dispatch);

/** Adds the tokens that this hub served to a report. */
void dispatch_fill_accounts(const struct dispatch *dispatch,
    struct msg_report *report);

/** @return the tokens that a request counts for its account */
uint64_t dispatch_request_tokens(const struct dispatch_request *request);

/** Counts an attempt as served to the request's account. */
void dispatch_count_served(struct dispatch *dispatch,
    const struct dispatch_request *request, struct dispatch_attempt *attempt);

/** Counts an attempt as not served after all, since it did not run. */
void dispatch_take_back_served(struct dispatch *dispatch,
    const struct dispatch_attempt *attempt, uint64_t now_ms);

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

/** Copies the ids of a prompt's segments. @return their number */
uint32_t dispatch_segment_ids(const struct dispatch_request *request,
    uint64_t segment_ids[PROMPT_SEGMENTS_MAX_COUNT]);

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

/** Sends a message to the daemons that receive this daemon's reports.
 * @param fill sets the message's array to a copy of the items */
void dispatch_send_to_peers(const struct dispatch *dispatch, enum msg_type type,
    void (*fill)(const GArray *items, struct msg *msg), const GArray *items,
    struct effects *effects);

/** Records an attempt at an endpoint that ended without a response. */
void dispatch_record_silence(const struct dispatch *dispatch,
    struct dispatch_endpoint *endpoint, uint64_t now_ms);

/** Records that an endpoint began or completed a response. */
void dispatch_record_progress(const struct dispatch *dispatch,
    struct dispatch_endpoint *endpoint, uint64_t now_ms);

/** Counts an endpoint as cold of which nothing was heard for long. */
void dispatch_presume_cold(const struct dispatch *dispatch,
    struct dispatch_endpoint *endpoint, uint64_t now_ms);

/** @return whether an endpoint is cold, so that its hub keeps a rate */
bool dispatch_is_cold(const struct dispatch *dispatch,
    const struct dispatch_endpoint *endpoint, uint64_t now_ms);

/** @return time until this daemon may send a request to an endpoint that may be
 * cold; 0: now */
uint64_t dispatch_cold_wait_ms(const struct dispatch *dispatch,
    struct dispatch_endpoint *endpoint, uint64_t now_ms);

/** Adds the endpoint to the log if it became cold. */
void dispatch_log_cold(const struct dispatch *dispatch,
    struct dispatch_endpoint *endpoint, uint64_t now_ms,
    struct effects *effects);

/** Sends changed limits to other daemons. */
void dispatch_tick_limits(struct dispatch *dispatch, uint64_t now_ms,
    struct effects *effects);

/** @return whether an endpoint has told this daemon that it leaves */
bool dispatch_said_leaving(const struct dispatch *dispatch,
    const struct dispatch_endpoint *endpoint);

/** Time until this daemon may have become the hub of an endpoint, or have reached
 * its hub again. */
#define DISPATCH_NOT_HUB_WAIT_MS 500u

/** @return whether an endpoint gets new requests, as far as discovery and the
 * operators say */
bool dispatch_takes_requests(const struct dispatch *dispatch,
    const struct dispatch_endpoint *endpoint);

/** @return time until an endpoint takes a request from this daemon, by its limit,
 * the pause that it asked for and its rate while it is cold; 0: now */
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
