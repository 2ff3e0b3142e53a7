#include "core/entry_private.h"

#define RETRY_AFTER_NO_ENDPOINT_MS 1000u

static void
naive_submit(struct entry *entry, struct entry_request *request,
    uint64_t now_ms, struct effects *effects)
{
	const struct endpoint *endpoint = entry_next_endpoint(entry,
	    request->pool);

	if (endpoint != NULL)
		entry_start(entry, request, endpoint->endpoint_id, now_ms,
		    effects);
	else
		entry_refuse(entry, request, REFUSE_NO_ENDPOINT,
		    RETRY_AFTER_NO_ENDPOINT_MS, effects);
}

static void
naive_done(const struct entry *entry, const struct entry_request *request,
    enum done_outcome outcome, struct effects *effects)
{
	(void)entry;
	(void)request;
	(void)outcome;
	(void)effects;
}

static void
naive_withdraw(const struct entry *entry, const struct entry_request *request,
    struct effects *effects)
{
	(void)entry;
	(void)request;
	(void)effects;
}

static void
naive_owner_changed(struct entry *entry, struct entry_pool *pool,
    uint64_t now_ms, struct effects *effects)
{
	(void)entry;
	(void)pool;
	(void)now_ms;
	(void)effects;
}

static void
naive_handle(struct entry *entry, const struct msg *msg, uint64_t now_ms,
    struct effects *effects)
{
	(void)entry;
	(void)msg;
	(void)now_ms;
	(void)effects;
}

const struct entry_ops entry_naive = { "naive", naive_submit, naive_done,
	naive_withdraw, naive_owner_changed, naive_handle,
	naive_owner_changed };
