/**
 * @file
 * Decides whether a request leaves its failure domain.
 *
 * Staying costs the wait and the prefill at the best endpoint of the own domain,
 * or a refusal. Leaving costs those at the best one elsewhere, the delay to it,
 * and the price of the bytes between domains. The load it answers: domains whose
 * callers are busy at different times, and a domain that lost part of its
 * endpoints.
 */
#ifndef CORE_DOMAIN_CROSSING_H
#define CORE_DOMAIN_CROSSING_H

#include <stdbool.h>
#include <stdint.h>

/** Why a request left its failure domain. */
enum crossing_reason {
	CROSSING_NONE, /**< it stayed */
	CROSSING_PREFERRED, /**< by a constant cost, without a price */
	CROSSING_SOONER, /**< its first token comes sooner, crossing included */
	CROSSING_CACHED, /**< more of its prompt is cached there */
	CROSSING_REFUSED, /**< the own domain would refuse it */
	CROSSING_ALONE, /**< no endpoint of the own domain takes requests */
	CROSSING_REASON_COUNT
};

struct crossing_settings {
	/** Wait that a megabyte between domains is worth; 0: nothing is decided
	 * here. */
	uint32_t price_ms_per_mb;
	/** Longest extra round trip of a domain that requests are sent to while
	 * their own takes requests. */
	uint32_t delay_max_ms;
};

/** The best endpoint of the own domain, or of the other ones. */
struct crossing_side {
	bool exists;
	bool admitted; /**< a request would be admitted there now */
	uint64_t cost_ms; /**< wait and prefill, crossing included */
	uint64_t uncached_tokens;
};

/**
 * @param extra_us of a round trip to the other domain
 * @param bytes of the request and of its response
 * @return what leaving costs beside the wait elsewhere, in ms; UINT64_MAX if the
 * domain is too far away
 */
uint64_t domain_crossing_cost_ms(const struct crossing_settings *settings,
    uint32_t extra_us, uint64_t bytes);

/** @return CROSSING_NONE if a request stays, else why it leaves */
enum crossing_reason domain_crossing_decide(const struct crossing_side *own,
    const struct crossing_side *other);

/** @return name of a reason for logs and metrics */
const char *domain_crossing_reason_name(enum crossing_reason reason);

#endif
