#include "core/dispatch_private.h"

/* Engines evict the least recently used segments; entries older than this are
 * treated as evicted. */
#define CACHED_SEGMENT_TTL_MS 9000u
/* Expired entries are removed when an endpoint has more entries than this. */
#define CACHED_SEGMENTS_PURGE_COUNT 2048u
#define CACHED_SEGMENT_MIN_TOKENS 64u

static gboolean
segment_expired(gpointer key, gpointer value, gpointer now_ms)
{
	(void)key;
	return *(uint64_t *)value + CACHED_SEGMENT_TTL_MS < *(uint64_t *)now_ms;
}

static void
mark_used(struct dispatch_endpoint *endpoint, uint64_t segment_id,
    uint64_t now_ms)
{
	uint64_t *used_ms = g_hash_table_lookup(endpoint->cached_segments,
	    &segment_id);
	uint64_t *entry;

	if (used_ms != NULL) {
		*used_ms = now_ms;
		return;
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
}

const struct prompt_segment *
dispatch_shared_segment(const struct dispatch_request *request)
{
	return request->segments_count < 2
	    ? NULL
	    : &request->segments[request->segments_count - 2];
}

void
dispatch_cache_record(struct dispatch_endpoint *endpoint,
    const struct dispatch_request *request, uint64_t now_ms)
{
	for (uint32_t i = 0; i < request->segments_count; i++)
		if (request->segments[i].tokens >= CACHED_SEGMENT_MIN_TOKENS)
			mark_used(endpoint, request->segments[i].segment_id,
			    now_ms);
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
