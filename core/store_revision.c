#include "core/store_revision.h"

#include <glib.h>

uint64_t
store_revision_make(uint32_t restores_count, uint64_t number)
{
	uint64_t count = MIN(restores_count, STORE_REVISION_RESTORES_MAX_COUNT);

	return count << STORE_REVISION_NUMBER_BITS |
	    MIN(number, STORE_REVISION_NUMBER_MAX);
}

uint32_t
store_revision_restores_count(uint64_t revision)
{
	return (uint32_t)(revision >> STORE_REVISION_NUMBER_BITS);
}

uint64_t
store_revision_number(uint64_t revision)
{
	return revision & STORE_REVISION_NUMBER_MAX;
}
