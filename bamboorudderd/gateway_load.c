#include "bamboorudderd/gateway_private.h"
#include "common/log.h"

#define US_PER_MS 1000u
/* A daemon that sheds load logs its load once per this period. */
#define LOG_PERIOD_MS 1000u
#define TEXT_BYTES 24

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

/* Requests counted since an earlier time. */
static struct gw_load_counts
counts_since(const struct gateway *gateway, const struct gw_load_counts *start)
{
	const struct gw_load_counts *now = &gateway->load_counts;

	return (struct gw_load_counts){
		.requests_count = now->requests_count - start->requests_count,
		.shed_count = now->shed_count - start->shed_count,
		.held_count = now->held_count - start->held_count,
		.refused_count = now->refused_count - start->refused_count,
		.started_count = now->started_count - start->started_count,
		.passed_count = now->passed_count - start->passed_count,
		.turned_away_count = now->turned_away_count -
		    start->turned_away_count,
	};
}

static void
update_readiness(struct gateway *gateway, uint32_t idle_percent,
    uint64_t now_ms)
{
	bool was_ready = gateway->readiness.ready;
	struct gw_load_counts counts = counts_since(gateway,
	    &gateway->readiness_start);
	struct readiness_load load = {
		.idle_percent = idle_percent,
		.requests_count = counts.requests_count,
		.shed_count = counts.shed_count,
	};
	char recovery[TEXT_BYTES];

	gateway->readiness_start = gateway->load_counts;
	load_shedder_busiest_account(&gateway->load_shedder,
	    &load.busiest_permille);
	readiness_end_window(&gateway->readiness, &load, now_ms);
	if (was_ready == gateway->readiness.ready)
		return;
	g_snprintf(recovery, TEXT_BYTES, "%u", gateway->readiness.recovery_ms);
	log_event(LOG_LEVEL_WARN, was_ready ? "overloaded" : "keeps_up",
	    "recovery_ms", recovery, NULL);
}

static void
update_shedding(struct gateway *gateway, uint32_t idle_percent)
{
	struct gw_load_counts counts = counts_since(gateway,
	    &gateway->shedding_start);
	const struct handoff_load load = { LOAD_SHEDDER_WINDOW_MS, idle_percent,
		counts.requests_count, counts.passed_count };
	bool was_shedding = gateway->load_shedder.reject_permille > 0;
	bool was_busy = gateway->load_shedder.busy;
	bool was_passing = gateway->handoff.passing;

	gateway->shedding_start = gateway->load_counts;
	load_shedder_end_window(&gateway->load_shedder, idle_percent);
	handoff_end_window(&gateway->handoff, &load);
	if (was_passing != gateway->handoff.passing)
		log_event(LOG_LEVEL_WARN,
		    was_passing ? "hands_over_no_more" : "hands_over", NULL);
	if (was_busy != gateway->load_shedder.busy)
		gw_dispatch_busy(gateway, gateway->load_shedder.busy);
	if (was_shedding != (gateway->load_shedder.reject_permille > 0))
		log_event(LOG_LEVEL_WARN,
		    was_shedding ? "sheds_no_more" : "sheds", NULL);
}

static void
log_load(const struct gateway *gateway, const struct gw_load_counts *counts,
    uint32_t idle_percent)
{
	char idle[TEXT_BYTES], reject[TEXT_BYTES];
	char requests[TEXT_BYTES], shed[TEXT_BYTES], held[TEXT_BYTES];
	char refused[TEXT_BYTES], started[TEXT_BYTES], active[TEXT_BYTES];
	char part[TEXT_BYTES], passed[TEXT_BYTES];
	char turned_away[TEXT_BYTES];
	uint32_t part_permille = 0;
	uint64_t account_id =
	    load_shedder_busiest_account(&gateway->load_shedder,
		&part_permille);

	g_snprintf(idle, TEXT_BYTES, "%u", idle_percent);
	g_snprintf(reject, TEXT_BYTES, "%u",
	    gateway->load_shedder.reject_permille);
	g_snprintf(requests, TEXT_BYTES, "%u", counts->requests_count);
	g_snprintf(shed, TEXT_BYTES, "%u", counts->shed_count);
	g_snprintf(held, TEXT_BYTES, "%u", counts->held_count);
	g_snprintf(refused, TEXT_BYTES, "%u", counts->refused_count);
	g_snprintf(started, TEXT_BYTES, "%u", counts->started_count);
	g_snprintf(active, TEXT_BYTES, "%u", gateway->active_count);
	g_snprintf(part, TEXT_BYTES, "%u", part_permille);
	g_snprintf(passed, TEXT_BYTES, "%u", counts->passed_count);
	g_snprintf(turned_away, TEXT_BYTES, "%u", counts->turned_away_count);
	log_event(LOG_LEVEL_WARN, "load", "idle_percent", idle,
	    "reject_permille", reject, "requests", requests, "shed", shed,
	    "held", held, "refused", refused, "started", started, "turned_away",
	    turned_away, "handed_over", passed, "active", active, "account",
	    config_snapshot_account_name(gateway->configuration, account_id),
	    "account_permille", part, NULL);
}

static void
report_load(struct gateway *gateway, uint32_t idle_percent)
{
	struct gw_load_counts counts = counts_since(gateway,
	    &gateway->log_start);

	gateway->log_start = gateway->load_counts;
	if (counts.shed_count > 0 || counts.passed_count > 0 ||
	    counts.turned_away_count > 0 || !gateway->readiness.ready)
		log_load(gateway, &counts, idle_percent);
}

void
gw_load_start(struct gateway *gateway)
{
	readiness_init(&gateway->readiness);
	gateway->log_window.start_ms = gw_now_ms(gateway);
	gateway->readiness_window.start_ms = gw_now_ms(gateway);
	gateway->shedding_window.start_ms = gateway->readiness_window.start_ms;
}

void
gw_load_add_idle(struct gateway *gateway, uint64_t idle_us)
{
	gateway->readiness_window.idle_us += idle_us;
	gateway->shedding_window.idle_us += idle_us;
	gateway->log_window.idle_us += idle_us;
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
	if (end_window(&gateway->log_window, LOG_PERIOD_MS, now_ms,
		&idle_percent))
		report_load(gateway, idle_percent);
}

uint32_t
gw_load_retry_after_ms(const struct gateway *gateway, uint64_t lot,
    uint64_t now_ms)
{
	return gateway->readiness.ready
	    ? load_shedder_retry_after_ms(&gateway->load_shedder, lot)
	    : readiness_retry_after_ms(&gateway->readiness, lot, now_ms);
}
