/**
 * @file
 * Test hook: cuts this daemon off from other daemons or from the platform by
 * wrapping their tables of functions. In use only with test.hooks = true.
 */
#ifndef BAMBOORUDDERD_HOOK_H
#define BAMBOORUDDERD_HOOK_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>

#include "bamboorudderd/peer.h"
#include "common/platform.h"

#define HOOK_ALL_PEERS "*"

struct hook {
	pthread_mutex_t mutex;
	GHashTable *cut_node_ids;
	bool all_peers_cut;
	bool platform_cut;
	struct peer peer; /**< the wrapped transport */
	const struct platform_ops *platform_ops; /**< the wrapped functions */
};

void hook_init(struct hook *hook);
void hook_finish(struct hook *hook);

/** Puts the hook before a transport, which then belongs to the hook. */
void hook_wrap_peer(struct hook *hook, struct peer *peer);

/** Puts the hook before the functions of a platform client. */
void hook_wrap_platform(struct hook *hook, struct platform *platform);

/**
 * Drops messages from and to daemons until hook_heal.
 * @param addresses peer addresses with commas between, or HOOK_ALL_PEERS
 */
void hook_cut_peers(struct hook *hook, const char *addresses);

/** Fails all calls to the platform as unreached until hook_heal. */
void hook_cut_platform(struct hook *hook);

void hook_heal(struct hook *hook);

#endif
