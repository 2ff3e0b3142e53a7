/**
 * @file
 * Explains where a request would go now and why, by the code that decides, without
 * placing it: nothing is counted, learned or sent.
 */
#ifndef CORE_DISPATCH_EXPLAIN_H
#define CORE_DISPATCH_EXPLAIN_H

#include "core/dispatch.h"

/** An endpoint of the pool, as evaluated for the request. */
struct dispatch_option {
	const struct dispatch_endpoint *endpoint;
	/** It takes requests, so that the figures below are set. */
	bool evaluated;
	bool own_domain; /**< in the domain of the daemon that would send it */
	uint64_t closed_ms; /**< until it takes a request from this daemon */
	uint64_t wait_ms; /**< until its engine would begin with the request */
	uint64_t prefill_ms; /**< of what the engine has not cached */
	uint64_t uncached_tokens;
	uint64_t
	    cost_ms; /**< with crossing and shared prefill; the lowest wins */
	uint64_t crossing_ms; /**< part of the cost; UINT64_MAX: too far */
};

struct dispatch_explanation {
	/** As it would be: name, reason, forecast and Retry-After. */
	struct dispatch_decision decision;
	GArray *options; /**< struct dispatch_option, of all listed endpoints */
};

/** @param own_endpoints as a hub, choose among the endpoints assigned to it */
void dispatch_explain(struct dispatch *dispatch,
    const struct dispatch_request *request, bool own_endpoints, uint64_t now_ms,
    struct dispatch_explanation *explanation);
void dispatch_explanation_finish(struct dispatch_explanation *explanation);

#endif
