#include "core/endpoint_notice.h"

#include "core/bounded_table.h"

#define NOTICES_MAX_COUNT 4096u

void
endpoint_notices_init(struct endpoint_notices *notices)
{
	notices->notices = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, g_free);
}

void
endpoint_notices_finish(struct endpoint_notices *notices)
{
	g_hash_table_destroy(notices->notices);
}

static const struct endpoint_notice *
find(const struct endpoint_notices *notices, uint64_t endpoint_id,
    uint64_t process_start_ms)
{
	const struct endpoint_notice *notice;

	if (g_hash_table_size(notices->notices) == 0)
		return NULL;
	notice = g_hash_table_lookup(notices->notices, &endpoint_id);
	return notice != NULL && notice->process_start_ms == process_start_ms
	    ? notice
	    : NULL;
}

static uint64_t
heard_ms(gconstpointer notice)
{
	return ((const struct endpoint_notice *)notice)->heard_ms;
}

static struct endpoint_notice *
find_or_add(struct endpoint_notices *notices, uint64_t endpoint_id)
{
	struct endpoint_notice *notice = g_hash_table_lookup(notices->notices,
	    &endpoint_id);

	if (notice != NULL)
		return notice;
	bounded_table_make_room(notices->notices, NOTICES_MAX_COUNT, heard_ms);
	notice = g_new0(struct endpoint_notice, 1);
	notice->endpoint_id = endpoint_id;
	g_hash_table_insert(notices->notices, &notice->endpoint_id, notice);
	return notice;
}

bool
endpoint_notices_record(struct endpoint_notices *notices, uint64_t endpoint_id,
    uint64_t process_start_ms, const struct endpoint_statement *statement,
    uint64_t now_ms)
{
	uint64_t until_ms = now_ms +
	    MIN(statement->pause_ms, ENDPOINT_PAUSE_MAX_MS);
	struct endpoint_notice *notice;
	bool news;

	if (!statement->leaving && statement->pause_ms == 0)
		return false;
	notice = find_or_add(notices, endpoint_id);
	if (notice->process_start_ms != process_start_ms) {
		notice->process_start_ms = process_start_ms;
		notice->leaving = false;
		notice->paused_until_ms = 0;
	}
	news = (statement->leaving && !notice->leaving) ||
	    (statement->pause_ms > 0 && now_ms >= notice->paused_until_ms);
	notice->heard_ms = now_ms;
	notice->leaving |= statement->leaving;
	if (statement->pause_ms > 0)
		notice->paused_until_ms = MAX(notice->paused_until_ms,
		    until_ms);
	return news;
}

bool
endpoint_notices_leaving(const struct endpoint_notices *notices,
    uint64_t endpoint_id, uint64_t process_start_ms)
{
	const struct endpoint_notice *notice = find(notices, endpoint_id,
	    process_start_ms);

	return notice != NULL && notice->leaving;
}

uint64_t
endpoint_notices_wait_ms(const struct endpoint_notices *notices,
    uint64_t endpoint_id, uint64_t process_start_ms, uint64_t now_ms)
{
	const struct endpoint_notice *notice = find(notices, endpoint_id,
	    process_start_ms);

	return notice == NULL || now_ms >= notice->paused_until_ms
	    ? 0
	    : notice->paused_until_ms - now_ms;
}
