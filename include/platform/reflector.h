/**
 * @file
 * Calls of a reflector: lists in pages, watches that resume, and entries that
 * are held for a while after they are gone.
 */
#ifndef PLATFORM_REFLECTOR_H
#define PLATFORM_REFLECTOR_H

#include "platform/feed.h"

/**
 * Reads all objects of the kind, and drops those that are gone.
 * @param allow_stale the answer may be some seconds old and proves nothing
 */
void reflector_list(struct reflector *reflector, bool allow_stale);

/** Asks for changes once and waits for one for max_wait_ms; a lost history makes
 * the next call a list. */
void reflector_watch(struct reflector *reflector, uint32_t max_wait_ms,
    bool allow_stale);

/** Tells the sink of entries that stayed away. */
void reflector_flush_removals(struct reflector *reflector);

#endif
