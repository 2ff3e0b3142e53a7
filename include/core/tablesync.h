/**
 * @file
 * Spread of the tables between daemons: news of a newer version is pushed to
 * a few members at once, and whoever lacks a version pulls it from one that
 * has it in force. Only versions in force are offered, so that an invalid one
 * never takes the place of the last good one.
 */
#ifndef CORE_TABLESYNC_H
#define CORE_TABLESYNC_H

#include <stdint.h>

#include "core/effect.h"
#include "core/members.h"
#include "core/msg.h"

struct tablesync {
	uint64_t in_force[TABLE_KIND_COUNT]; /**< versions in force here */
	uint64_t requested[TABLE_KIND_COUNT]; /**< newest version pulled */
	uint64_t
	    pull_retry_at_ms; /**< a lost or fruitless pull is repeated then */
};

/** Texts of the tables in force. */
struct tablesync_texts {
	const char *texts[TABLE_KIND_COUNT];
};

void tablesync_init(struct tablesync *sync);

/** Takes the versions now in force and tells a few members of newer ones. */
void tablesync_set_in_force(struct tablesync *sync,
    const uint64_t versions[TABLE_KIND_COUNT], struct members *members,
    struct effects *effects);

/** Takes the versions that a member has in force; pulls newer ones. */
void tablesync_handle_versions(struct tablesync *sync, uint64_t from_node_id,
    uint64_t routes_version, uint64_t pools_version, uint64_t now_ms,
    struct effects *effects);

/** Answers a pull; texts must stay until the effects are carried out. */
void tablesync_handle_pull(const struct tablesync *sync, const struct msg *pull,
    const struct tablesync_texts *texts, struct effects *effects);

/**
 * Period at which a daemon that does not watch reads the tables all the same.
 * It grows with the fleet, so that the fleet's reads don't.
 */
uint32_t tablesync_poll_period_ms(size_t live_count, uint32_t min_period_ms);

#endif
