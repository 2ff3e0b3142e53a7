/**
 * @file
 * The callers' side: takes requests in, waits for a slot, relays.
 */
#ifndef BAMBOORUDDERD_FRONT_H
#define BAMBOORUDDERD_FRONT_H

#include <civetweb.h>
#include <glib.h>

#include "bamboorudderd/control.h"
#include "bamboorudderd/relay.h"

struct front {
	const struct settings *settings;
	struct control *control;
	struct tablestore *store;
	struct relay_config relay_config;
	struct mg_context *server;
};

#define FRONT_ERROR (front_error_quark())
GQuark front_error_quark(void);

/** Initialises and starts the server for callers. */
gboolean front_init(struct front *front, const struct settings *settings,
    struct control *control, struct tablestore *store, GError **error);

/** Stops the server; waits for its workers. */
void front_finish(struct front *front);

#endif
