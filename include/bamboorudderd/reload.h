/**
 * @file
 * Settings that take effect while the daemon runs.
 */
#ifndef BAMBOORUDDERD_RELOAD_H
#define BAMBOORUDDERD_RELOAD_H

#include "bamboorudderd/admin.h"
#include "bamboorudderd/settings.h"

struct reload {
	const char *path;
	struct settings current; /**< as in force */
	struct admin *admin;
};

void reload_init(struct reload *reload, const char *path,
    const struct settings *settings, struct admin *admin);

/**
 * Reads the settings again. With a finding nothing changes; else what is
 * reloadable takes effect, and changes of the rest are named in the log.
 */
void reload_run(struct reload *reload);

/** Configures the log by the settings log.*. */
void reload_apply_log(const struct settings *settings);

#endif
