#include "core/store_restore.h"

enum store_restore_order
store_restore_hear(struct store_restore *restore, uint32_t restores_count,
    uint64_t now_ms)
{
	bool first = !restore->heard;

	if (!first && restores_count < restore->restores_count)
		return STORE_RESTORE_OLDER;
	if (!first && restores_count == restore->restores_count)
		return STORE_RESTORE_SAME;
	restore->heard = true;
	restore->restores_count = restores_count;
	if (restores_count > 0)
		restore->settled_ms = now_ms + STORE_REWRITE_MS;
	return first ? STORE_RESTORE_SAME : STORE_RESTORE_NEWER;
}

bool
store_restore_is_settling(const struct store_restore *restore, uint64_t now_ms)
{
	return now_ms < restore->settled_ms;
}
