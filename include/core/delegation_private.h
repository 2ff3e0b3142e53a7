/**
 * @file
 * Functions shared by the source files of delegation.
 */
#ifndef CORE_DELEGATION_PRIVATE_H
#define CORE_DELEGATION_PRIVATE_H

#include "core/delegation.h"

static inline uint64_t
delegation_own_id(const struct delegation *delegation)
{
	return delegation->dispatch->config.node_id;
}

/** @return what is known of a hub, created on first use */
struct delegation_hub *delegation_get_hub(struct delegation *delegation,
    uint64_t node_id);

/** Frees a struct delegation_hub; a GDestroyNotify. */
void delegation_hub_free(gpointer hub);

/** @return the hub of the group of endpoints that comes first for a request by
 * rendezvous hashing; 0 if there is none to be asked */
uint64_t delegation_choose_hub(const struct delegation *delegation,
    const struct delegation_question *question, uint64_t now_ms);

/** Records that a hub answered. */
void delegation_hub_answered(struct delegation *delegation, uint64_t hub_id);

/** Leaves a hub that gave no answer out for a while. */
void delegation_give_up_hub(struct delegation *delegation, uint64_t hub_id,
    uint64_t now_ms);

/** Tells a hub that an attempt which it may have placed does not run. */
void delegation_release(struct delegation *delegation, uint64_t hub_id,
    uint64_t attempt_id, enum dispatch_outcome outcome, uint64_t now_ms,
    struct effects *effects);

/** Sends the events of attempts to the hubs and, when it is due, the list of all
 * running attempts. */
void delegation_tell_hubs(struct delegation *delegation, uint64_t now_ms,
    struct effects *effects);

#endif
