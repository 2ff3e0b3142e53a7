#include "core/dispatch_explain.h"

#include <string.h>

#include "core/dispatch_private.h"

static const struct dispatch_candidate *
find_candidate(const GArray *candidates,
    const struct dispatch_endpoint *endpoint)
{
	for (guint i = 0; i < candidates->len; i++) {
		const struct dispatch_candidate *candidate =
		    &g_array_index(candidates, struct dispatch_candidate, i);

		if (candidate->endpoint == endpoint)
			return candidate;
	}
	return NULL;
}

static struct dispatch_option
make_option(const struct dispatch *dispatch,
    const struct dispatch_request *request,
    const struct dispatch_endpoint *endpoint,
    const struct dispatch_candidate *candidate)
{
	struct dispatch_option option = { .endpoint = endpoint };

	option.own_domain = dispatch_is_own_domain(dispatch, request, endpoint);
	if (candidate == NULL)
		return option;
	option.evaluated = true;
	option.closed_ms = candidate->closed_ms;
	option.wait_ms = candidate->backlog_ms;
	option.prefill_ms = candidate->prefill_ms;
	option.uncached_tokens = candidate->uncached_tokens;
	option.cost_ms = candidate->cost_ms;
	if (!option.own_domain)
		option.crossing_ms = dispatch_crossing_cost_ms(dispatch,
		    request, endpoint);
	return option;
}

static void
add_options(struct dispatch *dispatch, const struct dispatch_request *request,
    const GArray *candidates, GArray *options)
{
	const struct dispatch_pool *pool = dispatch_find_pool(dispatch,
	    request->pool_id);

	for (guint i = 0; pool != NULL && i < pool->endpoints->len; i++) {
		const struct dispatch_endpoint *endpoint = pool->endpoints
							       ->pdata[i];
		struct dispatch_option option = make_option(dispatch, request,
		    endpoint, find_candidate(candidates, endpoint));

		g_array_append_val(options, option);
	}
}

void
dispatch_explain(struct dispatch *dispatch,
    const struct dispatch_request *request, bool own_endpoints, uint64_t now_ms,
    struct dispatch_explanation *explanation)
{
	struct dispatch_decision *decision = &explanation->decision;
	struct dispatch_evaluation evaluation;

	dispatch_decide(dispatch, request, own_endpoints, now_ms, &evaluation,
	    decision);
	if (evaluation.best != NULL)
		memcpy(decision->name, evaluation.best->endpoint->info.name,
		    ENDPOINT_NAME_MAX_BYTES);
	explanation->options = g_array_new(FALSE, FALSE,
	    sizeof(struct dispatch_option));
	add_options(dispatch, request, evaluation.candidates,
	    explanation->options);
	dispatch_evaluation_finish(&evaluation);
}

void
dispatch_explanation_finish(struct dispatch_explanation *explanation)
{
	g_array_free(explanation->options, TRUE);
}
