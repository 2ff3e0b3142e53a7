#include "core/dispatch_private.h"

#define DECAY_PERIOD_MS 50u
/* Halves the counters in about 0.7 s, so that they follow a change of the capacity. */
#define DECAY_PERMILLE 951u
/* With a steady rate of tokens, a counter settles at the tokens of this
 * period. */
#define DECAY_WINDOW_MS 1020u

struct dispatch_account *
dispatch_get_account(struct dispatch *dispatch, uint64_t account_id)
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

/* A generated token costs as much as two prompt tokens. */
uint64_t
dispatch_request_tokens(const struct dispatch_request *request)
{
	return (uint64_t)request->prompt_tokens +
	    2 * (uint64_t)request->response_tokens;
}

static uint64_t
decay(uint64_t tokens)
{
	return tokens * DECAY_PERMILLE / 1000;
}

void
dispatch_count_served(struct dispatch *dispatch,
    const struct dispatch_request *request, struct dispatch_attempt *attempt)
{
	attempt->account_id = request->account_id;
	attempt->served_tokens = dispatch_request_tokens(request);
	dispatch_get_account(dispatch, request->account_id)->served_tokens +=
	    attempt->served_tokens;
}

void
dispatch_take_back_served(struct dispatch *dispatch,
    const struct dispatch_attempt *attempt, uint64_t now_ms)
{
	uint64_t tokens = attempt->served_tokens;
	struct dispatch_account *account;

	if (tokens == 0)
		return;
	/* as much as the account's counter still has of them */
	for (uint64_t at_ms = attempt->started_ms + DECAY_PERIOD_MS;
	     at_ms <= now_ms && tokens > 0; at_ms += DECAY_PERIOD_MS)
		tokens = decay(tokens);
	account = dispatch_get_account(dispatch, attempt->account_id);
	account->served_tokens -= MIN(account->served_tokens, tokens);
}

static uint64_t
asked_total(const struct dispatch_account *account)
{
	return account->asked_tokens + account->remote_asked_tokens;
}

static uint64_t
served_total(const struct dispatch_account *account)
{
	return account->served_tokens + account->remote_served_tokens;
}

uint64_t
dispatch_share_permille(const struct dispatch *dispatch,
    const struct dispatch_account *account)
{
	if (dispatch->fair_share_tokens == UINT64_MAX)
		return 0;
	return served_total(account) * 1000 /
	    MAX(dispatch->fair_share_tokens, 1);
}

static gint
compare_tokens(gconstpointer a, gconstpointer b)
{
	uint64_t left = *(const uint64_t *)a, right = *(const uint64_t *)b;

	return left < right ? -1 : left > right;
}

/* Max-min fair share: accounts below it get all that they ask for, the others
 * divide the rest equally. UINT64_MAX if the capacity suffices for all. */
static uint64_t
max_min_share(GArray *demands, uint64_t capacity_tokens)
{
	uint64_t remaining_tokens = capacity_tokens;

	g_array_sort(demands, compare_tokens);
	for (guint i = 0; i < demands->len; i++) {
		uint64_t tokens = g_array_index(demands, uint64_t, i);
		uint64_t equal_part_tokens = remaining_tokens /
		    (demands->len - i);
		if (tokens > equal_part_tokens)
			return equal_part_tokens;
		remaining_tokens -= tokens;
	}
	return UINT64_MAX;
}

/* The capacity is estimated from the tokens served lately. The configured
 * capacity accounts neither for lost engines nor for cached segments. */
static void
update_fair_share(struct dispatch *dispatch)
{
	GArray *demands = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t served_tokens = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		uint64_t tokens = asked_total(value);
		served_tokens += served_total(value);
		if (tokens > 0)
			g_array_append_val(demands, tokens);
	}
	dispatch->fair_share_tokens = max_min_share(demands, served_tokens);
	g_array_free(demands, TRUE);
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
			account->asked_tokens = decay(account->asked_tokens);
			account->served_tokens = decay(account->served_tokens);
		}
		dispatch->decay_due_ms += DECAY_PERIOD_MS;
		if (now_ms - dispatch->decay_due_ms > 2 * DECAY_WINDOW_MS &&
		    dispatch->decay_due_ms < now_ms)
			dispatch->decay_due_ms = now_ms;
	}
	update_fair_share(dispatch);
}

static void
add_remote(struct dispatch *dispatch, const struct dispatch_peer *peer)
{
	for (uint32_t i = 0; i < peer->accounts_count; i++) {
		struct dispatch_account *account =
		    dispatch_get_account(dispatch,
			peer->accounts[i].account_id);
		account->remote_asked_tokens += peer->accounts[i].asked_tokens;
		account->remote_served_tokens += peer->accounts[i]
						     .served_tokens;
	}
}

void
dispatch_sum_remote_shares(struct dispatch *dispatch)
{
	GHashTableIter iter;
	gpointer value;

	if (!dispatch->peers_changed)
		return;
	dispatch->peers_changed = false;
	g_hash_table_iter_init(&iter, dispatch->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct dispatch_account *account = value;
		account->remote_asked_tokens = 0;
		account->remote_served_tokens = 0;
	}
	g_hash_table_iter_init(&iter, dispatch->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_remote(dispatch, value);
}

void
dispatch_fill_accounts(const struct dispatch *dispatch,
    struct msg_report *report)
{
	GArray *items = g_array_new(FALSE, TRUE, sizeof(struct load_account));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct dispatch_account *account = value;
		struct load_account item = {
			.account_id = account->account_id,
			.asked_tokens = (uint32_t)MIN(account->asked_tokens,
			    UINT32_MAX),
			.served_tokens = (uint32_t)MIN(account->served_tokens,
			    UINT32_MAX),
		};
		if (item.asked_tokens > 0 &&
		    items->len < LOAD_ACCOUNTS_MAX_COUNT)
			g_array_append_val(items, item);
	}
	report->has_accounts = 1;
	report->accounts_count = items->len;
	report->accounts = (void *)g_array_free(items, FALSE);
}
