/**
 * @file
 * When a reflector calls the store, and how: decisions from what is known of the
 * resource and of the daemon's part in the fleet, without calls or waits.
 */
#ifndef PLATFORM_SCHEDULE_H
#define PLATFORM_SCHEDULE_H

#include "platform/feed.h"

/** @return whether a peer has a version that this daemon lacks */
bool schedule_is_behind(const struct reflector *reflector);

/** @return whether other daemons watch the store for this one, and none of them
 * has a newer version */
bool schedule_relies_on_peers(const struct reflector *reflector);

/** @return whether this daemon itself has to call the store now. The feed's mutex
 * is held. */
bool schedule_must_poll(const struct reflector *reflector, uint64_t now_ms);

/** @return whether a stale read, which costs the store less, will do. The version
 * shows whether the response is new enough for what a peer has seen, and the
 * freshness comes from the peer. */
bool schedule_stale_read_suffices(const struct reflector *reflector);

/** @return whether the list may be stale. The first list of endpoints may: it is
 * long, all daemons of a fleet may read it in the same moment, and the next call
 * brings the changes. After a restore it may be from before it. */
bool schedule_stale_list_suffices(const struct reflector *reflector);

/** @return how long a watch waits for a change; not at all after a failed call, so
 * that the end of an outage shows at once */
uint32_t schedule_watch_wait_ms(const struct reflector *reflector);

/** In a large fleet, changes are batched: otherwise every daemon would call the
 * store for each change.
 * @return pause after a call that brought changes */
uint32_t schedule_batching_delay_ms(const struct feed *feed);

/** @return pause before the next call */
uint32_t schedule_pause_ms(const struct reflector *reflector);

#endif
