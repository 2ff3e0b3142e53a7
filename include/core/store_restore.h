/**
 * @file
 * Which restore of the store from a copy a response or a version belongs to, and
 * until when what was lost is still being written again.
 */
#ifndef CORE_STORE_RESTORE_H
#define CORE_STORE_RESTORE_H

#include <stdbool.h>
#include <stdint.h>

/** Entries that a restore or an outage lost are written again within 2 s of the
 * store's return. */
#define STORE_REWRITE_MS 1800u
/** Time after which a restored store is taken to hold the newest configuration
 * again: longer than that of entries, as a late revocation must not be missed. */
#define STORE_SETTLE_MS 2500u

/** Zero-initialised before use. All times are those of one clock. */
struct store_restore {
	bool heard; /**< the store or a peer told the count */
	uint32_t restores_count; /**< most restores heard of */
	/** When the entries that the last one lost have been written again; 0: no
	 * restore, UINT64_MAX: the store has not served since. */
	uint64_t rewritten_ms;
	uint64_t settled_ms; /**< the same of the configuration */
};

enum store_restore_order {
	STORE_RESTORE_OLDER, /**< from before a restore that is known */
	STORE_RESTORE_SAME,
	STORE_RESTORE_NEWER /**< the first news of a restore */
};

/**
 * Records a count of restores. The first one heard tells of no new restore, but
 * the last one may have been just before.
 * @param served the store served this daemon, or a peer, after that many
 */
enum store_restore_order store_restore_hear(struct store_restore *restore,
    uint32_t restores_count, bool served, uint64_t now_ms);

#endif
