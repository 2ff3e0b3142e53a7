#include "core/engine_forecast.h"

#include <glib.h>
#include <string.h>

#define NORMAL_PERMILLE 1000u
#define US_PER_MS 1000u
#define FIRST_TOKEN_INITIAL_MS 30u
#define FIRST_TOKEN_MAX_MS 2000u
/* After a shorter prefill, the time to the first token tells nothing of an
 * engine's prefill speed. It updates the part that does not depend on prefill
 * instead. */
#define SHORT_PREFILL_MS 25u
#define AVERAGE_WEIGHT 16u
#define SLOWNESS_MIN_PERMILLE 500u
#define SLOWNESS_MAX_PERMILLE 8000u
#define LEARNED_SLOWNESS_MIN_PERMILLE 50u
/* Weight of what is known of an engine before its first samples. */
#define PRIOR_POINTS_COUNT 4u
#define PRIOR_FAR_TOKENS 10000

static uint32_t
average(uint32_t old, uint64_t sample)
{
	return (uint32_t)(((uint64_t)old * (AVERAGE_WEIGHT - 1) + sample) /
	    AVERAGE_WEIGHT);
}

/* Splits the time to a first token into the prefill, which depends on the
 * engine's speed, and a constant part. */
static void
record_nominal(struct engine_forecast *forecast,
    const struct engine_sample *sample, uint64_t now_ms)
{
	uint64_t taken_ms = sample->taken_ms, slowness_permille;

	(void)now_ms;
	if (sample->forecast_ms < SHORT_PREFILL_MS) {
		taken_ms -= MIN(taken_ms, sample->forecast_ms);
		forecast->first_token_ms = average(forecast->first_token_ms,
		    MIN(taken_ms, FIRST_TOKEN_MAX_MS));
		return;
	}
	taken_ms -= MIN(taken_ms, forecast->first_token_ms);
	slowness_permille = forecast->slow_permille * taken_ms /
	    sample->forecast_ms;
	forecast->slow_permille = average(forecast->slow_permille,
	    CLAMP(slowness_permille, SLOWNESS_MIN_PERMILLE,
		SLOWNESS_MAX_PERMILLE));
}

/* Microseconds for 1,000 tokens at the nominal speed. */
static int64_t
nominal_us(void)
{
	return NORMAL_PERMILLE * US_PER_MS / ENGINE_PREFILL_TOKENS_PER_MS;
}

static void
read_line(struct engine_forecast *forecast)
{
	const struct line *line = &forecast->prefill.line;
	int64_t slowness_permille = line->slope_milli * NORMAL_PERMILLE /
	    nominal_us();

	forecast->slow_permille = (uint32_t)CLAMP(slowness_permille,
	    LEARNED_SLOWNESS_MIN_PERMILLE, SLOWNESS_MAX_PERMILLE);
	forecast->first_token_ms = (uint32_t)CLAMP(line->intercept / US_PER_MS,
	    0, FIRST_TOKEN_MAX_MS);
}

/* Times at a usual pace are learned: the stated one comes on top. */
static void
record_learned(struct engine_forecast *forecast,
    const struct engine_sample *sample, uint64_t now_ms)
{
	uint64_t taken_us = (uint64_t)sample->taken_ms * US_PER_MS *
	    NORMAL_PERMILLE / engine_pace_permille(&forecast->pace, now_ms);

	linear_fit_add(&forecast->prefill,
	    (int64_t)MIN(sample->tokens, LINEAR_FIT_X_MAX),
	    (int64_t)MIN(taken_us, LINEAR_FIT_Y_MAX));
	forecast->samples_count++;
	read_line(forecast);
}

static const struct engine_forecast_ops nominal_ops = { record_nominal };
static const struct engine_forecast_ops learned_ops = { record_learned };

void
engine_forecast_init(struct engine_forecast *forecast)
{
	memset(forecast, 0, sizeof(*forecast));
	forecast->ops = &nominal_ops;
	forecast->slow_permille = NORMAL_PERMILLE;
	forecast->first_token_ms = FIRST_TOKEN_INITIAL_MS;
}

bool
engine_forecast_is_learned(const struct engine_forecast *forecast)
{
	return forecast->ops == &learned_ops;
}

void
engine_forecast_state_pace(struct engine_forecast *forecast, uint32_t percent,
    const struct engine_forecast *similar, uint64_t now_ms)
{
	const struct line nominal = {
		(int64_t)forecast->first_token_ms * US_PER_MS,
		forecast->slow_permille * nominal_us() / NORMAL_PERMILLE,
	};

	engine_pace_state(&forecast->pace, percent, now_ms);
	if (engine_forecast_is_learned(forecast))
		return;
	forecast->ops = &learned_ops;
	linear_fit_init(&forecast->prefill,
	    similar == NULL ? &nominal : &similar->prefill.line,
	    PRIOR_POINTS_COUNT, PRIOR_FAR_TOKENS);
	read_line(forecast);
}

uint64_t
engine_forecast_slowness_permille(const struct engine_forecast *forecast,
    uint64_t now_ms)
{
	return (uint64_t)forecast->slow_permille *
	    engine_pace_permille(&forecast->pace, now_ms) / NORMAL_PERMILLE;
}

uint64_t
engine_forecast_prefill_ms(uint64_t tokens, uint64_t slowness_permille)
{
	return tokens * slowness_permille / ENGINE_PREFILL_TOKENS_PER_MS /
	    NORMAL_PERMILLE;
}

void
engine_forecast_record_first_token(struct engine_forecast *forecast,
    const struct engine_sample *sample, uint64_t now_ms)
{
	forecast->ops->record_first_token(forecast, sample, now_ms);
}
