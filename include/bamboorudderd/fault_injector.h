/**
 * @file
 * Simulates network partitions in tests: wraps the function tables of the peer
 * transport and of the platform client. Used only if test.hooks is true.
 */
#ifndef BAMBOORUDDERD_FAULT_INJECTOR_H
#define BAMBOORUDDERD_FAULT_INJECTOR_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>

#include "bamboorudderd/peer.h"
#include "common/platform.h"

#define FAULT_INJECTOR_ALL_PEERS "*"

struct fault_injector {
	pthread_mutex_t mutex;
	GHashTable *blocked_node_ids;
	bool all_peers_blocked;
	bool platform_blocked;
	struct peer wrapped_peer;
	const struct platform_ops *wrapped_platform_ops;
};

void fault_injector_init(struct fault_injector *injector);
void fault_injector_finish(struct fault_injector *injector);

/** Intercepts the functions of a transport and takes ownership of it. */
void fault_injector_wrap_peer(struct fault_injector *injector,
    struct peer *peer);

/** Intercepts the functions of a platform client. */
void fault_injector_wrap_platform(struct fault_injector *injector,
    struct platform *platform);

/**
 * Drops messages from and to daemons until fault_injector_heal.
 * @param addresses comma-separated peer addresses or FAULT_INJECTOR_ALL_PEERS
 */
void fault_injector_block_peers(struct fault_injector *injector,
    const char *addresses);

/** Makes the platform unreachable until fault_injector_heal. */
void fault_injector_block_platform(struct fault_injector *injector);

void fault_injector_heal(struct fault_injector *injector);

#endif
