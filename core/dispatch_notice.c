#include "core/bounded_table.h"
#include "core/dispatch_private.h"

/* An endpoint that this daemon could not connect to is left out for this long,
 * doubled with each further failure. */
#define UNREACHED_MIN_MS 500u
#define UNREACHED_MAX_MS 4000u
#define GONE_MAX_COUNT 1024u

bool
dispatch_record_statement(struct dispatch *dispatch, uint64_t endpoint_id,
    uint64_t process_start_ms, const struct endpoint_statement *statement,
    uint64_t now_ms)
{
	return endpoint_notices_record(&dispatch->notices, endpoint_id,
	    process_start_ms, statement, now_ms);
}

bool
dispatch_said_leaving(const struct dispatch *dispatch,
    const struct dispatch_endpoint *endpoint)
{
	return endpoint_notices_leaving(&dispatch->notices,
	    endpoint->endpoint_id, endpoint->info.process_start_ms);
}

/* Only the hub of an endpoint knows how much of its limit is used. */
static uint64_t
limit_wait_ms(const struct dispatch *dispatch,
    struct dispatch_endpoint *endpoint, uint64_t now_ms)
{
	if (endpoint->hub_id == dispatch->config.node_id)
		return endpoint_limit_wait_ms(&endpoint->limit, now_ms);
	return endpoint_limit_in_force(&endpoint->limit, now_ms)
	    ? DISPATCH_NOT_HUB_WAIT_MS
	    : 0;
}

uint64_t
dispatch_closed_ms(const struct dispatch *dispatch,
    struct dispatch_endpoint *endpoint, uint64_t now_ms)
{
	uint64_t wait_ms = endpoint_notices_wait_ms(&dispatch->notices,
	    endpoint->endpoint_id, endpoint->info.process_start_ms, now_ms);

	wait_ms = MAX(wait_ms, limit_wait_ms(dispatch, endpoint, now_ms));
	wait_ms = MAX(wait_ms,
	    endpoint->returned_until_ms -
		MIN(endpoint->returned_until_ms, now_ms));
	return MAX(wait_ms, dispatch_cold_wait_ms(dispatch, endpoint, now_ms));
}

bool
dispatch_takes_requests(const struct dispatch *dispatch,
    const struct dispatch_endpoint *endpoint)
{
	return !endpoint->info.leaving &&
	    !drained_domains_contain(&dispatch->drained_domains,
		endpoint->info.domain_id);
}

bool
dispatch_may_send_to(const struct dispatch *dispatch,
    const struct dispatch_endpoint *endpoint, uint64_t now_ms)
{
	return endpoint->listed &&
	    dispatch_takes_requests(dispatch, endpoint) &&
	    !dispatch_said_leaving(dispatch, endpoint) &&
	    now_ms >= endpoint->unreached_until_ms &&
	    now_ms >= endpoint->returned_until_ms &&
	    endpoint_notices_wait_ms(&dispatch->notices, endpoint->endpoint_id,
		endpoint->info.process_start_ms, now_ms) == 0;
}

void
dispatch_record_reached(struct dispatch *dispatch, uint64_t endpoint_id,
    bool reached, uint64_t now_ms)
{
	struct dispatch_endpoint *endpoint =
	    g_hash_table_lookup(dispatch->endpoints, &endpoint_id);

	if (endpoint == NULL)
		return;
	if (reached) {
		endpoint->unreached_ms = 0;
		return;
	}
	endpoint->unreached_ms = CLAMP(endpoint->unreached_ms * 2,
	    UNREACHED_MIN_MS, UNREACHED_MAX_MS);
	endpoint->unreached_until_ms = now_ms + endpoint->unreached_ms;
}

bool
dispatch_list_covers(const struct dispatch *dispatch, uint64_t revision)
{
	return revision != 0 &&
	    dispatch->freshness[RESOURCE_ENDPOINTS].version >= revision;
}

static uint64_t
gone_order(gconstpointer gone)
{
	return ((const struct dispatch_gone *)gone)->order;
}

void
dispatch_record_gone(struct dispatch *dispatch,
    const struct dispatch_endpoint *endpoint)
{
	struct dispatch_gone *item = g_new0(struct dispatch_gone, 1);

	bounded_table_make_room(dispatch->gone, GONE_MAX_COUNT, gone_order);
	item->endpoint_id = endpoint->endpoint_id;
	item->process_start_ms = endpoint->info.process_start_ms;
	item->revision = endpoint->info.revision;
	item->leaving = endpoint->info.leaving;
	item->order = dispatch->gone_order_next++;
	g_hash_table_replace(dispatch->gone, &item->endpoint_id, item);
}

bool
dispatch_is_gone(const struct dispatch *dispatch, uint64_t endpoint_id,
    uint64_t process_start_ms)
{
	const struct dispatch_gone *item = g_hash_table_lookup(dispatch->gone,
	    &endpoint_id);

	return item != NULL && process_start_ms <= item->process_start_ms;
}
