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

/** Tells a hub that an attempt which it may have placed does not run. */
void delegation_release(struct delegation *delegation, uint64_t hub_id,
    uint64_t attempt_id, enum dispatch_outcome outcome, uint64_t now_ms,
    struct effects *effects);

/** Sends the events of attempts to the hubs and, when it is due, the list of all
 * running attempts. */
void delegation_tell_hubs(struct delegation *delegation, uint64_t now_ms,
    struct effects *effects);

#endif
