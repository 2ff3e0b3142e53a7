#include <unistd.h>

#include "bamboorudderd/control_private.h"
#include "bamboorudderd/gateway_private.h"
#include "common/log.h"

#define TEXT_BYTES 24

void
gw_mail_post(struct gateway *gateway, void (*run)(struct gateway *, void *),
    void *context)
{
	struct gw_mail *mail = g_new0(struct gw_mail, 1);
	uint64_t one = 1;
	bool first;

	mail->run = run;
	mail->context = context;
	pthread_mutex_lock(&gateway->mail_mutex);
	first = STAILQ_EMPTY(&gateway->mail);
	STAILQ_INSERT_TAIL(&gateway->mail, mail, entries);
	pthread_mutex_unlock(&gateway->mail_mutex);
	if (first && write(gateway->mail_watch.fd, &one, sizeof(one)) < 0)
		log_event(LOG_LEVEL_ERROR, "wake_failed", NULL);
}

void
gw_mail_run(struct gateway *gateway)
{
	STAILQ_HEAD(, gw_mail) mail = STAILQ_HEAD_INITIALIZER(mail);
	struct gw_mail *item;
	uint64_t wakes;

	if (read(gateway->mail_watch.fd, &wakes, sizeof(wakes)) < 0)
		return;
	pthread_mutex_lock(&gateway->mail_mutex);
	STAILQ_CONCAT(&mail, &gateway->mail);
	pthread_mutex_unlock(&gateway->mail_mutex);
	while ((item = STAILQ_FIRST(&mail)) != NULL) {
		STAILQ_REMOVE_HEAD(&mail, entries);
		item->run(gateway, item->context);
		g_free(item);
	}
}

/* A decision on its way between the threads. */
struct decision_mail {
	struct gw_request *request;
	struct dispatch_request ask;
	struct dispatch_decision decision;
};

static void
take_decision(struct gateway *gateway, void *context)
{
	struct decision_mail *mail = context;

	(void)gateway;
	mail->request->decision = mail->decision;
	gw_request_decided(mail->request);
	g_free(mail);
}

static void
run_decide(struct control *control, struct command *command)
{
	struct decision_mail *mail = command->context;

	dispatch_decide(&control->dispatch, &mail->ask,
	    clk_monotonic_ms(&control->clk), &mail->decision);
	gw_mail_post(mail->request->gateway, take_decision, mail);
}

void
gw_ask(struct gw_request *request)
{
	struct decision_mail *mail = g_new0(struct decision_mail, 1);

	mail->request = request;
	mail->ask = request->ask;
	request->deciding = true;
	mailbox_post_work(request->gateway->control, run_decide, mail);
}

/* News of an attempt. */
struct attempt_mail {
	uint64_t seq;
	enum dispatch_outcome outcome;
	char endpoint[NAME_MAX_BYTES];
};

static void
log_verdict(const char *endpoint, const struct dispatch_health_update *verdict)
{
	char failing[TEXT_BYTES], pause[TEXT_BYTES];

	if (verdict->change == HEALTH_UNCHANGED)
		return;
	g_snprintf(failing, TEXT_BYTES, "%u", verdict->failing_permille);
	g_snprintf(pause, TEXT_BYTES, "%u", verdict->eject_ms);
	log_event(LOG_LEVEL_WARN,
	    verdict->change == HEALTH_EJECTED ? "endpoint_ejected"
					      : "endpoint_back",
	    "name", endpoint, "failing_permille", failing, "for_ms", pause,
	    NULL);
}

static void
run_first(struct control *control, struct command *command)
{
	struct attempt_mail *mail = command->context;

	dispatch_record_first_token(&control->dispatch, mail->seq,
	    clk_monotonic_ms(&control->clk));
	g_free(mail);
}

static void
run_done(struct control *control, struct command *command)
{
	struct attempt_mail *mail = command->context;
	struct dispatch_health_update verdict;

	dispatch_end_attempt(&control->dispatch, mail->seq, mail->outcome,
	    clk_monotonic_ms(&control->clk), &verdict);
	log_verdict(mail->endpoint, &verdict);
	g_free(mail);
}

void
gw_tell_first(struct gw_request *request)
{
	struct attempt_mail *mail = g_new0(struct attempt_mail, 1);

	request->first_told = true;
	mail->seq = request->decision.seq;
	mailbox_post_work(request->gateway->control, run_first, mail);
}

void
gw_tell_done(struct gw_request *request, enum dispatch_outcome outcome)
{
	struct attempt_mail *mail = g_new0(struct attempt_mail, 1);

	mail->seq = request->decision.seq;
	mail->outcome = outcome;
	memcpy(mail->endpoint, request->decision.name, NAME_MAX_BYTES);
	mailbox_post_work(request->gateway->control, run_done, mail);
}

static void
run_catalog(struct control *control, struct command *command)
{
	struct config_snapshot *configuration = command->context;

	dispatch_set_configuration(&control->dispatch, configuration);
	config_snapshot_unref(control->configuration);
	control->configuration = configuration;
}

static void
take_catalog(struct gateway *gateway, void *context)
{
	struct config_snapshot *configuration = context;
	char version[TEXT_BYTES];

	g_snprintf(version, TEXT_BYTES, "%" G_GUINT64_FORMAT,
	    configuration->version);
	log_event(LOG_LEVEL_INFO, "configuration_in_force", "version", version,
	    NULL);
	config_snapshot_unref(gateway->configuration);
	gateway->configuration = configuration;
}

static void
on_configuration(void *context, struct config_snapshot *configuration)
{
	struct gateway *gateway = context;

	mailbox_post_work(gateway->control, run_catalog,
	    config_snapshot_ref(configuration));
	gw_mail_post(gateway, take_catalog, configuration);
}

static void
take_proof(struct gateway *gateway, void *context)
{
	struct dispatch_freshness *proof = context;

	if (gateway->configuration != NULL &&
	    proof->version == gateway->configuration->version)
		gateway->proof_ms = MAX(gateway->proof_ms, proof->as_of_ms);
	g_free(proof);
}

struct proof_mail {
	enum resource_kind kind;
	struct dispatch_freshness proof;
};

static void
run_proof(struct control *control, struct command *command)
{
	struct proof_mail *mail = command->context;

	dispatch_set_freshness(&control->dispatch, mail->kind,
	    mail->proof.version, mail->proof.as_of_ms);
	g_free(mail);
}

static void
on_freshness(void *context, enum resource_kind kind,
    const struct dispatch_freshness *proof)
{
	struct gateway *gateway = context;
	struct proof_mail *mail = g_new0(struct proof_mail, 1);

	mail->kind = kind;
	mail->proof = *proof;
	mailbox_post_work(gateway->control, run_proof, mail);
	if (kind == RESOURCE_CONFIGURATION)
		gw_mail_post(gateway, take_proof,
		    g_memdup2(proof, sizeof(*proof)));
}

static void
run_endpoint(struct control *control, struct command *command)
{
	struct dispatch_endpoint_info *listing = command->context;

	log_event(LOG_LEVEL_INFO, "endpoint", "name", listing->name, "address",
	    listing->address, "state", listing->leaving ? "leaving" : "ready",
	    NULL);
	dispatch_put_endpoint(&control->dispatch, listing,
	    clk_monotonic_ms(&control->clk));
	g_free(listing);
}

static void
on_endpoint(void *context, const struct dispatch_endpoint_info *listing)
{
	struct gateway *gateway = context;

	mailbox_post_work(gateway->control, run_endpoint,
	    g_memdup2(listing, sizeof(*listing)));
}

static void
run_endpoint_gone(struct control *control, struct command *command)
{
	char *name = command->context;

	log_event(LOG_LEVEL_INFO, "endpoint", "name", name, "state", "gone",
	    NULL);
	dispatch_remove_endpoint(&control->dispatch, name);
	g_free(name);
}

static void
on_endpoint_removed(void *context, const char *name)
{
	struct gateway *gateway = context;

	mailbox_post_work(gateway->control, run_endpoint_gone, g_strdup(name));
}

static void
take_endpoints_known(struct gateway *gateway, void *context)
{
	(void)context;
	gateway->endpoints_known = true;
}

static void
on_endpoints_synced(void *context)
{
	gw_mail_post(context, take_endpoints_known, NULL);
}

const struct feed_sink_ops gw_feed_sink = { on_configuration, on_freshness,
	on_endpoint, on_endpoint_removed, on_endpoints_synced };
