/**
 * @file
 * Distribution of the tables between daemons. A daemon announces a newer
 * version to a few members at once, and a daemon with an older version pulls it
 * from a member that has it in force. Only versions in force are offered, so
 * that an invalid version never replaces the last valid one.
 */
#ifndef CORE_TABLESYNC_H
#define CORE_TABLESYNC_H

#include <stdint.h>

#include "core/effect.h"
#include "core/members.h"
#include "core/msg.h"

struct tablesync {
	uint64_t in_force[TABLE_KIND_COUNT]; /**< versions in force */
	uint64_t requested[TABLE_KIND_COUNT]; /**< newest versions pulled */
	/** from this time a pull that brought no newer version is retried */
	uint64_t pull_retry_at_ms;
};

/** JSON texts of the tables in force. */
struct tablesync_texts {
	const char *texts[TABLE_KIND_COUNT];
};

void tablesync_init(struct tablesync *sync);

/** Records the versions in force and announces newer ones to a few members. */
void tablesync_set_in_force(struct tablesync *sync,
    const uint64_t versions[TABLE_KIND_COUNT], struct members *members,
    struct effects *effects);

/** Handles the versions that a member has in force: pulls them if they are
 * newer. */
void tablesync_handle_versions(struct tablesync *sync, uint64_t from_node_id,
    uint64_t routes_version, uint64_t pools_version, uint64_t now_ms,
    struct effects *effects);

/** Sends the tables that are newer than those of the sender of a pull. texts
 * must stay valid until the effects are carried out. */
void tablesync_handle_pull(const struct tablesync *sync, const struct msg *pull,
    const struct tablesync_texts *texts, struct effects *effects);

/**
 * @return the period at which a daemon that is not a watcher polls the tables
 *     in the platform's store. It grows with the number of daemons, so that
 *     their total load on the store doesn't.
 */
uint32_t tablesync_poll_period_ms(size_t live_count, uint32_t min_period_ms);

#endif
