/**
 * @file
 * Probes of members: directly, then through others, then suspicion.
 */
#ifndef CORE_PROBE_H
#define CORE_PROBE_H

#include "core/members.h"

/** Starts probes that are due and judges those without an answer. */
void probe_tick(struct members *members, uint64_t now_ms,
    struct effects *effects);

/** Takes the answer to a probe; hands it on if another daemon asked for it. */
void probe_handle_ack(struct members *members, uint64_t seq,
    struct effects *effects);

/** Probes a member for another daemon. */
void probe_on_behalf(struct members *members, uint64_t target_node_id,
    uint64_t requester_node_id, uint64_t requester_seq, uint64_t now_ms,
    struct effects *effects);

#endif
