#include "bamboorudderd/reload.h"

#include <string.h>

#include "common/log.h"

void
reload_init(struct reload *reload, const char *path,
    const struct settings *settings, struct admin *admin)
{
	memset(reload, 0, sizeof(*reload));
	reload->path = path;
	reload->current = *settings;
	reload->admin = admin;
}

void
reload_apply_log(const struct settings *settings)
{
	enum log_level level = LOG_LEVEL_INFO;

	if (strcmp(settings->log_level, "error") == 0)
		level = LOG_LEVEL_ERROR;
	else if (strcmp(settings->log_level, "warn") == 0)
		level = LOG_LEVEL_WARN;
	log_configure(strcmp(settings->log_format, "json") == 0
		? LOG_FORMAT_JSON
		: LOG_FORMAT_LOGFMT,
	    level);
}

static void
log_findings(const struct findings *findings)
{
	char line[FINDING_PLACE_MAX_BYTES + FINDING_TEXT_MAX_BYTES + 32];

	for (size_t i = 0; i < findings->count; i++) {
		finding_format(&findings->items[i], line, sizeof(line));
		log_event(LOG_LEVEL_ERROR, "reload_refused", "finding", line,
		    NULL);
	}
}

static void
apply_changes(struct reload *reload, const struct settings *loaded)
{
	size_t count;
	const struct settings_key *keys = settings_keys(&count);

	for (size_t i = 0; i < count; i++) {
		if (settings_key_equal(&reload->current, loaded, &keys[i]))
			continue;
		log_event(keys[i].reloadable ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
		    keys[i].reloadable ? "setting_reloaded"
				       : "setting_needs_restart",
		    "key", keys[i].name, NULL);
		if (keys[i].reloadable)
			settings_key_copy(&reload->current, loaded, &keys[i]);
	}
}

void
reload_run(struct reload *reload)
{
	struct findings *findings = g_new(struct findings, 1);
	struct settings *loaded = g_new(struct settings, 1);

	findings_init(findings);
	if (settings_read(reload->path, loaded, NULL, findings)) {
		apply_changes(reload, loaded);
		reload_apply_log(&reload->current);
		admin_set_operators(reload->admin,
		    &reload->current.operator_tokens);
		log_event(LOG_LEVEL_INFO, "settings_reloaded", NULL);
	} else
		log_findings(findings);
	g_free(loaded);
	g_free(findings);
}
