#include <string.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include "bamboorudderd/control_private.h"
#include "bamboorudderd/gateway.h"
#include "common/log.h"
#include "common/metric.h"
#include "core/hash.h"
#include "core/owner.h"

#define TICK_PERIOD_MS 50u
/* Share of a core, in thousandths, from which a daemon counts as having
 * processor time to spare. A hub's messages take about 10 thousandths. */
#define HIGH_CPU_MIN_MILLI 200u
#define SEQ_INCARNATION_SHIFT 20

static void
update_progress(struct control *control)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, control->tickets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct ticket *ticket = value;
		entry_progress(&control->entry, ticket->seq,
		    atomic_load(&ticket->tokens));
	}
}

const char *
control_node_address(const struct control *control, uint64_t node_id)
{
	const struct members *members = &control->members;
	const struct member *member;

	if (node_id == members->config.self.node_id)
		return members->config.self.address;
	member = members_find(members, node_id);
	return member == NULL ? "?" : member->address;
}

static void
update_gauges(struct control *control)
{
	uint32_t waiting_count, running_count;
	struct timespec cpu;

	entry_counts(&control->entry, &waiting_count, &running_count);
	metric_set(METRIC_WAITING, waiting_count);
	metric_set(METRIC_RUNNING, running_count);
	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cpu);
	metric_set(METRIC_CONTROL_CPU_US,
	    (uint64_t)cpu.tv_sec * 1000000 + (uint64_t)cpu.tv_nsec / 1000);
}

/* Watches the store if this daemon is a watcher, else polls it rarely and
 * relies on the watchers. */
static void
update_watchers(struct control *control)
{
	uint32_t period_ms = 0, store_lost = 0;

	if (!members_is_watcher(&control->members))
		period_ms =
		    tablesync_poll_period_ms(control->members.peers->len + 1,
			control->settings->watch_wait_ms);
	if (control->gateway != NULL) {
		const struct feed_role role = {
			.watching = period_ms == 0,
			.deciding = control->dispatch.is_hub,
			.daemons_count = control->members.peers->len + 1,
		};
		feed_set_role(&control->gateway->feed, &role);
		store_lost = feed_is_failing(&control->gateway->feed);
	}
	for (int kind = 0; control->watchers != NULL && kind < TABLE_KIND_COUNT;
	     kind++) {
		table_watcher_set_period(&control->watchers[kind], period_ms);
		store_lost |= atomic_load(
		    &control->watchers[kind].platform_unreachable);
	}
	members_set_platform_lost(&control->members, store_lost != 0);
}

/* Logs a change of the hub, from which this daemon learns the load of the
 * others. */
static void
log_hub(struct control *control)
{
	uint64_t hub_id = dispatch_hub_id(&control->dispatch);
	const struct member *hub;

	if (hub_id == control->logged_hub_node_id)
		return;
	control->logged_hub_node_id = hub_id;
	hub = members_find(&control->members, hub_id);
	log_event(LOG_LEVEL_INFO, "hub", "address",
	    hub == NULL ? "-" : hub->address, NULL);
}

static void
tick(struct control *control)
{
	uint64_t now_ms = clk_monotonic_ms(&control->clk);
	GHashTableIter iter;
	gpointer owner;

	members_tick(&control->members, now_ms, &control->effects);
	if (control->members.live_set_changed)
		control_update_membership(control, now_ms);
	update_watchers(control);
	update_progress(control);
	entry_tick(&control->entry, now_ms, &control->effects);
	dispatch_tick(&control->dispatch, now_ms, feed_clock_ms(),
	    &control->effects);
	delegation_tick(&control->delegation, now_ms, &control->effects);
	log_hub(control);
	g_hash_table_iter_init(&iter, control->owners);
	while (g_hash_table_iter_next(&iter, NULL, &owner))
		owner_tick(owner, now_ms, &control->effects);
	control_run_effects(control, now_ms);
	update_gauges(control);
}

static void *
control_main(void *pointer)
{
	struct control *control = pointer;
	uint64_t tick_due_ms = 0, now_ms, wakes;

	while (!control->stopping) {
		now_ms = clk_monotonic_ms(&control->clk);
		if (now_ms >= tick_due_ms) {
			tick(control);
			tick_due_ms = now_ms + TICK_PERIOD_MS;
		}
		control->peer.ops->wait(&control->peer, control->wake_fd,
		    (uint32_t)(tick_due_ms - now_ms), control_on_message,
		    control);
		if (read(control->wake_fd, &wakes, sizeof(wakes)) > 0)
			mailbox_run(control);
	}
	return NULL;
}

static void
run_tables_changed(struct control *control, struct control_task *task)
{
	uint64_t now_ms = clk_monotonic_ms(&control->clk);
	struct snapshot *old = control->snapshot;
	uint64_t versions[TABLE_KIND_COUNT];

	(void)task;
	control->snapshot = tablestore_ref(control->store);
	versions[TABLE_ROUTES] = control->snapshot->tables.routes_version;
	versions[TABLE_POOLS] = control->snapshot->tables.pools_version;
	members_set_versions(&control->members, versions[TABLE_ROUTES],
	    versions[TABLE_POOLS]);
	tablesync_set_in_force(&control->tablesync, versions, &control->members,
	    &control->effects);
	entry_set_tables(&control->entry, &control->snapshot->tables, now_ms,
	    &control->effects);
	control_update_owners(control, now_ms);
	snapshot_unref(old);
	log_event(LOG_LEVEL_INFO, "tables_in_force", NULL);
}

void
control_tables_changed(void *control)
{
	mailbox_post(control, run_tables_changed, NULL, DONE_COMPLETE);
}

static void
init_cores(struct control *control)
{
	const struct settings *settings = control->settings;
	struct members_config members_config = {
		.self.incarnation = control->incarnation,
		.self.high_cpu = settings->cpu_share_milli >=
		    HIGH_CPU_MIN_MILLI,
		.heartbeat_period_ms = settings->heartbeat_period_ms,
		.down_after_ms = settings->down_after_ms,
	};
	struct entry_config entry_config = {
		.seq_first = control->incarnation << SEQ_INCARNATION_SHIFT,
		.ops = entry_find(settings->share_policy),
		.order = fair_find(settings->share_order),
		.report_period_ms = settings->report_period_ms,
		.fallback_after_ms = settings->fallback_after_ms,
	};
	struct dispatch_config dispatch_config = {
		.incarnation = control->incarnation,
		.domain_id = hash_name(settings->failure_domain),
		.report_period_ms = settings->load_period_ms,
		.retry_permille = settings->retry_ratio_milli,
		.retry_slack_milli = settings->retry_slack_milli,
		.retry_window_ms = settings->retry_window_ms,
		.cold_overshoot_milli = settings->cold_overshoot_milli,
		.cold_slack_milli = settings->cold_slack_milli,
		.crossing.price_ms_per_mb = settings->domain_price_ms_per_mb,
		.crossing.delay_max_ms = settings->domain_delay_max_ms,
	};

	g_strlcpy(members_config.self.address, settings->peer_address,
	    ADDRESS_MAX_BYTES);
	g_strlcpy(members_config.self.domain, settings->failure_domain,
	    NAME_MAX_BYTES);
	members_init(&control->members, &members_config);
	tablesync_init(&control->tablesync);
	for (uint32_t i = 0; i < settings->peer_seeds.count; i++)
		members_add_seed(&control->members,
		    settings->peer_seeds.items[i]);
	control->members.live_set_changed = true;
	entry_config.node_id = control->members.config.self.node_id;
	entry_init(&control->entry, &entry_config);
	dispatch_config.node_id = entry_config.node_id;
	dispatch_init(&control->dispatch, &dispatch_config);
	delegation_init(&control->delegation, &control->dispatch,
	    control->incarnation);
	control->undecided = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, g_free);
}

gboolean
control_init(struct control *control, const struct settings *settings,
    struct tablestore *store, struct fault_injector *fault_injector,
    GError **error)
{
	struct peer_zmq_config peer_config = { settings->peer_address,
		settings->peer_public_key, settings->peer_secret_key };

	memset(control, 0, sizeof(*control));
	if (!peer_init_zmq(&control->peer, &peer_config, error))
		return FALSE;
	control->fault_injector = fault_injector;
	if (fault_injector != NULL)
		fault_injector_wrap_peer(fault_injector, &control->peer);
	control->settings = settings;
	control->store = store;
	clk_init_system(&control->clk);
	control->incarnation = clk_wall_ms(&control->clk);
	pthread_mutex_init(&control->mailbox_mutex, NULL);
	STAILQ_INIT(&control->mailbox);
	control->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	control->snapshot = tablestore_ref(store);
	control->owners = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, control_owner_free);
	control->tickets = g_hash_table_new(g_int64_hash, g_int64_equal);
	control->send_buffer = g_byte_array_new();
	effects_init(&control->effects);
	init_cores(control);
	return TRUE;
}

void
control_start(struct control *control, struct table_watcher *watchers)
{
	control->watchers = watchers;
	pthread_create(&control->thread, NULL, control_main, control);
}

static void
run_stop(struct control *control, struct control_task *task)
{
	(void)task;
	members_announce_shutdown(&control->members, &control->effects);
	control->stopping = true;
}

void
control_stop(struct control *control)
{
	mailbox_post(control, run_stop, NULL, DONE_COMPLETE);
	pthread_join(control->thread, NULL);
}

void
control_finish(struct control *control)
{
	mailbox_discard(control);
	control->peer.ops->finish(&control->peer);
	g_hash_table_destroy(control->owners);
	g_hash_table_destroy(control->tickets);
	entry_finish(&control->entry);
	delegation_finish(&control->delegation);
	g_hash_table_destroy(control->undecided);
	dispatch_finish(&control->dispatch);
	config_snapshot_unref(control->configuration);
	members_finish(&control->members);
	effects_finish(&control->effects);
	g_byte_array_free(control->send_buffer, TRUE);
	pthread_mutex_destroy(&control->mailbox_mutex);
	snapshot_unref(control->snapshot);
	close(control->wake_fd);
}
