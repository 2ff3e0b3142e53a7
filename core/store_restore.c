#include "core/store_restore.h"

/* Nothing can be written again before the store serves. */
static void
await_service(struct store_restore *restore, uint32_t restores_count)
{
	restore->heard = true;
	restore->restores_count = restores_count;
	if (restores_count == 0)
		return;
	restore->rewritten_ms = UINT64_MAX;
	restore->settled_ms = UINT64_MAX;
}

enum store_restore_order
store_restore_hear(struct store_restore *restore, uint32_t restores_count,
    bool served, uint64_t now_ms)
{
	bool first = !restore->heard;
	bool newer = first || restores_count > restore->restores_count;

	if (!newer && restores_count < restore->restores_count)
		return STORE_RESTORE_OLDER;
	if (newer)
		await_service(restore, restores_count);
	if (served && restore->settled_ms == UINT64_MAX) {
		restore->rewritten_ms = now_ms + STORE_REWRITE_MS;
		restore->settled_ms = now_ms + STORE_SETTLE_MS;
	}
	return newer && !first ? STORE_RESTORE_NEWER : STORE_RESTORE_SAME;
}
