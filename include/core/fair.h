/**
 * @file
 * Scheduling order between the client accounts of one queue owner, as a table
 * of functions: a virtual token counter, and first-in-first-out as the
 * baseline.
 */
#ifndef CORE_FAIR_H
#define CORE_FAIR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FAIR_NO_ACCOUNT SIZE_MAX

/** Scheduling state of an account. */
struct fair_account {
	uint64_t account_id;
	int64_t vtime; /**< charged tokens * VTIME_SCALE / weight */
	uint64_t head_arrival; /**< arrival number of its oldest waiting
				 * request */
	uint32_t weight;
	uint32_t waiting_count;
	uint32_t running_count;
};

/** An order between accounts. */
struct fair_ops {
	const char *name;
	/** @return the index of the account whose oldest request is next, or
	 * FAIR_NO_ACCOUNT if no request is waiting */
	size_t (*pick)(const struct fair_account *accounts, size_t count);
	/** Charges tokens; a negative number refunds them. */
	void (*charge)(struct fair_account *account, int64_t tokens);
	/** Adjusts the virtual time of an account that had no waiting request
	 * and gets one. It is raised to min_vtime and limited to
	 * debt_max_vtime above it. */
	void (*activate)(struct fair_account *account, int64_t min_vtime,
	    int64_t debt_max_vtime);
};

/** Virtual token counter: the account with the lowest virtual time first. */
extern const struct fair_ops fair_vtc;
/** First-in-first-out: the oldest request of any account first. */
extern const struct fair_ops fair_fifo;

/** @return the order of that name, or NULL */
const struct fair_ops *fair_find(const char *name);

/** @return the virtual time by which tokens advance an account */
int64_t fair_vtime_from_tokens(const struct fair_account *account,
    int64_t tokens);

/** Parameters of the bound on the service gap between two accounts. */
struct fair_gap {
	uint64_t slots_count; /**< maximum number of running requests */
	uint64_t request_max_tokens;
	uint32_t weight_min; /**< smaller weight of the two accounts */
	uint32_t owner_changes_count; /**< within the interval */
};

/**
 * Bounds the service gap between two accounts over any interval in which both
 * are backlogged at a queue owner with fair_vtc. The service of an account is
 * its tokens divided by its weight.
 * @return tokens per unit of weight
 */
uint64_t fair_gap_bound_tokens(const struct fair_gap *gap);

/**
 * Finds the smallest virtual time of all accounts with waiting or running
 * requests.
 * @return false if there is no such account
 */
bool fair_min_active_vtime(const struct fair_account *accounts, size_t count,
    int64_t *min_vtime);

#endif
