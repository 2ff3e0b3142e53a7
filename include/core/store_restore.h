/**
 * @file
 * Which restore of the store from a copy a response or a version belongs to, and
 * until when what was lost is still being written again.
 */
#ifndef CORE_STORE_RESTORE_H
#define CORE_STORE_RESTORE_H

#include <stdbool.h>
#include <stdint.h>

/** Objects that a restore or an outage lost are written again within 2 s of the
 * store's return. */
#define STORE_REWRITE_MS 1800u

/** Zero-initialised before use. All times are those of one clock. */
struct store_restore {
	bool heard; /**< the store or a peer told the count */
	uint32_t restores_count; /**< most restores heard of */
	/** When what the last one lost has been written again; 0: none. */
	uint64_t settled_ms;
};

enum store_restore_order {
	STORE_RESTORE_OLDER, /**< from before a restore that is known */
	STORE_RESTORE_SAME,
	STORE_RESTORE_NEWER /**< the first news of a restore */
};

/**
 * Records a count of restores. The first one heard tells of no new restore, but
 * the last one may have been just before.
 */
enum store_restore_order store_restore_hear(struct store_restore *restore,
    uint32_t restores_count, uint64_t now_ms);

/** @return whether writes that the last restore lost may still be missing */
bool store_restore_is_settling(const struct store_restore *restore,
    uint64_t now_ms);

#endif
