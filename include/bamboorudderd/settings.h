/**
 * @file
 * Settings of the daemon, read from a TOML file and validated.
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
	uint32_t memory_mb; /**< of the instance */
	uint32_t callers_memory_mb; /**< 0: a part of memory_mb */
	uint32_t files_max_count; /**< descriptors of the process; 0: enough */
	uint32_t stream_delay_ms;
	char admin_address[SETTINGS_STRING_MAX_BYTES];
	char peer_address[SETTINGS_STRING_MAX_BYTES];
	char failure_domain[SETTINGS_STRING_MAX_BYTES];
	struct settings_list peer_seeds;
	char handoff_address[SETTINGS_STRING_MAX_BYTES]; /**< "": none */
	uint32_t handoff_pass_percent;
	uint32_t handoff_accept_percent;
	uint32_t cpu_share_milli; /**< in thousandths of a core */
	uint32_t endpoints_age_ms;
	uint32_t domains_age_ms; /**< 0: no failure domain is ever drained */
	uint32_t cold_overshoot_milli; /**< of a cold endpoint's rate */
	uint32_t cold_slack_milli; /**< requests in thousandths */
	/** Wait that a MB between failure domains is worth; 0: a constant. */
	uint32_t domain_price_ms_per_mb;
	uint32_t domain_delay_max_ms; /**< extra round trip */
	char peer_public_key[SETTINGS_STRING_MAX_BYTES];
	char peer_secret_key[SETTINGS_STRING_MAX_BYTES];
	char platform_form[SETTINGS_STRING_MAX_BYTES];
	uint32_t revoke_ms;
	uint32_t load_period_ms;
	uint32_t retry_ratio_milli; /**< retries per request in thousandths */
	uint32_t retry_window_ms; /**< retry.window_s */
	uint32_t retry_slack_milli; /**< retries in thousandths */
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
	/** Time that the platform leaves between SIGTERM and SIGKILL
	 * (shutdown.grace_s). */
	uint32_t shutdown_grace_ms;
	uint32_t claim_keep_ms;
	uint32_t claim_clock_margin_ms;
	uint32_t claim_sweep_round_ms;
	bool test_hooks;
	char log_format[SETTINGS_STRING_MAX_BYTES];
	char log_level[SETTINGS_STRING_MAX_BYTES];
};

/** Origin of an effective value. */
enum settings_source { SETTINGS_DEFAULT, SETTINGS_FILE, SETTINGS_ENVIRONMENT };

enum settings_type {
	SETTINGS_STRING,
	SETTINGS_UINT32,
	SETTINGS_ROUNDED, /**< a number, stored without its decimal places */
	SETTINGS_DECIMAL, /**< a decimal number, stored in thousandths */
	SETTINGS_BOOL,
	SETTINGS_LIST
};

/** Describes a key. The man page lists the same keys. */
struct settings_key {
	const char *name;
	enum settings_type type;
	size_t offset;
	const char *unit;
	uint32_t min;
	uint32_t max;
	uint32_t default_number;
	const char *default_string; /**< NULL if the key is required */
	const char *choices; /**< comma-separated values allowed, or NULL */
	/** Overrides the settings file. May be NULL. */
	const char *environment_variable;
	/** Returns NULL or an error message. May be NULL. */
	const char *(*validate)(const char *text);
	bool secret;
	bool reloadable; /**< takes effect on SIGHUP */
};

/** @return all keys */
const struct settings_key *settings_keys(size_t *count);

/**
 * Reads the settings. Each error is reported as a finding with line and column.
 * @param sources receives the source of each key; may be NULL
 * @return true if there were no findings
 */
bool settings_read(const char *path, struct settings *settings,
    enum settings_source *sources, struct findings *findings);

/** Prints the effective settings with their sources; masks secrets. */
void settings_print(const struct settings *settings,
    const enum settings_source *sources, GString *out);

/** @return true if the values of a key are equal */
bool settings_key_equal(const struct settings *a, const struct settings *b,
    const struct settings_key *key);

/** Copies the value of a key. */
void settings_key_copy(struct settings *to, const struct settings *from,
    const struct settings_key *key);

#endif
