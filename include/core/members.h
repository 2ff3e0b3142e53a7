/**
 * @file
 * Membership between daemons in the manner of SWIM: each daemon probes one
 * member at a time, through others when it does not answer, suspects it before
 * it removes it, and spreads what it learns in messages of bounded size.
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
	uint64_t last_heard_ms; /**< last message from the member itself */
	uint64_t state_since_ms;
	uint64_t routes_version;
	uint64_t pools_version;
	uint32_t revision;
	uint32_t update_sends_remaining; /**< times to spread its state */
	uint32_t versions_sends_remaining; /**< times to spread its versions */
	enum member_state state;
	bool leaving;
	bool platform_lost;
	bool high_cpu; /**< has processor time for duties */
	bool seed; /**< never forgotten */
};

/** A probe that was not answered yet. */
struct member_probe {
	uint64_t target_node_id;
	uint64_t seq;
	uint64_t sent_at_ms;
	uint64_t requester_node_id; /**< 0: for this daemon itself */
	uint64_t requester_seq;
	bool indirect; /**< others were asked to probe */
};

struct members_config {
	struct member self;
	uint32_t heartbeat_period_ms; /**< a probe unanswered for so long makes
					* its target suspect */
	uint32_t down_after_ms; /**< from the end of a member to its removal */
};

struct members {
	struct members_config config;
	GArray *peers; /**< struct member without self, by node_id */
	GArray *probes; /**< struct member_probe */
	GArray *probe_order; /**< node_ids left to probe in this round */
	uint64_t probe_due_ms;
	uint64_t gossip_due_ms;
	uint64_t join_due_ms;
	uint64_t down_probe_due_ms; /**< next probe of a member that is down */
	uint64_t probe_seq;
	uint64_t random_state;
	uint32_t refresh_index; /**< next member to spread without news */
	bool joined; /**< a member list was received */
	bool live_set_changed; /**< the set of live nodes changed */
};

void members_init(struct members *members, const struct members_config *config);
void members_finish(struct members *members);

/** Adds an address to talk to, from the settings or the platform's list. */
void members_add_seed(struct members *members, const char *address);

/**
 * Handles a membership message.
 * @return false if the message contradicts itself
 */
bool members_handle_message(struct members *members, const struct msg *msg,
    uint64_t now_ms, struct effects *effects);

/**
 * Tells whether a message of another kind comes from the present process of
 * an up member; learns from it that a member restarted.
 */
bool members_verify_sender(struct members *members, const struct msg *msg,
    uint64_t now_ms, struct effects *effects);

/** To be called at least every 50 ms. */
void members_tick(struct members *members, uint64_t now_ms,
    struct effects *effects);

/** Sets the versions that this daemon has in force. */
void members_set_versions(struct members *members, uint64_t routes_version,
    uint64_t pools_version);

/** Tells the others whether this daemon reaches the platform. */
void members_set_platform_lost(struct members *members, bool platform_lost);

/** Tells the others at once that this daemon takes no new work. */
void members_leave(struct members *members, struct effects *effects);

/** Tells the others that this daemon ends now. */
void members_announce_shutdown(struct members *members,
    struct effects *effects);

/**
 * Writes the identifiers of live, not leaving nodes, self included, in
 * ascending order.
 * @return their count, at most max_count
 */
size_t members_list_live(const struct members *members, uint64_t *node_ids,
    size_t max_count);

/** @return the member, or NULL */
const struct member *members_find(const struct members *members,
    uint64_t node_id);

/** @return whether the member counts as live: suspicion alone removes none */
bool member_is_up(const struct member *member);

/**
 * Tells whether this daemon is among those that watch the tables at the
 * platform: the first of each failure domain by rendezvous hashing, and at
 * least two in the fleet. Members that can't reach the platform come last.
 */
bool members_is_watcher(const struct members *members);

/* For the parts of this module: gossip.c and probe.c. */

struct member *members_find_peer(const struct members *members,
    uint64_t node_id);
uint64_t members_random(struct members *members);

/** Picks an up member at random, not except_node_id. @return NULL if none */
struct member *members_pick_random(struct members *members,
    uint64_t except_node_id);
void members_set_state(struct members *members, struct member *member,
    enum member_state state, uint64_t now_ms, struct effects *effects);
struct member *members_add(struct members *members, const char *address);

#endif
