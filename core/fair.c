#include "core/fair.h"

#include <string.h>

#include "core/limits.h"

/* Equal counters: who runs less comes first, then who waits longer. */
static bool
vtc_before(const struct fair_account *a, const struct fair_account *b)
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
	size_t best = FAIR_NONE;

	for (size_t i = 0; i < count; i++)
		if (accounts[i].waiting_count > 0 &&
		    (best == FAIR_NONE ||
			vtc_before(&accounts[i], &accounts[best])))
			best = i;
	return best;
}

int64_t
fair_vtime_of(const struct fair_account *account, int64_t tokens)
{
	return tokens * VTIME_SCALE / (int64_t)account->weight;
}

static void
vtc_charge(struct fair_account *account, int64_t tokens)
{
	account->vtime += fair_vtime_of(account, tokens);
}

/* An idle account comes back without credit, and with no more debt than one
 * that stayed could have. */
static void
vtc_activate(struct fair_account *account, int64_t floor_vtime,
    int64_t debt_max_vtime)
{
	if (account->vtime < floor_vtime)
		account->vtime = floor_vtime;
	if (account->vtime > floor_vtime + debt_max_vtime)
		account->vtime = floor_vtime + debt_max_vtime;
}

static size_t
fifo_pick(const struct fair_account *accounts, size_t count)
{
	size_t best = FAIR_NONE;

	for (size_t i = 0; i < count; i++) {
		if (accounts[i].waiting_count == 0)
			continue;
		if (best == FAIR_NONE ||
		    accounts[i].head_arrival < accounts[best].head_arrival)
			best = i;
	}
	return best;
}

static void
fifo_activate(struct fair_account *account, int64_t floor_vtime,
    int64_t debt_max_vtime)
{
	(void)account;
	(void)floor_vtime;
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
	uint64_t held_tokens = (gap->slots_count + 1) * gap->request_max_tokens;

	return (2 + (uint64_t)gap->owner_changes_count) * held_tokens /
	    gap->weight_min;
}

bool
fair_floor(const struct fair_account *accounts, size_t count,
    int64_t *floor_vtime)
{
	bool found = false;

	for (size_t i = 0; i < count; i++) {
		if (accounts[i].waiting_count + accounts[i].running_count == 0)
			continue;
		if (!found || accounts[i].vtime < *floor_vtime)
			*floor_vtime = accounts[i].vtime;
		found = true;
	}
	return found;
}
