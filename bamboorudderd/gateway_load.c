#include "bamboorudderd/gateway_private.h"
#include "common/log.h"

/* A loop that waits less than this part of a span is overloaded. */
#define READY_SPAN_MS 500u
#define IDLE_MIN_PERCENT 10u
#define RELIEF_MS 3000u
#define US_PER_MS 1000u

static bool
end_span(struct gw_span *span, uint32_t length_ms, uint64_t now_ms,
    uint32_t *idle_percent)
{
	uint64_t span_ms = now_ms - span->since_ms;

	if (span_ms < length_ms)
		return false;
	*idle_percent = (uint32_t)MIN(span->idle_us / US_PER_MS * 100 / span_ms,
	    100);
	span->since_ms = now_ms;
	span->idle_us = 0;
	return true;
}

/* A daemon whose loop hardly ever waits can't keep up: it asks the platform to
 * send new connections to others, until it has had time to spare for a while. */
static void
judge_ready(struct gateway *gateway, uint32_t idle_percent, uint64_t now_ms)
{
	bool was = gateway->overloaded;

	if (idle_percent < IDLE_MIN_PERCENT) {
		gateway->overloaded = true;
		gateway->busy_ms = now_ms;
	} else if (now_ms >= gateway->busy_ms + RELIEF_MS)
		gateway->overloaded = false;
	if (was != gateway->overloaded)
		log_event(LOG_LEVEL_WARN,
		    gateway->overloaded ? "overloaded" : "keeps_up", NULL);
}

static void
judge_shed(struct gateway *gateway, uint32_t idle_percent)
{
	bool was = gateway->shed.reject_permille > 0;

	load_shedder_end_window(&gateway->shed, idle_percent);
	if (was != (gateway->shed.reject_permille > 0))
		log_event(LOG_LEVEL_WARN, was ? "sheds_no_more" : "sheds",
		    NULL);
}

void
gw_load_start(struct gateway *gateway)
{
	gateway->ready_span.since_ms = gw_now_ms(gateway);
	gateway->shed_span.since_ms = gateway->ready_span.since_ms;
}

void
gw_load_waited(struct gateway *gateway, uint64_t waited_us)
{
	gateway->ready_span.idle_us += waited_us;
	gateway->shed_span.idle_us += waited_us;
}

void
gw_load_check(struct gateway *gateway, uint64_t now_ms)
{
	uint32_t idle_percent;

	if (end_span(&gateway->shed_span, LOAD_SHEDDER_WINDOW_MS, now_ms,
		&idle_percent))
		judge_shed(gateway, idle_percent);
	if (end_span(&gateway->ready_span, READY_SPAN_MS, now_ms,
		&idle_percent))
		judge_ready(gateway, idle_percent, now_ms);
}
