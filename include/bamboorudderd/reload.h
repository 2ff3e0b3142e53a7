/**
 * @file
 * Reloads the settings at runtime.
 */
#ifndef BAMBOORUDDERD_RELOAD_H
#define BAMBOORUDDERD_RELOAD_H

#include "bamboorudderd/admin.h"
#include "bamboorudderd/settings.h"

struct reload {
	const char *path;
	struct settings current; /**< settings in force */
	struct admin *admin;
};

void reload_init(struct reload *reload, const char *path,
    const struct settings *settings, struct admin *admin);

/**
 * Reads the settings file again. An invalid file changes nothing. Otherwise the
 * reloadable settings take effect, and each other setting that differs is
 * logged as requiring a restart.
 */
void reload_run(struct reload *reload);

/** Applies the log.* settings. */
void reload_apply_log(const struct settings *settings);

#endif
