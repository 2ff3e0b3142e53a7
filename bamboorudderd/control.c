#include "bamboorudderd/control.h"

#include <string.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include "bamboorudderd/dump.h"
#include "common/codec.h"
#include "common/log.h"
#include "common/metric.h"
#include "core/owner.h"

#define TICK_MS 50u
#define SEQ_INCARNATION_SHIFT 20

/* Work for the control thread. */
struct command {
	STAILQ_ENTRY(command) entries;
	void (*run)(struct control *control, struct command *command);
	struct ticket *ticket;
	enum done_outcome outcome;
	/* for a caller that waits */
	pthread_mutex_t mutex;
	pthread_cond_t done_changed;
	bool done;
	bool awaited;
	json_t *json;
	uint32_t count;
};

static void
mailbox_push(struct control *control, struct command *command)
{
	uint64_t one = 1;

	pthread_mutex_lock(&control->mailbox_mutex);
	STAILQ_INSERT_TAIL(&control->mailbox, command, entries);
	pthread_mutex_unlock(&control->mailbox_mutex);
	if (write(control->wake_fd, &one, sizeof(one)) < 0)
		log_event(LOG_LEVEL_ERROR, "wake_failed", NULL);
}

static struct command *
mailbox_pop(struct control *control)
{
	struct command *command;

	pthread_mutex_lock(&control->mailbox_mutex);
	command = STAILQ_FIRST(&control->mailbox);
	if (command != NULL)
		STAILQ_REMOVE_HEAD(&control->mailbox, entries);
	pthread_mutex_unlock(&control->mailbox_mutex);
	return command;
}

static void
mailbox_post(struct control *control,
    void (*run)(struct control *, struct command *), struct ticket *ticket,
    enum done_outcome outcome)
{
	struct command *command = g_new0(struct command, 1);

	command->run = run;
	command->ticket = ticket;
	command->outcome = outcome;
	mailbox_push(control, command);
}

/* Runs a function on the control thread and waits for its end. */
static void
mailbox_call(struct control *control, struct command *command)
{
	pthread_mutex_init(&command->mutex, NULL);
	pthread_cond_init(&command->done_changed, NULL);
	command->awaited = true;
	mailbox_push(control, command);
	pthread_mutex_lock(&command->mutex);
	while (!command->done)
		pthread_cond_wait(&command->done_changed, &command->mutex);
	pthread_mutex_unlock(&command->mutex);
	pthread_mutex_destroy(&command->mutex);
	pthread_cond_destroy(&command->done_changed);
}

static void
ticket_settle(struct ticket *ticket, enum ticket_state state,
    const struct effect *effect)
{
	pthread_mutex_lock(&ticket->mutex);
	ticket->state = state;
	ticket->endpoint_id = effect->endpoint_id;
	ticket->reason = effect->reason;
	ticket->retry_after_ms = effect->retry_after_ms;
	pthread_cond_signal(&ticket->changed);
	pthread_mutex_unlock(&ticket->mutex);
}

static void
owner_free(gpointer owner)
{
	owner_finish(owner);
	g_free(owner);
}

static void dispatch(struct control *control, const struct msg *msg,
    uint64_t now_ms);

static void
send_msg(struct control *control, uint64_t to_node_id, struct msg *msg,
    uint64_t now_ms)
{
	const struct member *member;

	msg->from_node_id = control->members.config.self.node_id;
	msg->from_incarnation = control->members.config.self.incarnation;
	if (to_node_id == msg->from_node_id) {
		dispatch(control, msg, now_ms);
		return;
	}
	member = members_find(&control->members, to_node_id);
	if (member == NULL)
		return;
	g_byte_array_set_size(control->encoded, 0);
	codec_encode(msg, control->encoded);
	control->peer.ops->send(&control->peer, member->address,
	    control->encoded->data, control->encoded->len);
}

static void
settle(struct control *control, const struct effect *effect)
{
	struct ticket *ticket = g_hash_table_lookup(control->tickets,
	    &effect->seq);

	if (ticket != NULL)
		ticket_settle(ticket,
		    effect->type == EFFECT_START ? TICKET_GRANTED
						 : TICKET_REFUSED,
		    effect);
}

static void
member_down(struct control *control, uint64_t node_id, uint64_t now_ms)
{
	const struct member *member = members_find(&control->members, node_id);
	GHashTableIter iter;
	gpointer owner;

	log_event(LOG_LEVEL_WARN, "member_down", "address",
	    member == NULL ? "?" : member->address, NULL);
	if (member != NULL)
		control->peer.ops->forget(&control->peer, member->address);
	g_hash_table_iter_init(&iter, control->owners);
	while (g_hash_table_iter_next(&iter, NULL, &owner))
		owner_node_down(owner, node_id, now_ms, &control->effects);
}

static void
member_up(struct control *control, uint64_t node_id)
{
	const struct member *member = members_find(&control->members, node_id);

	log_event(LOG_LEVEL_INFO, "member_up", "address",
	    member == NULL ? "?" : member->address, NULL);
}

/* Carries out all effects, those that arise on the way included. */
static void
run_effects(struct control *control, uint64_t now_ms)
{
	for (size_t i = 0; i < control->effects.count; i++) {
		struct effect effect = control->effects.items[i];

		switch (effect.type) {
		case EFFECT_SEND:
			send_msg(control, effect.to_node_id, &effect.msg,
			    now_ms);
			break;
		case EFFECT_START:
		case EFFECT_REFUSE:
			settle(control, &effect);
			break;
		case EFFECT_MEMBER_UP:
			member_up(control, effect.to_node_id);
			break;
		case EFFECT_MEMBER_DOWN:
			member_down(control, effect.to_node_id, now_ms);
			break;
		}
	}
	effects_clear(&control->effects);
}

static struct owner *
owner_create(struct control *control, uint64_t pool_id, uint64_t now_ms)
{
	uint64_t live_ids[MEMBERS_MAX_COUNT];
	size_t live_count = members_live(&control->members, live_ids,
	    MEMBERS_MAX_COUNT);
	struct owner_config config = {
		.node_id = control->members.config.self.node_id,
		.pool_id = pool_id,
		.fair = fair_find(control->settings->order),
		.sync_timeout_ms = control->settings->sync_timeout_ms,
		.grant_settle_ms = control->settings->grant_settle_ms,
		.report_period_ms = control->settings->report_period_ms,
	};
	struct owner *owner = g_new0(struct owner, 1);

	owner_init(owner, &config,
	    MAX(clk_wall_ms(&control->clk),
		entry_epoch_seen(&control->entry, pool_id) + 1),
	    now_ms, live_ids, live_count, &control->effects);
	g_hash_table_insert(control->owners, &owner->config.pool_id, owner);
	return owner;
}

static gboolean
owner_not_ours(gpointer key, gpointer value, gpointer context)
{
	const struct control *control = context;
	uint64_t pool_id = *(uint64_t *)key;

	(void)value;
	return tables_find_pool(&control->snapshot->tables, pool_id) == NULL ||
	    entry_owner_of(&control->entry, pool_id) !=
	    control->members.config.self.node_id;
}

/* Takes over the pools that this node owns now and gives up the others. */
static void
update_owners(struct control *control, uint64_t now_ms)
{
	const struct tables *tables = &control->snapshot->tables;

	g_hash_table_foreach_remove(control->owners, owner_not_ours, control);
	for (uint32_t i = 0; i < tables->pool_count; i++) {
		uint64_t pool_id = tables->pools[i].pool_id;
		struct owner *owner = g_hash_table_lookup(control->owners,
		    &pool_id);

		if (entry_owner_of(&control->entry, pool_id) !=
		    control->members.config.self.node_id)
			continue;
		if (owner == NULL)
			owner = owner_create(control, pool_id, now_ms);
		owner_set_tables(owner, tables, now_ms, &control->effects);
	}
}

static void
update_view(struct control *control, uint64_t now_ms)
{
	uint64_t live_ids[MEMBERS_MAX_COUNT];
	size_t live_count = members_live(&control->members, live_ids,
	    MEMBERS_MAX_COUNT);

	control->members.changed = false;
	metric_set(METRIC_MEMBERS_LIVE, live_count);
	entry_set_view(&control->entry, live_ids, live_count, now_ms,
	    &control->effects);
	update_owners(control, now_ms);
}

static void
dispatch_to_owner(struct control *control, uint64_t pool_id,
    const struct msg *msg, uint64_t now_ms)
{
	struct owner *owner = g_hash_table_lookup(control->owners, &pool_id);

	if (owner != NULL)
		owner_handle(owner, msg, now_ms, &control->effects);
}

static void
handle_membership(struct control *control, const struct msg *msg,
    uint64_t now_ms)
{
	const struct msg_heartbeat *heartbeat = &msg->u.heartbeat;

	if (!members_handle(&control->members, msg, now_ms, &control->effects))
		metric_add(METRIC_PEER_MALFORMED, 1);
	else if (msg->type != MSG_MEMBER_LIST)
		tablesync_learn(&control->tablesync, msg->from_node_id,
		    heartbeat->routes_version, heartbeat->pools_version, now_ms,
		    &control->effects);
}

static void
handle_tables(struct control *control, const struct msg *msg, uint64_t now_ms)
{
	const struct msg_tables_data *data = &msg->u.tables_data;
	struct tablesync_texts texts = {
		{ control->snapshot->texts[TABLE_ROUTES],
		    control->snapshot->texts[TABLE_POOLS] }
	};

	if (msg->type == MSG_TABLES_NEWS)
		tablesync_learn(&control->tablesync, msg->from_node_id,
		    msg->u.tables.routes_version, msg->u.tables.pools_version,
		    now_ms, &control->effects);
	else if (msg->type == MSG_TABLES_PULL)
		tablesync_answer(&control->tablesync, msg, &texts,
		    &control->effects);
	else
		tablestore_offer(control->store, (enum table_kind)data->kind,
		    data->version, data->text);
}

static bool
is_membership(enum msg_type type)
{
	return type <= MSG_MEMBER_LIST;
}

static void
dispatch(struct control *control, const struct msg *msg, uint64_t now_ms)
{
	if (!is_membership(msg->type) &&
	    !members_accept(&control->members, msg, now_ms, &control->effects))
		return;
	switch (msg->type) {
	case MSG_HEARTBEAT:
	case MSG_HEARTBEAT_ACK:
	case MSG_PROBE_REQUEST:
	case MSG_GOSSIP:
	case MSG_JOIN:
	case MSG_MEMBER_LIST:
		handle_membership(control, msg, now_ms);
		break;
	case MSG_TABLES_NEWS:
	case MSG_TABLES_PULL:
	case MSG_TABLES_DATA:
		handle_tables(control, msg, now_ms);
		break;
	case MSG_ASK:
		dispatch_to_owner(control, msg->u.ask.pool_id, msg, now_ms);
		break;
	case MSG_CANCEL:
		dispatch_to_owner(control, msg->u.cancel.pool_id, msg, now_ms);
		break;
	case MSG_DONE:
		dispatch_to_owner(control, msg->u.done.pool_id, msg, now_ms);
		break;
	case MSG_REPORT:
		dispatch_to_owner(control, msg->u.report.pool_id, msg, now_ms);
		break;
	case MSG_STALE:
		dispatch_to_owner(control, msg->u.stale.pool_id, msg, now_ms);
		break;
	case MSG_SYNC:
	case MSG_GRANT:
	case MSG_REFUSE:
		entry_handle(&control->entry, msg, now_ms, &control->effects);
		break;
	default:
		break;
	}
}

static void
on_message(void *context, const void *bytes, size_t length_bytes)
{
	struct control *control = context;
	uint64_t now_ms = clk_monotonic_ms(&control->clk);
	struct msg msg;

	if (!codec_decode(bytes, length_bytes, &msg)) {
		metric_add(METRIC_PEER_MALFORMED, 1);
		return;
	}
	dispatch(control, &msg, now_ms);
	run_effects(control, now_ms);
	codec_release(&msg);
}

static void
read_progress(struct control *control)
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

/* Watches the tables, or leaves it to other daemons. */
static void
update_watchers(struct control *control)
{
	uint32_t period_ms = 0, lost = 0;

	if (!members_is_watcher(&control->members))
		period_ms =
		    tablesync_poll_period_ms(control->members.peers->len + 1,
			control->settings->watch_wait_ms);
	for (int kind = 0; kind < TABLE_KIND_COUNT; kind++) {
		watcher_set_period(&control->watchers[kind], period_ms);
		lost |= atomic_load(&control->watchers[kind].platform_lost);
	}
	members_set_platform_lost(&control->members, lost != 0);
}

static void
tick(struct control *control)
{
	uint64_t now_ms = clk_monotonic_ms(&control->clk);
	GHashTableIter iter;
	gpointer owner;

	members_tick(&control->members, now_ms, &control->effects);
	if (control->members.changed)
		update_view(control, now_ms);
	update_watchers(control);
	read_progress(control);
	entry_tick(&control->entry, now_ms, &control->effects);
	g_hash_table_iter_init(&iter, control->owners);
	while (g_hash_table_iter_next(&iter, NULL, &owner))
		owner_tick(owner, now_ms, &control->effects);
	run_effects(control, now_ms);
	update_gauges(control);
}

static void
run_commands(struct control *control)
{
	struct command *command;

	while ((command = mailbox_pop(control)) != NULL) {
		bool awaited = command->awaited;

		command->run(control, command);
		run_effects(control, clk_monotonic_ms(&control->clk));
		if (!awaited) {
			g_free(command);
			continue;
		}
		pthread_mutex_lock(&command->mutex);
		command->done = true;
		pthread_cond_signal(&command->done_changed);
		pthread_mutex_unlock(&command->mutex);
	}
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
			tick_due_ms = now_ms + TICK_MS;
		}
		control->peer.ops->wait(&control->peer, control->wake_fd,
		    (uint32_t)(tick_due_ms - now_ms), on_message, control);
		if (read(control->wake_fd, &wakes, sizeof(wakes)) > 0)
			run_commands(control);
	}
	return NULL;
}

static void
run_tables_changed(struct control *control, struct command *command)
{
	uint64_t now_ms = clk_monotonic_ms(&control->clk);
	struct snapshot *old = control->snapshot;
	uint64_t versions[TABLE_KIND_COUNT];

	(void)command;
	control->snapshot = tablestore_ref(control->store);
	versions[TABLE_ROUTES] = control->snapshot->tables.routes_version;
	versions[TABLE_POOLS] = control->snapshot->tables.pools_version;
	members_set_versions(&control->members, versions[TABLE_ROUTES],
	    versions[TABLE_POOLS]);
	tablesync_set_held(&control->tablesync, versions, &control->members,
	    &control->effects);
	entry_set_tables(&control->entry, &control->snapshot->tables, now_ms,
	    &control->effects);
	update_owners(control, now_ms);
	snapshot_unref(old);
	log_event(LOG_LEVEL_INFO, "tables_in_force", NULL);
}

void
control_tables_changed(void *control)
{
	mailbox_post(control, run_tables_changed, NULL, DONE_WHOLE);
}

static void
init_cores(struct control *control)
{
	const struct settings *settings = control->settings;
	struct members_config members_config = {
		.self.incarnation = control->incarnation,
		.heartbeat_period_ms = settings->heartbeat_period_ms,
		.down_after_ms = settings->down_after_ms,
	};
	struct entry_config entry_config = {
		.seq_first = control->incarnation << SEQ_INCARNATION_SHIFT,
		.ops = entry_find(settings->policy),
		.fair = fair_find(settings->order),
		.report_period_ms = settings->report_period_ms,
		.fallback_after_ms = settings->fallback_after_ms,
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
	control->members.changed = true;
	entry_config.node_id = control->members.config.self.node_id;
	entry_init(&control->entry, &entry_config);
}

gboolean
control_init(struct control *control, const struct settings *settings,
    struct tablestore *store, struct hook *hook, GError **error)
{
	struct peer_zmq_config peer_config = { settings->peer_address,
		settings->peer_public_key, settings->peer_secret_key };

	memset(control, 0, sizeof(*control));
	if (!peer_init_zmq(&control->peer, &peer_config, error))
		return FALSE;
	control->hook = hook;
	if (hook != NULL)
		hook_wrap_peer(hook, &control->peer);
	control->settings = settings;
	control->store = store;
	clk_init_system(&control->clk);
	control->incarnation = clk_wall_ms(&control->clk);
	pthread_mutex_init(&control->mailbox_mutex, NULL);
	STAILQ_INIT(&control->mailbox);
	control->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	control->snapshot = tablestore_ref(store);
	control->owners = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, owner_free);
	control->tickets = g_hash_table_new(g_int64_hash, g_int64_equal);
	control->encoded = g_byte_array_new();
	effects_init(&control->effects);
	init_cores(control);
	return TRUE;
}

void
control_start(struct control *control, struct watcher *watchers)
{
	control->watchers = watchers;
	pthread_create(&control->thread, NULL, control_main, control);
}

static void
run_stop(struct control *control, struct command *command)
{
	(void)command;
	members_end(&control->members, &control->effects);
	control->stopping = true;
}

void
control_stop(struct control *control)
{
	mailbox_post(control, run_stop, NULL, DONE_WHOLE);
	pthread_join(control->thread, NULL);
}

void
control_finish(struct control *control)
{
	struct command *command;

	/* posted after the thread ended */
	while ((command = mailbox_pop(control)) != NULL)
		g_free(command);
	control->peer.ops->finish(&control->peer);
	g_hash_table_destroy(control->owners);
	g_hash_table_destroy(control->tickets);
	entry_finish(&control->entry);
	members_finish(&control->members);
	effects_finish(&control->effects);
	g_byte_array_free(control->encoded, TRUE);
	pthread_mutex_destroy(&control->mailbox_mutex);
	snapshot_unref(control->snapshot);
	close(control->wake_fd);
}

static void
run_submit(struct control *control, struct command *command)
{
	struct ticket *ticket = command->ticket;
	uint64_t now_ms = clk_monotonic_ms(&control->clk);

	ticket->submit.deadline_ms = now_ms +
	    control->settings->queue_timeout_ms;
	ticket->seq = entry_submit(&control->entry, &ticket->submit, now_ms,
	    &control->effects);
	g_hash_table_insert(control->tickets, &ticket->seq, ticket);
}

static void
run_release(struct control *control, struct command *command)
{
	struct ticket *ticket = command->ticket;

	entry_done(&control->entry, ticket->seq, atomic_load(&ticket->tokens),
	    command->outcome, &control->effects);
	g_hash_table_remove(control->tickets, &ticket->seq);
	pthread_mutex_destroy(&ticket->mutex);
	pthread_cond_destroy(&ticket->changed);
	g_free(ticket);
}

struct ticket *
control_acquire(struct control *control, const struct entry_submit *submit)
{
	struct ticket *ticket = g_new0(struct ticket, 1);

	pthread_mutex_init(&ticket->mutex, NULL);
	pthread_cond_init(&ticket->changed, NULL);
	ticket->submit = *submit;
	mailbox_post(control, run_submit, ticket, DONE_WHOLE);
	pthread_mutex_lock(&ticket->mutex);
	while (ticket->state == TICKET_WAITING)
		pthread_cond_wait(&ticket->changed, &ticket->mutex);
	pthread_mutex_unlock(&ticket->mutex);
	return ticket;
}

void
control_release(struct control *control, struct ticket *ticket,
    enum done_outcome outcome)
{
	mailbox_post(control, run_release, ticket, outcome);
}

static void
run_drain(struct control *control, struct command *command)
{
	(void)command;
	members_leave(&control->members, &control->effects);
	entry_drain(&control->entry, &control->effects);
}

void
control_drain(struct control *control)
{
	mailbox_post(control, run_drain, NULL, DONE_WHOLE);
}

static void
run_count(struct control *control, struct command *command)
{
	uint32_t waiting_count, running_count;

	entry_counts(&control->entry, &waiting_count, &running_count);
	command->count = waiting_count + running_count;
}

uint32_t
control_active_count(struct control *control)
{
	struct command command = { .run = run_count };

	mailbox_call(control, &command);
	return command.count;
}

static void
run_dump(struct control *control, struct command *command)
{
	command->json = dump_control(control);
}

json_t *
control_dump(struct control *control)
{
	struct command command = { .run = run_dump };

	mailbox_call(control, &command);
	return command.json;
}
