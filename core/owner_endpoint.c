#include <string.h>

#include "core/owner_private.h"

#define EJECT_CONSECUTIVE_FAILURES_COUNT 3u
#define EJECT_MIN_MS 1000u
#define EJECT_MAX_MS 30000u
/* The tables of entry daemons may differ for some time after an edit. */
#define EXCLUDE_MS 500u
#define LOAD_MAX_AGE_MS 2000u
#define PREFIXES_MAX_COUNT 4096u

/* The endpoint that got the last request with a prompt prefix. */
struct prefix_endpoint {
	uint64_t prefix_hash;
	uint64_t endpoint_id;
};

struct owner_endpoint *
owner_endpoint_find(const struct owner *owner, uint64_t endpoint_id)
{
	for (guint i = 0; i < owner->endpoints->len; i++) {
		struct owner_endpoint *endpoint =
		    &g_array_index(owner->endpoints, struct owner_endpoint, i);
		if (endpoint->endpoint_id == endpoint_id)
			return endpoint;
	}
	return NULL;
}

/* Whether an endpoint accepts new work, regardless of its free slots. */
static bool
endpoint_accepts_work(const struct owner_endpoint *endpoint, uint64_t now_ms)
{
	if (!endpoint->listed || endpoint->leaving ||
	    now_ms < endpoint->excluded_until_ms)
		return false;
	if (endpoint->eject_ms == 0)
		return true;
	return now_ms >= endpoint->ejected_until_ms && !endpoint->probe_running;
}

/* Free slots, including the extra ones, minus the waiting requests that the
 * endpoint has reported. */
static int64_t
endpoint_free_slots(const struct owner_endpoint *endpoint, uint64_t now_ms)
{
	int64_t free_slots = (int64_t)endpoint->slots + endpoint->extra_slots -
	    endpoint->running_count;

	if (now_ms < endpoint->load_at_ms + LOAD_MAX_AGE_MS)
		free_slots -= endpoint->load_waiting_count;
	return free_slots;
}

static uint64_t
prefix_endpoint_id(const struct owner *owner, uint64_t prefix_hash)
{
	const struct prefix_endpoint *entry =
	    g_hash_table_lookup(owner->prefix_endpoints, &prefix_hash);

	return entry == NULL ? 0 : entry->endpoint_id;
}

/* The endpoint with the most free slots of those that accept new work and are
 * below their limit of running requests. The endpoint that got the last request
 * with this prompt prefix gets a bonus of half its slots, since its cache
 * probably holds the prefix. An endpoint that failed an earlier attempt of the
 * request comes last. */
static struct owner_endpoint *
choose_below_limit(const struct owner *owner,
    const struct owner_request *request, bool with_extra, uint64_t now_ms)
{
	uint64_t prefix_id = prefix_endpoint_id(owner, request->prefix_hash);
	struct owner_endpoint *best = NULL;
	int64_t best_free_slots = 0, free_slots;

	for (guint i = 0; i < owner->endpoints->len; i++) {
		struct owner_endpoint *endpoint =
		    &g_array_index(owner->endpoints, struct owner_endpoint, i);
		uint32_t limit = endpoint->slots +
		    (with_extra ? endpoint->extra_slots : 0);

		if (!endpoint_accepts_work(endpoint, now_ms) ||
		    endpoint->running_count >= limit)
			continue;
		free_slots = endpoint_free_slots(endpoint, now_ms);
		if (endpoint->endpoint_id == prefix_id)
			free_slots += endpoint->slots / 2;
		if (endpoint->endpoint_id == request->avoid_endpoint_id)
			free_slots = INT64_MIN;
		if (best == NULL || free_slots > best_free_slots) {
			best = endpoint;
			best_free_slots = free_slots;
		}
	}
	return best;
}

struct owner_endpoint *
owner_endpoint_choose(const struct owner *owner,
    const struct owner_request *request, uint64_t now_ms)
{
	return choose_below_limit(owner, request, false, now_ms);
}

struct owner_endpoint *
owner_endpoint_choose_extra(const struct owner *owner,
    const struct owner_request *request, uint64_t now_ms)
{
	return choose_below_limit(owner, request, true, now_ms);
}

uint64_t
owner_slots_count(const struct owner *owner)
{
	uint64_t slots_count = 0;

	for (guint i = 0; i < owner->endpoints->len; i++) {
		const struct owner_endpoint *endpoint =
		    &g_array_index(owner->endpoints, struct owner_endpoint, i);
		if (endpoint->listed && !endpoint->leaving)
			slots_count += endpoint->slots;
	}
	return slots_count;
}

static void
record_prefix_endpoint(struct owner *owner, const struct owner_request *request)
{
	struct prefix_endpoint *entry;

	if (request->prefix_hash == 0)
		return;
	if (g_hash_table_size(owner->prefix_endpoints) >= PREFIXES_MAX_COUNT)
		g_hash_table_remove_all(owner->prefix_endpoints);
	entry = g_new(struct prefix_endpoint, 1);
	entry->prefix_hash = request->prefix_hash;
	entry->endpoint_id = request->endpoint_id;
	g_hash_table_replace(owner->prefix_endpoints, &entry->prefix_hash,
	    entry);
}

void
owner_endpoint_add_running(struct owner *owner, struct owner_request *request)
{
	struct owner_endpoint *endpoint = owner_endpoint_find(owner,
	    request->endpoint_id);
	struct owner_endpoint unlisted = { .endpoint_id = request->endpoint_id,
		.running_count = 1 };

	record_prefix_endpoint(owner, request);
	if (endpoint == NULL) {
		g_array_append_val(owner->endpoints, unlisted);
		return;
	}
	endpoint->running_count++;
	if (endpoint->eject_ms != 0 && !endpoint->probe_running) {
		endpoint->probe_running = true;
		request->is_probe = true;
	}
}

static void
endpoint_eject(struct owner_endpoint *endpoint, uint64_t now_ms)
{
	endpoint->eject_ms = CLAMP(endpoint->eject_ms * 2, EJECT_MIN_MS,
	    EJECT_MAX_MS);
	endpoint->ejected_until_ms = now_ms + endpoint->eject_ms;
}

void
owner_endpoint_exclude(struct owner *owner, uint64_t endpoint_id,
    uint64_t now_ms)
{
	struct owner_endpoint *endpoint = owner_endpoint_find(owner,
	    endpoint_id);

	if (endpoint != NULL)
		endpoint->excluded_until_ms = now_ms + EXCLUDE_MS;
}

void
owner_endpoint_record_outcome(struct owner *owner,
    const struct owner_request *request, enum done_outcome outcome,
    uint64_t now_ms)
{
	struct owner_endpoint *endpoint = owner_endpoint_find(owner,
	    request->endpoint_id);
	bool is_ejected = endpoint != NULL && endpoint->eject_ms != 0;

	if (endpoint == NULL || (is_ejected && !request->is_probe))
		return;
	if (outcome == DONE_COMPLETE) {
		endpoint->consecutive_failures_count = 0;
		endpoint->eject_ms = 0;
		return;
	}
	endpoint->consecutive_failures_count++;
	if (is_ejected || outcome == DONE_REFUSED ||
	    endpoint->consecutive_failures_count >=
		EJECT_CONSECUTIVE_FAILURES_COUNT)
		endpoint_eject(endpoint, now_ms);
}

bool
owner_has_usable_endpoint(const struct owner *owner)
{
	for (guint i = 0; i < owner->endpoints->len; i++) {
		const struct owner_endpoint *endpoint =
		    &g_array_index(owner->endpoints, struct owner_endpoint, i);
		if (endpoint->listed && !endpoint->leaving)
			return true;
	}
	return false;
}

/* Endpoints that were removed from the table are kept as long as they have
 * running requests. */
static void
remove_idle_unlisted_endpoints(struct owner *owner)
{
	for (guint i = owner->endpoints->len; i > 0; i--) {
		const struct owner_endpoint *endpoint =
		    &g_array_index(owner->endpoints, struct owner_endpoint,
			i - 1);
		if (!endpoint->listed && endpoint->running_count == 0)
			g_array_remove_index(owner->endpoints, i - 1);
	}
}

void
owner_endpoints_set(struct owner *owner, const struct pool *pool)
{
	struct owner_endpoint *endpoint;

	for (guint i = 0; i < owner->endpoints->len; i++) {
		endpoint = &g_array_index(owner->endpoints,
		    struct owner_endpoint, i);
		endpoint->listed = false;
		endpoint->slots = 0;
		endpoint->extra_slots = 0;
	}
	for (uint32_t i = 0; i < pool->endpoint_count; i++) {
		const struct endpoint *configured = &pool->endpoints[i];
		struct owner_endpoint added = {
			.endpoint_id = configured->endpoint_id
		};

		if (owner_endpoint_find(owner, configured->endpoint_id) == NULL)
			g_array_append_val(owner->endpoints, added);
		endpoint = owner_endpoint_find(owner, configured->endpoint_id);
		endpoint->listed = true;
		endpoint->leaving = configured->leaving;
		endpoint->slots = pool->slots_per_endpoint;
		endpoint->extra_slots = pool->extra_slots_per_endpoint;
	}
	remove_idle_unlisted_endpoints(owner);
}

void
owner_set_load(struct owner *owner, uint64_t endpoint_id,
    uint32_t waiting_count, uint64_t now_ms)
{
	struct owner_endpoint *endpoint = owner_endpoint_find(owner,
	    endpoint_id);

	if (endpoint == NULL)
		return;
	endpoint->load_waiting_count = waiting_count;
	endpoint->load_at_ms = now_ms;
}
