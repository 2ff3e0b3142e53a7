/**
 * @file
 * Chooses the endpoint for a request, or refuses the request at once.
 *
 * Some daemons are hubs. Each endpoint is assigned to one hub, which decides on
 * all requests for it and so knows its load exactly. Other daemons ask the hub
 * (core/delegation.h) and tell it how the attempts go on. A daemon that reaches
 * no hub decides alone, from its own attempts.
 */
#ifndef CORE_DISPATCH_H
#define CORE_DISPATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/cold_pace.h"
#include "core/config_snapshot.h"
#include "core/crash_suspects.h"
#include "core/domain_crossing.h"
#include "core/domain_delay.h"
#include "core/drained_domains.h"
#include "core/effect.h"
#include "core/endpoint_limit.h"
#include "core/endpoint_notice.h"
#include "core/engine_forecast.h"
#include "core/msg.h"

/** Endpoint info from discovery. */
struct dispatch_endpoint_info {
	/** Sent with each request to the endpoint, which checks it. */
	char name[ENDPOINT_NAME_MAX_BYTES];
	char address[ADDRESS_MAX_BYTES];
	uint64_t pool_id;
	uint64_t domain_id; /**< hash of its failure domain */
	uint64_t process_start_ms; /**< 0 if unknown */
	uint64_t revision; /**< of the list of endpoints; 0 if unknown */
	uint32_t slots;
	uint32_t warmup_remaining_ms;
	/** Takes no new requests. A process that leaves stays so, whatever a
	 * later entry says. */
	bool leaving;
};

/** First attempt or retry of a request. */
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
	uint64_t tried_ids[TRIED_MAX_COUNT]; /**< endpoints to leave out */
	uint32_t tried_count;
	bool unreached; /**< the previous attempt reached no endpoint */
	bool asked_before; /**< another hub was asked for the same attempt */
	uint32_t body_bytes;
	/** Of the daemon that sends the request; set if the price of leaving it
	 * is set. */
	uint64_t domain_id;
	struct domain_delays delays; /**< measured by that daemon */
};

/** Whose attempt a decision is about. */
struct dispatch_origin {
	uint64_t node_id; /**< daemon that sends the request */
	uint64_t attempt_id;
	/** Choose among the endpoints that are assigned to this hub, if any. */
	bool own_endpoints;
};

/** Forecast behind a decision; for the log. */
struct dispatch_forecast {
	uint32_t backlog_ms; /**< at the chosen endpoint */
	uint32_t prefill_ms; /**< of the request's own prompt */
	uint32_t first_token_ms; /**< until the first token */
	uint32_t admission_limit_ms;
	uint32_t running_count; /**< requests known at the endpoint */
	uint32_t peers_age_ms; /**< of the oldest load report in use */
	/** Recent use of the account in thousandths of its fair share. */
	uint32_t share_permille;
	bool over_share; /**< the account exceeds its fair share */
};

struct dispatch_decision {
	bool start; /**< false: the request is refused */
	enum refuse_reason reason;
	uint32_t retry_after_ms;
	/** Rejection hold: for this long, requests of the account for the pool
	 * with the same or a shorter latency target would be refused, too. */
	uint32_t rejection_hold_ms;
	uint64_t seq; /**< identifies the attempt in later calls */
	uint64_t endpoint_id;
	uint64_t prefill_tokens; /**< charged to the endpoint */
	uint64_t kv_tokens; /**< charged to the endpoint */
	char name[ENDPOINT_NAME_MAX_BYTES];
	char address[ADDRESS_MAX_BYTES];
	uint64_t process_start_ms; /**< of the endpoint's process */
	uint64_t hub_id; /**< daemon that decided; 0: no hub was needed */
	struct reported_freshness hub_list; /**< its list of endpoints */
	struct reported_freshness own_list; /**< this daemon's one */
	struct dispatch_forecast forecast;
	enum crossing_reason crossing; /**< why it leaves its domain */
};

/** Result of an attempt, from which the health of its endpoint follows. */
enum dispatch_outcome {
	OUTCOME_COMPLETE,
	OUTCOME_CANCELLED, /**< tells nothing about the endpoint */
	OUTCOME_REFUSED, /**< the endpoint is full */
	OUTCOME_MOVED, /**< another endpoint has the address now */
	OUTCOME_FAILED, /**< the endpoint responded with an error */
	OUTCOME_INVALID, /**< the response was invalid */
	OUTCOME_UNREACHED, /**< the request was not sent */
	/** The connection ended without a whole response: the endpoint may have
	 * crashed. */
	OUTCOME_BROKEN,
	OUTCOME_UNUSED /**< placed but not sent; tells nothing, either */
};

/** Change in an endpoint's health after an attempt. */
enum dispatch_health_change {
	HEALTH_UNCHANGED,
	HEALTH_EJECTED, /**< out of routing for eject_ms */
	HEALTH_REINSTATED /**< back in routing */
};

/** Health of the endpoint after an attempt; for the log. */
struct dispatch_health_update {
	enum dispatch_health_change change;
	uint32_t failing_permille;
	uint32_t eject_ms; /**< length of the last ejection, 0 if reinstated */
};

/** A live daemon, this one included. */
struct dispatch_daemon {
	uint64_t node_id;
	uint64_t domain_id;
	bool high_cpu; /**< has processor time to spare */
};

/** Freshness of this daemon's copy of a resource in the store. */
struct dispatch_freshness {
	uint64_t version; /**< 0: none */
	/** The version was the newest at this time; 0: never confirmed. */
	uint64_t as_of_ms;
};

struct dispatch_config {
	uint64_t node_id;
	uint64_t incarnation; /**< differs for each process of the instance */
	uint64_t domain_id;
	uint32_t report_period_ms; /**< between reports of freshness */
	uint32_t retry_permille; /**< retries allowed for each 1,000 requests */
	/** Retries allowed on top of these, in thousandths. */
	uint32_t retry_slack_milli;
	uint32_t retry_window_ms;
	/** What a cold endpoint may get in any second beyond its pool's rate:
	 * the rate times a factor, and a number of requests. */
	uint32_t cold_overshoot_milli;
	uint32_t cold_slack_milli;
	struct crossing_settings crossing;
};

/** Load on one endpoint. */
struct dispatch_load {
	uint64_t prefill_tokens; /**< in prompts without a first token yet */
	uint64_t kv_tokens;
	uint32_t running_count;
};

struct dispatch_endpoint {
	uint64_t endpoint_id;
	struct dispatch_endpoint_info info;
	struct dispatch_load
	    load; /**< of the attempts that this daemon placed */
	uint64_t hub_id; /**< the hub that it is assigned to */
	/** segment_id to the time of its last use in ms. */
	GHashTable *cached_segments;
	uint64_t warm_at_ms;
	uint64_t full_until_ms; /**< set when the endpoint refused a request */
	uint64_t ejected_until_ms;
	uint32_t eject_ms; /**< length of the last ejection */
	uint32_t failing_permille; /**< moving average */
	uint32_t results_count; /**< since discovery or process restart */
	struct engine_forecast engine; /**< unless it is a service */
	uint64_t progress_ms; /**< when a response last began or completed */
	/** This daemon could not connect to it, and doesn't try until then. */
	uint64_t unreached_until_ms;
	uint32_t unreached_ms; /**< length of that time */
	/** A restored store holds an entry that was removed, so it has probably
	 * left; gets no requests until then. */
	uint64_t returned_until_ms;
	struct endpoint_limit limit;
	struct cold_pace cold;
	bool probing; /**< a probe request is running */
	bool listed; /**< present in discovery */
};

/** Token counts of an account, as decaying sums. */
struct dispatch_account {
	uint64_t account_id;
	uint64_t asked_tokens; /**< local, refused requests included */
	uint64_t served_tokens; /**< local */
	uint64_t remote_asked_tokens; /**< at other hubs */
	uint64_t remote_served_tokens; /**< at other hubs */
};

struct dispatch {
	struct dispatch_config config;
	const struct config_snapshot *configuration; /**< owned by the caller */
	GHashTable *endpoints; /**< endpoint_id to struct dispatch_endpoint */
	/** Removed endpoints: endpoint_id to struct dispatch_gone. */
	GHashTable *gone;
	GHashTable *pools; /**< pool_id to struct dispatch_pool */
	GHashTable *attempts; /**< seq to struct dispatch_attempt */
	GHashTable *accounts; /**< account_id to struct dispatch_account */
	GHashTable *peers; /**< node_id to struct dispatch_peer */
	GArray *hubs; /**< node_ids of the other hubs */
	GArray *hub_ids; /**< node_ids of all hubs */
	bool assignment_due; /**< endpoints have to be assigned to hubs again */
	uint64_t limits_refresh_due_ms;
	/** node_ids of hubs, the preferred one first; empty on a hub. */
	GArray *hub_candidates;
	bool is_hub;
	/** This daemon's processor is busy: it notices responses late. */
	bool daemon_busy;
	bool peers_changed; /**< the sums of other hubs are out of date */
	uint32_t live_count;
	uint64_t hub_chosen_ms; /**< when the current hub was chosen */
	uint32_t hub_index; /**< in hub_candidates */
	struct dispatch_freshness freshness[RESOURCE_KIND_COUNT];
	uint64_t stamp_ms; /**< of the last tick, on the clock of freshness */
	/** Newest configuration that a live peer has; 0: unknown. */
	uint64_t heard_configuration_version;
	uint64_t first_stamp_ms; /**< of the first tick */
	/** Added to stamps, so that those of other processes can't be read. */
	uint64_t stamp_offset;
	uint32_t daemons_peak_count; /**< most daemons ever live at once */
	uint64_t gone_order_next; /**< counts the endpoints that are gone */
	uint64_t report_due_ms;
	uint64_t accounts_due_ms; /**< next report of accounts to other hubs */
	uint64_t decay_due_ms;
	/** Fair share of an account as a decaying sum; UINT64_MAX if the
	 * capacity suffices for all. */
	uint64_t fair_share_tokens;
	uint64_t mean_duration_ms; /**< moving average of complete responses */
	struct domain_delays delays; /**< of this daemon */
	struct crash_suspects crash_suspects;
	struct endpoint_notices notices;
	struct drained_domains drained_domains;
	GArray *losses; /**< struct dispatch_loss */
	GHashTable *budgets; /**< pool_id to struct dispatch_retry_budget */
	uint64_t refusals_count;
};

void dispatch_init(struct dispatch *dispatch,
    const struct dispatch_config *config);
void dispatch_finish(struct dispatch *dispatch);

/** The configuration must stay valid until the next call of this function. */
void dispatch_set_configuration(struct dispatch *dispatch,
    const struct config_snapshot *configuration);

/** Names this daemon's domain in a request, if leaving it has a price. */
void dispatch_name_own_domain(const struct dispatch *dispatch,
    struct dispatch_request *request);

/** Records how long this daemon's connection to an endpoint took.
 * @param round_trip_us 0 if it is not known */
void dispatch_record_connect(struct dispatch *dispatch, uint64_t endpoint_id,
    uint32_t round_trip_us);

/** Adds or updates an endpoint, unless a later entry of it is known. */
void dispatch_put_endpoint(struct dispatch *dispatch,
    const struct dispatch_endpoint_info *info, uint64_t now_ms);

/** Stops new requests to an endpoint that discovery no longer lists. */
void dispatch_remove_endpoint(struct dispatch *dispatch, const char *name);

/**
 * Takes a failure domain out of use, or back in.
 * @return whether that is a change
 */
bool dispatch_set_domain_drained(struct dispatch *dispatch, const char *name,
    bool drained, uint64_t now_ms);

/**
 * Sets the live daemons, this one included unless it leaves, and selects the hubs
 * among them. With none left this daemon is the only hub.
 * Each daemon reports to one hub, and hubs exchange reports, so that the messages
 * of a daemon do not grow with the fleet. In a small fleet every daemon is a
 * hub.
 */
void dispatch_set_daemons(struct dispatch *dispatch,
    const struct dispatch_daemon *daemons, size_t count);

/** @return node_id of the hub that this daemon reports to; 0 if it is a hub
 * itself or the only daemon */
uint64_t dispatch_hub_id(const struct dispatch *dispatch);

/** Sets the freshness of this daemon's copy of a resource. */
void dispatch_set_freshness(struct dispatch *dispatch, enum resource_kind kind,
    uint64_t version, uint64_t as_of_ms);

/** @return how fresh this daemon's copy of a resource is */
struct reported_freshness
dispatch_report_freshness(const struct dispatch *dispatch,
    enum resource_kind kind);

/**
 * Takes a request, or a retry, from this daemon's part of the retry budget.
 * @return false if the request is refused, as the decision then tells
 */
bool dispatch_check_budget(struct dispatch *dispatch,
    const struct dispatch_request *request, uint64_t now_ms,
    struct dispatch_decision *decision);

/**
 * Looks for segments of a request that are known to crash engines, so that the
 * hub need not be asked. Trials are for the hub to decide on.
 * @return false if the request is refused, as the decision then tells
 */
bool dispatch_check_blocked(struct dispatch *dispatch,
    const struct dispatch_request *request, uint64_t now_ms,
    struct dispatch_decision *decision);

/** Decides on a request without its retry budget. */
void dispatch_place(struct dispatch *dispatch,
    const struct dispatch_request *request,
    const struct dispatch_origin *origin, uint64_t now_ms,
    struct dispatch_decision *decision);

/** Assigns the endpoints to the hubs if something has changed. To be called
 * before hub_id of an endpoint is read. */
void dispatch_assign_endpoints(struct dispatch *dispatch);

/** @return whether this daemon may send requests to an endpoint now, apart from
 * its load and its health as its hub knows it */
bool dispatch_may_send_to(const struct dispatch *dispatch,
    const struct dispatch_endpoint *endpoint, uint64_t now_ms);

/** @return whether the list of endpoints here is not older than a revision at
 * which an endpoint was listed */
bool dispatch_list_covers(const struct dispatch *dispatch, uint64_t revision);

/** @return whether a process of an endpoint was removed from discovery here */
bool dispatch_is_gone(const struct dispatch *dispatch, uint64_t endpoint_id,
    uint64_t process_start_ms);

/** Records whether this daemon could connect to an endpoint. */
void dispatch_record_reached(struct dispatch *dispatch, uint64_t endpoint_id,
    bool reached, uint64_t now_ms);

/** @return a time to wait, or the part of a request's remaining time that its caller
 * waits for at most */
uint32_t dispatch_cap_retry_after_ms(const struct dispatch_request *request,
    uint64_t wait_ms);

/**
 * Computes when a refused caller may try again.
 * @param over_ms time until the backlog is within the account's admission limit
 * @param far_over_share the account is far over its fair share
 */
uint32_t dispatch_retry_after_ms(const struct dispatch_request *request,
    uint64_t over_ms, bool far_over_share);

/** @return recent use of an account in thousandths of its fair share; 0 while
 * the capacity suffices for all */
uint64_t dispatch_share_permille(const struct dispatch *dispatch,
    const struct dispatch_account *account);

/** @return age of the oldest report in use, in ms */
uint32_t dispatch_peers_age_ms(const struct dispatch *dispatch,
    uint64_t now_ms);

/** Sets whether this daemon notices responses late since its processor is busy.
 * While it does, times that it measures tell nothing about the engines. */
void dispatch_set_daemon_busy(struct dispatch *dispatch, bool busy);

/** Handles a daemon's question where to send a request. */
void dispatch_handle_place_request(struct dispatch *dispatch,
    const struct msg *msg, uint64_t now_ms, struct effects *effects);

/** Applies an event of an attempt that this daemon placed. */
void dispatch_apply_event(struct dispatch *dispatch, uint64_t node_id,
    const struct attempt_event *event, uint64_t now_ms,
    struct effects *effects);

/** Handles a daemon's events of attempts that this hub placed. */
void dispatch_handle_attempt_events(struct dispatch *dispatch,
    const struct msg *msg, uint64_t now_ms, struct effects *effects);

/** Handles a daemon's list of all its attempts at this hub's endpoints: takes
 * over those that are not known, such as those placed by an earlier hub. */
void dispatch_handle_running_attempts(struct dispatch *dispatch,
    const struct msg *msg, uint64_t now_ms);

/**
 * Records what the response to an attempt says of its endpoint's limit.
 * @param per_1000_s requests in 1,000 s, 0 if the response names no limit
 */
void dispatch_record_limit(struct dispatch *dispatch, uint64_t seq,
    uint32_t per_1000_s, uint64_t now_ms);

/**
 * Records what a process of an endpoint said of itself.
 * @return whether it is news
 */
bool dispatch_record_statement(struct dispatch *dispatch, uint64_t endpoint_id,
    uint64_t process_start_ms, const struct endpoint_statement *statement,
    uint64_t now_ms);

/** Handles a peer's message of endpoints' limits. */
void dispatch_handle_endpoint_limits(struct dispatch *dispatch,
    const struct msg *msg, uint64_t now_ms);

/**
 * Handles a peer's report.
 * @param freshness receives what the report confirms for each resource kind;
 * version 0: nothing
 */
void dispatch_handle_report(struct dispatch *dispatch, const struct msg *msg,
    uint64_t now_ms, struct dispatch_freshness freshness[RESOURCE_KIND_COUNT]);

/** Handles a peer's records of prompt segments that were in engine crashes. */
void dispatch_handle_crash_records(struct dispatch *dispatch,
    const struct msg *msg, uint64_t now_ms);

/**
 * Expires old reports and attempts, updates the fair share and sends reports when
 * they are due. To be called at least every 50 ms.
 * @param stamp_ms time of a clock that runs on while the machine is suspended
 */
void dispatch_tick(struct dispatch *dispatch, uint64_t now_ms,
    uint64_t stamp_ms, struct effects *effects);

#endif
