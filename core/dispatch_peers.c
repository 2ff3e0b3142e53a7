#include <string.h>

#include "core/dispatch_private.h"
#include "core/hash.h"

/* Load reports of peers that are silent for longer are dropped. */
#define PEER_EXPIRY_MS 3000u
/* A daemon switches to its next hub if the current one is silent for longer. */
#define HUB_TIMEOUT_MS 700u
/* In fleets up to this size, all daemons are hubs. */
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

/* Prefers daemons with spare processor time as hubs, then sorts by a hash that
 * spreads the role over the fleet. */
static gint
compare_daemons(gconstpointer a, gconstpointer b)
{
	const struct dispatch_daemon *left = a, *right = b;
	uint64_t left_hash = hash_bytes(&left->node_id, sizeof(left->node_id));
	uint64_t right_hash = hash_bytes(&right->node_id,
	    sizeof(right->node_id));

	if (left->high_cpu != right->high_cpu)
		return left->high_cpu ? -1 : 1;
	if (left_hash != right_hash)
		return left_hash < right_hash ? -1 : 1;
	return 0;
}

/* A daemon that is not a hub prefers hubs in its own failure domain. */
static uint64_t
hub_preference(const struct dispatch *dispatch,
    const struct dispatch_daemon *hub)
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
	uint64_t left = hub_preference(context, a),
		 right = hub_preference(context, b);

	return left > right ? -1 : left < right;
}

static void
choose_hubs(struct dispatch *dispatch, GArray *hubs)
{
	g_array_set_size(dispatch->hubs, 0);
	g_array_set_size(dispatch->hub_candidates, 0);
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
			g_array_append_val(dispatch->hub_candidates, node_id);
	}
	dispatch->hub_index = 0;
	dispatch->hub_chosen_ms = 0;
}

void
dispatch_set_daemons(struct dispatch *dispatch,
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
	dispatch->daemons_peak_count = MAX(dispatch->daemons_peak_count,
	    (uint32_t)count);
	g_array_set_size(dispatch->live_ids, 0);
	for (size_t i = 0; i < count; i++)
		g_array_append_val(dispatch->live_ids, daemons[i].node_id);
	dispatch_update_holders(dispatch);
}

void
dispatch_set_freshness(struct dispatch *dispatch, enum resource_kind kind,
    uint64_t version, uint64_t as_of_ms)
{
	dispatch->freshness[kind].version = version;
	dispatch->freshness[kind].as_of_ms = as_of_ms;
}

static void
add_load(struct dispatch_load *sum, const struct load_endpoint *load)
{
	sum->running_count += load->running_count;
	sum->prefill_tokens += load->prefill_tokens;
	sum->kv_tokens += load->kv_tokens;
}

static void
add_peer_load(struct dispatch *dispatch, const struct dispatch_peer *peer)
{
	for (uint32_t i = 0; i < peer->endpoints_count; i++) {
		const struct load_endpoint *load = &peer->endpoints[i];
		struct dispatch_endpoint *endpoint =
		    g_hash_table_lookup(dispatch->endpoints,
			&load->endpoint_id);
		if (endpoint == NULL)
			continue;
		add_load(&endpoint->remote, load);
		if (!peer->is_hub)
			add_load(&endpoint->group, load);
	}
	for (uint32_t i = 0; i < peer->accounts_count; i++) {
		const struct load_account *load = &peer->accounts[i];
		struct dispatch_account *account =
		    dispatch_get_account(dispatch, load->account_id);
		account->remote_asked_tokens += load->asked_tokens;
		account->remote_served_tokens += load->served_tokens;
		if (peer->is_hub)
			continue;
		account->group_asked_tokens += load->asked_tokens;
		account->group_served_tokens += load->served_tokens;
	}
}

void
dispatch_sum_remote_load(struct dispatch *dispatch)
{
	GHashTableIter iter;
	gpointer value;

	if (!dispatch->peers_changed)
		return;
	dispatch->peers_changed = false;
	g_hash_table_iter_init(&iter, dispatch->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct dispatch_endpoint *endpoint = value;
		memset(&endpoint->remote, 0, sizeof(endpoint->remote));
		memset(&endpoint->group, 0, sizeof(endpoint->group));
	}
	g_hash_table_iter_init(&iter, dispatch->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct dispatch_account *account = value;
		account->remote_asked_tokens = 0;
		account->remote_served_tokens = 0;
		account->group_asked_tokens = 0;
		account->group_served_tokens = 0;
	}
	g_hash_table_iter_init(&iter, dispatch->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_peer_load(dispatch, value);
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
		    ((struct dispatch_peer *)value)->received_ms);
	return (uint32_t)(now_ms - oldest_ms);
}

static bool
contains(const GArray *node_ids, uint64_t node_id)
{
	for (guint i = 0; i < node_ids->len; i++)
		if (g_array_index(node_ids, uint64_t, i) == node_id)
			return true;
	return false;
}

uint64_t
dispatch_hub_id(const struct dispatch *dispatch)
{
	return dispatch->hub_candidates->len == 0
	    ? 0
	    : g_array_index(dispatch->hub_candidates, uint64_t,
		  dispatch->hub_index);
}

/* Converts the freshness in a peer's load report to this daemon's clock. The
 * age counts back from the echoed stamp, which this daemon sent before the peer
 * measured the age, so that a copy never appears fresher than it is. */
static void
read_freshness(const struct load_freshness *reported, uint64_t echo_ms,
    struct dispatch_freshness *freshness)
{
	memset(freshness, 0, sizeof(*freshness));
	if (reported->version == 0)
		return;
	freshness->version = reported->version;
	if (echo_ms != 0 && reported->age_ms != UINT32_MAX &&
	    echo_ms > reported->age_ms)
		freshness->as_of_ms = echo_ms - reported->age_ms;
}

static void
write_freshness(const struct dispatch_freshness *freshness, uint64_t stamp_ms,
    struct load_freshness *reported)
{
	reported->version = freshness->version;
	reported->age_ms = freshness->as_of_ms == 0
	    ? UINT32_MAX
	    : (uint32_t)MIN(stamp_ms - freshness->as_of_ms, UINT32_MAX - 1);
}

void
dispatch_handle_load_report(struct dispatch *dispatch, const struct msg *msg,
    uint64_t now_ms, struct dispatch_freshness freshness[RESOURCE_KIND_COUNT])
{
	const struct msg_load *load = &msg->u.load;
	struct dispatch_peer *peer;

	for (int kind = 0; kind < RESOURCE_KIND_COUNT; kind++)
		read_freshness(&load->freshness[kind], load->echo_ms,
		    &freshness[kind]);
	if (!g_hash_table_contains(dispatch->peers, &msg->from_node_id))
		crash_suspects_announce_again(&dispatch->crash_suspects);
	/* the current hub reports the load of all other daemons */
	if (!dispatch->is_hub) {
		if (msg->from_node_id != dispatch_hub_id(dispatch))
			return;
		g_hash_table_remove_all(dispatch->peers);
	}
	peer = g_new0(struct dispatch_peer, 1);
	peer->node_id = msg->from_node_id;
	peer->received_ms = now_ms;
	peer->stamp_ms = load->stamp_ms;
	peer->is_hub = contains(dispatch->hubs, peer->node_id);
	peer->endpoints_count = load->endpoints_count;
	peer->accounts_count = load->accounts_count;
	peer->endpoints = g_memdup2(load->endpoints,
	    load->endpoints_count * sizeof(*load->endpoints));
	peer->accounts = g_memdup2(load->accounts,
	    load->accounts_count * sizeof(*load->accounts));
	g_hash_table_replace(dispatch->peers, &peer->node_id, peer);
	dispatch_cache_handle_updates(dispatch, load, peer);
	dispatch->peers_changed = true;
}

static gboolean
peer_expired(gpointer key, gpointer value, gpointer now_ms)
{
	const struct dispatch_peer *peer = value;

	(void)key;
	return peer->received_ms + PEER_EXPIRY_MS < *(uint64_t *)now_ms;
}

static const struct load_endpoint *
reported_endpoint(const struct dispatch_peer *peer, uint64_t endpoint_id)
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

/* Fills in the load that a peer is told of: for a hub, the load of this daemon
 * and its group; for a member, the load of all daemons except the member. */
static void
fill_endpoint(const struct dispatch_endpoint *endpoint,
    const struct dispatch_peer *member, struct load_endpoint *item)
{
	const struct dispatch_load *rest = member == NULL ? &endpoint->group
							  : &endpoint->remote;
	const struct load_endpoint *contribution = reported_endpoint(member,
	    endpoint->endpoint_id);

	item->endpoint_id = endpoint->endpoint_id;
	item->running_count = endpoint->local.running_count +
	    rest->running_count;
	item->prefill_tokens = (uint32_t)(endpoint->local.prefill_tokens +
	    rest->prefill_tokens);
	item->kv_tokens = (uint32_t)(endpoint->local.kv_tokens +
	    rest->kv_tokens);
	if (contribution == NULL)
		return;
	item->running_count -= contribution->running_count;
	item->prefill_tokens -= contribution->prefill_tokens;
	item->kv_tokens -= contribution->kv_tokens;
}

static void
fill_account(const struct dispatch_account *account,
    const struct dispatch_peer *member, struct load_account *item)
{
	const struct load_account *contribution = reported_account(member,
	    account->account_id);

	item->account_id = account->account_id;
	item->asked_tokens = (uint32_t)(account->asked_tokens +
	    (member == NULL ? account->group_asked_tokens
			    : account->remote_asked_tokens));
	item->served_tokens = (uint32_t)(account->served_tokens +
	    (member == NULL ? account->group_served_tokens
			    : account->remote_served_tokens));
	if (contribution == NULL)
		return;
	item->asked_tokens -= contribution->asked_tokens;
	item->served_tokens -= contribution->served_tokens;
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
send_report(struct dispatch *dispatch, uint64_t to_node_id,
    const struct dispatch_peer *member, uint64_t stamp_ms,
    struct effects *effects)
{
	const struct dispatch_peer *peer = g_hash_table_lookup(dispatch->peers,
	    &to_node_id);
	struct msg_load *load = &effects_send(effects, to_node_id, MSG_LOAD)
				     ->u.load;

	load->stamp_ms = stamp_ms;
	load->echo_ms = peer == NULL ? 0 : peer->stamp_ms;
	for (int kind = 0; kind < RESOURCE_KIND_COUNT; kind++)
		write_freshness(&dispatch->freshness[kind], stamp_ms,
		    &load->freshness[kind]);
	fill_endpoints(dispatch, member, load);
	fill_accounts(dispatch, member, load);
	dispatch_cache_fill_report(dispatch, member, load);
}

void
dispatch_send_to_peers(const struct dispatch *dispatch, enum msg_type type,
    void (*fill)(const GArray *items, struct msg *msg), const GArray *items,
    struct effects *effects)
{
	uint64_t hub_id = dispatch_hub_id(dispatch);
	GHashTableIter iter;
	gpointer value;

	if (hub_id != 0)
		fill(items, effects_send(effects, hub_id, type));
	if (!dispatch->is_hub)
		return;
	for (guint i = 0; i < dispatch->hubs->len; i++)
		fill(items,
		    effects_send(effects,
			g_array_index(dispatch->hubs, uint64_t, i), type));
	g_hash_table_iter_init(&iter, dispatch->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct dispatch_peer *peer = value;
		if (!peer->is_hub)
			fill(items, effects_send(effects, peer->node_id, type));
	}
}

static void
report_as_hub(struct dispatch *dispatch, uint64_t stamp_ms,
    struct effects *effects)
{
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < dispatch->hubs->len; i++)
		send_report(dispatch,
		    g_array_index(dispatch->hubs, uint64_t, i), NULL, stamp_ms,
		    effects);
	g_hash_table_iter_init(&iter, dispatch->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct dispatch_peer *peer = value;
		if (!peer->is_hub)
			send_report(dispatch, peer->node_id, peer, stamp_ms,
			    effects);
	}
}

/* Reports to the current hub, or to the next one if the current hub is
 * silent. */
static void
report_to_hub(struct dispatch *dispatch, uint64_t now_ms, uint64_t stamp_ms,
    struct effects *effects)
{
	uint64_t hub_id = dispatch_hub_id(dispatch);
	const struct dispatch_peer *hub = g_hash_table_lookup(dispatch->peers,
	    &hub_id);
	uint64_t received_ms = hub == NULL ? dispatch->hub_chosen_ms
					   : hub->received_ms;

	if (dispatch->hub_candidates->len == 0)
		return;
	if (dispatch->hub_chosen_ms == 0)
		dispatch->hub_chosen_ms = now_ms;
	else if (now_ms >
	    MAX(received_ms, dispatch->hub_chosen_ms) + HUB_TIMEOUT_MS) {
		dispatch->hub_index = (dispatch->hub_index + 1) %
		    dispatch->hub_candidates->len;
		dispatch->hub_chosen_ms = now_ms;
	}
	send_report(dispatch, dispatch_hub_id(dispatch), NULL, stamp_ms,
	    effects);
}

void
dispatch_tick(struct dispatch *dispatch, uint64_t now_ms, uint64_t stamp_ms,
    struct effects *effects)
{
	if (g_hash_table_foreach_remove(dispatch->peers, peer_expired,
		&now_ms) > 0)
		dispatch->peers_changed = true;
	dispatch_sum_remote_load(dispatch);
	dispatch_update_shares(dispatch, now_ms);
	dispatch_tick_crashes(dispatch, now_ms, effects);
	dispatch_tick_limits(dispatch, now_ms, effects);
	if (now_ms < dispatch->report_due_ms)
		return;
	dispatch->report_due_ms = now_ms + dispatch->config.report_period_ms;
	if (dispatch->is_hub)
		report_as_hub(dispatch, stamp_ms, effects);
	else
		report_to_hub(dispatch, now_ms, stamp_ms, effects);
	g_array_set_size(dispatch->cache_updates, 0);
}
