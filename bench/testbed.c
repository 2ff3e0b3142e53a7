#include "testbed.h"

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
#define START_TIMEOUT_MS 30000u
#define POLL_MS 50u
#define REQUEST_TIMEOUT_MS 5000u
#define STATUS_OK 200

static void
assign_address(char *address)
{
	g_snprintf(address, TESTBED_ADDRESS_BYTES, "127.0.0.1:%u",
	    process_free_port());
}

/*
 * etag is sent as If-Match unless it is empty, and receives the ETag header of
 * the response; it may be NULL.
 * @return the response body, to be freed, or NULL on failure
 */
static char *
send_request(const char *method, const char *address, const char *path,
    const char *body, char *etag)
{
	char *url = g_strdup_printf("http://%s%s", address, path);
	struct http_request request = { .method = method,
		.url = url,
		.body = body,
		.bearer_token = OPERATOR_TOKEN,
		.if_match = etag != NULL && etag[0] != '\0' ? etag : NULL,
		.timeout_ms = REQUEST_TIMEOUT_MS };
	struct http_response response = { 0 };
	GError *error = NULL;
	char *text = NULL;

	if (http_perform(&request, &response, &error)) {
		if (response.status == STATUS_OK)
			text = g_strdup(response.body->str);
		if (etag != NULL)
			g_strlcpy(etag, response.etag, HTTP_ETAG_MAX_BYTES);
		http_response_finish(&response);
	}
	g_clear_error(&error);
	g_free(url);
	return text;
}

json_t *
testbed_get_json(const char *address, const char *path)
{
	char *text = send_request("GET", address, path, NULL, NULL);
	json_t *document = text == NULL ? NULL : json_loads(text, 0, NULL);

	g_free(text);
	return document;
}

static void
wait_until_ready(const char *address, const char *path)
{
	uint64_t end_us = bench_now_us() + START_TIMEOUT_MS * US_PER_MS;
	char *text;

	while (
	    (text = send_request("GET", address, path, NULL, NULL)) == NULL) {
		if (bench_now_us() > end_us)
			bench_fatal("no response from %s%s", address, path);
		bench_sleep_ms(POLL_MS);
	}
	g_free(text);
}

static pid_t
start_program(const struct testbed *testbed, const char *variable,
    const char *first, const char *second, const char *third, const char *name)
{
	const char *program = getenv(variable);
	const char *argv[] = { program, first, second, third, NULL };
	char *log_path = g_strdup_printf("%s/%s.log",
	    testbed->config.options->work_dir, name);
	pid_t pid;

	if (program == NULL)
		bench_fatal("environment variable %s is not set", variable);
	pid = process_start(argv, log_path);
	g_free(log_path);
	return pid;
}

static void
start_engines(struct testbed *testbed)
{
	const struct scenario *scenario = testbed->config.scenario;
	char slots[TESTBED_ADDRESS_BYTES], token[TESTBED_ADDRESS_BYTES];
	char name[TESTBED_ADDRESS_BYTES];

	if (scenario->replica_count > TESTBED_ENGINES_MAX_COUNT)
		bench_fatal("at most %u replicas", TESTBED_ENGINES_MAX_COUNT);
	g_snprintf(slots, sizeof(slots), "%u",
	    scenario->slots_per_replica + scenario->extra_slots_per_replica);
	g_snprintf(token, sizeof(token), "%u", scenario->token_us);
	testbed->engine_count = scenario->replica_count;
	for (uint32_t i = 0; i < testbed->engine_count; i++) {
		assign_address(testbed->engines[i].address);
		g_snprintf(name, sizeof(name), "engine%u", i);
		testbed->engines[i].pid = start_program(testbed,
		    "STANDIN_ENGINE", testbed->engines[i].address, slots, token,
		    name);
	}
	for (uint32_t i = 0; i < testbed->engine_count; i++)
		wait_until_ready(testbed->engines[i].address, "/load");
}

static char *
write_settings(const struct testbed *testbed, uint32_t index, const char *seeds)
{
	const struct testbed_daemon *daemon = &testbed->daemons[index];
	char *path = g_strdup_printf("%s/daemon%u.toml",
	    testbed->config.options->work_dir, index);
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
	    daemon->listen, testbed->config.worker_threads_count, daemon->admin,
	    digest, daemon->peer, seeds,
	    index % testbed->config.scenario->failure_domain_count,
	    testbed->platform, testbed->config.policy,
	    testbed->config.extra_settings);
	if (!g_file_set_contents(path, text, -1, NULL))
		bench_fatal("cannot write %s", path);
	g_free(text);
	return path;
}

static void
start_daemons(struct testbed *testbed)
{
	GString *seeds = g_string_new(NULL);
	char name[TESTBED_ADDRESS_BYTES];

	testbed->daemon_count = testbed->config.daemon_count;
	for (uint32_t i = 0; i < testbed->daemon_count; i++) {
		assign_address(testbed->daemons[i].listen);
		assign_address(testbed->daemons[i].admin);
		assign_address(testbed->daemons[i].peer);
		if (i < SEEDS_COUNT)
			g_string_append_printf(seeds, "%s\"%s\"",
			    i == 0 ? "" : ", ", testbed->daemons[i].peer);
	}
	for (uint32_t i = 0; i < testbed->daemon_count; i++) {
		char *path = write_settings(testbed, i, seeds->str);
		g_snprintf(name, sizeof(name), "daemon%u", i);
		testbed->daemons[i].pid = start_program(testbed,
		    "BAMBOORUDDERD", path, NULL, NULL, name);
		testbed->daemons[i].alive = true;
		g_free(path);
	}
	g_string_free(seeds, TRUE);
	for (uint32_t i = 0; i < testbed->daemon_count; i++)
		wait_until_ready(testbed->daemons[i].admin, "/healthz");
}

void
testbed_put_table(struct testbed *testbed, const char *table, json_t *document)
{
	char *path = g_strdup_printf("/v1/tables/%s", table);
	char *text = json_dumps(document, JSON_COMPACT);
	char etag[HTTP_ETAG_MAX_BYTES] = "";
	char *response;

	response = send_request("GET", testbed->daemons[0].admin, path, NULL,
	    etag);
	g_free(response);
	if (http_etag_version(etag) == 0)
		etag[0] = '\0';
	response = send_request("PUT", testbed->daemons[0].admin, path, text,
	    etag);
	if (response == NULL)
		bench_fatal("the daemon rejected the %s table", table);
	g_free(response);
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
testbed_pools_table(const struct testbed *testbed, uint32_t extra_pools_count,
    uint32_t extra_endpoints_count)
{
	const struct scenario *scenario = testbed->config.scenario;
	json_t *rows = json_array(), *endpoints = json_array();
	char text[TESTBED_ADDRESS_BYTES];

	for (uint32_t i = 0; i < testbed->engine_count; i++) {
		g_snprintf(text, sizeof(text), "domain%u",
		    i % scenario->failure_domain_count);
		json_array_append_new(endpoints,
		    json_pack("{s:s, s:s}", "address",
			testbed->engines[i].address, "domain", text));
	}
	json_array_append_new(rows,
	    pool_row(TESTBED_POOL, scenario, endpoints));
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
	    "path", TESTBED_PATH, "pool", TESTBED_POOL, "weight", (int)weight,
	    "waiting_max_count", 512, "key_sha256", digest);
}

json_t *
testbed_routes_table(const struct testbed *testbed, uint32_t extra_routes_count)
{
	const struct scenario *scenario = testbed->config.scenario;
	json_t *rows = json_array();
	char name[TESTBED_ADDRESS_BYTES];

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
	const char *match = strstr(text, line);
	uint64_t value = match == NULL
	    ? 0
	    : strtoull(match + strlen(line), NULL, 10);

	g_free(line);
	return value;
}

/* Waits until all daemons are live in the membership view of each daemon. */
static void
wait_for_members(struct testbed *testbed)
{
	uint64_t end_us = bench_now_us() + START_TIMEOUT_MS * US_PER_MS;

	for (uint32_t i = 0; i < testbed->daemon_count;) {
		char *text = send_request("GET", testbed->daemons[i].admin,
		    "/metrics", NULL, NULL);
		if (text != NULL &&
		    metric_value(text, "members_live") == testbed->daemon_count)
			i++;
		else
			bench_sleep_ms(POLL_MS);
		g_free(text);
		if (bench_now_us() > end_us)
			bench_fatal("the daemons did not discover each other");
	}
}

void
testbed_init(struct testbed *testbed, const struct testbed_config *config)
{
	memset(testbed, 0, sizeof(*testbed));
	testbed->config = *config;
	assign_address(testbed->platform);
	start_program(testbed, "STANDIN_PLATFORM", testbed->platform, NULL,
	    NULL, "platform");
	wait_until_ready(testbed->platform, "/standin/counts");
	start_engines(testbed);
	start_daemons(testbed);
	testbed_put_table(testbed, "pools", testbed_pools_table(testbed, 0, 0));
	testbed_put_table(testbed, "routes", testbed_routes_table(testbed, 0));
	for (uint32_t i = 0; i < testbed->daemon_count; i++)
		wait_until_ready(testbed->daemons[i].admin, "/readyz");
	wait_for_members(testbed);
}

void
testbed_finish(struct testbed *testbed)
{
	process_finish();
	memset(testbed, 0, sizeof(*testbed));
}

bool
testbed_post(struct testbed *testbed, uint32_t index, const char *path)
{
	char *text = send_request("POST", testbed->daemons[index].admin, path,
	    "", NULL);
	bool succeeded = text != NULL;

	g_free(text);
	return succeeded;
}

int
testbed_pool_owner(struct testbed *testbed)
{
	for (uint32_t i = 0; i < testbed->daemon_count; i++) {
		json_t *dump, *owner;
		size_t index;
		bool owns_pool = false;

		if (!testbed->daemons[i].alive)
			continue;
		dump = testbed_get_json(testbed->daemons[i].admin, "/v1/dump");
		json_array_foreach (json_object_get(dump, "owners"), index,
		    owner) {
			const char *pool = json_string_value(
			    json_object_get(owner, "pool"));
			owns_pool = owns_pool ||
			    g_strcmp0(pool, TESTBED_POOL) == 0;
		}
		json_decref(dump);
		if (owns_pool)
			return (int)i;
	}
	return -1;
}

void
testbed_read_usage(struct testbed *testbed, struct testbed_usage *usage)
{
	memset(usage, 0, sizeof(*usage));
	usage->measured_at_us = bench_now_us();
	for (uint32_t i = 0; i < testbed->daemon_count; i++) {
		char *text;

		if (!testbed->daemons[i].alive)
			continue;
		text = send_request("GET", testbed->daemons[i].admin,
		    "/metrics", NULL, NULL);
		if (text == NULL)
			continue;
		usage->measured[i] = true;
		usage->peer_bytes[i] = metric_value(text,
					   "peer_sent_bytes_total") +
		    metric_value(text, "peer_received_bytes_total");
		usage->control_cpu_us[i] = metric_value(text,
		    "control_cpu_microseconds_total");
		usage->platform_calls[i] = metric_value(text,
		    "platform_calls_total");
		usage->resident_kib[i] = process_resident_kib(
		    testbed->daemons[i].pid);
		g_free(text);
	}
}
