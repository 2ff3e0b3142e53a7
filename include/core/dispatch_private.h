/**
 * @file
 * For the parts of dispatch: its attempts and its peers' reports.
 */
#ifndef CORE_DISPATCH_PRIVATE_H
#define CORE_DISPATCH_PRIVATE_H

#include "core/dispatch.h"

/** An attempt that runs at an endpoint. */
struct dispatch_attempt {
	uint64_t seq;
	uint64_t endpoint_id;
	uint64_t started_ms;
	uint64_t reading_tokens;
	uint64_t memory_tokens;
	uint32_t forecast_ms; /**< until its prompt is read */
	bool engine;
	bool first; /**< its first token came */
};

/** @return the moving average after one more sample */
static inline uint64_t
dispatch_average(uint64_t before, uint64_t sample, uint64_t weight)
{
	return (before * (weight - 1) + sample) / weight;
}

/** The last report of one peer; the arrays are its own. */
struct dispatch_peer {
	uint64_t node_id;
	uint64_t heard_ms;
	uint64_t stamp_ms; /**< its own, to be sent back */
	bool hub;
	struct load_endpoint *endpoints;
	struct load_account *accounts;
	uint32_t endpoints_count;
	uint32_t accounts_count;
};

/** An endpoint weighed for one request. */
struct dispatch_candidate {
	struct dispatch_endpoint *endpoint;
	uint64_t home_score;
	uint64_t read_tokens;
	uint64_t ahead_ms;
	uint64_t own_ms; /**< reading its own prompt */
	uint64_t cost_ms; /**< what is compared */
	uint64_t pool_ahead_ms; /**< of the chosen one: mean of its pool */
	uint64_t least_ahead_ms; /**< of the chosen one: least of its pool */
};

/**
 * Picks the endpoint that costs a request least.
 * @return false if the pool has none that may be used
 */
bool dispatch_choose(struct dispatch *dispatch, const struct catalog_pool *pool,
    const struct dispatch_ask *ask, uint64_t now_ms,
    struct dispatch_candidate *chosen);

/** A part that peers are to be told of. */
struct dispatch_kept_news {
	struct load_kept item;
	uint64_t from_node_id;
	bool from_hub;
};

/** @return the part of the prompt that a request shares with others: the last
 * but its own, which is kept with all before it; NULL: there is none */
const struct prompt_part *dispatch_shared_part(const struct dispatch_ask *ask);

/** Notes what an endpoint will keep of a request's prompt, and tells peers of
 * the shared part. */
void dispatch_note_kept(struct dispatch *dispatch,
    struct dispatch_endpoint *endpoint, const struct dispatch_ask *ask,
    uint64_t now_ms);

/** Takes what a peer tells of kept parts. */
void dispatch_hear_kept(struct dispatch *dispatch, const struct msg_load *load,
    const struct dispatch_peer *peer);

/** Fills the news of kept parts into a report; member NULL: to a hub. */
void dispatch_fill_kept(const struct dispatch *dispatch,
    const struct dispatch_peer *member, struct msg_load *load);

/** @return tokens of the prompt that an endpoint has to read */
uint64_t dispatch_unread_tokens(const struct dispatch_endpoint *endpoint,
    const struct dispatch_ask *ask, uint64_t now_ms);

/** @return requests at an endpoint, as far as known */
uint64_t dispatch_running(const struct dispatch_endpoint *endpoint);

/** @return the account's counters, added at first use */
struct dispatch_account *dispatch_account(struct dispatch *dispatch,
    uint64_t account_id);

void dispatch_peer_free(gpointer peer);

/** Sums up what the peers reported, if that changed. */
void dispatch_sum_peers(struct dispatch *dispatch);

/** Decays the accounts' counters and computes the share level. */
void dispatch_update_shares(struct dispatch *dispatch, uint64_t now_ms);

/** What a pool got in the window now and in the one before. */
struct dispatch_budget {
	uint64_t pool_id;
	uint64_t window_start_ms;
	uint32_t requests_count[2];
	uint32_t repeats_count[2];
};

/** Counts a request for a pool that is no repeat. */
void dispatch_count_request(struct dispatch *dispatch, uint64_t pool_id,
    uint64_t now_ms);

/**
 * Takes one repeat from this daemon's part of the fleet's budget for a pool.
 * @return false if nothing is left of it
 */
bool dispatch_allow_repeat(struct dispatch *dispatch, uint64_t pool_id,
    uint64_t now_ms);

/** Takes the result of an attempt into an endpoint's health. */
enum dispatch_health dispatch_judge(struct dispatch_endpoint *endpoint,
    enum dispatch_outcome outcome, uint64_t now_ms);

/** Whether an endpoint may get work now. */
bool dispatch_usable(const struct dispatch_endpoint *endpoint, uint64_t now_ms);

#endif
