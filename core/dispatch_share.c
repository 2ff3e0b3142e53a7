#include <stdlib.h>
#include <string.h>

#include "core/dispatch_private.h"

#define DECAY_PERIOD_MS 50u
/* Halves the counters in about 2 s. */
#define DECAY_PERMILLE 983u
/* A decaying sum holds this much of a steady rate. */
#define DECAY_SPAN_MS 2885u
#define PEER_COUNTS_MS 3000u

struct dispatch_account *
dispatch_account(struct dispatch *dispatch, uint64_t account_id)
{
	struct dispatch_account *account =
	    g_hash_table_lookup(dispatch->accounts, &account_id);

	if (account == NULL) {
		account = g_new0(struct dispatch_account, 1);
		account->account_id = account_id;
		g_hash_table_insert(dispatch->accounts, &account->account_id,
		    account);
	}
	return account;
}

static uint64_t
asked_by(const struct dispatch_account *account)
{
	return account->asked_tokens + account->others_asked_tokens;
}

static uint64_t
served_of(const struct dispatch_account *account)
{
	return account->served_tokens + account->others_served_tokens;
}

uint64_t
dispatch_share_permille(const struct dispatch *dispatch,
    const struct dispatch_account *account)
{
	if (dispatch->level_tokens == UINT64_MAX)
		return 0;
	return served_of(account) * 1000 / MAX(dispatch->level_tokens, 1);
}

static gint
compare_tokens(gconstpointer a, gconstpointer b)
{
	uint64_t left = *(const uint64_t *)a, right = *(const uint64_t *)b;

	return left < right ? -1 : left > right;
}

/* The max-min share: accounts that ask less get all of it, the others divide
 * the rest evenly. UINT64_MAX if there is enough for all. */
static uint64_t
max_min_level(GArray *asked, uint64_t capacity_tokens)
{
	uint64_t left_tokens = capacity_tokens;

	g_array_sort(asked, compare_tokens);
	for (guint i = 0; i < asked->len; i++) {
		uint64_t tokens = g_array_index(asked, uint64_t, i);
		uint64_t even_tokens = left_tokens / (asked->len - i);
		if (tokens > even_tokens)
			return even_tokens;
		left_tokens -= tokens;
	}
	return UINT64_MAX;
}

/* What the engines give is what was served lately: the configuration's figure
 * knows neither of lost engines nor of kept parts. */
static void
update_level(struct dispatch *dispatch)
{
	GArray *asked = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t served_tokens = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		uint64_t tokens = asked_by(value);
		served_tokens += served_of(value);
		if (tokens > 0)
			g_array_append_val(asked, tokens);
	}
	dispatch->level_tokens = max_min_level(asked, served_tokens);
	g_array_free(asked, TRUE);
}

void
dispatch_update_shares(struct dispatch *dispatch, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	if (dispatch->decay_due_ms == 0)
		dispatch->decay_due_ms = now_ms;
	while (dispatch->decay_due_ms <= now_ms) {
		g_hash_table_iter_init(&iter, dispatch->accounts);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			struct dispatch_account *account = value;
			account->asked_tokens = account->asked_tokens *
			    DECAY_PERMILLE / 1000;
			account->served_tokens = account->served_tokens *
			    DECAY_PERMILLE / 1000;
		}
		dispatch->decay_due_ms += DECAY_PERIOD_MS;
		if (now_ms - dispatch->decay_due_ms > 2 * DECAY_SPAN_MS &&
		    dispatch->decay_due_ms < now_ms)
			dispatch->decay_due_ms = now_ms;
	}
	update_level(dispatch);
}

void
dispatch_peer_free(gpointer pointer)
{
	struct dispatch_peer *peer = pointer;

	g_free(peer->endpoints);
	g_free(peer->accounts);
	g_free(peer);
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
		endpoint->others.running_count += load->running_count;
		endpoint->others.reading_tokens += load->reading_tokens;
		endpoint->others.memory_tokens += load->memory_tokens;
	}
	for (uint32_t i = 0; i < peer->accounts_count; i++) {
		const struct load_account *load = &peer->accounts[i];
		struct dispatch_account *account = dispatch_account(dispatch,
		    load->account_id);
		account->others_asked_tokens += load->asked_tokens;
		account->others_served_tokens += load->served_tokens;
	}
}

void
dispatch_sum_peers(struct dispatch *dispatch)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		memset(&((struct dispatch_endpoint *)value)->others, 0,
		    sizeof(struct dispatch_work));
	g_hash_table_iter_init(&iter, dispatch->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct dispatch_account *account = value;
		account->others_asked_tokens = 0;
		account->others_served_tokens = 0;
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

void
dispatch_handle(struct dispatch *dispatch, const struct msg *msg,
    uint64_t now_ms)
{
	const struct msg_load *load = &msg->u.load;
	struct dispatch_peer *peer = g_new0(struct dispatch_peer, 1);

	peer->node_id = msg->from_node_id;
	peer->heard_ms = now_ms;
	peer->endpoints_count = load->endpoints_count;
	peer->accounts_count = load->accounts_count;
	peer->endpoints = g_memdup2(load->endpoints,
	    load->endpoints_count * sizeof(*load->endpoints));
	peer->accounts = g_memdup2(load->accounts,
	    load->accounts_count * sizeof(*load->accounts));
	g_hash_table_replace(dispatch->peers, &peer->node_id, peer);
	dispatch_sum_peers(dispatch);
}

static gboolean
peer_is_old(gpointer key, gpointer value, gpointer now_ms)
{
	const struct dispatch_peer *peer = value;

	(void)key;
	return peer->heard_ms + PEER_COUNTS_MS < *(uint64_t *)now_ms;
}

static void
fill_load(const struct dispatch *dispatch, struct msg_load *load)
{
	GArray *endpoints = g_array_new(FALSE, TRUE,
	    sizeof(struct load_endpoint));
	GArray *accounts = g_array_new(FALSE, TRUE,
	    sizeof(struct load_account));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct dispatch_endpoint *endpoint = value;
		struct load_endpoint item = { endpoint->endpoint_id,
			endpoint->own.running_count,
			(uint32_t)endpoint->own.reading_tokens,
			(uint32_t)endpoint->own.memory_tokens };
		if (item.running_count > 0 &&
		    endpoints->len < ENDPOINTS_MAX_COUNT)
			g_array_append_val(endpoints, item);
	}
	g_hash_table_iter_init(&iter, dispatch->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct dispatch_account *account = value;
		struct load_account item = { account->account_id,
			(uint32_t)account->asked_tokens,
			(uint32_t)account->served_tokens };
		if (item.asked_tokens > 0 &&
		    accounts->len < LOAD_ACCOUNTS_MAX_COUNT)
			g_array_append_val(accounts, item);
	}
	load->endpoints_count = endpoints->len;
	load->accounts_count = accounts->len;
	load->endpoints = (void *)g_array_free(endpoints, FALSE);
	load->accounts = (void *)g_array_free(accounts, FALSE);
}

void
dispatch_tick(struct dispatch *dispatch, uint64_t now_ms,
    struct effects *effects)
{
	if (g_hash_table_foreach_remove(dispatch->peers, peer_is_old, &now_ms) >
	    0)
		dispatch_sum_peers(dispatch);
	dispatch_update_shares(dispatch, now_ms);
	if (now_ms < dispatch->report_due_ms)
		return;
	dispatch->report_due_ms = now_ms + dispatch->config.report_period_ms;
	for (guint i = 0; i < dispatch->live->len; i++)
		fill_load(dispatch,
		    &effects_send(effects,
			g_array_index(dispatch->live, uint64_t, i), MSG_LOAD)
			 ->u.load);
}

/* Moves the window of the repeat budget on. */
static void
update_window(struct dispatch *dispatch, uint64_t now_ms)
{
	uint32_t window_ms = dispatch->config.repeat_window_ms;

	if (now_ms < dispatch->window_start_ms + window_ms)
		return;
	dispatch->window_requests[1] = dispatch->window_requests[0];
	dispatch->window_repeats[1] = dispatch->window_repeats[0];
	if (now_ms >= dispatch->window_start_ms + 2 * (uint64_t)window_ms) {
		dispatch->window_requests[1] = 0;
		dispatch->window_repeats[1] = 0;
	}
	dispatch->window_requests[0] = 0;
	dispatch->window_repeats[0] = 0;
	dispatch->window_start_ms = now_ms;
}

void
dispatch_count_request(struct dispatch *dispatch, uint64_t now_ms)
{
	update_window(dispatch, now_ms);
	dispatch->window_requests[0]++;
}

bool
dispatch_allow_repeat(struct dispatch *dispatch, uint64_t now_ms)
{
	const struct dispatch_config *config = &dispatch->config;
	uint64_t requests, repeats, allowed;

	update_window(dispatch, now_ms);
	requests = MIN(dispatch->window_requests[0] +
			   (uint64_t)dispatch->window_requests[1],
		       2 *
			   (uint64_t)MAX(dispatch->window_requests[0],
			       dispatch->window_requests[1])) /
	    2;
	repeats = (uint64_t)dispatch->window_repeats[0] +
	    dispatch->window_repeats[1];
	allowed = requests * config->repeat_percent / 100 +
	    config->repeat_slack_count / dispatch->daemons_most_count / 2;
	if (repeats >= allowed)
		return false;
	dispatch->window_repeats[0]++;
	return true;
}
