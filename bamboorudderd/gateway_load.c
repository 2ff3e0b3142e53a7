#include "bamboorudderd/gateway_private.h"
#include "common/log.h"

#define READINESS_WINDOW_MS 500u
/* An event loop that is idle for less than this share of a window is
 * overloaded. */
#define IDLE_MIN_PERCENT 10u
#define RECOVERY_MS 3000u
#define US_PER_MS 1000u

static bool
end_window(struct gw_idle_window *window, uint32_t length_ms, uint64_t now_ms,
    uint32_t *idle_percent)
{
	uint64_t window_ms = now_ms - window->start_ms;

	if (window_ms < length_ms)
		return false;
	*idle_percent = (uint32_t)MIN(window->idle_us / US_PER_MS * 100 /
		window_ms,
	    100);
	window->start_ms = now_ms;
	window->idle_us = 0;
	return true;
}

/* An overloaded daemon fails its readiness probes, so that the platform sends
 * new connections to others. It is ready again after RECOVERY_MS without an
 * overloaded window. */
static void
update_readiness(struct gateway *gateway, uint32_t idle_percent,
    uint64_t now_ms)
{
	bool was_overloaded = gateway->overloaded;

	if (idle_percent < IDLE_MIN_PERCENT) {
		gateway->overloaded = true;
		gateway->overloaded_ms = now_ms;
	} else if (now_ms >= gateway->overloaded_ms + RECOVERY_MS)
		gateway->overloaded = false;
	if (was_overloaded != gateway->overloaded)
		log_event(LOG_LEVEL_WARN,
		    gateway->overloaded ? "overloaded" : "keeps_up", NULL);
}

static void
update_shedding(struct gateway *gateway, uint32_t idle_percent)
{
	bool was_shedding = gateway->load_shedder.reject_permille > 0;

	load_shedder_end_window(&gateway->load_shedder, idle_percent);
	if (was_shedding != (gateway->load_shedder.reject_permille > 0))
		log_event(LOG_LEVEL_WARN,
		    was_shedding ? "sheds_no_more" : "sheds", NULL);
}

void
gw_load_start(struct gateway *gateway)
{
	gateway->readiness_window.start_ms = gw_now_ms(gateway);
	gateway->shedding_window.start_ms = gateway->readiness_window.start_ms;
}

void
gw_load_add_idle(struct gateway *gateway, uint64_t idle_us)
{
	gateway->readiness_window.idle_us += idle_us;
	gateway->shedding_window.idle_us += idle_us;
}

void
gw_load_check(struct gateway *gateway, uint64_t now_ms)
{
	uint32_t idle_percent;

	if (end_window(&gateway->shedding_window, LOAD_SHEDDER_WINDOW_MS,
		now_ms, &idle_percent))
		update_shedding(gateway, idle_percent);
	if (end_window(&gateway->readiness_window, READINESS_WINDOW_MS, now_ms,
		&idle_percent))
		update_readiness(gateway, idle_percent, now_ms);
}
