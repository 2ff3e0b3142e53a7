#include "core/cold_pace.h"

#include <glib.h>

#define MILLI_PER_UNIT 1000u
/* An endpoint that fails and gives no response for this long may have
 * restarted. */
#define SILENT_MIN_MS 300u
/* Of what the fleet may go beyond the rate, the hub uses this part at most. */
#define BURST_DIVISOR 2u

void
cold_pace_extend(struct cold_pace *pace, uint64_t until_ms, uint64_t now_ms)
{
	if (pace->cold_until_ms <= now_ms && !pace->unconfirmed) {
		token_bucket_start(&pace->bucket, now_ms);
		pace->to_log = true;
	}
	pace->cold_until_ms = MAX(pace->cold_until_ms, until_ms);
}

static bool
was_silent(uint64_t progress_ms, uint64_t now_ms)
{
	return now_ms >= progress_ms + SILENT_MIN_MS;
}

void
cold_pace_record_failure(struct cold_pace *pace,
    const struct cold_pace_rule *rule, uint64_t progress_ms, uint64_t now_ms)
{
	pace->failed_ms = now_ms;
	if (rule->per_1000_s == 0 || pace->unconfirmed ||
	    !was_silent(progress_ms, now_ms))
		return;
	cold_pace_extend(pace, now_ms, now_ms);
	pace->unconfirmed = true;
}

void
cold_pace_record_response(struct cold_pace *pace,
    const struct cold_pace_rule *rule, uint64_t progress_ms, uint64_t now_ms)
{
	bool failed_since = pace->failed_ms > progress_ms;
	bool restarted = pace->unconfirmed ||
	    (failed_since && was_silent(progress_ms, now_ms));

	pace->failed_ms = 0;
	if (rule->per_1000_s == 0 || !restarted)
		return;
	cold_pace_extend(pace, now_ms + rule->start_ms, now_ms);
	pace->unconfirmed = false;
}

bool
cold_pace_in_force(const struct cold_pace *pace,
    const struct cold_pace_rule *rule, uint64_t now_ms)
{
	return rule->per_1000_s > 0 &&
	    (pace->unconfirmed || now_ms < pace->cold_until_ms);
}

/* What passes in any second is the rate and the burst. */
static uint64_t
burst_ureq(const struct cold_pace_rule *rule)
{
	uint64_t overshoot_milli = MAX(rule->overshoot_milli, MILLI_PER_UNIT) -
	    MILLI_PER_UNIT;
	uint64_t beyond_ureq = (uint64_t)rule->per_1000_s * overshoot_milli +
	    (uint64_t)rule->slack_milli * MILLI_PER_UNIT;

	return MAX(beyond_ureq / BURST_DIVISOR, TOKEN_BUCKET_REQUEST_UREQ);
}

uint64_t
cold_pace_wait_ms(struct cold_pace *pace, const struct cold_pace_rule *rule,
    uint64_t now_ms)
{
	const struct token_bucket_rate rate = {
		.per_1000_s = rule->per_1000_s,
		.burst_ureq = burst_ureq(rule),
	};

	return cold_pace_in_force(pace, rule, now_ms)
	    ? token_bucket_wait_ms(&pace->bucket, &rate, now_ms)
	    : 0;
}

void
cold_pace_take(struct cold_pace *pace)
{
	token_bucket_take(&pace->bucket);
}
