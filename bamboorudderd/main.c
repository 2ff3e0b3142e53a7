#include <argtable2.h>
#include <civetweb.h>
#include <curl/curl.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bamboorudderd/admin.h"
#include "bamboorudderd/control.h"
#include "bamboorudderd/drain.h"
#include "bamboorudderd/frontend.h"
#include "bamboorudderd/gateway.h"
#include "bamboorudderd/reload.h"
#include "bamboorudderd/settings.h"
#include "bamboorudderd/table_watcher.h"
#include "common/log.h"

#define EXIT_USAGE 2
#define SETTINGS_PATH_VARIABLE "BAMBOORUDDER_CONFIG"
#define SOURCES_MAX_COUNT 128
/* Step by which the heap grows and shrinks. With the C library's default, each
 * request costs several system calls for memory. */
#define HEAP_STEP_BYTES (512 * 1024)

struct daemon {
	struct settings settings;
	struct tablestore store;
	struct platform platform;
	struct fault_injector fault_injector;
	struct control control;
	struct table_watcher watchers[TABLE_KIND_COUNT];
	struct frontend frontend;
	struct gateway gateway;
	struct admin admin;
	struct reload reload;
};

static void
print_findings(const struct findings *findings)
{
	char line[FINDING_PLACE_MAX_BYTES + FINDING_TEXT_MAX_BYTES + 32];

	for (size_t i = 0; i < findings->count; i++) {
		finding_format(&findings->items[i], line, sizeof(line));
		fprintf(stderr, "%s\n", line);
	}
	if (findings->total_count > findings->count)
		fprintf(stderr, "and %zu more\n",
		    findings->total_count - findings->count);
}

static void
print_settings(const struct settings *settings,
    const enum settings_source *sources)
{
	GString *text = g_string_new(NULL);

	settings_print(settings, sources, text);
	fputs(text->str, stdout);
	g_string_free(text, TRUE);
}

static bool
uses_gateway(const struct daemon *daemon)
{
	return strcmp(daemon->settings.platform_form, "objects") == 0;
}

/* Watches no tables, since the platform provides the configuration. */
static gboolean
start_gateway(struct daemon *daemon, GError **error)
{
	const struct settings *settings = &daemon->settings;

	if (!gateway_init(&daemon->gateway, settings, &daemon->control, error))
		return FALSE;
	control_start(&daemon->control, NULL);
	return admin_init(&daemon->admin, settings, &daemon->control,
	    &daemon->store, &daemon->platform, error);
}

static gboolean
daemon_start(struct daemon *daemon, GError **error)
{
	const struct settings *settings = &daemon->settings;

	tablestore_init(&daemon->store);
	platform_init_http(&daemon->platform, settings->platform_url,
	    settings->platform_timeout_ms);
	fault_injector_init(&daemon->fault_injector);
	if (settings->test_hooks)
		fault_injector_wrap_platform(&daemon->fault_injector,
		    &daemon->platform);
	if (!control_init(&daemon->control, settings, &daemon->store,
		settings->test_hooks ? &daemon->fault_injector : NULL, error))
		return FALSE;
	if (uses_gateway(daemon))
		return start_gateway(daemon, error);
	daemon->store.on_change = control_tables_changed;
	daemon->store.on_change_context = &daemon->control;
	for (int kind = 0; kind < TABLE_KIND_COUNT; kind++)
		table_watcher_init(&daemon->watchers[kind], &daemon->platform,
		    &daemon->store, (enum table_kind)kind,
		    settings->watch_wait_ms);
	control_start(&daemon->control, daemon->watchers);
	return frontend_init(&daemon->frontend, settings, &daemon->control,
		   &daemon->store, &daemon->platform, error) &&
	    admin_init(&daemon->admin, settings, &daemon->control,
		&daemon->store, &daemon->platform, error);
}

/* Exits immediately; running requests are aborted. */
static void
daemon_abort(struct daemon *daemon)
{
	log_event(LOG_LEVEL_ERROR, "shutdown_cut", NULL);
	control_stop(&daemon->control);
	control_finish(&daemon->control);
	_Exit(EXIT_FAILURE);
}

static gpointer
finish_admin(gpointer admin)
{
	admin_finish(admin);
	return NULL;
}

/* Stops the server on a thread of its own, since that takes about a second. */
static GThread *
start_finishing_admin(struct daemon *daemon)
{
	return g_thread_new("finish-admin", finish_admin, &daemon->admin);
}

static void
finish_servers(struct daemon *daemon)
{
	GThread *thread = start_finishing_admin(daemon);

	frontend_finish(&daemon->frontend);
	g_thread_join(thread);
}

static void
daemon_stop(struct daemon *daemon)
{
	platform_stop(&daemon->platform);
	finish_servers(daemon);
	control_stop(&daemon->control);
	for (int kind = 0; kind < TABLE_KIND_COUNT; kind++)
		table_watcher_finish(&daemon->watchers[kind]);
	control_finish(&daemon->control);
	fault_injector_finish(&daemon->fault_injector);
	platform_finish(&daemon->platform);
	tablestore_finish(&daemon->store);
	log_event(LOG_LEVEL_INFO, "stopped", NULL);
}

#define DRAIN_POLL_INTERVAL_MS 50u
#define NS_PER_MS 1000000L

static bool
is_stop_signal(int signal_number)
{
	return signal_number == SIGTERM || signal_number == SIGINT;
}

/* Shuts down a daemon with a gateway. Waits until all received requests are
 * done, or have been answered as another signal arrives. */
static int
stop_gateway(struct daemon *daemon, const sigset_t *signals, uint64_t signal_ms)
{
	struct timespec pause = { 0, DRAIN_POLL_INTERVAL_MS * NS_PER_MS };
	GThread *admin_thread = NULL;

	log_event(LOG_LEVEL_INFO, "draining", NULL);
	gateway_drain(&daemon->gateway, signal_ms);
	while (!gateway_drained(&daemon->gateway)) {
		if (is_stop_signal(sigtimedwait(signals, NULL, &pause)))
			gateway_end_drain(&daemon->gateway);
		if (admin_thread == NULL &&
		    gateway_drain_ends_soon(&daemon->gateway)) {
			gateway_stop_feed(&daemon->gateway);
			admin_thread = start_finishing_admin(daemon);
		}
	}
	if (admin_thread == NULL)
		admin_thread = start_finishing_admin(daemon);
	control_drain(&daemon->control);
	platform_stop(&daemon->platform);
	control_detach_gateway(&daemon->control);
	gateway_finish(&daemon->gateway);
	g_thread_join(admin_thread);
	control_stop(&daemon->control);
	control_finish(&daemon->control);
	fault_injector_finish(&daemon->fault_injector);
	platform_finish(&daemon->platform);
	tablestore_finish(&daemon->store);
	log_event(LOG_LEVEL_INFO, "stopped", NULL);
	return EXIT_SUCCESS;
}

static void
print_dump(struct daemon *daemon)
{
	json_t *dump = control_dump(&daemon->control);

	json_dumpf(dump, stderr, JSON_COMPACT);
	fputc('\n', stderr);
	json_decref(dump);
}

/* Takes a signal to stop that came while another one was handled. */
static bool
take_pending_stop(void)
{
	const struct timespec none = { 0, 0 };
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	return sigtimedwait(&signals, NULL, &none) > 0;
}

/* Handles signals until one tells the daemon to stop. @return when that one came,
 * or before it: a signal may wait while another one is handled */
static uint64_t
wait_for_stop(struct daemon *daemon, const sigset_t *signals)
{
	struct clk clk;
	int signal_number;

	clk_init_system(&clk);
	while (sigwait(signals, &signal_number) == 0 &&
	    !is_stop_signal(signal_number)) {
		uint64_t handled_ms = clk_monotonic_ms(&clk);

		if (signal_number == SIGUSR1)
			print_dump(daemon);
		else if (signal_number == SIGHUP)
			reload_run(&daemon->reload);
		if (take_pending_stop())
			return handled_ms;
	}
	return clk_monotonic_ms(&clk);
}

static int
daemon_run(struct daemon *daemon)
{
	GError *error = NULL;
	sigset_t signals;
	uint64_t signal_ms;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigaddset(&signals, SIGUSR1);
	sigaddset(&signals, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
	if (!daemon_start(daemon, &error)) {
		log_event(LOG_LEVEL_ERROR, "start_failed", "reason",
		    error->message, NULL);
		exit(EXIT_FAILURE);
	}
	log_event(LOG_LEVEL_INFO, "started", "listen",
	    daemon->settings.listen_address, "admin",
	    daemon->settings.admin_address, "peer",
	    daemon->settings.peer_address, NULL);
	signal_ms = wait_for_stop(daemon, &signals);
	if (uses_gateway(daemon))
		return stop_gateway(daemon, &signals, signal_ms);
	atomic_store(&daemon->admin.draining, 1);
	if (!drain_run(&daemon->frontend, &daemon->control, &signals))
		daemon_abort(daemon);
	daemon_stop(daemon);
	return EXIT_SUCCESS;
}

static int
print_keys(void)
{
	char public_key[PEER_KEY_TEXT_BYTES], secret_key[PEER_KEY_TEXT_BYTES];

	if (!peer_generate_keys(public_key, secret_key)) {
		fprintf(stderr,
		    "bamboorudderd: ZeroMQ was built without "
		    "CURVE\n");
		return EXIT_FAILURE;
	}
	printf("peer.public_key = \"%s\"\npeer.secret_key = \"%s\"\n",
	    public_key, secret_key);
	return EXIT_SUCCESS;
}

/* Uses a single malloc arena, because additional arenas grow by one page per
 * system call. */
static void
configure_heap(void)
{
	mallopt(M_ARENA_MAX, 1);
	mallopt(M_TOP_PAD, HEAP_STEP_BYTES);
	mallopt(M_TRIM_THRESHOLD, 2 * HEAP_STEP_BYTES);
}

static int
run_with_file(const char *path, bool check, bool print)
{
	enum settings_source sources[SOURCES_MAX_COUNT];
	struct findings *findings = g_new(struct findings, 1);
	struct daemon *daemon = g_new0(struct daemon, 1);
	int status = EXIT_SUCCESS;

	findings_init(findings);
	if (!settings_read(path, &daemon->settings, sources, findings)) {
		print_findings(findings);
		status = EXIT_USAGE;
	} else if (print)
		print_settings(&daemon->settings, sources);
	else if (check)
		printf("%s: no findings\n", path);
	else {
		configure_heap();
		reload_apply_log(&daemon->settings);
		reload_init(&daemon->reload, path, &daemon->settings,
		    &daemon->admin);
		curl_global_init(CURL_GLOBAL_DEFAULT);
		mg_init_library(0);
		status = daemon_run(daemon);
		mg_exit_library();
		curl_global_cleanup();
	}
	g_free(daemon);
	g_free(findings);
	return status;
}

int
main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_lit *check = arg_lit0(NULL, "check-settings",
	    "report all findings in the settings and exit");
	struct arg_lit *print = arg_lit0(NULL, "print-settings",
	    "print the effective settings with their sources and exit");
	struct arg_lit *generate = arg_lit0(NULL, "generate-keys",
	    "print a new key pair for the fleet and exit");
	struct arg_file *file = arg_file0(NULL, NULL, "FILE",
	    "settings in TOML");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, check, print, generate, file, end };
	const char *path = g_getenv(SETTINGS_PATH_VARIABLE);
	int errors = arg_parse(argc, argv, table), status;

	if (help->count > 0) {
		printf("usage: bamboorudderd");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-18s %s\n");
		status = EXIT_SUCCESS;
	} else if (errors == 0 && generate->count > 0)
		status = print_keys();
	else if (errors == 0 && file->count == 0 && path == NULL) {
		fprintf(stderr, "bamboorudderd: missing FILE\n");
		status = EXIT_USAGE;
	} else if (errors > 0) {
		arg_print_errors(stderr, end, "bamboorudderd");
		status = EXIT_USAGE;
	} else
		status = run_with_file(file->count > 0 ? file->filename[0]
						       : path,
		    check->count > 0, print->count > 0);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
