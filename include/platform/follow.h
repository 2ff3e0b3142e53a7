/**
 * @file
 * Calls of a follower: lists in pages, watches that resume, and entries that
 * are held for a while after they are gone.
 */
#ifndef PLATFORM_FOLLOW_H
#define PLATFORM_FOLLOW_H

#include "platform/feed.h"

/**
 * Reads all objects of the kind, and drops those that are gone.
 * @param stale_ok the answer may be some seconds old and proves nothing
 */
void follow_list(struct feed_follower *follower, bool stale_ok);

/** Asks for changes once and waits for one for pace_ms; a lost history makes
 * the next call a list. */
void follow_watch(struct feed_follower *follower, uint32_t pace_ms,
    bool stale_ok);

/** Tells the sink of entries that stayed away. */
void follow_end_lapsed(struct feed_follower *follower);

#endif
