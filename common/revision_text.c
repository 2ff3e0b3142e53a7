#include "common/revision_text.h"

#include <glib.h>
#include <inttypes.h>

#include "core/store_revision.h"

void
revision_text_format(uint64_t revision, char text[REVISION_TEXT_BYTES])
{
	uint32_t restores_count = store_revision_restores_count(revision);
	uint64_t number = store_revision_number(revision);

	if (restores_count == 0)
		g_snprintf(text, REVISION_TEXT_BYTES, "%" PRIu64, number);
	else
		g_snprintf(text, REVISION_TEXT_BYTES, "%u:%" PRIu64,
		    restores_count, number);
}
