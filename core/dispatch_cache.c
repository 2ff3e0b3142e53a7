#include "core/dispatch_private.h"

/* Engines evict the least recently used segments; entries older than this are
 * treated as evicted. */
#define CACHED_SEGMENT_TTL_MS 9000u
/* Expired entries are removed when an endpoint has more entries than this. */
#define CACHED_SEGMENTS_PURGE_COUNT 2048u
#define CACHED_SEGMENT_MIN_TOKENS 64u
/* Peers are told of shared segments of at least this size, again after each
 * period as long as the segments stay in use. */
#define ANNOUNCED_SEGMENT_MIN_TOKENS 1000u
#define ANNOUNCE_PERIOD_MS 2000u

static gboolean
segment_expired(gpointer key, gpointer value, gpointer now_ms)
{
	(void)key;
	return *(uint64_t *)value + CACHED_SEGMENT_TTL_MS < *(uint64_t *)now_ms;
}

/* @return time of the segment's previous use at the endpoint, 0 if none */
static uint64_t
mark_used(struct dispatch_endpoint *endpoint, uint64_t segment_id,
    uint64_t now_ms)
{
	uint64_t *used_ms = g_hash_table_lookup(endpoint->cached_segments,
	    &segment_id);
	uint64_t *entry, previous_use_ms;

	if (used_ms != NULL) {
		previous_use_ms = *used_ms;
		*used_ms = now_ms;
		return previous_use_ms;
	}
	if (g_hash_table_size(endpoint->cached_segments) >
	    CACHED_SEGMENTS_PURGE_COUNT)
		g_hash_table_foreach_remove(endpoint->cached_segments,
		    segment_expired, &now_ms);
	/* key and value share one block, which is freed with the key */
	entry = g_new(uint64_t, 2);
	entry[0] = segment_id;
	entry[1] = now_ms;
	g_hash_table_insert(endpoint->cached_segments, entry, entry + 1);
	return 0;
}

static void
queue_update(struct dispatch *dispatch, const struct load_cached_segment *item,
    uint64_t from_node_id, bool from_hub)
{
	struct dispatch_cache_update update = { *item, from_node_id, from_hub };

	if (dispatch->cache_updates->len < LOAD_CACHED_SEGMENTS_MAX_COUNT)
		g_array_append_val(dispatch->cache_updates, update);
}

const struct prompt_segment *
dispatch_shared_segment(const struct dispatch_request *request)
{
	return request->segments_count < 2
	    ? NULL
	    : &request->segments[request->segments_count - 2];
}

void
dispatch_cache_record(struct dispatch *dispatch,
    struct dispatch_endpoint *endpoint, const struct dispatch_request *request,
    uint64_t now_ms)
{
	const struct prompt_segment *shared = dispatch_shared_segment(request);

	for (uint32_t i = 0; i < request->segments_count; i++) {
		const struct prompt_segment *segment = &request->segments[i];
		struct load_cached_segment item = { endpoint->endpoint_id,
			segment->segment_id };
		uint64_t previous_use_ms;

		if (segment->tokens < CACHED_SEGMENT_MIN_TOKENS)
			continue;
		previous_use_ms = mark_used(endpoint, segment->segment_id,
		    now_ms);
		if (segment == shared &&
		    segment->tokens >= ANNOUNCED_SEGMENT_MIN_TOKENS &&
		    now_ms >= previous_use_ms + ANNOUNCE_PERIOD_MS)
			queue_update(dispatch, &item, dispatch->config.node_id,
			    false);
	}
}

void
dispatch_cache_handle_updates(struct dispatch *dispatch,
    const struct msg_load *load, const struct dispatch_peer *peer)
{
	for (uint32_t i = 0; i < load->cached_segments_count; i++) {
		const struct load_cached_segment *item =
		    &load->cached_segments[i];
		struct dispatch_endpoint *endpoint =
		    g_hash_table_lookup(dispatch->endpoints,
			&item->endpoint_id);

		if (endpoint != NULL)
			mark_used(endpoint, item->segment_id,
			    peer->received_ms);
		if (dispatch->is_hub)
			queue_update(dispatch, item, peer->node_id,
			    peer->is_hub);
	}
}

/* A hub forwards the updates of its own group to other hubs, and to each member
 * of its group all updates except the member's own. */
static bool
is_meant_for(const struct dispatch_cache_update *update,
    const struct dispatch_peer *member)
{
	return member == NULL ? !update->from_hub
			      : update->from_node_id != member->node_id;
}

void
dispatch_cache_fill_report(const struct dispatch *dispatch,
    const struct dispatch_peer *member, struct msg_load *load)
{
	GArray *items = g_array_new(FALSE, FALSE,
	    sizeof(struct load_cached_segment));

	for (guint i = 0; i < dispatch->cache_updates->len; i++) {
		const struct dispatch_cache_update *update =
		    &g_array_index(dispatch->cache_updates,
			struct dispatch_cache_update, i);
		if (is_meant_for(update, member))
			g_array_append_val(items, update->item);
	}
	load->cached_segments_count = items->len;
	load->cached_segments = (void *)g_array_free(items, FALSE);
}

uint64_t
dispatch_uncached_tokens(const struct dispatch_endpoint *endpoint,
    const struct dispatch_request *request, uint64_t now_ms)
{
	uint64_t cached_tokens = 0;
	uint32_t cached_segments_count = 0;

	/* a cached segment implies that all segments before it are cached */
	for (uint32_t i = request->segments_count;
	     i > 0 && cached_segments_count == 0; i--) {
		const uint64_t *used_ms =
		    g_hash_table_lookup(endpoint->cached_segments,
			&request->segments[i - 1].segment_id);
		if (used_ms != NULL &&
		    now_ms < *used_ms + CACHED_SEGMENT_TTL_MS)
			cached_segments_count = i;
	}
	for (uint32_t i = 0; i < cached_segments_count; i++)
		cached_tokens += request->segments[i].tokens;
	return request->prompt_tokens > cached_tokens
	    ? request->prompt_tokens - cached_tokens
	    : 1;
}
