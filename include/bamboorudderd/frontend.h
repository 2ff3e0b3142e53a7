/**
 * @file
 * HTTP server for callers and the state that its worker threads share.
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
	struct relay_config timeouts;
	pthread_mutex_t retry_mutex;
	struct retry_policy retry; /**< guarded by retry_mutex */
	struct mg_context *server;
	_Atomic uint32_t connection_count; /**< open connections of callers */
	/** Open connections that were accepted before draining started. */
	_Atomic uint32_t pre_drain_connection_count;
	_Atomic uint32_t draining;
};

#define FRONTEND_ERROR (frontend_error_quark())
GQuark frontend_error_quark(void);

/** Starts the server for callers. */
gboolean frontend_init(struct frontend *frontend,
    const struct settings *settings, struct control *control,
    struct tablestore *store, struct platform *platform, GError **error);

/** Stops the server and waits for its worker threads. */
void frontend_finish(struct frontend *frontend);

#endif
