/**
 * @file
 * How long work takes at an engine now, by what the engine states.
 *
 * Engines share their machines with others, and state their pace with each
 * response: 100 means as usual. The figure changes many times a second, so a
 * statement counts less the older it is: half after ENGINE_PACE_HALF_MS. What
 * remains is the engine's own average.
 */
#ifndef CORE_ENGINE_PACE_H
#define CORE_ENGINE_PACE_H

#include <stdint.h>

/** Age at which a statement counts half. */
#define ENGINE_PACE_HALF_MS 300u
/** Largest pace that is believed. */
#define ENGINE_PACE_MAX_PERCENT 2000u

struct engine_pace {
	uint32_t stated_percent; /**< 0: the engine has stated none */
	uint32_t
	    mean_centipercent; /**< moving average, in 1/100 of a percent */
	uint64_t stated_ms;
};

/** Records a statement. */
void engine_pace_state(struct engine_pace *pace, uint32_t percent,
    uint64_t now_ms);

/** @return time that work takes now, in thousandths of what it takes on average at
 * this engine */
uint32_t engine_pace_permille(const struct engine_pace *pace, uint64_t now_ms);

#endif
