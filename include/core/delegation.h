/**
 * @file
 * Gets the decisions on this daemon's requests from the hubs that the endpoints
 * are assigned to, and tells the hubs how the attempts go on.
 *
 * A hub that doesn't answer in time is left out for a while, and another one is
 * asked. A daemon that reaches no hub decides alone. Two hubs may hold an endpoint
 * for theirs for a moment, so that it gets more requests than it should; each
 * request is sent by this daemon alone, whoever decides.
 */
#ifndef CORE_DELEGATION_H
#define CORE_DELEGATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/dispatch.h"

/** Hubs that are asked for one attempt at most. */
#define DELEGATION_HUBS_MAX_COUNT 3u

/** A request that waits for a hub's answer, or whose decision was not taken. */
struct delegation_question {
	uint64_t attempt_id;
	struct dispatch_request request;
	uint64_t
	    hub_ids[DELEGATION_HUBS_MAX_COUNT]; /**< the last one is asked */
	uint32_t hubs_count;
	uint64_t sent_ms;
	bool decided;
	struct dispatch_decision decision;
};

/** An attempt in progress. */
struct delegation_attempt {
	uint64_t attempt_id;
	uint64_t hub_id;
	uint64_t endpoint_id;
	uint64_t process_start_ms; /**< of the endpoint's process */
	uint64_t started_ms;
	uint32_t prefill_tokens; /**< 0 once the first token arrived */
	uint32_t kv_tokens;
};

/** What this daemon knows of a hub. */
struct delegation_hub {
	uint64_t node_id;
	uint64_t silent_until_ms; /**< is not asked until then */
	uint32_t silent_ms; /**< length of that time */
	GArray *events; /**< struct attempt_event, not sent yet */
	bool told; /**< it was told of running attempts the last time */
};

struct delegation {
	struct dispatch *dispatch; /**< decides if this daemon is the hub */
	GHashTable *questions; /**< attempt_id to struct delegation_question */
	GHashTable *attempts; /**< attempt_id to struct delegation_attempt */
	GHashTable *hubs; /**< node_id to struct delegation_hub */
	uint64_t next_attempt_id;
	uint64_t running_due_ms; /**< when the hubs are told of all attempts */
	uint64_t ticked_ms;
};

/**
 * @param dispatch must stay valid until delegation_finish
 * @param process_id different for each process of the fleet
 */
void delegation_init(struct delegation *delegation, struct dispatch *dispatch,
    uint64_t process_id);
void delegation_finish(struct delegation *delegation);

/** @return the hub that a new request would be placed by; 0 if there is none */
uint64_t delegation_preview_hub(const struct delegation *delegation,
    const struct dispatch_request *request, uint64_t now_ms);

/**
 * Decides on a request, or asks a hub to. EFFECT_DECIDED tells when the decision
 * can be taken.
 * @return the id of the attempt
 */
uint64_t delegation_submit(struct delegation *delegation,
    const struct dispatch_request *request, uint64_t now_ms,
    struct effects *effects);

/** Takes a decision. @return false if there is none for the attempt */
bool delegation_take(struct delegation *delegation, uint64_t attempt_id,
    struct dispatch_decision *decision);

/** Handles a hub's answer. */
void delegation_handle_placement(struct delegation *delegation,
    const struct msg *msg, uint64_t now_ms, struct effects *effects);

/** Records that the first token of an attempt's response arrived.
 * @param pace_percent that the engine states, or 0 */
void delegation_record_first_token(struct delegation *delegation,
    uint64_t attempt_id, uint32_t pace_percent, uint64_t now_ms,
    struct effects *effects);

/** Records what the response to an attempt says of its endpoint's limit.
 * @param per_1000_s requests in 1,000 s, 0 if the response names no limit */
void delegation_record_limit(struct delegation *delegation, uint64_t attempt_id,
    uint32_t per_1000_s, uint64_t now_ms, struct effects *effects);

/** Records what the response to an attempt says of its endpoint.
 * @return whether it is news to this daemon */
bool delegation_record_statement(struct delegation *delegation,
    uint64_t attempt_id, const struct endpoint_statement *statement,
    uint64_t now_ms, struct effects *effects);

/** Ends an attempt. */
void delegation_end_attempt(struct delegation *delegation, uint64_t attempt_id,
    enum dispatch_outcome outcome, uint64_t now_ms, struct effects *effects);

/** Gives up hubs that don't answer, and tells the hubs of attempts. To be called
 * at least every 50 ms, after dispatch_tick. */
void delegation_tick(struct delegation *delegation, uint64_t now_ms,
    struct effects *effects);

#endif
