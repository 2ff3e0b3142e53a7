#include "sampler.h"

#include <curl/curl.h>
#include <jansson.h>
#include <string.h>

#include "bench.h"

#define CALL_TIMEOUT_MS 1000L
#define TEXT_BYTES 512
#define MEAN_SAMPLES_COUNT 5u
#define URL_BYTES 96

struct text {
	char bytes[TEXT_BYTES];
	size_t length;
};

static size_t
on_body(char *bytes, size_t size, size_t count, void *context)
{
	struct text *text = context;
	size_t length = MIN(size * count, TEXT_BYTES - 1 - text->length);

	memcpy(text->bytes + text->length, bytes, length);
	text->length += length;
	return size * count;
}

/* @return running streams of an engine, or -1 */
static int64_t
read_running(CURL *handle)
{
	struct text text = { 0 };
	json_t *counts;
	int64_t running;

	curl_easy_setopt(handle, CURLOPT_WRITEDATA, &text);
	if (curl_easy_perform(handle) != CURLE_OK)
		return -1;
	counts = json_loadb(text.bytes, text.length, 0, NULL);
	if (counts == NULL)
		return -1;
	running = json_integer_value(json_object_get(counts, "started")) -
	    json_integer_value(json_object_get(counts, "finished")) -
	    json_integer_value(json_object_get(counts, "cancelled"));
	json_decref(counts);
	return MAX(0, running);
}

static void
take_sample(struct sampler *sampler, CURL **handles)
{
	uint32_t slots = sampler->rig->config.scenario->slots_per_replica;
	struct sampler_point point = { .at_us = bench_now_us() };

	for (uint32_t i = 0; i < sampler->rig->engine_count; i++) {
		int64_t running = read_running(handles[i]);
		if (running < 0)
			continue;
		point.answered_count++;
		point.busy_slots += (uint32_t)MIN(running, (int64_t)slots);
	}
	g_array_append_val(sampler->points, point);
}

static CURL *
open_handle(const char *address)
{
	CURL *handle = curl_easy_init();
	char url[URL_BYTES];

	g_snprintf(url, sizeof(url), "http://%s/standin/counts", address);
	curl_easy_setopt(handle, CURLOPT_URL, url);
	curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
	return handle;
}

static void *
run(void *context)
{
	struct sampler *sampler = context;
	CURL *handles[RIG_ENGINES_MAX_COUNT] = { 0 };

	for (uint32_t i = 0; i < sampler->rig->engine_count; i++)
		handles[i] = open_handle(sampler->rig->engines[i].address);
	while (!atomic_load(&sampler->stopping)) {
		take_sample(sampler, handles);
		bench_sleep_ms(SAMPLER_PERIOD_MS);
	}
	for (uint32_t i = 0; i < sampler->rig->engine_count; i++)
		curl_easy_cleanup(handles[i]);
	return NULL;
}

void
sampler_start(struct sampler *sampler, const struct rig *rig)
{
	memset(sampler, 0, sizeof(*sampler));
	sampler->rig = rig;
	sampler->points = g_array_new(FALSE, TRUE,
	    sizeof(struct sampler_point));
	if (pthread_create(&sampler->thread, NULL, run, sampler) != 0)
		bench_die("cannot start a thread");
}

void
sampler_stop(struct sampler *sampler)
{
	atomic_store(&sampler->stopping, 1);
	pthread_join(sampler->thread, NULL);
}

void
sampler_finish(struct sampler *sampler)
{
	g_array_free(sampler->points, TRUE);
}

static const struct sampler_point *
point_at(const struct sampler *sampler, guint index)
{
	return &g_array_index(sampler->points, struct sampler_point, index);
}

static double
busy_pct(const struct sampler *sampler, const struct sampler_point *point)
{
	uint32_t slots = sampler->rig->engine_count *
	    sampler->rig->config.scenario->slots_per_replica;

	return PERCENT * point->busy_slots / slots;
}

double
sampler_utilisation_pct(const struct sampler *sampler, uint64_t from_us,
    uint64_t until_us)
{
	double sum_pct = 0;
	uint32_t count = 0;

	for (guint i = 0; i < sampler->points->len; i++) {
		const struct sampler_point *point = point_at(sampler, i);
		if (point->at_us < from_us || point->at_us >= until_us ||
		    point->answered_count != sampler->rig->engine_count)
			continue;
		sum_pct += busy_pct(sampler, point);
		count++;
	}
	return count == 0 ? -1 : sum_pct / count;
}

int64_t
sampler_recovery_ms(const struct sampler *sampler, uint64_t fault_us,
    double full_pct)
{
	uint64_t last_low_us = 0;
	guint last = sampler->points->len;

	for (guint i = 0; i + MEAN_SAMPLES_COUNT <= last; i++) {
		double sum_pct = 0;
		if (point_at(sampler, i)->at_us < fault_us)
			continue;
		for (guint j = 0; j < MEAN_SAMPLES_COUNT; j++)
			sum_pct += busy_pct(sampler, point_at(sampler, i + j));
		if (sum_pct / MEAN_SAMPLES_COUNT >= full_pct) {
			if (last_low_us == 0)
				continue;
			return (
			    int64_t)((point_at(sampler, i)->at_us - fault_us) /
			    US_PER_MS);
		}
		last_low_us = point_at(sampler, i)->at_us;
	}
	return last_low_us == 0 ? 0 : -1;
}
