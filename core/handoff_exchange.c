#include "core/handoff_exchange.h"

#include <glib.h>

/* Time without a byte after which a connection whose requests can't be followed
 * is given up. */
#define OPAQUE_MAX_MS 15000u

uint64_t
handoff_exchange_due_ms(const struct handoff_exchange *exchange)
{
	/* the time that the caller takes is its own */
	if (exchange->waits_for_caller)
		return UINT64_MAX;
	if (exchange->opaque)
		return exchange->moved_ms + OPAQUE_MAX_MS;
	if (!exchange->in_progress || exchange->deadline_ms == UINT64_MAX)
		return UINT64_MAX;
	return MAX(exchange->deadline_ms, exchange->moved_ms) +
	    HANDOFF_ANSWER_MARGIN_MS;
}

enum handoff_ending
handoff_exchange_end(const struct handoff_exchange *exchange)
{
	if (exchange->opaque)
		return HANDOFF_END_RESET;
	if (!exchange->in_progress)
		return HANDOFF_END_NOTHING;
	if (exchange->answering)
		return HANDOFF_END_RESET;
	return exchange->whole ? HANDOFF_END_UNKNOWN : HANDOFF_END_NOT_RUN;
}
