/**
 * @file
 * Failure detection: a member is probed directly, then through other members,
 * and becomes suspect if no probe is acknowledged.
 */
#ifndef CORE_PROBE_H
#define CORE_PROBE_H

#include "core/members.h"

/** Starts the probes that are due and handles those that timed out. */
void probe_tick(struct members *members, uint64_t now_ms,
    struct effects *effects);

/** Handles the acknowledgement of a probe. Forwards it if the probe was sent on
 * behalf of another daemon. */
void probe_handle_ack(struct members *members, uint64_t seq,
    struct effects *effects);

/** Probes a member on behalf of another daemon. */
void probe_on_behalf(struct members *members, uint64_t target_node_id,
    uint64_t requester_node_id, uint64_t requester_seq, uint64_t now_ms,
    struct effects *effects);

#endif
