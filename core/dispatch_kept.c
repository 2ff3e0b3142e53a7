#include "core/dispatch_private.h"

/* Engines drop what was used least lately; what is older counts as dropped. */
#define KEPT_MS 9000u
#define KEPT_MAX_COUNT 2048u
#define KEPT_PART_MIN_TOKENS 64u
/* Peers are told of shared parts from this size on, once in a while as long as
 * they stay in use. */
#define NEWS_MIN_TOKENS 1000u
#define NEWS_PERIOD_MS 2000u

static gboolean
kept_expired(gpointer key, gpointer value, gpointer now_ms)
{
	(void)key;
	return *(uint64_t *)value + KEPT_MS < *(uint64_t *)now_ms;
}

/* @return when the part was used there before, 0: never */
static uint64_t
note_part(struct dispatch_endpoint *endpoint, uint64_t part_id, uint64_t now_ms)
{
	uint64_t *used_ms = g_hash_table_lookup(endpoint->kept, &part_id);
	uint64_t *entry, before_ms;

	if (used_ms != NULL) {
		before_ms = *used_ms;
		*used_ms = now_ms;
		return before_ms;
	}
	if (g_hash_table_size(endpoint->kept) > KEPT_MAX_COUNT)
		g_hash_table_foreach_remove(endpoint->kept, kept_expired,
		    &now_ms);
	/* key and value in one block, which the key frees */
	entry = g_new(uint64_t, 2);
	entry[0] = part_id;
	entry[1] = now_ms;
	g_hash_table_insert(endpoint->kept, entry, entry + 1);
	return 0;
}

static void
add_news(struct dispatch *dispatch, const struct load_kept *item,
    uint64_t from_node_id, bool from_hub)
{
	struct dispatch_kept_news news = { *item, from_node_id, from_hub };

	if (dispatch->kept_news->len < LOAD_KEPT_MAX_COUNT)
		g_array_append_val(dispatch->kept_news, news);
}

const struct prompt_part *
dispatch_shared_part(const struct dispatch_ask *ask)
{
	return ask->parts_count < 2 ? NULL : &ask->parts[ask->parts_count - 2];
}

void
dispatch_note_kept(struct dispatch *dispatch,
    struct dispatch_endpoint *endpoint, const struct dispatch_ask *ask,
    uint64_t now_ms)
{
	const struct prompt_part *shared = dispatch_shared_part(ask);

	for (uint32_t i = 0; i < ask->parts_count; i++) {
		const struct prompt_part *part = &ask->parts[i];
		struct load_kept item = { endpoint->endpoint_id,
			part->part_id };
		uint64_t before_ms;

		if (part->tokens < KEPT_PART_MIN_TOKENS)
			continue;
		before_ms = note_part(endpoint, part->part_id, now_ms);
		if (part == shared && part->tokens >= NEWS_MIN_TOKENS &&
		    now_ms >= before_ms + NEWS_PERIOD_MS)
			add_news(dispatch, &item, dispatch->config.node_id,
			    false);
	}
}

void
dispatch_hear_kept(struct dispatch *dispatch, const struct msg_load *load,
    const struct dispatch_peer *peer)
{
	for (uint32_t i = 0; i < load->kept_count; i++) {
		const struct load_kept *item = &load->kept[i];
		struct dispatch_endpoint *endpoint =
		    g_hash_table_lookup(dispatch->endpoints,
			&item->endpoint_id);

		if (endpoint != NULL)
			note_part(endpoint, item->part_id, peer->heard_ms);
		if (dispatch->is_hub)
			add_news(dispatch, item, peer->node_id, peer->hub);
	}
}

/* A hub tells other hubs of its own group only, and each member of what it
 * doesn't know from itself. */
static bool
is_for(const struct dispatch_kept_news *news,
    const struct dispatch_peer *member)
{
	return member == NULL ? !news->from_hub
			      : news->from_node_id != member->node_id;
}

void
dispatch_fill_kept(const struct dispatch *dispatch,
    const struct dispatch_peer *member, struct msg_load *load)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct load_kept));

	for (guint i = 0; i < dispatch->kept_news->len; i++) {
		const struct dispatch_kept_news *news =
		    &g_array_index(dispatch->kept_news,
			struct dispatch_kept_news, i);
		if (is_for(news, member))
			g_array_append_val(items, news->item);
	}
	load->kept_count = items->len;
	load->kept = (void *)g_array_free(items, FALSE);
}

uint64_t
dispatch_unread_tokens(const struct dispatch_endpoint *endpoint,
    const struct dispatch_ask *ask, uint64_t now_ms)
{
	uint64_t kept_tokens = 0;
	uint32_t kept_count = 0;

	/* a part that is kept shows that all before it are */
	for (uint32_t i = ask->parts_count; i > 0 && kept_count == 0; i--) {
		const uint64_t *used_ms = g_hash_table_lookup(endpoint->kept,
		    &ask->parts[i - 1].part_id);
		if (used_ms != NULL && now_ms < *used_ms + KEPT_MS)
			kept_count = i;
	}
	for (uint32_t i = 0; i < kept_count; i++)
		kept_tokens += ask->parts[i].tokens;
	return ask->prompt_tokens > kept_tokens
	    ? ask->prompt_tokens - kept_tokens
	    : 1;
}
