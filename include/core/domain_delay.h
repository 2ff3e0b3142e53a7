/**
 * @file
 * How long it takes this daemon to reach each failure domain, from the connections
 * that it opens.
 *
 * A busy daemon notices a new connection late, never early: an estimate follows a
 * shorter time at once and a longer one slowly.
 */
#ifndef CORE_DOMAIN_DELAY_H
#define CORE_DOMAIN_DELAY_H

#include <stdint.h>

/** Failure domains that are told apart; the others count as near. */
#define DOMAIN_DELAYS_MAX_COUNT 8u

struct domain_delay {
	uint64_t domain_id;
	uint32_t round_trip_us;
};

struct domain_delays {
	uint32_t count;
	struct domain_delay items[DOMAIN_DELAYS_MAX_COUNT];
};

/** Records how long a connection to an endpoint of a domain took. */
void domain_delays_record(struct domain_delays *delays, uint64_t domain_id,
    uint32_t round_trip_us);

/** @return how much longer a round trip to a domain takes than one within the own
 * domain; 0 if either is unknown */
uint32_t domain_delays_extra_us(const struct domain_delays *delays,
    uint64_t own_domain_id, uint64_t domain_id);

#endif
