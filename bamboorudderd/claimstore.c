#include "bamboorudderd/claimstore.h"

#include <jansson.h>
#include <string.h>

#include "common/digest.h"
#include "common/log.h"
#include "common/metric.h"

#define SHARD_DIGITS 3
#define SWEEP_OBJECTS_MAX_COUNT 2048u
#define SWEEP_OBJECT_PAUSE_MS 8u
#define MS_PER_S 1000
#define NS_PER_MS 1000000

void
claimstore_object_name(const char *account, const char *key,
    char out[CLAIM_NAME_MAX_BYTES])
{
	GString *text = g_string_new(account);
	char digest[DIGEST_HEX_BYTES + 1];

	g_string_append_c(text, '\0');
	g_string_append(text, key);
	digest_sha256_hex_bytes(text->str, text->len, digest);
	g_snprintf(out, CLAIM_NAME_MAX_BYTES, "claims/%.*s/%s", SHARD_DIGITS,
	    digest, digest);
	g_string_free(text, TRUE);
}

static struct claim_event
event_from_error(GError *error)
{
	static const enum claim_event_type types[] = {
		[PLATFORM_ERROR_UNREACHED] = CLAIM_EVENT_STORE_UNAVAILABLE,
		[PLATFORM_ERROR_UNKNOWN] = CLAIM_EVENT_INDETERMINATE,
		[PLATFORM_ERROR_BUSY] = CLAIM_EVENT_STORE_UNAVAILABLE,
		[PLATFORM_ERROR_NOT_FOUND] = CLAIM_EVENT_NOT_FOUND,
		[PLATFORM_ERROR_CONFLICT] = CLAIM_EVENT_CONFLICT,
		[PLATFORM_ERROR_PROTOCOL] = CLAIM_EVENT_INDETERMINATE,
	};
	struct claim_event event = { .type = types[error->code] };

	g_error_free(error);
	return event;
}

struct claim_event
claimstore_write(struct claimstore *store, const char *name,
    const struct claim_record *record, uint64_t version)
{
	struct platform *platform = store->platform;
	struct claim_event event = { .type = CLAIM_EVENT_WRITTEN };
	char *text = claim_json_write(record);
	GError *error = NULL;

	if (!platform->ops->put(platform, name, text, &version, &error))
		event = event_from_error(error);
	event.version = version;
	free(text);
	return event;
}

struct claim_event
claimstore_read(struct claimstore *store, const char *name,
    struct claim_record *record)
{
	struct platform *platform = store->platform;
	struct claim_event event = { .type = CLAIM_EVENT_READ };
	struct platform_object object;
	GError *error = NULL;

	if (!platform->ops->get(platform, name, &object, &error))
		return event_from_error(error);
	if (!claim_json_read(object.text, record)) {
		log_event(LOG_LEVEL_ERROR, "claim_invalid", "object", name,
		    NULL);
		event.type = CLAIM_EVENT_STORE_UNAVAILABLE;
	}
	event.version = object.version;
	event.metadata = record->metadata;
	g_free(object.text);
	return event;
}

struct claim_event
claimstore_remove(struct claimstore *store, const char *name, uint64_t version)
{
	struct platform *platform = store->platform;
	struct claim_event event = { .type = CLAIM_EVENT_WRITTEN };
	GError *error = NULL;

	if (!platform->ops->remove(platform, name, version, &error))
		event = event_from_error(error);
	return event;
}

/* @return false if the store is stopping */
static bool
sweeper_wait(struct claimstore *store, uint64_t duration_ms)
{
	struct timespec deadline;
	bool stopping;

	clock_gettime(CLOCK_REALTIME, &deadline);
	deadline.tv_sec += (time_t)(duration_ms / MS_PER_S);
	deadline.tv_nsec += (long)(duration_ms % MS_PER_S * NS_PER_MS);
	if (deadline.tv_nsec >= NS_PER_MS * MS_PER_S) {
		deadline.tv_sec++;
		deadline.tv_nsec -= NS_PER_MS * MS_PER_S;
	}
	pthread_mutex_lock(&store->mutex);
	while (!store->stopping &&
	    pthread_cond_timedwait(&store->wakeup, &store->mutex, &deadline) ==
		0)
		continue;
	stopping = store->stopping;
	pthread_mutex_unlock(&store->mutex);
	return !stopping;
}

/* Removes a claim if it has expired. Claims of active requests are safe, since
 * they expire long after the lease and the request timeout. */
static void
sweep_object(struct claimstore *store, const char *name)
{
	struct claim_record record;
	struct claim_event event;

	claim_record_init(&record);
	event = claimstore_read(store, name, &record);
	if (event.type == CLAIM_EVENT_READ &&
	    claim_expired(&event.metadata, &store->config,
		clk_wall_ms(&store->clk)) &&
	    claimstore_remove(store, name, event.version).type ==
		CLAIM_EVENT_WRITTEN)
		metric_add(METRIC_CLAIMS_SWEPT, 1);
	claim_record_finish(&record);
}

static void
sweep_shard(struct claimstore *store, uint32_t shard)
{
	struct platform *platform = store->platform;
	char prefix[CLAIM_NAME_MAX_BYTES];
	GError *error = NULL;
	char **names;

	g_snprintf(prefix, sizeof(prefix), "claims/%0*x/", SHARD_DIGITS, shard);
	if (!platform->ops->list(platform, prefix, &names, &error)) {
		g_error_free(error);
		return;
	}
	for (uint32_t i = 0; names[i] != NULL && i < SWEEP_OBJECTS_MAX_COUNT &&
	     sweeper_wait(store, SWEEP_OBJECT_PAUSE_MS);
	     i++)
		sweep_object(store, names[i]);
	g_strfreev(names);
}

/* Random pause with a mean such that all live daemons together visit each shard
 * about once per claims.sweep_round_ms. */
static uint64_t
sweep_pause_ms(const struct claimstore *store)
{
	uint64_t live_count = MAX(metric_get(METRIC_MEMBERS_LIVE), 1);
	uint64_t mean_ms = store->settings->claim_sweep_round_ms * live_count /
	    CLAIM_SHARDS_COUNT;

	return mean_ms / 2 + (uint64_t)(g_random_double() * (double)mean_ms);
}

static void *
sweeper_main(void *pointer)
{
	struct claimstore *store = pointer;
	uint32_t shard = g_random_int() % CLAIM_SHARDS_COUNT;

	while (sweeper_wait(store, sweep_pause_ms(store))) {
		sweep_shard(store, shard);
		shard = (shard + 1) % CLAIM_SHARDS_COUNT;
	}
	return NULL;
}

void
claimstore_init(struct claimstore *store, const struct settings *settings,
    struct platform *platform)
{
	memset(store, 0, sizeof(*store));
	store->settings = settings;
	store->platform = platform;
	clk_init_system(&store->clk);
	store->config.lease_ms = settings->queue_timeout_ms +
	    CLAIM_STORE_CALLS_MAX_COUNT * settings->platform_timeout_ms;
	store->config.clock_margin_ms = settings->claim_clock_margin_ms;
	store->config.running_max_ms = settings->request_timeout_ms +
	    settings->claim_clock_margin_ms;
	store->config.keep_ms = settings->claim_keep_ms;
	pthread_mutex_init(&store->mutex, NULL);
	pthread_cond_init(&store->wakeup, NULL);
	pthread_create(&store->sweeper, NULL, sweeper_main, store);
}

void
claimstore_finish(struct claimstore *store)
{
	pthread_mutex_lock(&store->mutex);
	store->stopping = true;
	pthread_cond_signal(&store->wakeup);
	pthread_mutex_unlock(&store->mutex);
	pthread_join(store->sweeper, NULL);
	pthread_mutex_destroy(&store->mutex);
	pthread_cond_destroy(&store->wakeup);
}
