#include "core/dispatch_private.h"

/* Of a token of a streamed response, with its framing. */
#define BYTES_PER_RESPONSE_TOKEN 8u
/* Without a price: what an endpoint of another domain costs more. */
#define PREFERENCE_MS 4u

void
dispatch_name_own_domain(const struct dispatch *dispatch,
    struct dispatch_request *request)
{
	if (dispatch->config.crossing.price_ms_per_mb == 0)
		return;
	request->domain_id = dispatch->config.domain_id;
	request->delays = dispatch->delays;
}

/* The decision has a price if the daemon that sends the request has one, and the
 * engine's forecast is learned. */
static bool
has_price(const struct dispatch *dispatch,
    const struct dispatch_request *request,
    const struct dispatch_endpoint *endpoint)
{
	return dispatch->config.crossing.price_ms_per_mb > 0 &&
	    request->domain_id != 0 &&
	    engine_forecast_is_learned(&endpoint->engine);
}

bool
dispatch_is_own_domain(const struct dispatch *dispatch,
    const struct dispatch_request *request,
    const struct dispatch_endpoint *endpoint)
{
	uint64_t domain_id = has_price(dispatch, request, endpoint)
	    ? request->domain_id
	    : dispatch->config.domain_id;

	return endpoint->info.domain_id == domain_id;
}

uint64_t
dispatch_crossing_cost_ms(const struct dispatch *dispatch,
    const struct dispatch_request *request,
    const struct dispatch_endpoint *endpoint)
{
	uint64_t bytes = (uint64_t)request->body_bytes +
	    (uint64_t)request->response_tokens * BYTES_PER_RESPONSE_TOKEN;

	if (!has_price(dispatch, request, endpoint))
		return PREFERENCE_MS;
	return domain_crossing_cost_ms(&dispatch->config.crossing,
	    domain_delays_extra_us(&request->delays, request->domain_id,
		endpoint->info.domain_id),
	    bytes);
}

static struct crossing_side
make_side(const struct dispatch_request *request,
    const struct dispatch_candidate *candidate)
{
	struct crossing_side side = { 0 };

	if (candidate == NULL)
		return side;
	side.exists = true;
	side.admitted = !dispatch_exceeds_limit(candidate,
	    dispatch_whole_limit_ms(request));
	side.cost_ms = candidate->cost_ms;
	side.uncached_tokens = candidate->uncached_tokens;
	return side;
}

static bool
is_cheaper(const struct dispatch_candidate *a,
    const struct dispatch_candidate *b)
{
	if (a == NULL || b == NULL)
		return a != NULL;
	return a->cost_ms < b->cost_ms ||
	    (a->cost_ms == b->cost_ms &&
		a->rendezvous_score > b->rendezvous_score);
}

void
dispatch_crossing_offer(struct dispatch_crossing *crossing,
    struct dispatch_candidate *candidate, bool own_domain)
{
	struct dispatch_candidate **best = own_domain ? &crossing->own
						      : &crossing->other;

	if (is_cheaper(candidate, *best))
		*best = candidate;
}

struct dispatch_candidate *
dispatch_crossing_choose(const struct dispatch *dispatch,
    const struct dispatch_request *request,
    const struct dispatch_crossing *crossing)
{
	struct crossing_side own, other;

	if (crossing->other == NULL ||
	    !has_price(dispatch, request, crossing->other->endpoint))
		return is_cheaper(crossing->own, crossing->other)
		    ? crossing->own
		    : crossing->other;
	own = make_side(request, crossing->own);
	other = make_side(request, crossing->other);
	crossing->other->crossing = domain_crossing_decide(&own, &other);
	return crossing->other->crossing == CROSSING_NONE ? crossing->own
							  : crossing->other;
}

void
dispatch_set_crossing(const struct dispatch *dispatch,
    struct dispatch_decision *decision)
{
	const struct dispatch_endpoint *endpoint =
	    g_hash_table_lookup(dispatch->endpoints, &decision->endpoint_id);

	if (!decision->start || endpoint == NULL ||
	    endpoint->info.domain_id == dispatch->config.domain_id)
		decision->crossing = CROSSING_NONE;
	else if (decision->crossing == CROSSING_NONE)
		decision->crossing = CROSSING_PREFERRED;
}

void
dispatch_record_connect(struct dispatch *dispatch, uint64_t endpoint_id,
    uint32_t round_trip_us)
{
	const struct dispatch_endpoint *endpoint =
	    g_hash_table_lookup(dispatch->endpoints, &endpoint_id);

	if (endpoint != NULL && round_trip_us > 0)
		domain_delays_record(&dispatch->delays,
		    endpoint->info.domain_id, round_trip_us);
}
