#include "core/fair.h"

#include <string.h>

#include "core/limits.h"

/* Of accounts with equal virtual times, the one with fewer running requests
 * comes first, then the one with the older waiting request. */
static bool
vtc_precedes(const struct fair_account *a, const struct fair_account *b)
{
	if (a->vtime != b->vtime)
		return a->vtime < b->vtime;
	if (a->running_count != b->running_count)
		return a->running_count < b->running_count;
	return a->head_arrival < b->head_arrival;
}

static size_t
vtc_pick(const struct fair_account *accounts, size_t count)
{
	size_t best = FAIR_NO_ACCOUNT;

	for (size_t i = 0; i < count; i++)
		if (accounts[i].waiting_count > 0 &&
		    (best == FAIR_NO_ACCOUNT ||
			vtc_precedes(&accounts[i], &accounts[best])))
			best = i;
	return best;
}

int64_t
fair_vtime_from_tokens(const struct fair_account *account, int64_t tokens)
{
	return tokens * VTIME_SCALE / (int64_t)account->weight;
}

static void
vtc_charge(struct fair_account *account, int64_t tokens)
{
	account->vtime += fair_vtime_from_tokens(account, tokens);
}

/* An account gains no credit while it is idle, and keeps no more debt than an
 * account with waiting requests can have. */
static void
vtc_activate(struct fair_account *account, int64_t min_vtime,
    int64_t debt_max_vtime)
{
	if (account->vtime < min_vtime)
		account->vtime = min_vtime;
	if (account->vtime > min_vtime + debt_max_vtime)
		account->vtime = min_vtime + debt_max_vtime;
}

static size_t
fifo_pick(const struct fair_account *accounts, size_t count)
{
	size_t best = FAIR_NO_ACCOUNT;

	for (size_t i = 0; i < count; i++) {
		if (accounts[i].waiting_count == 0)
			continue;
		if (best == FAIR_NO_ACCOUNT ||
		    accounts[i].head_arrival < accounts[best].head_arrival)
			best = i;
	}
	return best;
}

static void
fifo_activate(struct fair_account *account, int64_t min_vtime,
    int64_t debt_max_vtime)
{
	(void)account;
	(void)min_vtime;
	(void)debt_max_vtime;
}

const struct fair_ops fair_vtc = { "vtc", vtc_pick, vtc_charge, vtc_activate };
const struct fair_ops fair_fifo = { "fifo", fifo_pick, vtc_charge,
	fifo_activate };

const struct fair_ops *
fair_find(const char *name)
{
	static const struct fair_ops *const orders[] = { &fair_vtc,
		&fair_fifo };

	for (size_t i = 0; i < sizeof(orders) / sizeof(orders[0]); i++)
		if (strcmp(orders[i]->name, name) == 0)
			return orders[i];
	return NULL;
}

uint64_t
fair_gap_bound_tokens(const struct fair_gap *gap)
{
	uint64_t slots_max_tokens = (gap->slots_count + 1) *
	    gap->request_max_tokens;

	return (2 + (uint64_t)gap->owner_changes_count) * slots_max_tokens /
	    gap->weight_min;
}

bool
fair_min_active_vtime(const struct fair_account *accounts, size_t count,
    int64_t *min_vtime)
{
	bool found = false;

	for (size_t i = 0; i < count; i++) {
		if (accounts[i].waiting_count + accounts[i].running_count == 0)
			continue;
		if (!found || accounts[i].vtime < *min_vtime)
			*min_vtime = accounts[i].vtime;
		found = true;
	}
	return found;
}
