/**
 * @file
 * HTTP server of the administration API.
 */
#ifndef BAMBOORUDDERD_ADMIN_H
#define BAMBOORUDDERD_ADMIN_H

#include <civetweb.h>
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>

#include "bamboorudderd/control.h"
#include "bamboorudderd/operator.h"
#include "common/platform.h"

struct admin {
	const struct settings *settings;
	struct control *control;
	struct tablestore *store;
	struct platform *platform;
	struct clk clk;
	_Atomic uint32_t draining;
	_Atomic uint32_t active_edits_count; /**< includes dry runs */
	pthread_mutex_t operators_mutex;
	struct operator_entry operators[SETTINGS_LIST_MAX_COUNT];
	uint32_t operator_count;
	struct mg_context *server;
};

#define ADMIN_ERROR (admin_error_quark())
GQuark admin_error_quark(void);

/** Starts the server of the administration API. */
gboolean admin_init(struct admin *admin, const struct settings *settings,
    struct control *control, struct tablestore *store,
    struct platform *platform, GError **error);
void admin_finish(struct admin *admin);

/**
 * Replaces the operators.
 * @param tokens validated value of admin.tokens
 */
void admin_set_operators(struct admin *admin,
    const struct settings_list *tokens);

#endif
