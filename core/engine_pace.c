#include "core/engine_pace.h"

#include <glib.h>

#define NORMAL_PERMILLE 1000u
#define CENTI 100u
#define MEAN_WEIGHT 32u

void
engine_pace_state(struct engine_pace *pace, uint32_t percent, uint64_t now_ms)
{
	percent = CLAMP(percent, 1, ENGINE_PACE_MAX_PERCENT);
	pace->mean_centipercent = pace->stated_percent == 0
	    ? percent * CENTI
	    : (pace->mean_centipercent * (MEAN_WEIGHT - 1) + percent * CENTI) /
		MEAN_WEIGHT;
	pace->stated_percent = percent;
	pace->stated_ms = now_ms;
}

uint32_t
engine_pace_permille(const struct engine_pace *pace, uint64_t now_ms)
{
	uint64_t age_ms = now_ms - MIN(pace->stated_ms, now_ms);
	int64_t stated_permille, difference;

	if (pace->stated_percent == 0)
		return NORMAL_PERMILLE;
	stated_permille = (int64_t)pace->stated_percent * CENTI *
	    NORMAL_PERMILLE / pace->mean_centipercent;
	difference = stated_permille - (int64_t)NORMAL_PERMILLE;
	return (uint32_t)((int64_t)NORMAL_PERMILLE +
	    difference * (int64_t)ENGINE_PACE_HALF_MS /
		(int64_t)(ENGINE_PACE_HALF_MS + age_ms));
}
