/*
 * What relaying costs: one daemon before one engine, against the engine asked
 * directly in the same run.
 */
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "hist.h"
#include "load.h"
#include "process.h"
#include "readers.h"
#include "rig.h"
#include "stream.h"

#define PARTS_COUNT 4u
#define ACCOUNT "relay"
#define SLOTS_COUNT 64u
#define TOKEN_US 2000u
#define WORKER_THREADS_COUNT 128u
#define STREAMS_COUNT 16u
#define STREAM_TOKENS 200u
#define REQUESTS_COUNT 64u
#define FIRST_TOKEN_TOKENS 4u
#define READER_TOKENS 1000u
#define WARM_UP_MS 500u
#define DRAIN_LIMIT_MS 5000u
#define TEXT_BYTES 256
#define MEDIAN 50.0

/* Cost of one way to the engine under one kind of load. */
struct way_cost {
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
	scenario->work_count = 1;
	g_strlcpy(scenario->accounts[0].name, ACCOUNT, SCENARIO_NAME_BYTES);
	scenario->accounts[0].weight = 1;
	g_strlcpy(scenario->works[0].kind, "relay", SCENARIO_NAME_BYTES);
	scenario->works[0].entry_count = 1;
}

static void
set_work(struct scenario *scenario, uint32_t tokens, uint32_t outstanding_count)
{
	scenario->works[0].tokens_min = tokens;
	scenario->works[0].tokens_max = tokens;
	scenario->works[0].outstanding_count = outstanding_count;
}

/* One request whose first token is timed. */
struct timed {
	CURL *handle;
	struct curl_slist *headers;
	struct stream stream;
	uint64_t sent_us;
	struct hist hist;
};

static size_t
on_timed_body(char *bytes, size_t size, size_t count, void *context)
{
	struct timed *timed = context;
	bool first = timed->stream.tokens_count == 0;

	if (stream_feed(&timed->stream, bytes, size * count) > 0 && first)
		hist_add_us(&timed->hist, bench_now_us() - timed->sent_us);
	return size * count;
}

static void
timed_init(struct timed *timed, const char *address, const char *body)
{
	char url[TEXT_BYTES];

	memset(timed, 0, sizeof(*timed));
	hist_init(&timed->hist);
	timed->handle = curl_easy_init();
	timed->headers = curl_slist_append(NULL,
	    "Authorization: Bearer " ACCOUNT);
	timed->headers = curl_slist_append(timed->headers,
	    "X-Request-Id: " ACCOUNT);
	g_snprintf(url, sizeof(url), "http://%s" RIG_PATH, address);
	curl_easy_setopt(timed->handle, CURLOPT_URL, url);
	curl_easy_setopt(timed->handle, CURLOPT_HTTPHEADER, timed->headers);
	curl_easy_setopt(timed->handle, CURLOPT_COPYPOSTFIELDS, body);
	curl_easy_setopt(timed->handle, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(timed->handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(timed->handle, CURLOPT_WRITEFUNCTION, on_timed_body);
	curl_easy_setopt(timed->handle, CURLOPT_WRITEDATA, timed);
}

static void
timed_finish(struct timed *timed)
{
	curl_easy_cleanup(timed->handle);
	curl_slist_free_all(timed->headers);
	hist_finish(&timed->hist);
}

/* @return whether the answer was whole */
static bool
timed_run(struct timed *timed)
{
	stream_init(&timed->stream, ACCOUNT, FIRST_TOKEN_TOKENS);
	timed->sent_us = bench_now_us();
	return curl_easy_perform(timed->handle) == CURLE_OK &&
	    stream_is_whole(&timed->stream);
}

static uint64_t
measure_first_token(const struct rig *rig, uint32_t duration_ms)
{
	uint64_t end_us = bench_now_us() + (uint64_t)duration_ms * US_PER_MS;
	struct timed direct, relayed;
	char body[TEXT_BYTES];
	uint64_t broken_count = 0;
	double direct_ms, relayed_ms;

	g_snprintf(body, sizeof(body),
	    "{\"messages\":[],\"stream\":true,\"standin_tokens\":%u}",
	    FIRST_TOKEN_TOKENS);
	timed_init(&direct, rig->engines[0].address, body);
	timed_init(&relayed, rig->daemons[0].listen, body);
	while (bench_now_us() < end_us) {
		broken_count += !timed_run(&direct);
		broken_count += !timed_run(&relayed);
	}
	direct_ms = hist_percentile_ms(&direct.hist, MEDIAN);
	relayed_ms = hist_percentile_ms(&relayed.hist, MEDIAN);
	bench_print_count("", "first_token_pairs", relayed.hist.count);
	if (direct_ms < 0 || relayed_ms < 0) {
		bench_print_missing("", "added_first_token_p50_ms",
		    "no_first_token_came");
	} else {
		bench_print("", "direct_first_token_p50_ms", direct_ms);
		bench_print("", "relayed_first_token_p50_ms", relayed_ms);
		bench_print("", "added_first_token_p50_ms",
		    relayed_ms - direct_ms);
	}
	timed_finish(&direct);
	timed_finish(&relayed);
	return broken_count;
}

/* Loads the daemon, or the engine itself if direct. */
static struct way_cost
measure_way(const struct rig *rig, const struct bench_options *options,
    bool direct, uint32_t duration_ms)
{
	struct way_cost cost = { 0 };
	struct rig *way = g_memdup2(rig, sizeof(*rig));
	struct load *load = g_new(struct load, 1);
	pid_t daemon = rig->daemons[0].pid, engine = rig->engines[0].pid;
	uint64_t daemon_us, engine_us, bench_us, start_us, tokens, whole;
	double elapsed_us;

	if (direct)
		g_strlcpy(way->daemons[0].listen, rig->engines[0].address,
		    RIG_ADDRESS_BYTES);
	load_init(load, way, options->seed);
	load_warm_up(load, WARM_UP_MS);
	daemon_us = process_cpu_us(daemon);
	engine_us = process_cpu_us(engine);
	bench_us = process_cpu_us(getpid());
	start_us = bench_now_us();
	tokens = load->counts.tokens;
	whole = load->counts.whole;
	load_run(load, duration_ms, NULL, NULL);
	elapsed_us = (double)(bench_now_us() - start_us);
	tokens = load->counts.tokens - tokens;
	whole = load->counts.whole - whole;
	cost.tokens_per_s = (double)tokens * US_PER_S / elapsed_us;
	cost.requests_per_s = (double)whole * US_PER_S / elapsed_us;
	cost.daemon_us_per_token = (double)(process_cpu_us(daemon) -
				       daemon_us) /
	    (double)tokens;
	cost.engine_us_per_token = (double)(process_cpu_us(engine) -
				       engine_us) /
	    (double)tokens;
	cost.bench_cpu_pct = PERCENT *
	    (double)(process_cpu_us(getpid()) - bench_us) / elapsed_us;
	load_drain(load, DRAIN_LIMIT_MS);
	cost.counts = load->counts;
	load_finish(load);
	g_free(load);
	g_free(way);
	return cost;
}

static uint64_t
faulty_count(const struct way_cost *cost)
{
	return cost->counts.lost + cost->counts.crossed +
	    cost->counts.disordered;
}

static uint64_t
measure_tokens(const struct rig *rig, const struct bench_options *options,
    uint32_t duration_ms)
{
	struct way_cost direct, relayed;

	direct = measure_way(rig, options, true, duration_ms / 2);
	relayed = measure_way(rig, options, false, duration_ms / 2);
	bench_print("", "direct_tokens_per_s", direct.tokens_per_s);
	bench_print("", "relayed_tokens_per_s", relayed.tokens_per_s);
	bench_print("", "daemon_cpu_us_per_token", relayed.daemon_us_per_token);
	bench_print("", "engine_cpu_us_per_token_direct",
	    direct.engine_us_per_token);
	bench_print("", "engine_cpu_us_per_token_relayed",
	    relayed.engine_us_per_token);
	return faulty_count(&direct) + faulty_count(&relayed);
}

static uint64_t
measure_requests(const struct rig *rig, const struct bench_options *options,
    uint32_t duration_ms)
{
	struct way_cost direct, relayed;

	direct = measure_way(rig, options, true, duration_ms / 2);
	relayed = measure_way(rig, options, false, duration_ms / 2);
	bench_print("", "direct_requests_per_s", direct.requests_per_s);
	bench_print("", "requests_per_s", relayed.requests_per_s);
	bench_print("", "daemon_cpu_us_per_request",
	    relayed.daemon_us_per_token);
	bench_print("", "bench_cpu_pct_at_requests_per_s",
	    relayed.bench_cpu_pct);
	return faulty_count(&direct) + faulty_count(&relayed);
}

static void
measure_readers(const struct rig *rig)
{
	const char *address = rig->engines[0].address;
	double curl_us = reader_curl_us_per_token(address, READER_TOKENS);
	double civetweb_us = reader_civetweb_us_per_token(address,
	    READER_TOKENS);

	if (curl_us < 0)
		bench_print_missing("", "libcurl_cpu_us_per_token",
		    "the_stream_was_not_whole");
	else
		bench_print("", "libcurl_cpu_us_per_token", curl_us);
	if (civetweb_us < 0)
		bench_print_missing("", "civetweb_bytewise_cpu_us_per_token",
		    "the_stream_was_not_whole");
	else
		bench_print("", "civetweb_bytewise_cpu_us_per_token",
		    civetweb_us);
}

int
bench_relay(const struct bench_options *options)
{
	struct scenario *scenario = g_new0(struct scenario, 1);
	struct rig *rig = g_new0(struct rig, 1);
	struct rig_config config = { .options = options,
		.scenario = scenario,
		.policy = "fleet",
		.extra_settings = "",
		.daemon_count = 1,
		.worker_threads_count = WORKER_THREADS_COUNT };
	uint32_t part_ms = options->duration_s * MS_PER_S / PARTS_COUNT;
	uint64_t broken_count;

	set_scenario(scenario);
	rig_init(rig, &config);
	broken_count = measure_first_token(rig, part_ms);
	set_work(scenario, STREAM_TOKENS, STREAMS_COUNT);
	broken_count += measure_tokens(rig, options, part_ms);
	set_work(scenario, 1, REQUESTS_COUNT);
	broken_count += measure_requests(rig, options, part_ms);
	measure_readers(rig);
	bench_print_count("", "broken_answers", broken_count);
	rig_finish(rig);
	g_free(rig);
	g_free(scenario);
	return broken_count == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
