/**
 * @file
 * Store calls of a reflector: paged lists, watches that continue at a revision,
 * and delayed removals after an outage of the store.
 */
#ifndef PLATFORM_REFLECTOR_H
#define PLATFORM_REFLECTOR_H

#include "platform/feed.h"

/**
 * Reads all objects of the kind, and removes those that are not listed.
 * @param allow_stale the response may be some seconds old; it confirms no
 * freshness
 */
void reflector_list(struct reflector *reflector, bool allow_stale);

/** Asks for changes since the last revision and waits up to max_wait_ms for one.
 * If the store no longer has the history, the next call is a list. */
void reflector_watch(struct reflector *reflector, uint32_t max_wait_ms,
    bool allow_stale);

/** @return whether the position of this reflector can't be watched from: there is
 * none, or the store was restored since */
bool reflector_needs_list(const struct reflector *reflector);

/** Records how often the store or a peer says that the store was restored. For any
 * thread.
 * @param served the store served this daemon, or the peer, after that many
 * @param known_revision the store's number that is known here, for the log
 * @param revision the one that the store or the peer tells, for the log */
void reflector_hear_restores(struct reflector *reflector, uint32_t count,
    bool served, uint64_t known_revision, uint64_t revision);

/** Removes objects whose delayed removal is due. */
void reflector_flush_removals(struct reflector *reflector);

#endif
