/**
 * @file
 * Decides where a request runs, or that it is refused at once. Every daemon
 * decides for itself from what it runs and from the load that its peers report
 * several times a second, so that no decision waits for another daemon.
 */
#ifndef CORE_DISPATCH_H
#define CORE_DISPATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/config_snapshot.h"
#include "core/effect.h"
#include "core/msg.h"

#define PROMPT_SEGMENTS_MAX_COUNT 16u
#define TRIED_MAX_COUNT 4u

/** What discovery tells of an endpoint. */
struct dispatch_endpoint_info {
	char name[NAME_MAX_BYTES]; /**< expected by the endpoint itself */
	char address[ADDRESS_MAX_BYTES];
	uint64_t pool_id;
	uint64_t domain_id; /**< hash of its failure domain */
	uint64_t process_start_ms; /**< start of its process, 0 if untold */
	uint32_t slots;
	uint32_t warmup_remaining_ms;
	bool leaving;
};

/** A part of a prompt, which an engine may keep for later requests. */
struct prompt_segment {
	uint64_t segment_id;
	uint32_t tokens;
};

/** One request, or one more attempt of it. */
struct dispatch_request {
	uint64_t pool_id;
	uint64_t account_id; /**< 0: none */
	uint64_t request_hash;
	struct prompt_segment segments[PROMPT_SEGMENTS_MAX_COUNT];
	uint32_t segments_count;
	uint32_t prompt_tokens;
	uint32_t response_tokens; /**< expected */
	uint32_t latency_target_ms;
	uint32_t remaining_ms; /**< until the caller's deadline */
	uint64_t tried_ids[TRIED_MAX_COUNT]; /**< endpoints not to try again */
	uint32_t tried_count;
	bool unreached; /**< the attempt before reached no endpoint */
};

/** The forecast that a decision was made from; for the log. */
struct dispatch_forecast {
	uint32_t backlog_ms; /**< work ahead of the request at its endpoint */
	uint32_t prefill_ms; /**< reading the request's own prompt */
	uint32_t admission_limit_ms;
	uint32_t running_count; /**< at the endpoint, as far as known */
	uint32_t peers_age_ms; /**< of the oldest report that counts */
	bool over_share; /**< the account has more than its share */
};

struct dispatch_decision {
	bool start; /**< else the request is refused */
	enum refuse_reason reason;
	uint32_t retry_after_ms;
	/** For so long all requests of this account for this pool, with this
	 * latency target or a shorter one, would be refused, too. */
	uint32_t rejection_hold_ms;
	uint64_t seq; /**< names the attempt in later calls */
	uint64_t endpoint_id;
	char name[NAME_MAX_BYTES];
	char address[ADDRESS_MAX_BYTES];
	struct dispatch_forecast forecast;
};

/** How an attempt ended, as far as its endpoint is concerned. */
enum dispatch_outcome {
	OUTCOME_COMPLETE,
	OUTCOME_CANCELLED, /**< says nothing of the endpoint */
	OUTCOME_REFUSED, /**< the endpoint is full */
	OUTCOME_MOVED, /**< another endpoint has the address */
	OUTCOME_FAILED, /**< the endpoint answered with a failure */
	OUTCOME_BROKEN /**< no answer, or a spoilt one */
};

/** How an endpoint is taken after an attempt. */
enum dispatch_health_change {
	HEALTH_UNCHANGED,
	HEALTH_EJECTED, /**< gets no work for a while */
	HEALTH_REINSTATED /**< gets work as before */
};

/** What followed from an attempt's end; for the log. */
struct dispatch_health_update {
	enum dispatch_health_change change;
	uint32_t failing_permille;
	uint32_t eject_ms; /**< 0 unless ejected */
};

/** A live daemon, this one included. */
struct dispatch_daemon {
	uint64_t node_id;
	uint64_t domain_id;
	bool high_cpu; /**< has processor time for duties */
};

/** How fresh this daemon's copy is of what it follows in the store. */
struct dispatch_freshness {
	uint64_t version; /**< 0: none */
	uint64_t as_of_ms; /**< it was the newest then; 0: never proven */
};

struct dispatch_config {
	uint64_t node_id;
	uint64_t domain_id;
	uint32_t report_period_ms;
	uint32_t retry_percent; /**< repeats allowed for each 100 requests */
	uint32_t retry_slack_count; /**< repeats allowed besides */
	uint32_t retry_window_ms;
};

/** Load of one endpoint, from one daemon or from all. */
struct dispatch_load {
	uint64_t prefill_tokens; /**< of prompts whose first token is due */
	uint64_t kv_tokens;
	uint32_t running_count;
};

struct dispatch_endpoint {
	uint64_t endpoint_id;
	struct dispatch_endpoint_info info;
	struct dispatch_load local;
	struct dispatch_load remote;
	struct dispatch_load group; /**< of those that report to this hub */
	GHashTable
	    *cached_segments; /**< segment_id to time of its last use in ms */
	uint64_t warm_at_ms;
	uint64_t full_until_ms; /**< it refused work lately */
	uint64_t ejected_until_ms;
	uint32_t eject_ms; /**< length of the last ejection */
	uint32_t failing_permille; /**< moving average */
	uint32_t results_count; /**< since it came or came back */
	uint32_t slow_permille; /**< time of reading against its forecast */
	uint32_t first_token_ms; /**< of a first token, beside the reading */
	bool probing; /**< one request tries it after an ejection */
	bool listed;
};

struct dispatch_account {
	uint64_t account_id;
	uint64_t asked_tokens; /**< decaying sums of this daemon */
	uint64_t served_tokens;
	uint64_t remote_asked_tokens;
	uint64_t remote_served_tokens;
	uint64_t group_asked_tokens;
	uint64_t group_served_tokens;
};

struct dispatch {
	struct dispatch_config config;
	const struct config_snapshot
	    *configuration; /**< belongs to the caller */
	GHashTable *endpoints; /**< endpoint_id to struct dispatch_endpoint */
	GHashTable *attempts; /**< seq to its attempt */
	GHashTable *accounts; /**< account_id to struct dispatch_account */
	GHashTable *peers; /**< node_id to its last report */
	GArray *hubs; /**< node_ids of the other hubs */
	GArray *
	    cache_updates; /**< struct dispatch_cache_update, for the next report */
	GArray
	    *hub_candidates; /**< node_ids, the preferred one first; of a daemon
			    * that is no hub */
	bool is_hub;
	bool peers_changed; /**< since their sums were made */
	uint32_t live_count;
	uint64_t hub_chosen_ms; /**< when the present hub was chosen */
	uint32_t hub_index; /**< in hub_candidates */
	struct dispatch_freshness freshness[RESOURCE_KIND_COUNT];
	uint32_t daemons_peak_count; /**< daemons ever live at once */
	uint64_t seq_next;
	uint64_t report_due_ms;
	uint64_t decay_due_ms;
	uint64_t
	    fair_share_tokens; /**< share of an account, as a decaying sum */
	uint64_t mean_duration_ms; /**< moving average of whole answers */
	GHashTable *budgets; /**< pool_id to struct dispatch_retry_budget */
	uint64_t refusals_count;
};

void dispatch_init(struct dispatch *dispatch,
    const struct dispatch_config *config);
void dispatch_finish(struct dispatch *dispatch);

/** The configuration must outlive the next call. */
void dispatch_set_configuration(struct dispatch *dispatch,
    const struct config_snapshot *configuration);

/** Takes a new or changed endpoint. */
void dispatch_put_endpoint(struct dispatch *dispatch,
    const struct dispatch_endpoint_info *info, uint64_t now_ms);

/** An endpoint is gone: it gets no new work. */
void dispatch_remove_endpoint(struct dispatch *dispatch, const char *name);

/**
 * Tells which daemons are live, this one included. A few of them are hubs: all
 * report to their hub, and hubs report to each other, so that the messages of
 * a daemon do not grow with the fleet. A small fleet has hubs only.
 */
void dispatch_set_daemons(struct dispatch *dispatch,
    const struct dispatch_daemon *daemons, size_t count);

/** @return node_id of the hub that this daemon reports to, 0: it is one, or
 * alone */
uint64_t dispatch_hub_id(const struct dispatch *dispatch);

/** Takes what this daemon can say of its copy of what it follows. */
void dispatch_set_freshness(struct dispatch *dispatch, enum resource_kind kind,
    uint64_t version, uint64_t as_of_ms);

void dispatch_decide(struct dispatch *dispatch,
    const struct dispatch_request *request, uint64_t now_ms,
    struct dispatch_decision *decision);

/**
 * Tells when a refused caller may come back.
 * @param over_ms until the work ahead will be within its account's limit
 * @param far_over_share its account is far over its share
 */
uint32_t dispatch_retry_after_ms(const struct dispatch_request *request,
    uint64_t over_ms, bool far_over_share);

/** @return what an account got lately, in thousandths of its max-min share;
 * 0 while there is enough for all */
uint64_t dispatch_share_permille(const struct dispatch *dispatch,
    const struct dispatch_account *account);

/** @return age of the oldest report that counts, in ms */
uint32_t dispatch_peers_age_ms(const struct dispatch *dispatch,
    uint64_t now_ms);

/** The first token of an attempt's answer came. */
void dispatch_record_first_token(struct dispatch *dispatch, uint64_t seq,
    uint64_t now_ms);

/** @param health_update receives what followed; NULL: not of interest */
void dispatch_end_attempt(struct dispatch *dispatch, uint64_t seq,
    enum dispatch_outcome outcome, uint64_t now_ms,
    struct dispatch_health_update *health_update);

/**
 * Takes a peer's report.
 * @param freshness receives what it proves of each kind; version 0: nothing
 */
void dispatch_handle_load_report(struct dispatch *dispatch,
    const struct msg *msg, uint64_t now_ms,
    struct dispatch_freshness freshness[RESOURCE_KIND_COUNT]);

/**
 * To be called at least every 50 ms; reports to the peers.
 * @param stamp_ms clock that counts suspensions
 */
void dispatch_tick(struct dispatch *dispatch, uint64_t now_ms,
    uint64_t stamp_ms, struct effects *effects);

#endif
