/**
 * @file
 * Group membership of the daemons by a variant of the SWIM protocol. Each
 * daemon probes one member after another, through other members if there is no
 * acknowledgement. A member that fails its probes is suspect for some time
 * before it is removed. Changes spread by gossip in messages of bounded size.
 */
#ifndef CORE_MEMBERS_H
#define CORE_MEMBERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/effect.h"
#include "core/msg.h"

struct member {
	uint64_t node_id;
	uint64_t incarnation;
	char address[ADDRESS_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	uint64_t last_heard_ms; /**< last message from this member */
	uint64_t state_since_ms;
	uint64_t routes_version;
	uint64_t pools_version;
	uint32_t revision;
	/** Number of messages that still have to carry its state. */
	uint32_t update_sends_remaining;
	/** Number of messages that still have to carry its versions. */
	uint32_t versions_sends_remaining;
	enum member_state state;
	bool leaving;
	bool platform_lost;
	bool high_cpu; /**< has processor time to spare for a hub */
	bool seed; /**< never removed from the list */
};

/** A probe that is not acknowledged yet. */
struct member_probe {
	uint64_t target_node_id;
	uint64_t seq;
	uint64_t sent_at_ms;
	uint64_t requester_node_id; /**< 0 for a probe of this daemon itself */
	uint64_t requester_seq;
	bool indirect; /**< other members were asked to probe the target */
};

struct members_config {
	struct member self;
	/** base period of the protocol, and the time after which the target of
	 * an unacknowledged probe becomes suspect */
	uint32_t heartbeat_period_ms;
	/** time from the crash of a member to its removal */
	uint32_t down_after_ms;
};

struct members {
	struct members_config config;
	GArray *peers; /**< struct member without self, sorted by node_id */
	GArray *probes; /**< struct member_probe */
	GArray *probe_order; /**< node_ids still to probe in this round */
	uint64_t probe_due_ms;
	uint64_t gossip_due_ms;
	uint64_t join_due_ms;
	uint64_t down_probe_due_ms; /**< next probe of a down member */
	uint64_t probe_seq;
	uint64_t random_state;
	uint32_t refresh_index; /**< next peer to describe without a change */
	bool joined; /**< a member list was received */
	/** the set of live members or their flags changed; cleared by the
	 * caller */
	bool live_set_changed;
};

void members_init(struct members *members, const struct members_config *config);
void members_finish(struct members *members);

/** Adds the address of a member to join through. */
void members_add_seed(struct members *members, const char *address);

/**
 * Handles a membership message.
 * @return false if the message is inconsistent and was ignored
 */
bool members_handle_message(struct members *members, const struct msg *msg,
    uint64_t now_ms, struct effects *effects);

/**
 * Verifies the sender of any other message. A newer incarnation than the known
 * one means that the member has restarted and is recorded.
 * @return whether the sender is the current process of a member that is up
 */
bool members_verify_sender(struct members *members, const struct msg *msg,
    uint64_t now_ms, struct effects *effects);

/** Must be called at least every 50 ms. */
void members_tick(struct members *members, uint64_t now_ms,
    struct effects *effects);

/** Sets the table versions that this daemon has in force. */
void members_set_versions(struct members *members, uint64_t routes_version,
    uint64_t pools_version);

/** Sets whether this daemon can't reach the platform, and announces a change to
 * the other members by gossip. */
void members_set_platform_lost(struct members *members, bool platform_lost);

/** Announces to the other members that this daemon accepts no new work. */
void members_leave(struct members *members, struct effects *effects);

/** Announces to the other members that this process exits now. */
void members_announce_shutdown(struct members *members,
    struct effects *effects);

/**
 * Lists the members that are up and not leaving, this daemon included, in
 * ascending order of their identifiers.
 * @return the number of identifiers written, at most max_count
 */
size_t members_list_live(const struct members *members, uint64_t *node_ids,
    size_t max_count);

/** @return the member, or NULL */
const struct member *members_find(const struct members *members,
    uint64_t node_id);

/** @return whether the member is live or suspect; a suspect still counts as
 * up */
bool member_is_up(const struct member *member);

/**
 * @return whether this daemon is one of the watchers of the tables in the
 *     platform's store. The watchers are the first member of each failure
 *     domain by rendezvous hashing, but at least two in total. Members that
 *     can't reach the platform are ranked last.
 */
bool members_is_watcher(const struct members *members);

/* Internal interface to gossip.c and probe.c. */

/** Like members_find, without this daemon itself. */
struct member *members_find_peer(const struct members *members,
    uint64_t node_id);
uint64_t members_random(struct members *members);

/** @return all peers, members->peers->len of them, until one is added or
 * removed */
static inline struct member *
members_peers(const struct members *members)
{
	return (struct member *)(void *)members->peers->data;
}

/** @return a random member that is up and not except_node_id, or NULL */
struct member *members_pick_random(struct members *members,
    uint64_t except_node_id);
void members_set_state(struct members *members, struct member *member,
    enum member_state state, uint64_t now_ms, struct effects *effects);

/** @return the member with this address, added if necessary; NULL for this
 * daemon's own address or if the list is full */
struct member *members_add(struct members *members, const char *address);

#endif
