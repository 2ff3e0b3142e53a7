/**
 * @file
 * The callers' side: the server for callers and what its workers share.
 */
#ifndef BAMBOORUDDERD_FRONTEND_H
#define BAMBOORUDDERD_FRONTEND_H

#include <civetweb.h>
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>

#include "bamboorudderd/claimstore.h"
#include "bamboorudderd/control.h"
#include "bamboorudderd/relay.h"
#include "core/retry.h"

#define FRONTEND_KEEP_ALIVE_MS 5000u

struct frontend {
	const struct settings *settings;
	struct control *control;
	struct tablestore *store;
	struct claimstore claims;
	struct relay_config relay_config;
	pthread_mutex_t retry_mutex;
	struct retry_policy retry; /**< held by retry_mutex */
	struct mg_context *server;
	_Atomic uint32_t connection_count; /**< of callers, now open */
	_Atomic uint32_t
	    pre_drain_connection_count; /**< those of them from before drain */
	_Atomic uint32_t draining;
};

#define FRONTEND_ERROR (frontend_error_quark())
GQuark frontend_error_quark(void);

/** Initialises and starts the server for callers. */
gboolean frontend_init(struct frontend *frontend,
    const struct settings *settings, struct control *control,
    struct tablestore *store, struct platform *platform, GError **error);

/** Stops the server; waits for its workers. */
void frontend_finish(struct frontend *frontend);

#endif
