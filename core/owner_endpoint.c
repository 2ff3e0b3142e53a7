#include <string.h>

#include "core/owner_private.h"

#define EJECT_AFTER_FAILURES_COUNT 3u
#define EJECT_MIN_MS 1000u
#define EJECT_MAX_MS 30000u
/* While daemons have unlike tables. */
#define HOLD_MS 500u
#define LOAD_FRESH_MS 2000u
#define PREFIXES_MAX_COUNT 4096u

/* Where a prompt prefix was last sent. */
struct prefix_place {
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

/* Whether an endpoint takes new work, slots apart. */
static bool
endpoint_open(const struct owner_endpoint *endpoint, uint64_t now_ms)
{
	if (!endpoint->listed || endpoint->leaving ||
	    now_ms < endpoint->held_until_ms)
		return false;
	if (endpoint->eject_ms == 0)
		return true;
	return now_ms >= endpoint->ejected_until_ms && !endpoint->probing;
}

/* Free slots less what the endpoint itself says to have waiting. */
static int64_t
endpoint_room(const struct owner_endpoint *endpoint, uint64_t now_ms)
{
	int64_t room = (int64_t)endpoint->slots + endpoint->extra_slots -
	    endpoint->running_count;

	if (now_ms < endpoint->load_at_ms + LOAD_FRESH_MS)
		room -= endpoint->load_waiting_count;
	return room;
}

static uint64_t
prefix_endpoint_id(const struct owner *owner, uint64_t prefix_hash)
{
	const struct prefix_place *place = g_hash_table_lookup(owner->prefixes,
	    &prefix_hash);

	return place == NULL ? 0 : place->endpoint_id;
}

/* The best open endpoint below its limit of running requests. The endpoint
 * with the request's prefix in its cache counts as half empty of its slots
 * more than it is; one that failed the request comes last. */
static struct owner_endpoint *
choose_below_limit(const struct owner *owner,
    const struct owner_request *request, bool with_extra, uint64_t now_ms)
{
	uint64_t prefix_id = prefix_endpoint_id(owner, request->prefix_hash);
	struct owner_endpoint *best = NULL;
	int64_t best_room = 0, room;

	for (guint i = 0; i < owner->endpoints->len; i++) {
		struct owner_endpoint *endpoint =
		    &g_array_index(owner->endpoints, struct owner_endpoint, i);
		uint32_t limit = endpoint->slots +
		    (with_extra ? endpoint->extra_slots : 0);

		if (!endpoint_open(endpoint, now_ms) ||
		    endpoint->running_count >= limit)
			continue;
		room = endpoint_room(endpoint, now_ms);
		if (endpoint->endpoint_id == prefix_id)
			room += endpoint->slots / 2;
		if (endpoint->endpoint_id == request->avoid_endpoint_id)
			room = INT64_MIN;
		if (best == NULL || room > best_room) {
			best = endpoint;
			best_room = room;
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
remember_prefix(struct owner *owner, const struct owner_request *request)
{
	struct prefix_place *place;

	if (request->prefix_hash == 0)
		return;
	if (g_hash_table_size(owner->prefixes) >= PREFIXES_MAX_COUNT)
		g_hash_table_remove_all(owner->prefixes);
	place = g_new(struct prefix_place, 1);
	place->prefix_hash = request->prefix_hash;
	place->endpoint_id = request->endpoint_id;
	g_hash_table_replace(owner->prefixes, &place->prefix_hash, place);
}

void
owner_endpoint_started(struct owner *owner, struct owner_request *request)
{
	struct owner_endpoint *endpoint = owner_endpoint_find(owner,
	    request->endpoint_id);
	struct owner_endpoint unlisted = { .endpoint_id = request->endpoint_id,
		.running_count = 1 };

	remember_prefix(owner, request);
	if (endpoint == NULL) {
		g_array_append_val(owner->endpoints, unlisted);
		return;
	}
	endpoint->running_count++;
	if (endpoint->eject_ms != 0 && !endpoint->probing) {
		endpoint->probing = true;
		request->probe = true;
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
owner_endpoint_hold(struct owner *owner, uint64_t endpoint_id, uint64_t now_ms)
{
	struct owner_endpoint *endpoint = owner_endpoint_find(owner,
	    endpoint_id);

	if (endpoint != NULL)
		endpoint->held_until_ms = now_ms + HOLD_MS;
}

void
owner_endpoint_ended(struct owner *owner, const struct owner_request *request,
    enum done_outcome outcome, uint64_t now_ms)
{
	struct owner_endpoint *endpoint = owner_endpoint_find(owner,
	    request->endpoint_id);
	bool is_ejected = endpoint != NULL && endpoint->eject_ms != 0;

	if (endpoint == NULL || (is_ejected && !request->probe))
		return;
	if (outcome == DONE_WHOLE) {
		endpoint->failures_count = 0;
		endpoint->eject_ms = 0;
		return;
	}
	endpoint->failures_count++;
	if (is_ejected || outcome == DONE_REFUSED ||
	    endpoint->failures_count >= EJECT_AFTER_FAILURES_COUNT)
		endpoint_eject(endpoint, now_ms);
}

bool
owner_endpoints_usable(const struct owner *owner)
{
	for (guint i = 0; i < owner->endpoints->len; i++) {
		const struct owner_endpoint *endpoint =
		    &g_array_index(owner->endpoints, struct owner_endpoint, i);
		if (endpoint->listed && !endpoint->leaving)
			return true;
	}
	return false;
}

/* Keeps endpoints that left the table until their last request has ended. */
static void
endpoints_drop_empty(struct owner *owner)
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
	struct owner_endpoint *state;

	for (guint i = 0; i < owner->endpoints->len; i++) {
		state = &g_array_index(owner->endpoints, struct owner_endpoint,
		    i);
		state->listed = false;
		state->slots = 0;
		state->extra_slots = 0;
	}
	for (uint32_t i = 0; i < pool->endpoint_count; i++) {
		const struct endpoint *row = &pool->endpoints[i];
		struct owner_endpoint added = {
			.endpoint_id = row->endpoint_id
		};

		if (owner_endpoint_find(owner, row->endpoint_id) == NULL)
			g_array_append_val(owner->endpoints, added);
		state = owner_endpoint_find(owner, row->endpoint_id);
		state->listed = true;
		state->leaving = row->leaving;
		state->slots = pool->slots_per_endpoint;
		state->extra_slots = pool->extra_slots_per_endpoint;
	}
	endpoints_drop_empty(owner);
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
