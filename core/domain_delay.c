#include "core/domain_delay.h"

#include <glib.h>

/* A longer time than the estimate raises it by this part of the difference. */
#define RISE_PARTS 64u

static const struct domain_delay *
find(const struct domain_delays *delays, uint64_t domain_id)
{
	for (uint32_t i = 0; i < delays->count; i++)
		if (delays->items[i].domain_id == domain_id)
			return &delays->items[i];
	return NULL;
}

void
domain_delays_record(struct domain_delays *delays, uint64_t domain_id,
    uint32_t round_trip_us)
{
	struct domain_delay *item = (struct domain_delay *)find(delays,
	    domain_id);

	if (item == NULL) {
		if (delays->count == DOMAIN_DELAYS_MAX_COUNT)
			return;
		item = &delays->items[delays->count++];
		item->domain_id = domain_id;
		item->round_trip_us = round_trip_us;
		return;
	}
	if (round_trip_us <= item->round_trip_us)
		item->round_trip_us = round_trip_us;
	else
		item->round_trip_us += (round_trip_us - item->round_trip_us) /
		    RISE_PARTS;
}

uint32_t
domain_delays_extra_us(const struct domain_delays *delays,
    uint64_t own_domain_id, uint64_t domain_id)
{
	const struct domain_delay *own = find(delays, own_domain_id),
				  *other = find(delays, domain_id);

	if (own == NULL || other == NULL)
		return 0;
	return other->round_trip_us -
	    MIN(own->round_trip_us, other->round_trip_us);
}
