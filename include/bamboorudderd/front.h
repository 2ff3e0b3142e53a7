/**
 * @file
 * The callers' side: takes requests in, waits for a slot, relays.
 */
#ifndef BAMBOORUDDERD_FRONT_H
#define BAMBOORUDDERD_FRONT_H

#include <civetweb.h>
#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

#include "bamboorudderd/control.h"
#include "bamboorudderd/relay.h"

#define FRONT_KEEP_ALIVE_MS 5000u

struct front {
	const struct settings *settings;
	struct control *control;
	struct tablestore *store;
	struct relay_config relay_config;
	struct mg_context *server;
	_Atomic uint32_t connection_count; /**< of callers, now open */
	_Atomic uint32_t earlier_count; /**< those of them from before drain */
	_Atomic uint32_t draining;
};

#define FRONT_ERROR (front_error_quark())
GQuark front_error_quark(void);

/** Initialises and starts the server for callers. */
gboolean front_init(struct front *front, const struct settings *settings,
    struct control *control, struct tablestore *store, GError **error);

/** Stops the server; waits for its workers. */
void front_finish(struct front *front);

#endif
