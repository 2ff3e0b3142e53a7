#include <string.h>

#include "core/dispatch_private.h"
#include "core/hash.h"

/* Reports of peers that are silent for longer are dropped. */
#define PEER_EXPIRY_MS 3000u
/* A daemon switches to its next hub if the current one is silent for longer. */
#define HUB_TIMEOUT_MS 700u
/* In fleets up to this size, all daemons are hubs. */
#define HUBS_MIN_COUNT 9u
#define DAEMONS_PER_HUB 24u
/* Time between reports of accounts, which change slowly. */
#define ACCOUNTS_PERIOD_MS 300u

void
dispatch_peer_free(gpointer pointer)
{
	struct dispatch_peer *peer = pointer;

	g_free(peer->accounts);
	g_free(peer);
}

/* Prefers daemons with spare processor time as hubs, then sorts by a hash that
 * spreads the role over the fleet. */
static gint
compare_daemons(gconstpointer a, gconstpointer b)
{
	const struct dispatch_daemon *left = a, *right = b;
	uint64_t left_hash = hash_bytes(&left->node_id, sizeof(left->node_id));
	uint64_t right_hash = hash_bytes(&right->node_id,
	    sizeof(right->node_id));

	if (left->high_cpu != right->high_cpu)
		return left->high_cpu ? -1 : 1;
	if (left_hash != right_hash)
		return left_hash < right_hash ? -1 : 1;
	return 0;
}

/* A daemon that is not a hub prefers hubs in its own failure domain. */
static uint64_t
hub_preference(const struct dispatch *dispatch,
    const struct dispatch_daemon *hub)
{
	uint64_t words[] = { dispatch->config.node_id, hub->node_id };
	uint64_t score = hash_bytes(words, sizeof(words)) >> 1;

	return hub->domain_id == dispatch->config.domain_id
	    ? score | (UINT64_C(1) << 63)
	    : score;
}

static gint
compare_hubs(gconstpointer a, gconstpointer b, gpointer context)
{
	uint64_t left = hub_preference(context, a),
		 right = hub_preference(context, b);

	return left > right ? -1 : left < right;
}

static void
choose_hubs(struct dispatch *dispatch, GArray *hubs)
{
	g_array_set_size(dispatch->hubs, 0);
	g_array_set_size(dispatch->hub_ids, 0);
	g_array_set_size(dispatch->hub_candidates, 0);
	dispatch->is_hub = false;
	for (guint i = 0; i < hubs->len; i++)
		dispatch->is_hub |=
		    g_array_index(hubs, struct dispatch_daemon, i).node_id ==
		    dispatch->config.node_id;
	g_array_sort_with_data(hubs, compare_hubs, dispatch);
	for (guint i = 0; i < hubs->len; i++) {
		uint64_t node_id =
		    g_array_index(hubs, struct dispatch_daemon, i).node_id;
		g_array_append_val(dispatch->hub_ids, node_id);
		if (node_id == dispatch->config.node_id)
			continue;
		g_array_append_val(dispatch->hubs, node_id);
		if (!dispatch->is_hub)
			g_array_append_val(dispatch->hub_candidates, node_id);
	}
	dispatch->assignment_due = true;
	dispatch->hub_index = 0;
	dispatch->hub_chosen_ms = 0;
}

void
dispatch_set_daemons(struct dispatch *dispatch,
    const struct dispatch_daemon *daemons, size_t count)
{
	const struct dispatch_daemon self = {
		.node_id = dispatch->config.node_id,
		.domain_id = dispatch->config.domain_id,
	};
	GArray *ranked = g_array_new(FALSE, FALSE,
	    sizeof(struct dispatch_daemon));
	guint hubs_count = MAX(HUBS_MIN_COUNT,
	    (guint)(count / DAEMONS_PER_HUB));

	g_array_append_vals(ranked, daemons, (guint)count);
	/* a daemon that leaves as the last one has nobody else to decide */
	if (count == 0)
		g_array_append_val(ranked, self);
	g_array_sort(ranked, compare_daemons);
	if (ranked->len > hubs_count)
		g_array_set_size(ranked, hubs_count);
	choose_hubs(dispatch, ranked);
	g_array_free(ranked, TRUE);
	dispatch->live_count = (uint32_t)count;
	dispatch->daemons_peak_count = MAX(dispatch->daemons_peak_count,
	    (uint32_t)count);
}

void
dispatch_set_freshness(struct dispatch *dispatch, enum resource_kind kind,
    uint64_t version, uint64_t as_of_ms)
{
	dispatch->freshness[kind].version = version;
	dispatch->freshness[kind].as_of_ms = as_of_ms;
}

uint32_t
dispatch_peers_age_ms(const struct dispatch *dispatch, uint64_t now_ms)
{
	uint64_t oldest_ms = now_ms;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		oldest_ms = MIN(oldest_ms,
		    ((struct dispatch_peer *)value)->received_ms);
	return (uint32_t)(now_ms - oldest_ms);
}

uint64_t
dispatch_hub_id(const struct dispatch *dispatch)
{
	return dispatch->hub_candidates->len == 0
	    ? 0
	    : g_array_index(dispatch->hub_candidates, uint64_t,
		  dispatch->hub_index);
}

/* @return the moment of an echoed stamp, or 0 if this process did not send it: the
 * clock of the process before may have been another one */
static uint64_t
read_echo(const struct dispatch *dispatch, uint64_t echo)
{
	uint64_t sent_ms = echo - dispatch->stamp_offset;

	return echo != 0 && sent_ms >= dispatch->first_stamp_ms &&
		sent_ms <= dispatch->stamp_ms
	    ? sent_ms
	    : 0;
}

/* Converts the freshness in a peer's report to this daemon's clock. The
 * age counts back from the echoed stamp, which this daemon sent before the peer
 * measured the age, so that a copy never appears fresher than it is. */
static void
read_freshness(const struct dispatch *dispatch,
    const struct reported_freshness *reported, uint64_t echo,
    struct dispatch_freshness *freshness)
{
	uint64_t sent_ms = read_echo(dispatch, echo);

	memset(freshness, 0, sizeof(*freshness));
	if (reported->version == 0)
		return;
	freshness->version = reported->version;
	if (reported->age_ms != UINT32_MAX && sent_ms > reported->age_ms)
		freshness->as_of_ms = sent_ms - reported->age_ms;
}

struct reported_freshness
dispatch_report_freshness(const struct dispatch *dispatch,
    enum resource_kind kind)
{
	const struct dispatch_freshness *freshness = &dispatch->freshness[kind];
	struct reported_freshness reported = { .version = freshness->version };

	reported.age_ms = freshness->as_of_ms == 0
	    ? UINT32_MAX
	    : (uint32_t)MIN(dispatch->stamp_ms - freshness->as_of_ms,
		  UINT32_MAX - 1);
	return reported;
}

static struct dispatch_peer *
find_or_add_peer(struct dispatch *dispatch, const struct msg *msg)
{
	struct dispatch_peer *peer = g_hash_table_lookup(dispatch->peers,
	    &msg->from_node_id);

	if (peer == NULL) {
		peer = g_new0(struct dispatch_peer, 1);
		peer->node_id = msg->from_node_id;
		g_hash_table_insert(dispatch->peers, &peer->node_id, peer);
	} else if (peer->incarnation == msg->from_incarnation)
		return peer;
	/* a new process knows nothing of what was announced before */
	peer->incarnation = msg->from_incarnation;
	crash_suspects_announce_again(&dispatch->crash_suspects);
	dispatch->limits_refresh_due_ms = 0;
	return peer;
}

static void
set_accounts(struct dispatch *dispatch, struct dispatch_peer *peer,
    const struct msg_report *report)
{
	g_free(peer->accounts);
	peer->accounts_count = report->accounts_count;
	peer->accounts = g_memdup2(report->accounts,
	    report->accounts_count * sizeof(*report->accounts));
	dispatch->peers_changed = true;
}

/* What a peer has only heard of, it names without an age: it is not named again, so
 * that each name goes back to a daemon that has the version. */
static void
set_configuration_version(struct dispatch_peer *peer,
    const struct reported_freshness *reported)
{
	if (reported->age_ms != UINT32_MAX)
		peer->configuration_version = reported->version;
}

void
dispatch_handle_report(struct dispatch *dispatch, const struct msg *msg,
    uint64_t now_ms, struct dispatch_freshness freshness[RESOURCE_KIND_COUNT])
{
	const struct msg_report *report = &msg->u.report;
	struct dispatch_peer *peer;

	for (int kind = 0; kind < RESOURCE_KIND_COUNT; kind++)
		read_freshness(dispatch, &report->freshness[kind], report->echo,
		    &freshness[kind]);
	peer = find_or_add_peer(dispatch, msg);
	peer->received_ms = now_ms;
	peer->stamp = report->stamp;
	set_configuration_version(peer,
	    &report->freshness[RESOURCE_CONFIGURATION]);
	if (report->has_accounts)
		set_accounts(dispatch, peer, report);
}

static gboolean
peer_expired(gpointer key, gpointer value, gpointer now_ms)
{
	const struct dispatch_peer *peer = value;

	(void)key;
	return peer->received_ms + PEER_EXPIRY_MS < *(uint64_t *)now_ms;
}

static bool
contains(const GArray *node_ids, uint64_t node_id)
{
	for (guint i = 0; i < node_ids->len; i++)
		if (g_array_index(node_ids, uint64_t, i) == node_id)
			return true;
	return false;
}

static bool
is_hub(const struct dispatch *dispatch, const struct dispatch_peer *peer)
{
	return contains(dispatch->hubs, peer->node_id);
}

/* Names a newer configuration than the own one to daemons that hear of it from here
 * alone, so that they read it themselves. */
static void
name_newer_configuration(const struct dispatch *dispatch,
    struct reported_freshness *reported)
{
	if (dispatch->heard_configuration_version <= reported->version)
		return;
	reported->version = dispatch->heard_configuration_version;
	reported->age_ms = UINT32_MAX;
}

static void
update_heard_configuration(struct dispatch *dispatch)
{
	GHashTableIter iter;
	gpointer value;

	dispatch->heard_configuration_version = 0;
	g_hash_table_iter_init(&iter, dispatch->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct dispatch_peer *peer = value;
		dispatch->heard_configuration_version =
		    MAX(dispatch->heard_configuration_version,
			peer->configuration_version);
	}
}

static void
send_report(struct dispatch *dispatch, uint64_t to_node_id, bool accounts,
    struct effects *effects)
{
	const struct dispatch_peer *peer = g_hash_table_lookup(dispatch->peers,
	    &to_node_id);
	struct msg_report *report =
	    &effects_send(effects, to_node_id, MSG_REPORT)->u.report;

	report->stamp = dispatch->stamp_ms + dispatch->stamp_offset;
	report->echo = peer == NULL ? 0 : peer->stamp;
	for (int kind = 0; kind < RESOURCE_KIND_COUNT; kind++)
		report->freshness[kind] = dispatch_report_freshness(dispatch,
		    (enum resource_kind)kind);
	name_newer_configuration(dispatch,
	    &report->freshness[RESOURCE_CONFIGURATION]);
	if (accounts)
		dispatch_fill_accounts(dispatch, report);
}

void
dispatch_send_to_peers(const struct dispatch *dispatch, enum msg_type type,
    void (*fill)(const GArray *items, struct msg *msg), const GArray *items,
    struct effects *effects)
{
	uint64_t hub_id = dispatch_hub_id(dispatch);
	GHashTableIter iter;
	gpointer value;

	if (hub_id != 0)
		fill(items, effects_send(effects, hub_id, type));
	if (!dispatch->is_hub)
		return;
	for (guint i = 0; i < dispatch->hubs->len; i++)
		fill(items,
		    effects_send(effects,
			g_array_index(dispatch->hubs, uint64_t, i), type));
	g_hash_table_iter_init(&iter, dispatch->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct dispatch_peer *peer = value;
		if (!is_hub(dispatch, peer))
			fill(items, effects_send(effects, peer->node_id, type));
	}
}

static void
report_as_hub(struct dispatch *dispatch, uint64_t now_ms,
    struct effects *effects)
{
	bool accounts = now_ms >= dispatch->accounts_due_ms;
	GHashTableIter iter;
	gpointer value;

	if (accounts)
		dispatch->accounts_due_ms = now_ms + ACCOUNTS_PERIOD_MS;
	for (guint i = 0; i < dispatch->hubs->len; i++)
		send_report(dispatch,
		    g_array_index(dispatch->hubs, uint64_t, i), accounts,
		    effects);
	g_hash_table_iter_init(&iter, dispatch->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct dispatch_peer *peer = value;
		if (!is_hub(dispatch, peer))
			send_report(dispatch, peer->node_id, false, effects);
	}
}

/* Reports to the current hub, or to the next one if the current hub is
 * silent. */
static void
report_to_hub(struct dispatch *dispatch, uint64_t now_ms,
    struct effects *effects)
{
	uint64_t hub_id = dispatch_hub_id(dispatch);
	const struct dispatch_peer *hub = g_hash_table_lookup(dispatch->peers,
	    &hub_id);
	uint64_t received_ms = hub == NULL ? dispatch->hub_chosen_ms
					   : hub->received_ms;

	if (dispatch->hub_candidates->len == 0)
		return;
	if (dispatch->hub_chosen_ms == 0)
		dispatch->hub_chosen_ms = now_ms;
	else if (now_ms >
	    MAX(received_ms, dispatch->hub_chosen_ms) + HUB_TIMEOUT_MS) {
		dispatch->hub_index = (dispatch->hub_index + 1) %
		    dispatch->hub_candidates->len;
		dispatch->hub_chosen_ms = now_ms;
	}
	send_report(dispatch, dispatch_hub_id(dispatch), false, effects);
}

void
dispatch_tick(struct dispatch *dispatch, uint64_t now_ms, uint64_t stamp_ms,
    struct effects *effects)
{
	if (dispatch->first_stamp_ms == 0)
		dispatch->first_stamp_ms = stamp_ms;
	dispatch->stamp_ms = stamp_ms;
	if (g_hash_table_foreach_remove(dispatch->peers, peer_expired,
		&now_ms) > 0)
		dispatch->peers_changed = true;
	dispatch_sum_remote_shares(dispatch);
	dispatch_expire_attempts(dispatch, now_ms);
	dispatch_update_shares(dispatch, now_ms);
	dispatch_tick_crashes(dispatch, now_ms, effects);
	dispatch_tick_limits(dispatch, now_ms, effects);
	if (now_ms < dispatch->report_due_ms)
		return;
	dispatch->report_due_ms = now_ms + dispatch->config.report_period_ms;
	update_heard_configuration(dispatch);
	if (dispatch->is_hub)
		report_as_hub(dispatch, now_ms, effects);
	else
		report_to_hub(dispatch, now_ms, effects);
}
