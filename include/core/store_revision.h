/**
 * @file
 * Revisions of the store in one order over its restores from a copy, after each
 * of which it gives out the same numbers again.
 */
#ifndef CORE_STORE_REVISION_H
#define CORE_STORE_REVISION_H

#include <stdint.h>

#define STORE_REVISION_NUMBER_BITS 44u
#define STORE_REVISION_NUMBER_MAX ((1ull << STORE_REVISION_NUMBER_BITS) - 1)
#define STORE_REVISION_RESTORES_MAX_COUNT ((1u << 20) - 1)

/** @return a value that is higher for more restores, and then for a higher
 * number; the number itself before the first restore */
uint64_t store_revision_make(uint32_t restores_count, uint64_t number);

/** @return how often the store had been restored */
uint32_t store_revision_restores_count(uint64_t revision);

/** @return the store's own number */
uint64_t store_revision_number(uint64_t revision);

#endif
