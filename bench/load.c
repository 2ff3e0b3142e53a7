#include "load.h"

#include <gsl/gsl_randist.h>
#include <string.h>

#include "stream.h"

#define PAUSE_US 200000u
/* The first requests of closed loops are spread over this time. */
#define START_SPREAD_US 1000000u
#define LOOP_PAUSE_US 1000u
#define POLL_MAX_MS 50
#define BODY_BYTES 256
#define URL_BYTES 96
#define HEADER_BYTES 128
#define SEED_STRIDE 1000u
#define STATUS_OK 200
#define ANSWER_TIMEOUT_MS 300000L

/* One request on its way. */
struct load_call {
	struct load *load;
	struct load_source *source;
	CURL *handle;
	struct curl_slist *headers;
	struct stream stream;
	uint64_t sent_us;
	uint32_t daemon;
	bool waiting; /* no first token yet */
	bool not_run; /* refused, and the answer says so */
	bool in_window;
	char body[BODY_BYTES];
};

static uint32_t
account_of(const struct load_call *call)
{
	return call->source->work->account;
}

static void
stop_waiting(struct load_call *call)
{
	if (!call->waiting)
		return;
	call->waiting = false;
	share_remove_waiting(&call->load->share, account_of(call));
}

static void
on_tokens(struct load_call *call, uint32_t count)
{
	struct load *load = call->load;

	if (count == 0)
		return;
	if (call->waiting && call->in_window && call->source->work->interactive)
		hist_add_us(&load->first_token, bench_now_us() - call->sent_us);
	stop_waiting(call);
	load->counts.tokens += count;
	for (uint32_t i = 0; i < count; i++)
		share_add_token(&load->share, account_of(call));
}

static size_t
on_body(char *bytes, size_t size, size_t count, void *context)
{
	struct load_call *call = context;

	on_tokens(call, stream_feed(&call->stream, bytes, size * count));
	return size * count;
}

static size_t
on_header(char *line, size_t size, size_t count, void *context)
{
	struct load_call *call = context;
	static const char name[] = "bamboorudder-run:";

	if (size * count > strlen(name) &&
	    g_ascii_strncasecmp(line, name, strlen(name)) == 0)
		call->not_run = g_strstr_len(line, (gssize)(size * count),
				    "not-run") != NULL;
	return size * count;
}

static struct load_call *
call_new(struct load *load)
{
	struct load_call *call;

	if (load->free_calls->len > 0)
		return g_ptr_array_remove_index_fast(load->free_calls,
		    load->free_calls->len - 1);
	call = g_new0(struct load_call, 1);
	call->load = load;
	call->handle = curl_easy_init();
	g_ptr_array_add(load->calls, call);
	return call;
}

/* The next entry daemon of a work that is alive. */
static uint32_t
choose_daemon(struct load *load, struct load_source *source)
{
	const struct scenario_work *work = source->work;
	uint32_t daemon =
	    work->entries[source->entry_next++ % work->entry_count];

	while (!load->rig->daemons[daemon].alive)
		daemon = (daemon + 1) % load->rig->daemon_count;
	return daemon;
}

static void
set_options(struct load_call *call)
{
	struct load *load = call->load;
	const char *account = load->scenario->accounts[account_of(call)].name;
	CURL *handle = call->handle;
	char url[URL_BYTES], header[HEADER_BYTES];

	g_snprintf(url, sizeof(url), "http://%s" RIG_PATH,
	    load->rig->daemons[call->daemon].listen);
	call->headers = curl_slist_append(NULL, "Expect:");
	g_snprintf(header, sizeof(header), "Authorization: Bearer %s", account);
	call->headers = curl_slist_append(call->headers, header);
	g_snprintf(header, sizeof(header), "X-Request-Id: %s", call->stream.id);
	call->headers = curl_slist_append(call->headers, header);
	curl_easy_reset(handle);
	curl_easy_setopt(handle, CURLOPT_URL, url);
	curl_easy_setopt(handle, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call->body);
	curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(handle, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(handle, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(handle, CURLOPT_PRIVATE, call);
	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, ANSWER_TIMEOUT_MS);
}

static void
send_request(struct load *load, struct load_source *source, uint64_t now_us)
{
	const struct scenario_work *work = source->work;
	uint32_t span = work->tokens_max - work->tokens_min + 1;
	uint32_t tokens = work->tokens_min +
	    (uint32_t)gsl_rng_uniform_int(source->rng, span);
	struct load_call *call = call_new(load);
	char id[STREAM_ID_BYTES];

	call->source = source;
	call->daemon = choose_daemon(load, source);
	call->sent_us = now_us;
	call->waiting = true;
	call->not_run = false;
	call->in_window = load->window_start_us != 0;
	g_snprintf(id, sizeof(id), "bench-%" G_GUINT64_FORMAT, ++load->next_id);
	stream_init(&call->stream, id, tokens);
	g_snprintf(call->body, sizeof(call->body),
	    "{\"messages\":[{\"role\":\"user\",\"content\":\"%s %s\"}],"
	    "\"stream\":true,\"max_tokens\":%u,\"standin_tokens\":%u}",
	    work->kind, id, work->tokens_max, tokens);
	set_options(call);
	share_add_waiting(&load->share, work->account);
	load->counts.sent++;
	load->running_calls++;
	curl_multi_add_handle(load->multi, call->handle);
}

static void
count_end(struct load_call *call, CURLcode code)
{
	struct load_counts *counts = &call->load->counts;
	long status = 0;

	curl_easy_getinfo(call->handle, CURLINFO_RESPONSE_CODE, &status);
	counts->crossed += call->stream.crossed;
	counts->disordered += call->stream.disordered;
	if (code == CURLE_OK && status == STATUS_OK &&
	    stream_is_whole(&call->stream))
		counts->whole++;
	else if (!call->load->rig->daemons[call->daemon].alive)
		counts->cut++;
	else if (status != STATUS_OK && call->not_run)
		counts->refused++;
	else
		counts->lost++;
}

static void
finish_call(struct load_call *call, CURLcode code, uint64_t now_us)
{
	struct load *load = call->load;
	struct load_source *source = call->source;
	bool served = call->stream.done;

	count_end(call, code);
	stop_waiting(call);
	curl_multi_remove_handle(load->multi, call->handle);
	curl_slist_free_all(call->headers);
	call->headers = NULL;
	call->source = NULL;
	g_ptr_array_add(load->free_calls, call);
	load->running_calls--;
	if (source->work->outstanding_count == 0 || load->stopping)
		return;
	if (served) {
		send_request(load, source, now_us);
		return;
	}
	source->paused_count++;
	source->paused_until_us = now_us + PAUSE_US;
}

static void
collect_ended(struct load *load, uint64_t now_us)
{
	CURLMsg *message;
	char *context;
	int left;

	while ((message = curl_multi_info_read(load->multi, &left)) != NULL) {
		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
		    &context);
		finish_call((struct load_call *)(void *)context,
		    message->data.result, now_us);
	}
}

static void
set_next_arrival(struct load_source *source)
{
	double gap_s = gsl_ran_exponential(source->rng,
	    1.0 / source->work->requests_per_s);

	source->due_us += (uint64_t)(gap_s * US_PER_S);
}

/* Resends what was refused, and starts a closed loop bit by bit. */
static void
send_closed(struct load *load, struct load_source *source, uint64_t now_us)
{
	uint32_t count = 0;

	if (now_us >= source->paused_until_us) {
		count = source->paused_count;
		source->paused_count = 0;
	}
	while (source->unstarted_count > 0 && now_us >= source->due_us) {
		source->unstarted_count--;
		source->due_us += START_SPREAD_US /
		    source->work->outstanding_count;
		count++;
	}
	for (uint32_t i = 0; i < count; i++)
		send_request(load, source, now_us);
}

static void
send_due(struct load *load, uint64_t now_us)
{
	for (uint32_t i = 0; i < load->scenario->work_count; i++) {
		struct load_source *source = &load->sources[i];

		if (source->work->outstanding_count > 0) {
			send_closed(load, source, now_us);
			continue;
		}
		while (now_us >= source->due_us) {
			send_request(load, source, now_us);
			set_next_arrival(source);
		}
	}
}

static void
turn(struct load *load)
{
	uint64_t now_us = bench_now_us();
	int running;

	if (!load->stopping)
		send_due(load, now_us);
	curl_multi_perform(load->multi, &running);
	collect_ended(load, bench_now_us());
	curl_multi_poll(load->multi, NULL, 0, POLL_MAX_MS, NULL);
	/* takes many tokens at one turn */
	g_usleep(LOOP_PAUSE_US);
}

void
load_init(struct load *load, struct rig *rig, uint32_t seed)
{
	const struct scenario *scenario = rig->config.scenario;

	memset(load, 0, sizeof(*load));
	load->rig = rig;
	load->scenario = scenario;
	load->multi = curl_multi_init();
	load->free_calls = g_ptr_array_new();
	load->calls = g_ptr_array_new();
	hist_init(&load->first_token);
	for (uint32_t i = 0; i < scenario->account_count; i++)
		load->weights[i] = scenario->accounts[i].weight;
	share_init(&load->share, load->weights, scenario->account_count);
	for (uint32_t i = 0; i < scenario->work_count; i++) {
		struct load_source *source = &load->sources[i];
		source->work = &scenario->works[i];
		source->rng = gsl_rng_alloc(gsl_rng_mt19937);
		gsl_rng_set(source->rng, (unsigned long)seed * SEED_STRIDE + i);
		source->due_us = bench_now_us() +
		    gsl_rng_uniform_int(source->rng, START_SPREAD_US);
		source->unstarted_count = source->work->outstanding_count;
	}
}

void
load_finish(struct load *load)
{
	for (guint i = 0; i < load->calls->len; i++) {
		struct load_call *call = g_ptr_array_index(load->calls, i);
		if (call->source != NULL)
			curl_multi_remove_handle(load->multi, call->handle);
		curl_slist_free_all(call->headers);
		curl_easy_cleanup(call->handle);
		g_free(call);
	}
	curl_multi_cleanup(load->multi);
	g_ptr_array_free(load->calls, TRUE);
	g_ptr_array_free(load->free_calls, TRUE);
	for (uint32_t i = 0; i < load->scenario->work_count; i++)
		gsl_rng_free(load->sources[i].rng);
	hist_finish(&load->first_token);
	share_finish(&load->share);
}

void
load_warm_up(struct load *load, uint32_t duration_ms)
{
	uint64_t end_us = bench_now_us() + (uint64_t)duration_ms * US_PER_MS;

	while (bench_now_us() < end_us)
		turn(load);
}

/* Interactive requests without a first token count with their wait so far. */
static void
add_unserved(struct load *load, uint64_t now_us)
{
	for (guint i = 0; i < load->calls->len; i++) {
		const struct load_call *call = g_ptr_array_index(load->calls,
		    i);
		if (call->source != NULL && call->waiting && call->in_window &&
		    call->source->work->interactive)
			hist_add_us(&load->first_token, now_us - call->sent_us);
	}
}

void
load_run(struct load *load, uint32_t duration_ms, load_fn on_sample,
    void *context)
{
	uint64_t start_us = bench_now_us(), sample_us = start_us, now_us;
	uint64_t end_us = start_us + (uint64_t)duration_ms * US_PER_MS;

	load->window_start_us = start_us;
	while ((now_us = bench_now_us()) < end_us) {
		if (now_us >= sample_us) {
			share_sample(&load->share);
			if (on_sample != NULL)
				on_sample(context, now_us - start_us);
			sample_us += SHARE_SAMPLE_US;
		}
		turn(load);
	}
	share_sample(&load->share);
	add_unserved(load, now_us);
	load->window_start_us = 0;
}

void
load_drain(struct load *load, uint32_t limit_ms)
{
	uint64_t end_us = bench_now_us() + (uint64_t)limit_ms * US_PER_MS;

	load->stopping = true;
	while (load->running_calls > 0 && bench_now_us() < end_us)
		turn(load);
}
