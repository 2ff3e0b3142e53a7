#include "rig.h"

#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "common/digest.h"
#include "common/http_client.h"
#include "process.h"

#define OPERATOR_TOKEN "bench-operator"
#define SEEDS_COUNT 8u
#define START_LIMIT_MS 30000u
#define POLL_MS 50u
#define CALL_TIMEOUT_MS 5000u
#define STATUS_OK 200

static void
set_loopback(char *address)
{
	g_snprintf(address, RIG_ADDRESS_BYTES, "127.0.0.1:%u",
	    process_free_port());
}

/* @return the answer's text, or NULL; to be freed */
static char *
call(const char *method, const char *address, const char *path,
    const char *body, char *etag)
{
	char *url = g_strdup_printf("http://%s%s", address, path);
	struct http_request request = { .method = method,
		.url = url,
		.body = body,
		.bearer_token = OPERATOR_TOKEN,
		.if_match = etag != NULL && etag[0] != '\0' ? etag : NULL,
		.timeout_ms = CALL_TIMEOUT_MS };
	struct http_response answer = { 0 };
	GError *error = NULL;
	char *text = NULL;

	if (http_perform(&request, &answer, &error)) {
		if (answer.status == STATUS_OK)
			text = g_strdup(answer.body->str);
		if (etag != NULL)
			g_strlcpy(etag, answer.etag, HTTP_ETAG_MAX_BYTES);
		http_response_finish(&answer);
	}
	g_clear_error(&error);
	g_free(url);
	return text;
}

json_t *
rig_get_json(const char *address, const char *path)
{
	char *text = call("GET", address, path, NULL, NULL);
	json_t *document = text == NULL ? NULL : json_loads(text, 0, NULL);

	g_free(text);
	return document;
}

static void
wait_for(const char *address, const char *path)
{
	uint64_t end_us = bench_now_us() + START_LIMIT_MS * US_PER_MS;
	char *text;

	while ((text = call("GET", address, path, NULL, NULL)) == NULL) {
		if (bench_now_us() > end_us)
			bench_die("no answer from %s%s", address, path);
		bench_sleep_ms(POLL_MS);
	}
	g_free(text);
}

static pid_t
start(const struct rig *rig, const char *variable, const char *first,
    const char *second, const char *third, const char *name)
{
	const char *program = getenv(variable);
	const char *argv[] = { program, first, second, third, NULL };
	char *log_path = g_strdup_printf("%s/%s.log", rig->config.options->work,
	    name);
	pid_t pid;

	if (program == NULL)
		bench_die("%s is not set", variable);
	pid = process_start(argv, log_path);
	g_free(log_path);
	return pid;
}

static void
start_engines(struct rig *rig)
{
	const struct scenario *scenario = rig->config.scenario;
	char slots[RIG_ADDRESS_BYTES], token[RIG_ADDRESS_BYTES];
	char name[RIG_ADDRESS_BYTES];

	if (scenario->replica_count > RIG_ENGINES_MAX_COUNT)
		bench_die("at most %u replicas", RIG_ENGINES_MAX_COUNT);
	g_snprintf(slots, sizeof(slots), "%u",
	    scenario->slots_per_replica + scenario->extra_slots_per_replica);
	g_snprintf(token, sizeof(token), "%u", scenario->token_us);
	rig->engine_count = scenario->replica_count;
	for (uint32_t i = 0; i < rig->engine_count; i++) {
		set_loopback(rig->engines[i].address);
		g_snprintf(name, sizeof(name), "engine%u", i);
		rig->engines[i].pid = start(rig, "STANDIN_ENGINE",
		    rig->engines[i].address, slots, token, name);
	}
	for (uint32_t i = 0; i < rig->engine_count; i++)
		wait_for(rig->engines[i].address, "/load");
}

static char *
write_settings(const struct rig *rig, uint32_t index, const char *seeds)
{
	const struct rig_daemon *daemon = &rig->daemons[index];
	char *path = g_strdup_printf("%s/daemon%u.toml",
	    rig->config.options->work, index);
	char digest[DIGEST_HEX_BYTES + 1];
	char *text;

	digest_sha256_hex(OPERATOR_TOKEN, digest);
	text = g_strdup_printf("listen.address = \"%s\"\n"
			       "listen.worker_threads = %u\n"
			       "admin.address = \"%s\"\n"
			       "admin.tokens = [\"%s\"]\n"
			       "peer.address = \"%s\"\n"
			       "peer.seeds = [%s]\n"
			       "peer.failure_domain = \"domain%u\"\n"
			       "platform.url = \"http://%s\"\n"
			       "share.policy = \"%s\"\n%s",
	    daemon->listen, rig->config.worker_threads_count, daemon->admin,
	    digest, daemon->peer, seeds,
	    index % rig->config.scenario->failure_domain_count, rig->platform,
	    rig->config.policy, rig->config.extra_settings);
	if (!g_file_set_contents(path, text, -1, NULL))
		bench_die("cannot write %s", path);
	g_free(text);
	return path;
}

static void
start_daemons(struct rig *rig)
{
	GString *seeds = g_string_new(NULL);
	char name[RIG_ADDRESS_BYTES];

	rig->daemon_count = rig->config.daemon_count;
	for (uint32_t i = 0; i < rig->daemon_count; i++) {
		set_loopback(rig->daemons[i].listen);
		set_loopback(rig->daemons[i].admin);
		set_loopback(rig->daemons[i].peer);
		if (i < SEEDS_COUNT)
			g_string_append_printf(seeds, "%s\"%s\"",
			    i == 0 ? "" : ", ", rig->daemons[i].peer);
	}
	for (uint32_t i = 0; i < rig->daemon_count; i++) {
		char *path = write_settings(rig, i, seeds->str);
		g_snprintf(name, sizeof(name), "daemon%u", i);
		rig->daemons[i].pid = start(rig, "BAMBOORUDDERD", path, NULL,
		    NULL, name);
		rig->daemons[i].alive = true;
		g_free(path);
	}
	g_string_free(seeds, TRUE);
	for (uint32_t i = 0; i < rig->daemon_count; i++)
		wait_for(rig->daemons[i].admin, "/healthz");
}

void
rig_put_table(struct rig *rig, const char *table, json_t *document)
{
	char *path = g_strdup_printf("/v1/tables/%s", table);
	char *text = json_dumps(document, JSON_COMPACT);
	char etag[HTTP_ETAG_MAX_BYTES] = "";
	char *answer;

	answer = call("GET", rig->daemons[0].admin, path, NULL, etag);
	g_free(answer);
	if (http_etag_version(etag) == 0)
		etag[0] = '\0';
	answer = call("PUT", rig->daemons[0].admin, path, text, etag);
	if (answer == NULL)
		bench_die("the %s table was refused", table);
	g_free(answer);
	free(text);
	g_free(path);
	json_decref(document);
}

static json_t *
pool_row(const char *name, const struct scenario *scenario, json_t *endpoints)
{
	return json_pack("{s:s, s:s, s:i, s:i, s:i, s:i, s:o}", "pool", name,
	    "kind", "model", "slots_per_endpoint",
	    (int)scenario->slots_per_replica, "extra_slots_per_endpoint",
	    (int)scenario->extra_slots_per_replica, "estimate_tokens",
	    (int)scenario->estimate_tokens, "request_max_tokens",
	    (int)scenario->request_max_tokens, "endpoints", endpoints);
}

json_t *
rig_pools_table(const struct rig *rig, uint32_t extra_pools_count,
    uint32_t extra_endpoints_count)
{
	const struct scenario *scenario = rig->config.scenario;
	json_t *rows = json_array(), *endpoints = json_array();
	char text[RIG_ADDRESS_BYTES];

	for (uint32_t i = 0; i < rig->engine_count; i++) {
		g_snprintf(text, sizeof(text), "domain%u",
		    i % scenario->failure_domain_count);
		json_array_append_new(endpoints,
		    json_pack("{s:s, s:s}", "address", rig->engines[i].address,
			"domain", text));
	}
	json_array_append_new(rows, pool_row(RIG_POOL, scenario, endpoints));
	for (uint32_t i = 0; i < extra_pools_count; i++) {
		endpoints = json_array();
		for (uint32_t j = i; j < extra_endpoints_count;
		     j += extra_pools_count) {
			g_snprintf(text, sizeof(text), "127.1.%u.%u:9", j / 250,
			    j % 250 + 1);
			json_array_append_new(endpoints,
			    json_pack("{s:s}", "address", text));
		}
		g_snprintf(text, sizeof(text), "extra%u", i);
		json_array_append_new(rows,
		    pool_row(text, scenario, endpoints));
	}
	return json_pack("{s:o}", "rows", rows);
}

static json_t *
route_row(const char *account, uint32_t weight)
{
	char digest[DIGEST_HEX_BYTES + 1];

	digest_sha256_hex(account, digest);
	return json_pack("{s:s, s:s, s:s, s:i, s:i, s:[s]}", "account", account,
	    "path", RIG_PATH, "pool", RIG_POOL, "weight", (int)weight,
	    "waiting_max_count", 512, "key_sha256", digest);
}

json_t *
rig_routes_table(const struct rig *rig, uint32_t extra_routes_count)
{
	const struct scenario *scenario = rig->config.scenario;
	json_t *rows = json_array();
	char name[RIG_ADDRESS_BYTES];

	for (uint32_t i = 0; i < scenario->account_count; i++)
		json_array_append_new(rows,
		    route_row(scenario->accounts[i].name,
			scenario->accounts[i].weight));
	for (uint32_t i = 0; i < extra_routes_count; i++) {
		g_snprintf(name, sizeof(name), "extra-account-%u", i);
		json_array_append_new(rows, route_row(name, 1));
	}
	return json_pack("{s:o}", "rows", rows);
}

static uint64_t
metric_value(const char *text, const char *name)
{
	char *line = g_strdup_printf("\nbamboorudder_%s ", name);
	const char *found = strstr(text, line);
	uint64_t value = found == NULL
	    ? 0
	    : strtoull(found + strlen(line), NULL, 10);

	g_free(line);
	return value;
}

/* Waits until each daemon counts all daemons as live. */
static void
wait_members(struct rig *rig)
{
	uint64_t end_us = bench_now_us() + START_LIMIT_MS * US_PER_MS;

	for (uint32_t i = 0; i < rig->daemon_count;) {
		char *text = call("GET", rig->daemons[i].admin, "/metrics",
		    NULL, NULL);
		if (text != NULL &&
		    metric_value(text, "members_live") == rig->daemon_count)
			i++;
		else
			bench_sleep_ms(POLL_MS);
		g_free(text);
		if (bench_now_us() > end_us)
			bench_die("the daemons did not all find each other");
	}
}

void
rig_init(struct rig *rig, const struct rig_config *config)
{
	memset(rig, 0, sizeof(*rig));
	rig->config = *config;
	set_loopback(rig->platform);
	start(rig, "STANDIN_PLATFORM", rig->platform, NULL, NULL, "platform");
	wait_for(rig->platform, "/standin/counts");
	start_engines(rig);
	start_daemons(rig);
	rig_put_table(rig, "pools", rig_pools_table(rig, 0, 0));
	rig_put_table(rig, "routes", rig_routes_table(rig, 0));
	for (uint32_t i = 0; i < rig->daemon_count; i++)
		wait_for(rig->daemons[i].admin, "/readyz");
	wait_members(rig);
}

void
rig_finish(struct rig *rig)
{
	process_finish();
	memset(rig, 0, sizeof(*rig));
}

bool
rig_post(struct rig *rig, uint32_t index, const char *path)
{
	char *text = call("POST", rig->daemons[index].admin, path, "", NULL);
	bool agreed = text != NULL;

	g_free(text);
	return agreed;
}

int
rig_owner(struct rig *rig)
{
	for (uint32_t i = 0; i < rig->daemon_count; i++) {
		json_t *dump, *owner;
		size_t index;
		bool found = false;

		if (!rig->daemons[i].alive)
			continue;
		dump = rig_get_json(rig->daemons[i].admin, "/v1/dump");
		json_array_foreach (json_object_get(dump, "owners"), index,
		    owner) {
			const char *pool = json_string_value(
			    json_object_get(owner, "pool"));
			found = found || g_strcmp0(pool, RIG_POOL) == 0;
		}
		json_decref(dump);
		if (found)
			return (int)i;
	}
	return -1;
}

void
rig_read_usage(struct rig *rig, struct rig_usage *usage)
{
	memset(usage, 0, sizeof(*usage));
	usage->at_us = bench_now_us();
	for (uint32_t i = 0; i < rig->daemon_count; i++) {
		char *text;

		if (!rig->daemons[i].alive)
			continue;
		text = call("GET", rig->daemons[i].admin, "/metrics", NULL,
		    NULL);
		if (text == NULL)
			continue;
		usage->known[i] = true;
		usage->peer_bytes[i] = metric_value(text,
					   "peer_sent_bytes_total") +
		    metric_value(text, "peer_received_bytes_total");
		usage->control_cpu_us[i] = metric_value(text,
		    "control_cpu_microseconds_total");
		usage->platform_calls[i] = metric_value(text,
		    "platform_calls_total");
		usage->resident_kib[i] = process_resident_kib(
		    rig->daemons[i].pid);
		g_free(text);
	}
}
