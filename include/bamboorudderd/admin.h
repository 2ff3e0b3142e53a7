/**
 * @file
 * Administration API over HTTP.
 */
#ifndef BAMBOORUDDERD_ADMIN_H
#define BAMBOORUDDERD_ADMIN_H

#include <civetweb.h>
#include <glib.h>
#include <stdatomic.h>

#include "bamboorudderd/control.h"
#include "common/platform.h"

struct admin {
	const struct settings *settings;
	struct control *control;
	struct tablestore *store;
	struct platform *platform;
	_Atomic uint32_t draining;
	struct mg_context *server;
};

#define ADMIN_ERROR (admin_error_quark())
GQuark admin_error_quark(void);

/** Initialises and starts the administration API. */
gboolean admin_init(struct admin *admin, const struct settings *settings,
    struct control *control, struct tablestore *store,
    struct platform *platform, GError **error);
void admin_finish(struct admin *admin);

#endif
