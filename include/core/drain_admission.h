/**
 * @file
 * Tells whether work for a request may still begin on a daemon that stops.
 *
 * The platform kills the process a while after its signal. Work that begins late
 * and lasts longer is lost, so it begins only if the request's deadline is before
 * the process ends its requests. The question is asked whenever work could begin,
 * as a request's body, its decision and its earlier attempts take time.
 */
#ifndef CORE_DRAIN_ADMISSION_H
#define CORE_DRAIN_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

/** Time after the signal in which any work may begin, and in which the platform
 * still sends new connections: until two readiness probes have failed. */
#define DRAIN_ACCEPT_MS 2600u

/** A stop of this daemon, or of a peer that passes connections here.
 * Zero-initialised: no stop. */
struct drain_admission {
	bool stopping;
	uint64_t signal_ms; /**< when the process was told to stop */
	uint32_t grace_ms; /**< it is killed this long after that */
	uint32_t hop_ms; /**< time for an answer to reach that process */
};

/** Records that a process was told to stop, by the clock of all other times. Of
 * several records of one stop the earliest signal counts, as a message about it
 * may be late. */
void drain_admission_begin(struct drain_admission *admission,
    uint64_t signal_ms, uint32_t grace_ms);

/** @return when the requests that still run are ended: as the process that stops
 * ends its own, and hop_ms earlier where it only passes their answers on */
uint64_t drain_admission_end_ms(const struct drain_admission *admission);

/** @return whether an attempt, or the wait for one, may begin now
 * @param deadline_ms when the request ends at the latest */
bool drain_admission_may_begin(const struct drain_admission *admission,
    uint64_t now_ms, uint64_t deadline_ms);

#endif
