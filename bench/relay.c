/*
 * Measures the overhead of relaying: requests through one daemon to one engine,
 * compared with direct requests to the engine in the same run.
 */
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/curl_thread.h"
#include "histogram.h"
#include "load_generator.h"
#include "process.h"
#include "stream_checker.h"
#include "stream_readers.h"
#include "testbed.h"

#define PHASES_COUNT 4u
#define ACCOUNT "relay"
#define SLOTS_COUNT 64u
#define TOKEN_US 2000u
#define WORKER_THREADS_COUNT 128u
#define STREAMS_COUNT 16u
#define STREAM_TOKENS 200u
#define REQUESTS_COUNT 64u
#define FIRST_TOKEN_STREAM_TOKENS 4u
#define READER_TOKENS 1000u
#define WARM_UP_MS 500u
#define DRAIN_TIMEOUT_MS 5000u
#define TEXT_BYTES 256
#define MEDIAN_PERCENT 50.0

/* Throughput and cost of one path to the engine, direct or relayed. */
struct path_cost {
	double tokens_per_s;
	double requests_per_s;
	double daemon_us_per_token;
	double engine_us_per_token;
	double bench_cpu_pct;
	struct load_counts counts;
};

static void
set_scenario(struct scenario *scenario)
{
	memset(scenario, 0, sizeof(*scenario));
	scenario->daemon_count = 1;
	scenario->failure_domain_count = 1;
	scenario->replica_count = 1;
	scenario->slots_per_replica = SLOTS_COUNT;
	scenario->token_us = TOKEN_US;
	scenario->estimate_tokens = STREAM_TOKENS;
	scenario->request_max_tokens = READER_TOKENS;
	scenario->account_count = 1;
	scenario->workloads_count = 1;
	g_strlcpy(scenario->accounts[0].name, ACCOUNT, SCENARIO_NAME_BYTES);
	scenario->accounts[0].weight = 1;
	g_strlcpy(scenario->workloads[0].kind, "relay", SCENARIO_NAME_BYTES);
	scenario->workloads[0].entry_daemons_count = 1;
}

static void
set_workload(struct scenario *scenario, uint32_t tokens,
    uint32_t outstanding_count)
{
	scenario->workloads[0].tokens_min = tokens;
	scenario->workloads[0].tokens_max = tokens;
	scenario->workloads[0].outstanding_count = outstanding_count;
}

static GPrivate timed_connections = G_PRIVATE_INIT(curl_thread_free);

/* Repeated request that measures the time to first token. */
struct timed_request {
	char url[TEXT_BYTES];
	const char *body;
	struct curl_slist *headers;
	struct stream_checker checker;
	uint64_t sent_us;
	struct histogram histogram;
};

static size_t
on_timed_body(char *bytes, size_t size, size_t count, void *context)
{
	struct timed_request *request = context;
	bool first = request->checker.tokens_count == 0;

	if (stream_checker_feed(&request->checker, bytes, size * count) > 0 &&
	    first)
		histogram_add_us(&request->histogram,
		    bench_now_us() - request->sent_us);
	return size * count;
}

static void
timed_request_init(struct timed_request *request, const char *address,
    const char *body)
{
	memset(request, 0, sizeof(*request));
	histogram_init(&request->histogram);
	request->body = body;
	request->headers = curl_slist_append(NULL,
	    "Authorization: Bearer " ACCOUNT);
	request->headers = curl_slist_append(request->headers,
	    "X-Request-Id: " ACCOUNT);
	g_snprintf(request->url, sizeof(request->url), "http://%s" TESTBED_PATH,
	    address);
}

static void
timed_request_finish(struct timed_request *request)
{
	curl_slist_free_all(request->headers);
	histogram_finish(&request->histogram);
}

/* @return whether the response was complete */
static bool
timed_request_run(struct timed_request *request)
{
	CURL *handle = curl_easy_init();
	CURLcode code;

	stream_checker_init(&request->checker, ACCOUNT,
	    FIRST_TOKEN_STREAM_TOKENS);
	curl_easy_setopt(handle, CURLOPT_URL, request->url);
	curl_easy_setopt(handle, CURLOPT_HTTPHEADER, request->headers);
	curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request->body);
	curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_timed_body);
	curl_easy_setopt(handle, CURLOPT_WRITEDATA, request);
	request->sent_us = bench_now_us();
	code = curl_thread_perform(&timed_connections, handle);
	curl_easy_cleanup(handle);
	return code == CURLE_OK &&
	    stream_checker_is_complete(&request->checker);
}

static uint64_t
measure_first_token(const struct testbed *testbed, uint32_t duration_ms)
{
	uint64_t end_us = bench_now_us() + (uint64_t)duration_ms * US_PER_MS;
	struct timed_request direct, relayed;
	char body[TEXT_BYTES];
	uint64_t incomplete_count = 0;
	double direct_ms, relayed_ms;

	g_snprintf(body, sizeof(body),
	    "{\"messages\":[],\"stream\":true,\"standin_tokens\":%u}",
	    FIRST_TOKEN_STREAM_TOKENS);
	timed_request_init(&direct, testbed->engines[0].address, body);
	timed_request_init(&relayed, testbed->daemons[0].listen, body);
	while (bench_now_us() < end_us) {
		incomplete_count += !timed_request_run(&direct);
		incomplete_count += !timed_request_run(&relayed);
	}
	direct_ms = histogram_percentile_ms(&direct.histogram, MEDIAN_PERCENT);
	relayed_ms = histogram_percentile_ms(&relayed.histogram,
	    MEDIAN_PERCENT);
	bench_print_count("", "first_token_pairs", relayed.histogram.count);
	if (direct_ms < 0 || relayed_ms < 0) {
		bench_print_not_measured("", "added_first_token_p50_ms",
		    "no_first_token_came");
	} else {
		bench_print("", "direct_first_token_p50_ms", direct_ms);
		bench_print("", "relayed_first_token_p50_ms", relayed_ms);
		bench_print("", "added_first_token_p50_ms",
		    relayed_ms - direct_ms);
	}
	timed_request_finish(&direct);
	timed_request_finish(&relayed);
	return incomplete_count;
}

/* Sends the load to the engine if direct, otherwise to the daemon. */
static struct path_cost
measure_path(const struct testbed *testbed, const struct bench_options *options,
    bool direct, uint32_t duration_ms)
{
	struct path_cost cost = { 0 };
	struct testbed *target = g_memdup2(testbed, sizeof(*testbed));
	struct load_generator *generator = g_new(struct load_generator, 1);
	pid_t daemon = testbed->daemons[0].pid,
	      engine = testbed->engines[0].pid;
	uint64_t daemon_us, engine_us, bench_us, start_us, tokens, complete;
	double elapsed_us;

	if (direct)
		g_strlcpy(target->daemons[0].listen,
		    testbed->engines[0].address, TESTBED_ADDRESS_BYTES);
	load_generator_init(generator, target, options->seed);
	load_generator_warm_up(generator, WARM_UP_MS);
	daemon_us = process_cpu_us(daemon);
	engine_us = process_cpu_us(engine);
	bench_us = process_cpu_us(getpid());
	start_us = bench_now_us();
	tokens = generator->counts.tokens;
	complete = generator->counts.complete;
	load_generator_run(generator, duration_ms, NULL, NULL);
	elapsed_us = (double)(bench_now_us() - start_us);
	tokens = generator->counts.tokens - tokens;
	complete = generator->counts.complete - complete;
	cost.tokens_per_s = (double)tokens * US_PER_S / elapsed_us;
	cost.requests_per_s = (double)complete * US_PER_S / elapsed_us;
	cost.daemon_us_per_token = (double)(process_cpu_us(daemon) -
				       daemon_us) /
	    (double)tokens;
	cost.engine_us_per_token = (double)(process_cpu_us(engine) -
				       engine_us) /
	    (double)tokens;
	cost.bench_cpu_pct = PERCENT *
	    (double)(process_cpu_us(getpid()) - bench_us) / elapsed_us;
	load_generator_drain(generator, DRAIN_TIMEOUT_MS);
	cost.counts = generator->counts;
	load_generator_finish(generator);
	g_free(generator);
	g_free(target);
	return cost;
}

static uint64_t
count_faulty_responses(const struct path_cost *cost)
{
	return cost->counts.lost + cost->counts.misdelivered +
	    cost->counts.out_of_order;
}

static uint64_t
measure_tokens(const struct testbed *testbed,
    const struct bench_options *options, uint32_t duration_ms)
{
	struct path_cost direct, relayed;

	direct = measure_path(testbed, options, true, duration_ms / 2);
	relayed = measure_path(testbed, options, false, duration_ms / 2);
	bench_print("", "direct_tokens_per_s", direct.tokens_per_s);
	bench_print("", "relayed_tokens_per_s", relayed.tokens_per_s);
	bench_print("", "daemon_cpu_us_per_token", relayed.daemon_us_per_token);
	bench_print("", "engine_cpu_us_per_token_direct",
	    direct.engine_us_per_token);
	bench_print("", "engine_cpu_us_per_token_relayed",
	    relayed.engine_us_per_token);
	return count_faulty_responses(&direct) +
	    count_faulty_responses(&relayed);
}

static uint64_t
measure_requests(const struct testbed *testbed,
    const struct bench_options *options, uint32_t duration_ms)
{
	struct path_cost direct, relayed;

	direct = measure_path(testbed, options, true, duration_ms / 2);
	relayed = measure_path(testbed, options, false, duration_ms / 2);
	bench_print("", "direct_requests_per_s", direct.requests_per_s);
	bench_print("", "requests_per_s", relayed.requests_per_s);
	/* each of these requests has one token */
	bench_print("", "daemon_cpu_us_per_request",
	    relayed.daemon_us_per_token);
	bench_print("", "bench_cpu_pct_at_requests_per_s",
	    relayed.bench_cpu_pct);
	return count_faulty_responses(&direct) +
	    count_faulty_responses(&relayed);
}

static void
measure_readers(const struct testbed *testbed)
{
	const char *address = testbed->engines[0].address;
	double curl_us = read_with_libcurl_us_per_token(address, READER_TOKENS);
	double civetweb_us = read_with_civetweb_us_per_token(address,
	    READER_TOKENS);

	if (curl_us < 0)
		bench_print_not_measured("", "libcurl_cpu_us_per_token",
		    "the_stream_was_not_whole");
	else
		bench_print("", "libcurl_cpu_us_per_token", curl_us);
	if (civetweb_us < 0)
		bench_print_not_measured("",
		    "civetweb_bytewise_cpu_us_per_token",
		    "the_stream_was_not_whole");
	else
		bench_print("", "civetweb_bytewise_cpu_us_per_token",
		    civetweb_us);
}

int
bench_relay(const struct bench_options *options)
{
	struct scenario *scenario = g_new0(struct scenario, 1);
	struct testbed *testbed = g_new0(struct testbed, 1);
	struct testbed_config config = { .options = options,
		.scenario = scenario,
		.policy = "fleet",
		.extra_settings = "",
		.daemon_count = 1,
		.worker_threads_count = WORKER_THREADS_COUNT };
	uint32_t phase_ms = options->duration_s * MS_PER_S / PHASES_COUNT;
	uint64_t faulty_responses_count;

	set_scenario(scenario);
	testbed_init(testbed, &config);
	faulty_responses_count = measure_first_token(testbed, phase_ms);
	set_workload(scenario, STREAM_TOKENS, STREAMS_COUNT);
	faulty_responses_count += measure_tokens(testbed, options, phase_ms);
	set_workload(scenario, 1, REQUESTS_COUNT);
	faulty_responses_count += measure_requests(testbed, options, phase_ms);
	measure_readers(testbed);
	bench_print_count("", "broken_answers", faulty_responses_count);
	testbed_finish(testbed);
	g_free(testbed);
	g_free(scenario);
	return faulty_responses_count == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
