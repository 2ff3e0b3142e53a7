#include "core/store_revision.h"

#include <glib.h>
#include <inttypes.h>

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

void
store_revision_format(uint64_t revision, char text[STORE_REVISION_TEXT_BYTES])
{
	uint32_t restores_count = store_revision_restores_count(revision);
	uint64_t number = store_revision_number(revision);

	if (restores_count == 0)
		g_snprintf(text, STORE_REVISION_TEXT_BYTES, "%" PRIu64, number);
	else
		g_snprintf(text, STORE_REVISION_TEXT_BYTES, "%u:%" PRIu64,
		    restores_count, number);
}
