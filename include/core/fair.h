/**
 * @file
 * The order between client accounts at one queue owner, as a table of
 * functions: a virtual token counter, and first-come-first-served as its
 * naive rival.
 */
#ifndef CORE_FAIR_H
#define CORE_FAIR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FAIR_NO_ACCOUNT SIZE_MAX

/** What an order needs to know of an account. */
struct fair_account {
	uint64_t account_id;
	int64_t vtime; /**< charged tokens * VTIME_SCALE / weight */
	uint64_t head_arrival; /**< arrival number of its oldest waiting */
	uint32_t weight;
	uint32_t waiting_count;
	uint32_t running_count;
};

/** An order between accounts. */
struct fair_ops {
	const char *name;
	/** @return the index of the account whose oldest request is next, or
	 * FAIR_NO_ACCOUNT if nothing waits */
	size_t (*pick)(const struct fair_account *accounts, size_t count);
	/** Charges tokens; negative tokens take a charge back. */
	void (*charge)(struct fair_account *account, int64_t tokens);
	/** Called when an account that had neither waiting nor running requests
	 * sends one: floor is the smallest virtual time of the active ones,
	 * debt_max_vtime what the account may come back above it. */
	void (*activate)(struct fair_account *account, int64_t min_vtime,
	    int64_t debt_max_vtime);
};

/** Smallest virtual token counter first. */
extern const struct fair_ops fair_vtc;
/** Oldest request first, whatever its account. */
extern const struct fair_ops fair_fifo;

/** @return the order of that name, or NULL */
const struct fair_ops *fair_find(const char *name);

/** @return the virtual time that tokens cost an account */
int64_t fair_vtime_from_tokens(const struct fair_account *account,
    int64_t tokens);

/** What the service gap between two accounts depends on. */
struct fair_gap {
	uint64_t slots_count; /**< requests that can run at once, all slots */
	uint64_t request_max_tokens;
	uint32_t weight_min; /**< the smaller weight of the two */
	uint32_t owner_changes_count; /**< within the interval */
};

/**
 * Bounds the service gap between two accounts over any interval in which both
 * are backlogged at a queue owner with fair_vtc.
 * @return tokens, each account's service divided by its weight
 */
uint64_t fair_gap_bound_tokens(const struct fair_gap *gap);

/**
 * The smallest virtual time among accounts with waiting or running requests.
 * @return false if no account is active
 */
bool fair_min_active_vtime(const struct fair_account *accounts, size_t count,
    int64_t *min_vtime);

#endif
