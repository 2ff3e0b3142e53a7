/**
 * @file
 * Membership between daemons: who is live, from heartbeats and their answers.
 */
#ifndef CORE_MEMBERS_H
#define CORE_MEMBERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/effect.h"
#include "core/msg.h"

enum member_state { MEMBER_UNKNOWN, MEMBER_LIVE, MEMBER_DOWN };

struct member {
	uint64_t node_id;
	uint64_t incarnation;
	char address[ADDRESS_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	uint64_t heard_ms;
	uint64_t routes_version;
	uint64_t pools_version;
	enum member_state state;
	bool leaving;
};

struct members_config {
	struct member self;
	uint32_t heartbeat_period_ms;
	uint32_t down_after_ms;
};

struct members {
	struct members_config config;
	GArray *peers; /**< struct member, without self */
	uint64_t heartbeat_due_ms;
	uint64_t probe_seq;
	bool changed; /**< the set of live nodes changed */
};

void members_init(struct members *members, const struct members_config *config);
void members_finish(struct members *members);

/** Adds an address to talk to, from the settings or the platform's list. */
void members_add_seed(struct members *members, const char *address);

void members_handle(struct members *members, const struct msg *msg,
    uint64_t now_ms, struct effects *effects);
void members_tick(struct members *members, uint64_t now_ms,
    struct effects *effects);

/**
 * Writes the identifiers of live, not leaving nodes, self included.
 * @return their count, at most max_count
 */
size_t members_live(const struct members *members, uint64_t *node_ids,
    size_t max_count);

/** @return the member, or NULL */
const struct member *members_find(const struct members *members,
    uint64_t node_id);

#endif
