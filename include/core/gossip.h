/**
 * @file
 * What members tell each other of third ones: which update goes into a message
 * of bounded size, and what is believed of received update.
 */
#ifndef CORE_GOSSIP_H
#define CORE_GOSSIP_H

#include "core/members.h"

/** Marks the state of a member as update to be spread. */
void gossip_queue_update(struct members *members, struct member *member);

/** Marks the versions of a member as update to be spread. */
void gossip_queue_versions(struct members *members, struct member *member);

/** @return whether any update is left to be spread */
bool gossip_has_pending(const struct members *members);

/** Fills in what this daemon tells to a member. */
void gossip_fill_heartbeat(struct members *members, uint64_t to_node_id,
    struct msg_heartbeat *heartbeat);

/** Appends a membership message with its update. */
struct msg_heartbeat *gossip_send(struct members *members, uint64_t to_node_id,
    enum msg_type type, struct effects *effects);

/** Sends all that is known of all members. */
void gossip_send_member_list(struct members *members, uint64_t to_node_id,
    struct effects *effects);

/** Takes over update of one member unless newer update is known. */
void gossip_apply_update(struct members *members,
    const struct member_update *update, uint64_t now_ms,
    struct effects *effects);

/** Takes over the versions that a member has in force; none goes back. */
void gossip_apply_versions(struct members *members, struct member *member,
    uint64_t routes_version, uint64_t pools_version);

/** Takes over a record of the versions that some member has in force. */
void gossip_apply_versions_record(struct members *members,
    const struct member_versions *versions);

/** Tells the state of a member in a message's form. */
void gossip_make_update(const struct member *member,
    struct member_update *update);

#endif
