/**
 * @file
 * Gossip about other members: selects the updates for a message of bounded
 * size, and applies received updates to the membership view.
 */
#ifndef CORE_GOSSIP_H
#define CORE_GOSSIP_H

#include "core/members.h"

/** Queues the state of a member for the next messages. */
void gossip_queue_update(struct members *members, struct member *member);

/** Queues the table versions of a member for the next messages. */
void gossip_queue_versions(struct members *members, struct member *member);

/** @return whether a queued state or version still has to be sent */
bool gossip_has_pending(const struct members *members);

/** Fills in this daemon's own state and the updates for a member. */
void gossip_fill_heartbeat(struct members *members, uint64_t to_node_id,
    struct msg_heartbeat *heartbeat);

/** Appends a membership message, filled in with updates. */
struct msg_heartbeat *gossip_send(struct members *members, uint64_t to_node_id,
    enum msg_type type, struct effects *effects);

/** Sends the state of all live members. */
void gossip_send_member_list(struct members *members, uint64_t to_node_id,
    struct effects *effects);

/** Applies an update about one member unless the known state is newer. */
void gossip_apply_update(struct members *members,
    const struct member_update *update, uint64_t now_ms,
    struct effects *effects);

/** Records the versions that a member has in force. Older versions than the
 * known ones are ignored. */
void gossip_apply_versions(struct members *members, struct member *member,
    uint64_t routes_version, uint64_t pools_version);

/** Records the versions of the member whose identifiers match the record. */
void gossip_apply_versions_record(struct members *members,
    const struct member_versions *versions);

/** Builds the update that describes the state of a member. */
void gossip_make_update(const struct member *member,
    struct member_update *update);

#endif
