/**
 * @file
 * For the segments of dispatch: its attempts and its peers' reports.
 */
#ifndef CORE_DISPATCH_PRIVATE_H
#define CORE_DISPATCH_PRIVATE_H

#include "core/dispatch.h"

/** An attempt that runs at an endpoint. */
struct dispatch_attempt {
	uint64_t seq;
	uint64_t endpoint_id;
	uint64_t started_ms;
	uint64_t prefill_tokens;
	uint64_t kv_tokens;
	uint32_t forecast_ms; /**< until its prompt is read */
	bool engine;
	bool first; /**< its first token came */
};

/** @return the moving average after one more sample */
static inline uint64_t
dispatch_moving_average(uint64_t before, uint64_t sample, uint64_t weight)
{
	return (before * (weight - 1) + sample) / weight;
}

/** The last report of one peer; the arrays are its own. */
struct dispatch_peer {
	uint64_t node_id;
	uint64_t received_ms;
	uint64_t stamp_ms; /**< its own, to be sent back */
	bool is_hub;
	struct load_endpoint *endpoints;
	struct load_account *accounts;
	uint32_t endpoints_count;
	uint32_t accounts_count;
};

/** An endpoint weighed for one request. */
struct dispatch_candidate {
	struct dispatch_endpoint *endpoint;
	uint64_t rendezvous_score;
	uint64_t uncached_tokens;
	uint64_t backlog_ms;
	uint64_t prefill_ms; /**< reading its own prompt */
	uint64_t cost_ms; /**< what is compared */
	uint64_t
	    pool_mean_backlog_ms; /**< of the chosen one: mean of its pool */
	uint64_t
	    pool_min_backlog_ms; /**< of the chosen one: least of its pool */
};

/**
 * Picks the endpoint that costs a request least.
 * @return false if the pool has none that may be used
 */
bool dispatch_choose(struct dispatch *dispatch, const struct config_pool *pool,
    const struct dispatch_request *request, uint64_t now_ms,
    struct dispatch_candidate *chosen);

/** A part that peers are to be told of. */
struct dispatch_cache_update {
	struct load_cached_segment item;
	uint64_t from_node_id;
	bool from_hub;
};

/** @return the part of the prompt that a request shares with others: the last
 * but its own, which is kept with all before it; NULL: there is none */
const struct prompt_segment *dispatch_shared_segment(
    const struct dispatch_request *request);

/** Notes what an endpoint will keep of a request's prompt, and tells peers of
 * the shared part. */
void dispatch_cache_record(struct dispatch *dispatch,
    struct dispatch_endpoint *endpoint, const struct dispatch_request *request,
    uint64_t now_ms);

/** Takes what a peer tells of kept segments. */
void dispatch_cache_handle_updates(struct dispatch *dispatch,
    const struct msg_load *load, const struct dispatch_peer *peer);

/** Fills the news of kept segments into a report; member NULL: to a hub. */
void dispatch_cache_fill_report(const struct dispatch *dispatch,
    const struct dispatch_peer *member, struct msg_load *load);

/** @return tokens of the prompt that an endpoint has to read */
uint64_t dispatch_uncached_tokens(const struct dispatch_endpoint *endpoint,
    const struct dispatch_request *request, uint64_t now_ms);

/** @return requests at an endpoint, as far as known */
uint64_t dispatch_running_requests(const struct dispatch_endpoint *endpoint);

/** @return the account's counters, added at first use */
struct dispatch_account *dispatch_get_account(struct dispatch *dispatch,
    uint64_t account_id);

void dispatch_peer_free(gpointer peer);

/** Sums up what the peers reported, if that changed. */
void dispatch_sum_remote_load(struct dispatch *dispatch);

/** Decays the accounts' counters and computes the share level. */
void dispatch_update_shares(struct dispatch *dispatch, uint64_t now_ms);

/** What a pool got in the window now and in the one before. */
struct dispatch_retry_budget {
	uint64_t pool_id;
	uint64_t window_start_ms;
	uint32_t requests_count[2];
	uint32_t retries_count[2];
};

/** Counts a request for a pool that is no repeat. */
void dispatch_count_request(struct dispatch *dispatch, uint64_t pool_id,
    uint64_t now_ms);

/**
 * Takes one repeat from this daemon's part of the fleet's budget for a pool.
 * @return false if nothing is left of it
 */
bool dispatch_take_retry(struct dispatch *dispatch, uint64_t pool_id,
    uint64_t now_ms);

/** Takes the result of an attempt into an endpoint's health. */
enum dispatch_health_change
dispatch_update_health(struct dispatch_endpoint *endpoint,
    enum dispatch_outcome outcome, uint64_t now_ms);

/** Whether an endpoint may get work now. */
bool dispatch_is_usable(const struct dispatch_endpoint *endpoint,
    uint64_t now_ms);

#endif
