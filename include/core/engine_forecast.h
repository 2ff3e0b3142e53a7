/**
 * @file
 * Forecasts how long an engine takes to its first token, from what it has shown.
 *
 * An engine that states its pace is learned by a line through its times to a
 * first token over the prompt tokens that were ahead. The others keep a measured
 * slowness against a nominal speed.
 */
#ifndef CORE_ENGINE_FORECAST_H
#define CORE_ENGINE_FORECAST_H

#include <stdbool.h>
#include <stdint.h>

#include "core/engine_pace.h"
#include "core/linear_fit.h"

/** Nominal prefill speed, to which a measured slowness refers. */
#define ENGINE_PREFILL_TOKENS_PER_MS 50u

/** What a first token showed. */
struct engine_sample {
	uint64_t tokens; /**< prompt tokens ahead and own, at the decision */
	uint32_t forecast_ms; /**< of their prefill */
	uint32_t taken_ms; /**< from the decision to the first token */
};

struct engine_forecast;

/** How the times to a first token are learned. */
struct engine_forecast_ops {
	void (*record_first_token)(struct engine_forecast *forecast,
	    const struct engine_sample *sample, uint64_t now_ms);
};

struct engine_forecast {
	const struct engine_forecast_ops *ops;
	uint32_t slow_permille; /**< measured over nominal prefill time */
	/** Part of the time to a first token that does not depend on prefill. */
	uint32_t first_token_ms;
	struct linear_fit prefill; /**< microseconds over prompt tokens */
	uint32_t samples_count; /**< of a learned engine */
	struct engine_pace pace;
};

void engine_forecast_init(struct engine_forecast *forecast);

/**
 * Records the pace that an engine states. With the first one, it is learned.
 * @param similar an engine of the same pool to start from, or NULL
 */
void engine_forecast_state_pace(struct engine_forecast *forecast,
    uint32_t percent, const struct engine_forecast *similar, uint64_t now_ms);

/** @return whether an engine is learned from its times */
bool engine_forecast_is_learned(const struct engine_forecast *forecast);

/** @return time for the prefill of some tokens now, in thousandths of the nominal
 * time */
uint64_t
engine_forecast_slowness_permille(const struct engine_forecast *forecast,
    uint64_t now_ms);

/** @return time for the prefill of some tokens at a slowness, in ms */
uint64_t engine_forecast_prefill_ms(uint64_t tokens,
    uint64_t slowness_permille);

/** Learns from a time to a first token. */
void engine_forecast_record_first_token(struct engine_forecast *forecast,
    const struct engine_sample *sample, uint64_t now_ms);

#endif
