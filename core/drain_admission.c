#include "core/drain_admission.h"

#include <glib.h>

/* Time between the deadline of a request and the end of the process's requests. */
#define DEADLINE_MARGIN_MS 100u
/* This part of the grace period is reserved for the answers of the requests that
 * are still running, and for the end of the process. */
#define EXIT_DIVISOR 8u
/* More of a short grace period is reserved, up to this time. */
#define EXIT_MIN_MS 1000u
#define EXIT_MIN_DIVISOR 6u

void
drain_admission_begin(struct drain_admission *admission, uint64_t signal_ms,
    uint32_t grace_ms)
{
	admission->signal_ms = admission->stopping
	    ? MIN(admission->signal_ms, signal_ms)
	    : signal_ms;
	admission->stopping = true;
	admission->grace_ms = grace_ms;
}

uint64_t
drain_admission_end_ms(const struct drain_admission *admission)
{
	uint32_t grace_ms = admission->grace_ms;
	uint32_t exit_ms = MAX(grace_ms / EXIT_DIVISOR,
	    MIN(EXIT_MIN_MS, grace_ms / EXIT_MIN_DIVISOR));
	uint32_t run_ms = grace_ms - exit_ms;

	return admission->signal_ms + run_ms - MIN(admission->hop_ms, run_ms);
}

bool
drain_admission_may_begin(const struct drain_admission *admission,
    uint64_t now_ms, uint64_t deadline_ms)
{
	uint64_t end_ms;

	if (!admission->stopping)
		return true;
	end_ms = drain_admission_end_ms(admission);
	if (now_ms >= end_ms)
		return false;
	return now_ms <= admission->signal_ms + DRAIN_ACCEPT_MS ||
	    (deadline_ms <= end_ms &&
		end_ms - deadline_ms >= DEADLINE_MARGIN_MS);
}
