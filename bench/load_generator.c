#include "load_generator.h"

#include <gsl/gsl_randist.h>
#include <string.h>

#include "stream_checker.h"

#define RETRY_DELAY_US 200000u
/* Initial requests of closed loops are spread over this time. */
#define RAMP_UP_US 1000000u
#define POLL_INTERVAL_US 1000u
#define POLL_TIMEOUT_MS 50
#define BODY_BYTES 256
#define URL_BYTES 96
#define HEADER_BYTES 128
#define SEED_STRIDE 1000u
#define STATUS_OK 200
#define RESPONSE_TIMEOUT_MS 300000L

struct load_request {
	struct load_generator *generator;
	struct load_source *source;
	CURL *handle;
	struct curl_slist *headers;
	struct stream_checker checker;
	uint64_t sent_us;
	uint32_t daemon;
	bool awaiting_first_token;
	bool not_run; /* the response says that the request did not run */
	bool in_window; /* sent within the measurement window */
	char body[BODY_BYTES];
};

static uint32_t
request_account(const struct load_request *request)
{
	return request->source->workload->account;
}

static void
end_first_token_wait(struct load_request *request)
{
	if (!request->awaiting_first_token)
		return;
	request->awaiting_first_token = false;
	service_tracker_remove_waiting(&request->generator->tracker,
	    request_account(request));
}

static void
on_tokens(struct load_request *request, uint32_t count)
{
	struct load_generator *generator = request->generator;

	if (count == 0)
		return;
	if (request->awaiting_first_token && request->in_window &&
	    request->source->workload->interactive)
		histogram_add_us(&generator->first_token,
		    bench_now_us() - request->sent_us);
	end_first_token_wait(request);
	generator->counts.tokens += count;
	for (uint32_t i = 0; i < count; i++)
		service_tracker_add_token(&generator->tracker,
		    request_account(request));
}

static size_t
on_body(char *bytes, size_t size, size_t count, void *context)
{
	struct load_request *request = context;

	on_tokens(request,
	    stream_checker_feed(&request->checker, bytes, size * count));
	return size * count;
}

static size_t
on_header(char *line, size_t size, size_t count, void *context)
{
	struct load_request *request = context;
	static const char name[] = "bamboorudder-run:";

	if (size * count > strlen(name) &&
	    g_ascii_strncasecmp(line, name, strlen(name)) == 0)
		request->not_run = g_strstr_len(line, (gssize)(size * count),
				       "not-run") != NULL;
	return size * count;
}

static struct load_request *
request_new(struct load_generator *generator)
{
	struct load_request *request;

	if (generator->free_requests->len > 0)
		return g_ptr_array_remove_index_fast(generator->free_requests,
		    generator->free_requests->len - 1);
	request = g_new0(struct load_request, 1);
	request->generator = generator;
	g_ptr_array_add(generator->requests, request);
	return request;
}

/* Picks the entry daemons of a workload in turn and skips killed daemons. */
static uint32_t
choose_daemon(struct load_generator *generator, struct load_source *source)
{
	const struct scenario_workload *workload = source->workload;
	uint32_t daemon = workload->entry_daemons[source->next_daemon_index++ %
	    workload->entry_daemons_count];

	while (!generator->testbed->daemons[daemon].alive)
		daemon = (daemon + 1) % generator->testbed->daemon_count;
	return daemon;
}

static void
set_options(struct load_request *request)
{
	struct load_generator *generator = request->generator;
	const char *account =
	    generator->scenario->accounts[request_account(request)].name;
	CURL *handle = curl_easy_init();
	char url[URL_BYTES], header[HEADER_BYTES];

	request->handle = handle;
	g_snprintf(url, sizeof(url), "http://%s" TESTBED_PATH,
	    generator->testbed->daemons[request->daemon].listen);
	request->headers = curl_slist_append(NULL, "Expect:");
	g_snprintf(header, sizeof(header), "Authorization: Bearer %s", account);
	request->headers = curl_slist_append(request->headers, header);
	g_snprintf(header, sizeof(header), "X-Request-Id: %s",
	    request->checker.id);
	request->headers = curl_slist_append(request->headers, header);
	curl_easy_setopt(handle, CURLOPT_URL, url);
	curl_easy_setopt(handle, CURLOPT_HTTPHEADER, request->headers);
	curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request->body);
	curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(handle, CURLOPT_WRITEDATA, request);
	curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(handle, CURLOPT_HEADERDATA, request);
	curl_easy_setopt(handle, CURLOPT_PRIVATE, request);
	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, RESPONSE_TIMEOUT_MS);
}

static void
send_request(struct load_generator *generator, struct load_source *source,
    uint64_t now_us)
{
	const struct scenario_workload *workload = source->workload;
	uint32_t range = workload->tokens_max - workload->tokens_min + 1;
	uint32_t tokens = workload->tokens_min +
	    (uint32_t)gsl_rng_uniform_int(source->rng, range);
	struct load_request *request = request_new(generator);
	char id[STREAM_CHECKER_ID_BYTES];

	request->source = source;
	request->daemon = choose_daemon(generator, source);
	request->sent_us = now_us;
	request->awaiting_first_token = true;
	request->not_run = false;
	request->in_window = generator->window_start_us != 0;
	g_snprintf(id, sizeof(id), "bench-%" G_GUINT64_FORMAT,
	    ++generator->next_id);
	stream_checker_init(&request->checker, id, tokens);
	g_snprintf(request->body, sizeof(request->body),
	    "{\"messages\":[{\"role\":\"user\",\"content\":\"%s %s\"}],"
	    "\"stream\":true,\"max_tokens\":%u,\"standin_tokens\":%u}",
	    workload->kind, id, workload->tokens_max, tokens);
	set_options(request);
	service_tracker_add_waiting(&generator->tracker, workload->account);
	generator->counts.sent++;
	generator->running_requests_count++;
	curl_multi_add_handle(generator->multi, request->handle);
}

static void
count_outcome(struct load_request *request, CURLcode code)
{
	struct load_counts *counts = &request->generator->counts;
	long status = 0;

	curl_easy_getinfo(request->handle, CURLINFO_RESPONSE_CODE, &status);
	counts->misdelivered += request->checker.misdelivered;
	counts->out_of_order += request->checker.out_of_order;
	if (code == CURLE_OK && status == STATUS_OK &&
	    stream_checker_is_complete(&request->checker))
		counts->complete++;
	else if (!request->generator->testbed->daemons[request->daemon].alive)
		counts->interrupted++;
	else if (status != STATUS_OK && request->not_run)
		counts->refused++;
	else
		counts->lost++;
}

static void
finish_request(struct load_request *request, CURLcode code, uint64_t now_us)
{
	struct load_generator *generator = request->generator;
	struct load_source *source = request->source;
	bool completed = request->checker.done;

	count_outcome(request, code);
	end_first_token_wait(request);
	curl_multi_remove_handle(generator->multi, request->handle);
	curl_easy_cleanup(request->handle);
	request->handle = NULL;
	curl_slist_free_all(request->headers);
	request->headers = NULL;
	request->source = NULL;
	g_ptr_array_add(generator->free_requests, request);
	generator->running_requests_count--;
	if (source->workload->outstanding_count == 0 || generator->stopping)
		return;
	if (completed) {
		send_request(generator, source, now_us);
		return;
	}
	source->retry_count++;
	source->retry_at_us = now_us + RETRY_DELAY_US;
}

static void
finish_completed_requests(struct load_generator *generator, uint64_t now_us)
{
	CURLMsg *message;
	char *context;
	int queued_messages;

	while ((message = curl_multi_info_read(generator->multi,
		    &queued_messages)) != NULL) {
		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
		    &context);
		finish_request((struct load_request *)(void *)context,
		    message->data.result, now_us);
	}
}

static void
set_next_arrival(struct load_source *source)
{
	double interarrival_s = gsl_ran_exponential(source->rng,
	    1.0 / source->workload->requests_per_s);

	source->next_send_us += (uint64_t)(interarrival_s * US_PER_S);
}

/* Replaces failed requests and sends the initial ones over the ramp-up time. */
static void
send_closed_loop(struct load_generator *generator, struct load_source *source,
    uint64_t now_us)
{
	uint32_t count = 0;

	if (now_us >= source->retry_at_us) {
		count = source->retry_count;
		source->retry_count = 0;
	}
	while (source->initial_requests_count > 0 &&
	    now_us >= source->next_send_us) {
		source->initial_requests_count--;
		source->next_send_us += RAMP_UP_US /
		    source->workload->outstanding_count;
		count++;
	}
	for (uint32_t i = 0; i < count; i++)
		send_request(generator, source, now_us);
}

static void
send_due_requests(struct load_generator *generator, uint64_t now_us)
{
	for (uint32_t i = 0; i < generator->scenario->workloads_count; i++) {
		struct load_source *source = &generator->sources[i];

		if (source->workload->outstanding_count > 0) {
			send_closed_loop(generator, source, now_us);
			continue;
		}
		while (now_us >= source->next_send_us) {
			send_request(generator, source, now_us);
			set_next_arrival(source);
		}
	}
}

static void
poll_once(struct load_generator *generator)
{
	uint64_t now_us = bench_now_us();
	int running;

	if (!generator->stopping)
		send_due_requests(generator, now_us);
	curl_multi_perform(generator->multi, &running);
	finish_completed_requests(generator, bench_now_us());
	curl_multi_poll(generator->multi, NULL, 0, POLL_TIMEOUT_MS, NULL);
	/* tokens accumulate meanwhile, and the next iteration reads them */
	g_usleep(POLL_INTERVAL_US);
}

void
load_generator_init(struct load_generator *generator, struct testbed *testbed,
    uint32_t seed)
{
	const struct scenario *scenario = testbed->config.scenario;

	memset(generator, 0, sizeof(*generator));
	generator->testbed = testbed;
	generator->scenario = scenario;
	generator->multi = curl_multi_init();
	generator->free_requests = g_ptr_array_new();
	generator->requests = g_ptr_array_new();
	histogram_init(&generator->first_token);
	for (uint32_t i = 0; i < scenario->account_count; i++)
		generator->weights[i] = scenario->accounts[i].weight;
	service_tracker_init(&generator->tracker, generator->weights,
	    scenario->account_count);
	for (uint32_t i = 0; i < scenario->workloads_count; i++) {
		struct load_source *source = &generator->sources[i];
		source->workload = &scenario->workloads[i];
		source->rng = gsl_rng_alloc(gsl_rng_mt19937);
		gsl_rng_set(source->rng, (unsigned long)seed * SEED_STRIDE + i);
		source->next_send_us = bench_now_us() +
		    gsl_rng_uniform_int(source->rng, RAMP_UP_US);
		source->initial_requests_count = source->workload
						     ->outstanding_count;
	}
}

void
load_generator_finish(struct load_generator *generator)
{
	for (guint i = 0; i < generator->requests->len; i++) {
		struct load_request *request =
		    g_ptr_array_index(generator->requests, i);
		if (request->source != NULL)
			curl_multi_remove_handle(generator->multi,
			    request->handle);
		curl_slist_free_all(request->headers);
		curl_easy_cleanup(request->handle);
		g_free(request);
	}
	curl_multi_cleanup(generator->multi);
	g_ptr_array_free(generator->requests, TRUE);
	g_ptr_array_free(generator->free_requests, TRUE);
	for (uint32_t i = 0; i < generator->scenario->workloads_count; i++)
		gsl_rng_free(generator->sources[i].rng);
	histogram_finish(&generator->first_token);
	service_tracker_finish(&generator->tracker);
}

void
load_generator_warm_up(struct load_generator *generator, uint32_t duration_ms)
{
	uint64_t end_us = bench_now_us() + (uint64_t)duration_ms * US_PER_MS;

	while (bench_now_us() < end_us)
		poll_once(generator);
}

/* Adds the wait so far of interactive requests without a first token. */
static void
add_unserved_requests(struct load_generator *generator, uint64_t now_us)
{
	for (guint i = 0; i < generator->requests->len; i++) {
		const struct load_request *request =
		    g_ptr_array_index(generator->requests, i);
		if (request->source != NULL && request->awaiting_first_token &&
		    request->in_window &&
		    request->source->workload->interactive)
			histogram_add_us(&generator->first_token,
			    now_us - request->sent_us);
	}
}

void
load_generator_run(struct load_generator *generator, uint32_t duration_ms,
    load_generator_sample_fn on_sample, void *context)
{
	uint64_t start_us = bench_now_us(), sample_us = start_us, now_us;
	uint64_t end_us = start_us + (uint64_t)duration_ms * US_PER_MS;

	generator->window_start_us = start_us;
	while ((now_us = bench_now_us()) < end_us) {
		if (now_us >= sample_us) {
			service_tracker_sample(&generator->tracker);
			if (on_sample != NULL)
				on_sample(context, now_us - start_us);
			sample_us += SERVICE_SAMPLE_PERIOD_US;
		}
		poll_once(generator);
	}
	service_tracker_sample(&generator->tracker);
	add_unserved_requests(generator, now_us);
	generator->window_start_us = 0;
}

void
load_generator_drain(struct load_generator *generator, uint32_t timeout_ms)
{
	uint64_t end_us = bench_now_us() + (uint64_t)timeout_ms * US_PER_MS;

	generator->stopping = true;
	while (generator->running_requests_count > 0 && bench_now_us() < end_us)
		poll_once(generator);
}
