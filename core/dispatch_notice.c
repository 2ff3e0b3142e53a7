#include "core/dispatch_private.h"

bool
dispatch_record_statement(struct dispatch *dispatch, uint64_t seq,
    const struct endpoint_statement *statement, uint64_t now_ms)
{
	const struct dispatch_attempt *attempt =
	    g_hash_table_lookup(dispatch->attempts, &seq);

	return attempt != NULL &&
	    endpoint_notices_record(&dispatch->notices, attempt->endpoint_id,
		attempt->process_start_ms, statement, now_ms);
}

bool
dispatch_said_leaving(const struct dispatch *dispatch,
    const struct dispatch_endpoint *endpoint)
{
	return endpoint_notices_leaving(&dispatch->notices,
	    endpoint->endpoint_id, endpoint->info.process_start_ms);
}

uint64_t
dispatch_closed_ms(const struct dispatch *dispatch,
    struct dispatch_endpoint *endpoint, uint64_t now_ms)
{
	uint64_t pause_ms = endpoint_notices_wait_ms(&dispatch->notices,
	    endpoint->endpoint_id, endpoint->info.process_start_ms, now_ms);

	return MAX(pause_ms, endpoint_limit_wait_ms(&endpoint->limit, now_ms));
}
