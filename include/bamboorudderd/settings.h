/**
 * @file
 * Settings of the daemon: read from TOML, checked as a whole.
 */
#ifndef BAMBOORUDDERD_SETTINGS_H
#define BAMBOORUDDERD_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/finding.h"

#define SETTINGS_STRING_MAX_BYTES 256u
#define SETTINGS_LIST_MAX_COUNT 64u

struct settings_list {
	char items[SETTINGS_LIST_MAX_COUNT][SETTINGS_STRING_MAX_BYTES];
	uint32_t count;
};

struct settings {
	char listen_address[SETTINGS_STRING_MAX_BYTES];
	char readiness_address[SETTINGS_STRING_MAX_BYTES];
	uint32_t connections_max_count;
	uint32_t stream_delay_ms;
	char admin_address[SETTINGS_STRING_MAX_BYTES];
	char peer_address[SETTINGS_STRING_MAX_BYTES];
	char failure_domain[SETTINGS_STRING_MAX_BYTES];
	struct settings_list peer_seeds;
	uint32_t cpu_share_milli; /**< of a core, that the daemon may use */
	uint32_t endpoints_age_ms;
	char peer_public_key[SETTINGS_STRING_MAX_BYTES];
	char peer_secret_key[SETTINGS_STRING_MAX_BYTES];
	char platform_form[SETTINGS_STRING_MAX_BYTES];
	uint32_t revoke_ms;
	uint32_t load_period_ms;
	uint32_t retry_ratio_milli; /**< repeats for each request */
	uint32_t retry_window_ms; /**< seconds */
	uint32_t retry_slack_count;
	char platform_url[SETTINGS_STRING_MAX_BYTES];
	uint32_t platform_timeout_ms;
	uint32_t watch_wait_ms;
	struct settings_list operator_tokens;
	uint32_t worker_threads_count;
	uint32_t body_max_bytes;
	uint32_t queue_timeout_ms;
	uint32_t connect_timeout_ms;
	uint32_t idle_timeout_ms;
	uint32_t request_timeout_ms;
	char share_policy[SETTINGS_STRING_MAX_BYTES];
	char share_order[SETTINGS_STRING_MAX_BYTES];
	uint32_t report_period_ms;
	uint32_t fallback_after_ms;
	uint32_t sync_timeout_ms;
	uint32_t grant_settle_ms;
	uint32_t heartbeat_period_ms;
	uint32_t down_after_ms;
	uint32_t drain_timeout_ms;
	uint32_t shutdown_grace_ms; /**< seconds until the platform kills */
	uint32_t claim_keep_ms;
	uint32_t claim_clock_margin_ms;
	uint32_t claim_sweep_round_ms;
	bool test_hooks;
	char log_format[SETTINGS_STRING_MAX_BYTES];
	char log_level[SETTINGS_STRING_MAX_BYTES];
};

/** Where an effective value came from. */
enum settings_source { SETTINGS_DEFAULT, SETTINGS_FILE, SETTINGS_ENVIRONMENT };

enum settings_type {
	SETTINGS_STRING,
	SETTINGS_UINT32,
	SETTINGS_DECIMAL, /**< a decimal number, kept in thousandths */
	SETTINGS_BOOL,
	SETTINGS_LIST
};

/** Describes one key; the man page lists the same. */
struct settings_key {
	const char *name;
	enum settings_type type;
	size_t offset;
	const char *unit;
	uint32_t min;
	uint32_t max;
	uint32_t default_number;
	const char *default_string; /**< NULL: the key is required */
	const char *choices; /**< allowed texts, or NULL */
	const char
	    *environment_variable; /**< variable that overrides, or NULL */
	/** @return what is wrong with a text, or NULL; may itself be NULL */
	const char *(*validate)(const char *text);
	bool secret;
	bool reloadable; /**< by SIGHUP */
};

/** @return all keys; count receives their number */
const struct settings_key *settings_keys(size_t *count);

/**
 * Reads settings; every fault is a finding with line and column.
 * @param sources receives one source for each key, or NULL
 * @return true if nothing was found
 */
bool settings_read(const char *path, struct settings *settings,
    enum settings_source *sources, struct findings *findings);

/** Appends the effective settings with their sources; secrets are masked. */
void settings_print(const struct settings *settings,
    const enum settings_source *sources, GString *out);

/** Whether two settings agree in one key. */
bool settings_key_equal(const struct settings *a, const struct settings *b,
    const struct settings_key *key);

/** Copies the value of one key. */
void settings_key_copy(struct settings *to, const struct settings *from,
    const struct settings_key *key);

#endif
