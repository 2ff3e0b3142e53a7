#include "slot_sampler.h"

#include <curl/curl.h>
#include <jansson.h>
#include <string.h>

#include "bench.h"
#include "common/curl_thread.h"

#define REQUEST_TIMEOUT_MS 1000L
#define TEXT_BYTES 512
#define RECOVERY_SAMPLES_COUNT 5u
#define URL_BYTES 96

static GPrivate sampler_connections = G_PRIVATE_INIT(curl_thread_free);

struct text_buffer {
	char bytes[TEXT_BYTES];
	size_t length;
};

static size_t
on_body(char *bytes, size_t size, size_t count, void *context)
{
	struct text_buffer *buffer = context;
	size_t length = MIN(size * count, TEXT_BYTES - 1 - buffer->length);

	memcpy(buffer->bytes + buffer->length, bytes, length);
	buffer->length += length;
	return size * count;
}

static CURLcode
read_counts(const char *address, struct text_buffer *buffer)
{
	CURL *handle = curl_easy_init();
	char url[URL_BYTES];
	CURLcode code;

	g_snprintf(url, sizeof(url), "http://%s/standin/counts", address);
	curl_easy_setopt(handle, CURLOPT_URL, url);
	curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(handle, CURLOPT_WRITEDATA, buffer);
	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
	code = curl_thread_perform(&sampler_connections, handle);
	curl_easy_cleanup(handle);
	return code;
}

/* @return number of running requests of an engine, or -1 on failure */
static int64_t
read_running(const char *address)
{
	struct text_buffer buffer = { 0 };
	json_t *counts;
	int64_t running;

	if (read_counts(address, &buffer) != CURLE_OK)
		return -1;
	counts = json_loadb(buffer.bytes, buffer.length, 0, NULL);
	if (counts == NULL)
		return -1;
	running = json_integer_value(json_object_get(counts, "started")) -
	    json_integer_value(json_object_get(counts, "finished")) -
	    json_integer_value(json_object_get(counts, "cancelled"));
	json_decref(counts);
	return MAX(0, running);
}

static void
take_sample(struct slot_sampler *sampler)
{
	uint32_t slots = sampler->testbed->config.scenario->slots_per_replica;
	struct slot_sample sample = { .taken_at_us = bench_now_us() };

	for (uint32_t i = 0; i < sampler->testbed->engine_count; i++) {
		int64_t running = read_running(
		    sampler->testbed->engines[i].address);
		if (running < 0)
			continue;
		sample.responding_engines_count++;
		sample.busy_slots += (uint32_t)MIN(running, (int64_t)slots);
	}
	g_array_append_val(sampler->samples, sample);
}

static void *
sampler_thread(void *context)
{
	struct slot_sampler *sampler = context;

	while (!atomic_load(&sampler->stopping)) {
		take_sample(sampler);
		bench_sleep_ms(SLOT_SAMPLE_PERIOD_MS);
	}
	return NULL;
}

void
slot_sampler_start(struct slot_sampler *sampler, const struct testbed *testbed)
{
	memset(sampler, 0, sizeof(*sampler));
	sampler->testbed = testbed;
	sampler->samples = g_array_new(FALSE, TRUE, sizeof(struct slot_sample));
	if (pthread_create(&sampler->thread, NULL, sampler_thread, sampler) !=
	    0)
		bench_fatal("cannot start the sampler thread");
}

void
slot_sampler_stop(struct slot_sampler *sampler)
{
	atomic_store(&sampler->stopping, 1);
	pthread_join(sampler->thread, NULL);
}

void
slot_sampler_finish(struct slot_sampler *sampler)
{
	g_array_free(sampler->samples, TRUE);
}

static const struct slot_sample *
sample_at(const struct slot_sampler *sampler, guint index)
{
	return &g_array_index(sampler->samples, struct slot_sample, index);
}

static double
busy_pct(const struct slot_sampler *sampler, const struct slot_sample *sample)
{
	uint32_t slots = sampler->testbed->engine_count *
	    sampler->testbed->config.scenario->slots_per_replica;

	return PERCENT * sample->busy_slots / slots;
}

double
slot_sampler_utilisation_pct(const struct slot_sampler *sampler,
    uint64_t from_us, uint64_t until_us)
{
	double sum_pct = 0;
	uint32_t count = 0;

	for (guint i = 0; i < sampler->samples->len; i++) {
		const struct slot_sample *sample = sample_at(sampler, i);
		if (sample->taken_at_us < from_us ||
		    sample->taken_at_us >= until_us ||
		    sample->responding_engines_count !=
			sampler->testbed->engine_count)
			continue;
		sum_pct += busy_pct(sampler, sample);
		count++;
	}
	return count == 0 ? -1 : sum_pct / count;
}

int64_t
slot_sampler_recovery_ms(const struct slot_sampler *sampler, uint64_t fault_us,
    double target_pct)
{
	uint64_t last_below_us = 0;
	guint samples_count = sampler->samples->len;

	for (guint i = 0; i + RECOVERY_SAMPLES_COUNT <= samples_count; i++) {
		double sum_pct = 0;
		if (sample_at(sampler, i)->taken_at_us < fault_us)
			continue;
		for (guint j = 0; j < RECOVERY_SAMPLES_COUNT; j++)
			sum_pct += busy_pct(sampler, sample_at(sampler, i + j));
		if (sum_pct / RECOVERY_SAMPLES_COUNT >= target_pct) {
			if (last_below_us == 0)
				continue;
			return (int64_t)((sample_at(sampler, i)->taken_at_us -
					     fault_us) /
			    US_PER_MS);
		}
		last_below_us = sample_at(sampler, i)->taken_at_us;
	}
	return last_below_us == 0 ? 0 : -1;
}
