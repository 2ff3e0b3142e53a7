#include <string.h>
#include <unistd.h>

#include "bamboorudderd/control_private.h"
#include "bamboorudderd/gateway_private.h"
#include "common/log.h"
#include "common/metric.h"

#define TEXT_BYTES 24

void
gw_mailbox_post(struct gateway *gateway, void (*run)(struct gateway *, void *),
    void *context)
{
	struct gw_task *task = g_new0(struct gw_task, 1);
	uint64_t one = 1;
	bool first;

	task->run = run;
	task->context = context;
	pthread_mutex_lock(&gateway->mailbox_mutex);
	first = STAILQ_EMPTY(&gateway->mailbox);
	STAILQ_INSERT_TAIL(&gateway->mailbox, task, entries);
	pthread_mutex_unlock(&gateway->mailbox_mutex);
	if (first && write(gateway->mailbox_source.fd, &one, sizeof(one)) < 0)
		log_event(LOG_LEVEL_ERROR, "wake_failed", NULL);
}

void
gw_mailbox_run(struct gateway *gateway)
{
	STAILQ_HEAD(, gw_task) tasks = STAILQ_HEAD_INITIALIZER(tasks);
	struct gw_task *task;
	uint64_t wakes;

	if (read(gateway->mailbox_source.fd, &wakes, sizeof(wakes)) < 0)
		return;
	pthread_mutex_lock(&gateway->mailbox_mutex);
	STAILQ_CONCAT(&tasks, &gateway->mailbox);
	pthread_mutex_unlock(&gateway->mailbox_mutex);
	while ((task = STAILQ_FIRST(&tasks)) != NULL) {
		STAILQ_REMOVE_HEAD(&tasks, entries);
		task->run(gateway, task->context);
		g_free(task);
	}
}

/* Below, functions named run_... are tasks of the control thread, and functions
 * named apply_... are tasks of the traffic thread. */

/* Passed to the control thread and back with the decision. */
struct decision_args {
	uint64_t attempt_id;
	struct gw_request *request;
	struct dispatch_request dispatch;
	struct dispatch_decision decision;
	char hub_address[ADDRESS_MAX_BYTES];
};

static uint32_t *
undecided_count(const struct gw_request *request)
{
	GHashTable *counts = request->gateway->undecided_counts;
	uint64_t account_id = request->dispatch.account_id;
	uint32_t *count = g_hash_table_lookup(counts, &account_id);

	if (count != NULL)
		return count;
	count = g_new0(uint32_t, 1);
	g_hash_table_insert(counts, g_memdup2(&account_id, sizeof(account_id)),
	    count);
	return count;
}

uint32_t
gw_undecided_count(const struct gw_request *request)
{
	return *undecided_count(request);
}

static void
apply_decision(struct gateway *gateway, void *context)
{
	struct decision_args *args = context;

	(void)gateway;
	(*undecided_count(args->request))--;
	args->request->decision = args->decision;
	memcpy(args->request->hub_address, args->hub_address,
	    ADDRESS_MAX_BYTES);
	gw_request_on_decision(args->request);
	g_free(args);
}

void
gw_dispatch_on_decided(struct control *control, uint64_t attempt_id)
{
	struct decision_args *args = g_hash_table_lookup(control->undecided,
	    &attempt_id);

	if (args == NULL ||
	    !delegation_take(&control->delegation, attempt_id, &args->decision))
		return;
	if (args->decision.hub_id != 0)
		g_strlcpy(args->hub_address,
		    control_node_address(control, args->decision.hub_id),
		    ADDRESS_MAX_BYTES);
	g_hash_table_steal(control->undecided, &attempt_id);
	if (control->gateway != NULL)
		gw_mailbox_post(control->gateway, apply_decision, args);
	else
		g_free(args);
}

static void
run_decide(struct control *control, struct control_task *task)
{
	struct decision_args *args = task->context;

	args->attempt_id = delegation_submit(&control->delegation,
	    &args->dispatch, clk_monotonic_ms(&control->clk),
	    &control->effects);
	g_hash_table_insert(control->undecided, &args->attempt_id, args);
}

void
gw_dispatch_decide(struct gw_request *request)
{
	struct decision_args *args = g_new0(struct decision_args, 1);

	args->request = request;
	args->dispatch = request->dispatch;
	request->decision_pending = true;
	(*undecided_count(request))++;
	mailbox_post_context(request->gateway->control, run_decide, args);
}

/* Reports the first token or the end of an attempt. */
struct attempt_args {
	uint64_t seq;
	enum dispatch_outcome outcome;
	/** The response tells whether the endpoint has a limit. */
	bool limit_known;
	uint32_t limit_per_1000_s; /**< 0: none */
	uint32_t pace_percent; /**< that the endpoint states; 0: none */
	uint64_t endpoint_id;
	uint32_t connect_us; /**< round trip to the endpoint; 0: unknown */
};

static struct attempt_args *
attempt_args_new(const struct gw_request *request)
{
	const struct wire_response *response = &request->endpoint_response;
	struct attempt_args *args = g_new0(struct attempt_args, 1);

	args->seq = request->decision.seq;
	args->limit_per_1000_s = response->limit_per_1000_s;
	args->pace_percent = response->pace_percent;
	args->endpoint_id = request->decision.endpoint_id;
	args->limit_known = request->endpoint_head_complete &&
	    (response->limit_per_1000_s > 0 || response->status == 200);
	return args;
}

static void
record_limit(struct control *control, const struct attempt_args *args,
    uint64_t now_ms)
{
	if (args->limit_known)
		delegation_record_limit(&control->delegation, args->seq,
		    args->limit_per_1000_s, now_ms, &control->effects);
}

static void
run_first_token(struct control *control, struct control_task *task)
{
	struct attempt_args *args = task->context;
	uint64_t now_ms = clk_monotonic_ms(&control->clk);

	record_limit(control, args, now_ms);
	delegation_record_first_token(&control->delegation, args->seq,
	    args->pace_percent, now_ms, &control->effects);
	dispatch_record_connect(&control->dispatch, args->endpoint_id,
	    args->connect_us);
	g_free(args);
}

static void
run_done(struct control *control, struct control_task *task)
{
	struct attempt_args *args = task->context;
	uint64_t now_ms = clk_monotonic_ms(&control->clk);

	record_limit(control, args, now_ms);
	delegation_end_attempt(&control->delegation, args->seq, args->outcome,
	    now_ms, &control->effects);
	g_free(args);
}

void
gw_dispatch_first_token(struct gw_request *request)
{
	struct attempt_args *args = attempt_args_new(request);

	args->connect_us = gw_transfer_connect_us(request);
	request->first_token_reported = true;
	mailbox_post_context(request->gateway->control, run_first_token, args);
}

struct statement_args {
	uint64_t seq;
	char endpoint[ENDPOINT_NAME_MAX_BYTES];
	struct endpoint_statement statement;
};

static void
run_statement(struct control *control, struct control_task *task)
{
	struct statement_args *args = task->context;

	if (delegation_record_statement(&control->delegation, args->seq,
		&args->statement, clk_monotonic_ms(&control->clk),
		&control->effects)) {
		metric_add(METRIC_ENDPOINT_NOTICES, 1);
		control_log_notice(args->endpoint, args->statement.leaving,
		    args->statement.pause_ms);
	}
	g_free(args);
}

void
gw_dispatch_statement(struct gw_request *request)
{
	struct statement_args *args;
	struct endpoint_statement statement;

	wire_response_statement(&request->endpoint_response, &request->head,
	    &statement);
	if (!statement.leaving && statement.pause_ms == 0)
		return;
	args = g_new0(struct statement_args, 1);
	args->seq = request->decision.seq;
	memcpy(args->endpoint, request->decision.name, ENDPOINT_NAME_MAX_BYTES);
	args->statement = statement;
	mailbox_post_context(request->gateway->control, run_statement, args);
}

static void
run_busy(struct control *control, struct control_task *task)
{
	dispatch_set_daemon_busy(&control->dispatch,
	    GPOINTER_TO_INT(task->context));
}

void
gw_dispatch_busy(struct gateway *gateway, bool busy)
{
	mailbox_post_context(gateway->control, run_busy, GINT_TO_POINTER(busy));
}

void
gw_dispatch_done(struct gw_request *request, enum dispatch_outcome outcome)
{
	struct attempt_args *args = attempt_args_new(request);

	args->outcome = outcome;
	/* what a head said was reported with the first token */
	args->limit_known &= !request->first_token_reported;
	mailbox_post_context(request->gateway->control, run_done, args);
}

static void
run_configuration(struct control *control, struct control_task *task)
{
	struct config_snapshot *configuration = task->context;

	dispatch_set_configuration(&control->dispatch, configuration);
	config_snapshot_unref(control->configuration);
	control->configuration = configuration;
}

static void
apply_configuration(struct gateway *gateway, void *context)
{
	struct config_snapshot *configuration = context;
	char version[TEXT_BYTES];

	g_snprintf(version, TEXT_BYTES, "%" G_GUINT64_FORMAT,
	    configuration->version);
	log_event(LOG_LEVEL_INFO, "configuration_in_force", "version", version,
	    "keys", configuration->keys_required ? "required" : "not_required",
	    NULL);
	config_snapshot_unref(gateway->configuration);
	gateway->configuration = configuration;
}

static void
on_configuration(void *context, struct config_snapshot *configuration)
{
	struct gateway *gateway = context;

	mailbox_post_context(gateway->control, run_configuration,
	    config_snapshot_ref(configuration));
	gw_mailbox_post(gateway, apply_configuration, configuration);
}

static void
apply_freshness(struct gateway *gateway, void *context)
{
	struct dispatch_freshness *freshness = context;

	if (gateway->configuration != NULL &&
	    freshness->version == gateway->configuration->version)
		gateway->fresh_as_of_ms = MAX(gateway->fresh_as_of_ms,
		    freshness->as_of_ms);
	g_free(freshness);
}

struct freshness_args {
	enum resource_kind kind;
	struct dispatch_freshness freshness;
};

static void
run_freshness(struct control *control, struct control_task *task)
{
	struct freshness_args *args = task->context;

	dispatch_set_freshness(&control->dispatch, args->kind,
	    args->freshness.version, args->freshness.as_of_ms);
	g_free(args);
}

static void
on_freshness(void *context, enum resource_kind kind,
    const struct dispatch_freshness *freshness)
{
	struct gateway *gateway = context;
	struct freshness_args *args = g_new0(struct freshness_args, 1);

	args->kind = kind;
	args->freshness = *freshness;
	mailbox_post_context(gateway->control, run_freshness, args);
	if (kind == RESOURCE_CONFIGURATION)
		gw_mailbox_post(gateway, apply_freshness,
		    g_memdup2(freshness, sizeof(*freshness)));
}

static void
run_endpoint(struct control *control, struct control_task *task)
{
	struct dispatch_endpoint_info *info = task->context;

	log_event(LOG_LEVEL_INFO, "endpoint", "name", info->name, "address",
	    info->address, "state", info->leaving ? "leaving" : "ready", NULL);
	dispatch_put_endpoint(&control->dispatch, info,
	    clk_monotonic_ms(&control->clk));
	g_free(info);
}

static void
on_endpoint(void *context, const struct dispatch_endpoint_info *info)
{
	struct gateway *gateway = context;

	mailbox_post_context(gateway->control, run_endpoint,
	    g_memdup2(info, sizeof(*info)));
}

static void
run_endpoint_removed(struct control *control, struct control_task *task)
{
	char *name = task->context;

	log_event(LOG_LEVEL_INFO, "endpoint", "name", name, "state", "gone",
	    NULL);
	dispatch_remove_endpoint(&control->dispatch, name);
	g_free(name);
}

static void
on_endpoint_removed(void *context, const char *name)
{
	struct gateway *gateway = context;

	mailbox_post_context(gateway->control, run_endpoint_removed,
	    g_strdup(name));
}

struct domain_args {
	char *name;
	bool drained;
};

static void
run_domain(struct control *control, struct control_task *task)
{
	struct domain_args *args = task->context;

	if (dispatch_set_domain_drained(&control->dispatch, args->name,
		args->drained, clk_monotonic_ms(&control->clk)))
		log_event(LOG_LEVEL_WARN,
		    args->drained ? "domain_drained" : "domain_back", "name",
		    args->name, NULL);
	g_free(args->name);
	g_free(args);
}

static void
on_domain(void *context, const char *name, bool drained)
{
	struct gateway *gateway = context;
	struct domain_args *args = g_new0(struct domain_args, 1);

	args->name = g_strdup(name);
	args->drained = drained;
	mailbox_post_context(gateway->control, run_domain, args);
}

static void
apply_synced(struct gateway *gateway, void *context)
{
	gateway->synced[GPOINTER_TO_INT(context)] = true;
}

static void
on_synced(void *context, enum resource_kind kind)
{
	gw_mailbox_post(context, apply_synced, GINT_TO_POINTER(kind));
}

const struct feed_sink_ops gw_feed_sink = { on_configuration, on_freshness,
	on_endpoint, on_endpoint_removed, on_domain, on_synced };
