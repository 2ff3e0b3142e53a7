#include <string.h>

#include "bamboorudderd/settings_private.h"

struct read_context {
	struct settings_input input;
	struct settings *settings;
	enum settings_source *sources;
};

static void *
value_address(struct settings *settings, const struct settings_key *key)
{
	return (char *)settings + key->offset;
}

static void
on_value(void *pointer, const struct toml_value *value)
{
	struct read_context *context = pointer;
	size_t count;
	const struct settings_key *keys = settings_keys(&count);

	for (size_t i = 0; i < count; i++) {
		if (strcmp(keys[i].name, value->key) != 0)
			continue;
		context->sources[i] = SETTINGS_FILE;
		settings_key_ops(&keys[i])->read(&context->input, &keys[i],
		    value, value_address(context->settings, &keys[i]));
		return;
	}
	settings_add_finding(&context->input, value, "unknown key %.64s",
	    value->key);
}

static void
on_error(void *pointer, const char *text, uint32_t line, uint32_t column)
{
	const struct read_context *context = pointer;

	findings_add_line(context->input.findings, context->input.path, line,
	    column, "%s", text);
}

static void
set_defaults(struct settings *settings)
{
	size_t count;
	const struct settings_key *keys = settings_keys(&count);

	memset(settings, 0, sizeof(*settings));
	for (size_t i = 0; i < count; i++)
		settings_key_ops(&keys[i])->set_default(&keys[i],
		    value_address(settings, &keys[i]));
}

static void
apply_environment(struct read_context *context)
{
	size_t count;
	const struct settings_key *keys = settings_keys(&count);

	for (size_t i = 0; i < count; i++) {
		const char *value = keys[i].environment_variable == NULL
		    ? NULL
		    : g_getenv(keys[i].environment_variable);
		if (value == NULL)
			continue;
		g_strlcpy(value_address(context->settings, &keys[i]), value,
		    SETTINGS_STRING_MAX_BYTES);
		context->sources[i] = SETTINGS_ENVIRONMENT;
	}
}

/* Adds a finding that concerns the file as a whole. */
static void
add_finding(const struct read_context *context, const char *text)
{
	findings_add_line(context->input.findings, context->input.path, 1, 1,
	    "%s", text);
}

static void
check_required(const struct read_context *context)
{
	size_t count;
	const struct settings_key *keys = settings_keys(&count);

	for (size_t i = 0; i < count; i++)
		if (keys[i].default_string == NULL &&
		    context->sources[i] == SETTINGS_DEFAULT)
			findings_add_line(context->input.findings,
			    context->input.path, 1, 1, "%s is missing",
			    keys[i].name);
}

static void
check_constraints(const struct read_context *context)
{
	const struct settings *settings = context->settings;

	if (settings->down_after_ms < 2 * settings->heartbeat_period_ms)
		add_finding(context,
		    "peer.down_after_ms must be at least twice "
		    "peer.heartbeat_period_ms");
	if (settings->claim_keep_ms <=
	    settings->request_timeout_ms + settings->claim_clock_margin_ms)
		add_finding(context,
		    "claims.keep_ms must be greater than the sum of "
		    "request.timeout_ms and claims.clock_margin_ms");
	if ((settings->peer_public_key[0] == '\0') !=
	    (settings->peer_secret_key[0] == '\0'))
		add_finding(context,
		    "peer.public_key and peer.secret_key must be set together");
}

bool
settings_read(const char *path, struct settings *settings,
    enum settings_source *sources, struct findings *findings)
{
	struct read_context context = { { path, findings }, settings, NULL };
	size_t count, before_count = findings->total_count;
	enum settings_source *local;
	GError *error = NULL;
	char *text;

	settings_keys(&count);
	local = g_new0(enum settings_source, count);
	context.sources = sources == NULL ? local : sources;
	memset(context.sources, 0, count * sizeof(*local));
	set_defaults(settings);
	if (!g_file_get_contents(path, &text, NULL, &error)) {
		findings_add_line(findings, path, 0, 0, "%s", error->message);
		g_error_free(error);
		g_free(local);
		return false;
	}
	if (toml_read(text, &context, on_value, on_error)) {
		apply_environment(&context);
		check_required(&context);
		check_constraints(&context);
	}
	g_free(text);
	g_free(local);
	return findings->total_count == before_count;
}

void
settings_print(const struct settings *settings,
    const enum settings_source *sources, GString *out)
{
	static const char *const names[] = { "default", "file", "environment" };
	size_t count;
	const struct settings_key *keys = settings_keys(&count);

	for (size_t i = 0; i < count; i++) {
		g_string_append_printf(out, "%s = ", keys[i].name);
		settings_key_ops(&keys[i])->print(&keys[i],
		    (const char *)settings + keys[i].offset, out);
		g_string_append_printf(out, "  # %s\n", names[sources[i]]);
	}
}

/* Values can be compared as bytes, since settings are zeroed before they are
 * read. */
bool
settings_key_equal(const struct settings *a, const struct settings *b,
    const struct settings_key *key)
{
	return memcmp((const char *)a + key->offset,
		   (const char *)b + key->offset,
		   settings_key_ops(key)->size_bytes) == 0;
}

void
settings_key_copy(struct settings *to, const struct settings *from,
    const struct settings_key *key)
{
	memcpy((char *)to + key->offset, (const char *)from + key->offset,
	    settings_key_ops(key)->size_bytes);
}
