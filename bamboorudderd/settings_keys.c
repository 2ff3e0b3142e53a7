#include <arpa/inet.h>
#include <stddef.h>
#include <string.h>

#include "bamboorudderd/operator.h"
#include "bamboorudderd/settings.h"

#define OFFSET_OF(member) offsetof(struct settings, member)
#define STRING(name, member, default_value, validate)                          \
	{                                                                      \
		name, SETTINGS_STRING, OFFSET_OF(member), "", 0, 0, 0,         \
		    default_value, NULL, NULL, validate, false, false          \
	}
#define CHOICE(name, member, default_value, choices, reload)                   \
	{                                                                      \
		name, SETTINGS_STRING, OFFSET_OF(member), "", 0, 0, 0,         \
		    default_value, choices, NULL, NULL, false, reload          \
	}
#define SECRET(name, member, variable)                                         \
	{                                                                      \
		name, SETTINGS_STRING, OFFSET_OF(member), "", 0, 0, 0, "",     \
		    NULL, variable, NULL, true, false                          \
	}
#define INTEGER(name, member, unit, min, max, default_value)                   \
	{                                                                      \
		name, SETTINGS_UINT32, OFFSET_OF(member), unit, min, max,      \
		    default_value, "", NULL, NULL, NULL, false, false          \
	}
#define ROUNDED(name, member, unit, min, max, default_value)                   \
	{                                                                      \
		name, SETTINGS_ROUNDED, OFFSET_OF(member), unit, min, max,     \
		    default_value, "", NULL, NULL, NULL, false, false          \
	}
#define DECIMAL(name, member, unit, min, max, default_value)                   \
	{                                                                      \
		name, SETTINGS_DECIMAL, OFFSET_OF(member), unit, min, max,     \
		    default_value, "", NULL, NULL, NULL, false, false          \
	}
#define BOOLEAN(name, member)                                                  \
	{                                                                      \
		name, SETTINGS_BOOL, OFFSET_OF(member), "", 0, 0, 0, "", NULL, \
		    NULL, NULL, false, false                                   \
	}
#define LIST(name, member, validate, secret, reload)                           \
	{                                                                      \
		name, SETTINGS_LIST, OFFSET_OF(member), "", 0, 0, 0, "", NULL, \
		    NULL, validate, secret, reload                             \
	}

/* Accepts a numeric IPv4 address with a port; host names are not resolved. */
static const char *
validate_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	char host[SETTINGS_STRING_MAX_BYTES], *end;
	unsigned char bytes[sizeof(struct in_addr)];
	guint64 port;

	if (colon == NULL || !g_ascii_isdigit(colon[1]))
		return "must be ip:port";
	g_strlcpy(host, text, (gsize)(colon - text) + 1);
	port = g_ascii_strtoull(colon + 1, &end, 10);
	if (inet_pton(AF_INET, host, bytes) != 1 || *end != '\0' || port < 1 ||
	    port > UINT16_MAX)
		return "must be ip:port";
	return NULL;
}

static const char *
validate_optional_address(const char *text)
{
	return text[0] == '\0' ? NULL : validate_address(text);
}

static const char *
validate_operator(const char *text)
{
	struct operator_entry entry;

	return operator_parse(text, &entry);
}

static const char *
validate_url(const char *text)
{
	if (!g_str_has_prefix(text, "http://") &&
	    !g_str_has_prefix(text, "https://"))
		return "must begin with http:// or https://";
	return g_str_has_suffix(text, "/") ? "must not end with /" : NULL;
}

static const struct settings_key keys[] = {
	STRING("listen.address", listen_address, NULL, validate_address),
	INTEGER("listen.worker_threads", worker_threads_count, "threads", 4,
	    2048, 128),
	INTEGER("listen.body_max_bytes", body_max_bytes, "bytes", 1024,
	    16777216, 1048576),
	STRING("listen.readiness_address", readiness_address, "",
	    validate_optional_address),
	INTEGER("listen.connections_max", connections_max_count, "connections",
	    16, 65536, 1000),
	ROUNDED("listen.memory_mb", memory_mb, "MB", 0, 16777216, 64),
	ROUNDED("listen.callers_memory_mb", callers_memory_mb, "MB", 0,
	    16777216, 0),
	ROUNDED("listen.files_max", files_max_count, "files", 0, 16777216, 0),
	ROUNDED("listen.stream_delay_ms", stream_delay_ms, "ms", 1, 600000,
	    120),
	STRING("admin.address", admin_address, NULL, validate_address),
	LIST("admin.tokens", operator_tokens, validate_operator, true, true),
	STRING("peer.address", peer_address, NULL, validate_address),
	STRING("peer.failure_domain", failure_domain, "default", NULL),
	LIST("peer.seeds", peer_seeds, validate_address, false, false),
	DECIMAL("peer.cpu_share", cpu_share_milli, "thousandths", 1, 1024000,
	    1000),
	STRING("peer.handoff_address", handoff_address, "",
	    validate_optional_address),
	INTEGER("peer.handoff_pass_percent", handoff_pass_percent, "percent", 0,
	    100, 30),
	INTEGER("peer.handoff_accept_percent", handoff_accept_percent,
	    "percent", 0, 100, 35),
	STRING("peer.public_key", peer_public_key, "", NULL),
	SECRET("peer.secret_key", peer_secret_key,
	    "BAMBOORUDDER_PEER_SECRET_KEY"),
	INTEGER("peer.heartbeat_period_ms", heartbeat_period_ms, "ms", 50,
	    60000, 500),
	INTEGER("peer.down_after_ms", down_after_ms, "ms", 200, 120000, 2000),
	CHOICE("platform.form", platform_form, "tables", "tables,objects",
	    false),
	ROUNDED("platform.revoke_ms", revoke_ms, "ms", 0, 3600000, 0),
	STRING("platform.url", platform_url, NULL, validate_url),
	INTEGER("platform.timeout_ms", platform_timeout_ms, "ms", 50, 60000,
	    1000),
	INTEGER("platform.watch_wait_ms", watch_wait_ms, "ms", 100, 60000,
	    10000),
	ROUNDED("platform.endpoints_age_ms", endpoints_age_ms, "ms", 1, 600000,
	    2000),
	DECIMAL("endpoints.cold_overshoot", cold_overshoot_milli, "thousandths",
	    0, 1000000, 1000),
	DECIMAL("endpoints.cold_slack", cold_slack_milli, "thousandths", 0,
	    100000000, 0),
	INTEGER("endpoints.domain_price_ms_per_mb", domain_price_ms_per_mb,
	    "ms", 0, 1000000, 0),
	INTEGER("endpoints.domain_delay_max_ms", domain_delay_max_ms, "ms", 0,
	    10000, 50),
	ROUNDED("platform.domains_age_ms", domains_age_ms, "ms", 0, 600000, 0),
	CHOICE("share.policy", share_policy, "fleet", "fleet,naive", false),
	CHOICE("share.order", share_order, "vtc", "vtc,fifo", false),
	INTEGER("share.report_period_ms", report_period_ms, "ms", 50, 10000,
	    500),
	INTEGER("share.fallback_after_ms", fallback_after_ms, "ms", 100, 60000,
	    1500),
	INTEGER("share.sync_timeout_ms", sync_timeout_ms, "ms", 50, 10000, 800),
	INTEGER("share.grant_settle_ms", grant_settle_ms, "ms", 10, 10000, 400),
	INTEGER("share.load_period_ms", load_period_ms, "ms", 20, 10000, 100),
	DECIMAL("retry.ratio", retry_ratio_milli, "thousandths", 0, 100000,
	    200),
	DECIMAL("retry.window_s", retry_window_ms, "thousandths", 1, 3600000,
	    10000),
	DECIMAL("retry.slack", retry_slack_milli, "thousandths", 0, 100000000,
	    0),
	INTEGER("request.queue_timeout_ms", queue_timeout_ms, "ms", 100, 600000,
	    60000),
	INTEGER("request.connect_timeout_ms", connect_timeout_ms, "ms", 50,
	    60000, 1000),
	INTEGER("request.idle_timeout_ms", idle_timeout_ms, "ms", 1000, 600000,
	    30000),
	INTEGER("request.timeout_ms", request_timeout_ms, "ms", 1000, 3600000,
	    600000),
	INTEGER("shutdown.drain_timeout_ms", drain_timeout_ms, "ms", 0, 3600000,
	    60000),
	DECIMAL("shutdown.grace_s", shutdown_grace_ms, "thousandths", 1,
	    3600000, 8000),
	INTEGER("claims.keep_ms", claim_keep_ms, "ms", 1000, 604800000,
	    86400000),
	INTEGER("claims.clock_margin_ms", claim_clock_margin_ms, "ms", 0,
	    600000, 5000),
	INTEGER("claims.sweep_round_ms", claim_sweep_round_ms, "ms", 1000,
	    604800000, 86400000),
	BOOLEAN("test.hooks", test_hooks),
	CHOICE("log.format", log_format, "logfmt", "logfmt,json", true),
	CHOICE("log.level", log_level, "info", "error,warn,info", true),
};

const struct settings_key *
settings_keys(size_t *count)
{
	*count = G_N_ELEMENTS(keys);
	return keys;
}
