#include "bamboorudderd/dump.h"
#include "core/dispatch_private.h"

#define SEGMENT_TEXT_BYTES 24

const char *
dump_endpoint_state(const struct dispatch *dispatch,
    const struct dispatch_endpoint *endpoint, uint64_t now_ms)
{
	const struct dispatch_endpoint_info *info = &endpoint->info;

	if (!endpoint->listed)
		return "gone";
	if (info->leaving || dispatch_said_leaving(dispatch, endpoint))
		return "leaving";
	if (!dispatch_takes_requests(dispatch, endpoint))
		return "drained";
	if (endpoint_notices_wait_ms(&dispatch->notices, endpoint->endpoint_id,
		info->process_start_ms, now_ms) > 0)
		return "paused";
	if (now_ms < endpoint->ejected_until_ms)
		return "ejected";
	if (endpoint->probing)
		return "tried";
	return dispatch_is_cold(dispatch, endpoint, now_ms) ? "cold" : "ready";
}

/* Dumps the known load of an endpoint and whether it takes requests. */
static json_t *
dump_endpoint(const struct dispatch *dispatch,
    const struct dispatch_endpoint *endpoint, uint64_t now_ms)
{
	const struct dispatch_endpoint_info *info = &endpoint->info;
	const char *state = dump_endpoint_state(dispatch, endpoint, now_ms);

	/* the load is that of the whole fleet at the endpoint's hub only */
	return json_pack("{s:s, s:s, s:s, s:b, s:i, s:i, s:I, s:I, s:i, s:i}",
	    "name", info->name, "address", info->address, "state", state,
	    "decided_here", endpoint->hub_id == dispatch->config.node_id,
	    "slots", (int)info->slots, "running",
	    (int)endpoint->load.running_count, "reading_tokens",
	    (json_int_t)endpoint->load.prefill_tokens, "memory_tokens",
	    (json_int_t)endpoint->load.kv_tokens, "slow_permille",
	    (int)endpoint->engine.slow_permille, "failing_permille",
	    (int)endpoint->failing_permille);
}

static json_t *
dump_account(const struct dispatch *dispatch,
    const struct dispatch_account *account)
{
	uint64_t asked_tokens = account->asked_tokens +
	    account->remote_asked_tokens;
	uint64_t served_tokens = account->served_tokens +
	    account->remote_served_tokens;

	return json_pack("{s:s, s:I, s:I, s:I}", "account",
	    config_snapshot_account_name(dispatch->configuration,
		account->account_id),
	    "asked_tokens", (json_int_t)asked_tokens, "served_tokens",
	    (json_int_t)served_tokens, "share_permille",
	    (json_int_t)dispatch_share_permille(dispatch, account));
}

static json_t *
dump_suspect(const struct suspect *suspect, uint64_t now_ms)
{
	const struct crash_record *record = &suspect->record;
	char segment[SEGMENT_TEXT_BYTES];

	g_snprintf(segment, sizeof(segment), "%" G_GINT64_MODIFIER "x",
	    record->segment_id);
	return json_pack("{s:s, s:s, s:i, s:i, s:I}", "segment", segment,
	    "state", suspect_phase_name(suspect_phase(suspect, now_ms)),
	    "crashes", (int)record->crashes_count, "failed_trials",
	    (int)record->failed_trials_count, "age_ms",
	    (json_int_t)(now_ms - suspect->changed_ms));
}

static json_t *
dump_suspects(const struct crash_suspects *suspects, uint64_t now_ms)
{
	json_t *items = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, suspects->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		json_array_append_new(items, dump_suspect(value, now_ms));
	return items;
}

/* Names of the failure domains that are out of use. */
static json_t *
dump_drained_domains(const struct drained_domains *domains)
{
	json_t *names = json_array();
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, domains->names);
	while (g_hash_table_iter_next(&iter, NULL, &name))
		json_array_append_new(names, json_string(name));
	return names;
}

json_t *
dump_dispatch(const struct dispatch *dispatch, uint64_t now_ms)
{
	json_t *endpoints = json_array(), *accounts = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		json_array_append_new(endpoints,
		    dump_endpoint(dispatch, value, now_ms));
	g_hash_table_iter_init(&iter, dispatch->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		json_array_append_new(accounts, dump_account(dispatch, value));
	return json_pack("{s:I, s:b, s:i, s:i, s:I, s:o, s:o, s:o, s:o}",
	    "configuration",
	    (json_int_t)(dispatch->configuration == NULL
		    ? 0
		    : dispatch->configuration->version),
	    "is_hub", dispatch->is_hub, "daemons", (int)dispatch->live_count,
	    "peers_age_ms", (int)dispatch_peers_age_ms(dispatch, now_ms),
	    "refusals", (json_int_t)dispatch->refusals_count, "endpoints",
	    endpoints, "accounts", accounts, "suspects",
	    dump_suspects(&dispatch->crash_suspects, now_ms), "drained_domains",
	    dump_drained_domains(&dispatch->drained_domains));
}
