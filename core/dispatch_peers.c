#include <string.h>

#include "core/dispatch_private.h"
#include "core/hash.h"

/* A peer that is silent for so long counts no longer. */
#define PEER_COUNTS_MS 3000u
/* A hub that is silent for so long is passed over. */
#define HUB_SILENT_MS 700u
/* Fleets up to this size have hubs only. */
#define HUBS_MIN_COUNT 9u
#define DAEMONS_PER_HUB 8u

void
dispatch_peer_free(gpointer pointer)
{
	struct dispatch_peer *peer = pointer;

	g_free(peer->endpoints);
	g_free(peer->accounts);
	g_free(peer);
}

/* Strong daemons come first, then by a hash that spreads the duty. */
static gint
compare_daemons(gconstpointer a, gconstpointer b)
{
	const struct dispatch_daemon *left = a, *right = b;
	uint64_t left_hash = hash_bytes(&left->node_id, sizeof(left->node_id));
	uint64_t right_hash = hash_bytes(&right->node_id,
	    sizeof(right->node_id));

	if (left->strong != right->strong)
		return left->strong ? -1 : 1;
	if (left_hash != right_hash)
		return left_hash < right_hash ? -1 : 1;
	return 0;
}

/* A daemon that is no hub prefers a hub of its own domain. */
static uint64_t
hub_score(const struct dispatch *dispatch, const struct dispatch_daemon *hub)
{
	uint64_t words[] = { dispatch->config.node_id, hub->node_id };
	uint64_t score = hash_bytes(words, sizeof(words)) >> 1;

	return hub->domain_id == dispatch->config.domain_id
	    ? score | (UINT64_C(1) << 63)
	    : score;
}

static gint
compare_hubs(gconstpointer a, gconstpointer b, gpointer context)
{
	uint64_t left = hub_score(context, a), right = hub_score(context, b);

	return left > right ? -1 : left < right;
}

static void
choose_hubs(struct dispatch *dispatch, GArray *hubs)
{
	g_array_set_size(dispatch->hubs, 0);
	g_array_set_size(dispatch->own_hubs, 0);
	dispatch->is_hub = false;
	for (guint i = 0; i < hubs->len; i++)
		dispatch->is_hub |=
		    g_array_index(hubs, struct dispatch_daemon, i).node_id ==
		    dispatch->config.node_id;
	g_array_sort_with_data(hubs, compare_hubs, dispatch);
	for (guint i = 0; i < hubs->len; i++) {
		uint64_t node_id =
		    g_array_index(hubs, struct dispatch_daemon, i).node_id;
		if (node_id == dispatch->config.node_id)
			continue;
		g_array_append_val(dispatch->hubs, node_id);
		if (!dispatch->is_hub)
			g_array_append_val(dispatch->own_hubs, node_id);
	}
	dispatch->hub_index = 0;
	dispatch->hub_since_ms = 0;
}

void
dispatch_set_live(struct dispatch *dispatch,
    const struct dispatch_daemon *daemons, size_t count)
{
	GArray *ranked = g_array_new(FALSE, FALSE,
	    sizeof(struct dispatch_daemon));
	guint hubs_count = MAX(HUBS_MIN_COUNT,
	    (guint)(count / DAEMONS_PER_HUB));

	g_array_append_vals(ranked, daemons, (guint)count);
	g_array_sort(ranked, compare_daemons);
	if (ranked->len > hubs_count)
		g_array_set_size(ranked, hubs_count);
	choose_hubs(dispatch, ranked);
	g_array_free(ranked, TRUE);
	dispatch->live_count = (uint32_t)count;
	dispatch->daemons_most_count = MAX(dispatch->daemons_most_count,
	    (uint32_t)count);
}

void
dispatch_set_proof(struct dispatch *dispatch, enum proof_kind kind,
    uint64_t version, uint64_t as_of_ms)
{
	dispatch->proofs[kind].version = version;
	dispatch->proofs[kind].as_of_ms = as_of_ms;
}

static void
add_work(struct dispatch_work *work, const struct load_endpoint *load)
{
	work->running_count += load->running_count;
	work->reading_tokens += load->reading_tokens;
	work->memory_tokens += load->memory_tokens;
}

static void
add_peer(struct dispatch *dispatch, const struct dispatch_peer *peer)
{
	for (uint32_t i = 0; i < peer->endpoints_count; i++) {
		const struct load_endpoint *load = &peer->endpoints[i];
		struct dispatch_endpoint *endpoint =
		    g_hash_table_lookup(dispatch->endpoints,
			&load->endpoint_id);
		if (endpoint == NULL)
			continue;
		add_work(&endpoint->others, load);
		if (!peer->hub)
			add_work(&endpoint->group, load);
	}
	for (uint32_t i = 0; i < peer->accounts_count; i++) {
		const struct load_account *load = &peer->accounts[i];
		struct dispatch_account *account = dispatch_account(dispatch,
		    load->account_id);
		account->others_asked_tokens += load->asked_tokens;
		account->others_served_tokens += load->served_tokens;
		if (peer->hub)
			continue;
		account->group_asked_tokens += load->asked_tokens;
		account->group_served_tokens += load->served_tokens;
	}
}

void
dispatch_sum_peers(struct dispatch *dispatch)
{
	GHashTableIter iter;
	gpointer value;

	if (!dispatch->peers_changed)
		return;
	dispatch->peers_changed = false;
	g_hash_table_iter_init(&iter, dispatch->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct dispatch_endpoint *endpoint = value;
		memset(&endpoint->others, 0, sizeof(endpoint->others));
		memset(&endpoint->group, 0, sizeof(endpoint->group));
	}
	g_hash_table_iter_init(&iter, dispatch->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct dispatch_account *account = value;
		account->others_asked_tokens = 0;
		account->others_served_tokens = 0;
		account->group_asked_tokens = 0;
		account->group_served_tokens = 0;
	}
	g_hash_table_iter_init(&iter, dispatch->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_peer(dispatch, value);
}

uint32_t
dispatch_peers_age_ms(const struct dispatch *dispatch, uint64_t now_ms)
{
	uint64_t oldest_ms = now_ms;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		oldest_ms = MIN(oldest_ms,
		    ((struct dispatch_peer *)value)->heard_ms);
	return (uint32_t)(now_ms - oldest_ms);
}

static bool
is_listed(const GArray *node_ids, uint64_t node_id)
{
	for (guint i = 0; i < node_ids->len; i++)
		if (g_array_index(node_ids, uint64_t, i) == node_id)
			return true;
	return false;
}

uint64_t
dispatch_hub(const struct dispatch *dispatch)
{
	return dispatch->own_hubs->len == 0
	    ? 0
	    : g_array_index(dispatch->own_hubs, uint64_t, dispatch->hub_index);
}

/* What a report proves of this daemon's own copies. */
static void
read_proof(const struct load_proof *told, uint64_t echo_ms,
    struct dispatch_proof *proof)
{
	memset(proof, 0, sizeof(*proof));
	if (told->version == 0)
		return;
	proof->version = told->version;
	if (echo_ms != 0 && told->age_ms != UINT32_MAX &&
	    echo_ms > told->age_ms)
		proof->as_of_ms = echo_ms - told->age_ms;
}

static void
write_proof(const struct dispatch_proof *proof, uint64_t stamp_ms,
    struct load_proof *told)
{
	told->version = proof->version;
	told->age_ms = proof->as_of_ms == 0
	    ? UINT32_MAX
	    : (uint32_t)MIN(stamp_ms - proof->as_of_ms, UINT32_MAX - 1);
}

void
dispatch_handle(struct dispatch *dispatch, const struct msg *msg,
    uint64_t now_ms, struct dispatch_proof proofs[PROOF_KIND_COUNT])
{
	const struct msg_load *load = &msg->u.load;
	struct dispatch_peer *peer;

	for (int kind = 0; kind < PROOF_KIND_COUNT; kind++)
		read_proof(&load->proofs[kind], load->echo_ms, &proofs[kind]);
	/* the present hub speaks for all the others */
	if (!dispatch->is_hub) {
		if (msg->from_node_id != dispatch_hub(dispatch))
			return;
		g_hash_table_remove_all(dispatch->peers);
	}
	peer = g_new0(struct dispatch_peer, 1);
	peer->node_id = msg->from_node_id;
	peer->heard_ms = now_ms;
	peer->stamp_ms = load->stamp_ms;
	peer->hub = is_listed(dispatch->hubs, peer->node_id);
	peer->endpoints_count = load->endpoints_count;
	peer->accounts_count = load->accounts_count;
	peer->endpoints = g_memdup2(load->endpoints,
	    load->endpoints_count * sizeof(*load->endpoints));
	peer->accounts = g_memdup2(load->accounts,
	    load->accounts_count * sizeof(*load->accounts));
	g_hash_table_replace(dispatch->peers, &peer->node_id, peer);
	dispatch_hear_kept(dispatch, load, peer);
	dispatch->peers_changed = true;
}

static gboolean
peer_is_old(gpointer key, gpointer value, gpointer now_ms)
{
	const struct dispatch_peer *peer = value;

	(void)key;
	return peer->heard_ms + PEER_COUNTS_MS < *(uint64_t *)now_ms;
}

static const struct load_endpoint *
reported_work(const struct dispatch_peer *peer, uint64_t endpoint_id)
{
	for (uint32_t i = 0; peer != NULL && i < peer->endpoints_count; i++)
		if (peer->endpoints[i].endpoint_id == endpoint_id)
			return &peer->endpoints[i];
	return NULL;
}

static const struct load_account *
reported_account(const struct dispatch_peer *peer, uint64_t account_id)
{
	for (uint32_t i = 0; peer != NULL && i < peer->accounts_count; i++)
		if (peer->accounts[i].account_id == account_id)
			return &peer->accounts[i];
	return NULL;
}

/* The work that a peer is told of: a hub is told of this daemon and those that
 * report to it, another daemon of all but its own. */
static void
fill_endpoint(const struct dispatch_endpoint *endpoint,
    const struct dispatch_peer *member, struct load_endpoint *item)
{
	const struct dispatch_work *more = member == NULL ? &endpoint->group
							  : &endpoint->others;
	const struct load_endpoint *own = reported_work(member,
	    endpoint->endpoint_id);

	item->endpoint_id = endpoint->endpoint_id;
	item->running_count = endpoint->own.running_count + more->running_count;
	item->reading_tokens = (uint32_t)(endpoint->own.reading_tokens +
	    more->reading_tokens);
	item->memory_tokens = (uint32_t)(endpoint->own.memory_tokens +
	    more->memory_tokens);
	if (own == NULL)
		return;
	item->running_count -= own->running_count;
	item->reading_tokens -= own->reading_tokens;
	item->memory_tokens -= own->memory_tokens;
}

static void
fill_account(const struct dispatch_account *account,
    const struct dispatch_peer *member, struct load_account *item)
{
	const struct load_account *own = reported_account(member,
	    account->account_id);

	item->account_id = account->account_id;
	item->asked_tokens = (uint32_t)(account->asked_tokens +
	    (member == NULL ? account->group_asked_tokens
			    : account->others_asked_tokens));
	item->served_tokens = (uint32_t)(account->served_tokens +
	    (member == NULL ? account->group_served_tokens
			    : account->others_served_tokens));
	if (own == NULL)
		return;
	item->asked_tokens -= own->asked_tokens;
	item->served_tokens -= own->served_tokens;
}

static void
fill_endpoints(const struct dispatch *dispatch,
    const struct dispatch_peer *member, struct msg_load *load)
{
	GArray *items = g_array_new(FALSE, TRUE, sizeof(struct load_endpoint));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct load_endpoint item;
		fill_endpoint(value, member, &item);
		if (item.running_count > 0 && items->len < ENDPOINTS_MAX_COUNT)
			g_array_append_val(items, item);
	}
	load->endpoints_count = items->len;
	load->endpoints = (void *)g_array_free(items, FALSE);
}

static void
fill_accounts(const struct dispatch *dispatch,
    const struct dispatch_peer *member, struct msg_load *load)
{
	GArray *items = g_array_new(FALSE, TRUE, sizeof(struct load_account));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct load_account item;
		fill_account(value, member, &item);
		if (item.asked_tokens > 0 &&
		    items->len < LOAD_ACCOUNTS_MAX_COUNT)
			g_array_append_val(items, item);
	}
	load->accounts_count = items->len;
	load->accounts = (void *)g_array_free(items, FALSE);
}

static void
report(struct dispatch *dispatch, uint64_t to_node_id,
    const struct dispatch_peer *member, uint64_t stamp_ms,
    struct effects *effects)
{
	const struct dispatch_peer *peer = g_hash_table_lookup(dispatch->peers,
	    &to_node_id);
	struct msg_load *load = &effects_send(effects, to_node_id, MSG_LOAD)
				     ->u.load;

	load->stamp_ms = stamp_ms;
	load->echo_ms = peer == NULL ? 0 : peer->stamp_ms;
	for (int kind = 0; kind < PROOF_KIND_COUNT; kind++)
		write_proof(&dispatch->proofs[kind], stamp_ms,
		    &load->proofs[kind]);
	fill_endpoints(dispatch, member, load);
	fill_accounts(dispatch, member, load);
	dispatch_fill_kept(dispatch, member, load);
}

static void
report_as_hub(struct dispatch *dispatch, uint64_t stamp_ms,
    struct effects *effects)
{
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < dispatch->hubs->len; i++)
		report(dispatch, g_array_index(dispatch->hubs, uint64_t, i),
		    NULL, stamp_ms, effects);
	g_hash_table_iter_init(&iter, dispatch->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct dispatch_peer *peer = value;
		if (!peer->hub)
			report(dispatch, peer->node_id, peer, stamp_ms,
			    effects);
	}
}

/* Reports to the first hub that answers. */
static void
report_to_hub(struct dispatch *dispatch, uint64_t now_ms, uint64_t stamp_ms,
    struct effects *effects)
{
	uint64_t hub_id = dispatch_hub(dispatch);
	const struct dispatch_peer *hub = g_hash_table_lookup(dispatch->peers,
	    &hub_id);
	uint64_t heard_ms = hub == NULL ? dispatch->hub_since_ms
					: hub->heard_ms;

	if (dispatch->own_hubs->len == 0)
		return;
	if (dispatch->hub_since_ms == 0)
		dispatch->hub_since_ms = now_ms;
	else if (now_ms >
	    MAX(heard_ms, dispatch->hub_since_ms) + HUB_SILENT_MS) {
		dispatch->hub_index = (dispatch->hub_index + 1) %
		    dispatch->own_hubs->len;
		dispatch->hub_since_ms = now_ms;
	}
	report(dispatch, dispatch_hub(dispatch), NULL, stamp_ms, effects);
}

void
dispatch_tick(struct dispatch *dispatch, uint64_t now_ms, uint64_t stamp_ms,
    struct effects *effects)
{
	if (g_hash_table_foreach_remove(dispatch->peers, peer_is_old, &now_ms) >
	    0)
		dispatch->peers_changed = true;
	dispatch_sum_peers(dispatch);
	dispatch_update_shares(dispatch, now_ms);
	if (now_ms < dispatch->report_due_ms)
		return;
	dispatch->report_due_ms = now_ms + dispatch->config.report_period_ms;
	if (dispatch->is_hub)
		report_as_hub(dispatch, stamp_ms, effects);
	else
		report_to_hub(dispatch, now_ms, stamp_ms, effects);
	g_array_set_size(dispatch->kept_news, 0);
}
