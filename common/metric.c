#include "common/metric.h"

#include <inttypes.h>
#include <stdatomic.h>

#define MS_PER_S 1000u
#define US_PER_MS 1000u
#define US_PER_S 1000000.0

struct metric {
	const char *name;
	const char *type;
	const char *help;
};

static const struct metric metrics[METRIC_COUNT] = {
	[METRIC_REQUESTS] = { "requests_total", "counter",
	    "Requests accepted from callers." },
	[METRIC_REQUESTS_SHED] = { "requests_shed_total", "counter",
	    "Requests refused because this daemon's processor is busy." },
	[METRIC_REQUESTS_SUSPECT] = { "requests_suspect_total", "counter",
	    "Requests refused since their prompt may crash engines." },
	[METRIC_REQUESTS_LIMITED] = { "requests_limited_total", "counter",
	    "Requests refused since all endpoints are at their limits." },
	[METRIC_ENDPOINT_NOTICES] = { "endpoint_notices_total", "counter",
	    "Times that an endpoint began to leave or to pause." },
	[METRIC_REQUESTS_REFUSED] = { "requests_refused_total", "counter",
	    "Requests refused as not run." },
	[METRIC_REQUESTS_UNKNOWN] = { "requests_unknown_total", "counter",
	    "Requests that ended with an unknown outcome." },
	[METRIC_REQUESTS_UNAUTHORIZED] = { "requests_unauthorized_total",
	    "counter", "Requests with an unknown key or without a route." },
	[METRIC_REQUESTS_MALFORMED] = { "requests_malformed_total", "counter",
	    "Requests refused as malformed or too large." },
	[METRIC_RETRIES] = { "retries_total", "counter",
	    "Attempts after the first one of a request." },
	[METRIC_CLAIMS_REPLAYED] = { "claims_replayed_total", "counter",
	    "Duplicates answered from a recorded answer." },
	[METRIC_CLAIMS_CONFLICTS] = { "claims_conflicts_total", "counter",
	    "Duplicates refused because another attempt holds the key." },
	[METRIC_CLAIMS_SWEPT] = { "claims_swept_total", "counter",
	    "Expired claims removed by this daemon's sweep." },
	[METRIC_STREAMS_RESUMED] = { "streams_resumed_total", "counter",
	    "Broken streams of engines that were resumed." },
	[METRIC_TOKENS] = { "tokens_total", "counter",
	    "Tokens relayed to callers." },
	[METRIC_ANSWERS_BROKEN] = { "answers_broken_total", "counter",
	    "Answers that broke off after their first byte." },
	[METRIC_RESPONSES_UNSENT] = { "responses_unsent_total", "counter",
	    "Complete responses that could not be sent to their callers." },
	[METRIC_ATTEMPTS_OWN_DOMAIN] = { "attempts_own_domain_total", "counter",
	    "Attempts at endpoints of the own failure domain." },
	[METRIC_ATTEMPTS_OTHER_DOMAIN] = { "attempts_other_domain_total",
	    "counter", "Attempts at endpoints of other failure domains." },
	[METRIC_ATTEMPTS_REFUSED_AT_HOME] = { "attempts_left_refused_total",
	    "counter",
	    "Of those, attempts that the own failure domain had no room for." },
	[METRIC_BYTES_OWN_DOMAIN] = { "bytes_own_domain_total", "counter",
	    "Bytes of requests and responses within the failure domain." },
	[METRIC_BYTES_OTHER_DOMAIN] = { "bytes_other_domain_total", "counter",
	    "Bytes of requests and responses to and from other domains." },
	[METRIC_HANDOFFS] = { "handoffs_total", "counter",
	    "Connections of callers that were passed to peers." },
	[METRIC_HANDOFFS_TAKEN] = { "handoffs_taken_total", "counter",
	    "Connections of callers that were taken from peers." },
	[METRIC_HANDOFFS_UNANSWERED] = { "handoffs_unanswered_total", "counter",
	    "Requests passed to peers that did not answer them." },
	[METRIC_CONNECTIONS_TURNED_AWAY] = { "connections_turned_away_total",
	    "counter", "Connections of callers that were refused unread." },
	[METRIC_CALLERS_EVICTED] = { "callers_evicted_total", "counter",
	    "Connections that gave way since callers' memory was full." },
	[METRIC_CALLERS_BYTES] = { "callers_memory_bytes", "gauge",
	    "Memory that callers' connections, bodies and responses hold." },
	[METRIC_PEER_SENT_BYTES] = { "peer_sent_bytes_total", "counter",
	    "Bytes of messages sent to other daemons." },
	[METRIC_PEER_RECEIVED_BYTES] = { "peer_received_bytes_total", "counter",
	    "Bytes of messages received from other daemons." },
	[METRIC_PEER_MESSAGES_SENT] = { "peer_messages_sent_total", "counter",
	    "Messages sent to other daemons." },
	[METRIC_PEER_MESSAGES_RECEIVED] = { "peer_messages_received_total",
	    "counter", "Messages received from other daemons." },
	[METRIC_PEER_MALFORMED] = { "peer_malformed_total", "counter",
	    "Messages from other daemons that could not be decoded." },
	[METRIC_PEER_STRANGERS] = { "peer_strangers_total", "counter",
	    "Peer connections refused for their key." },
	[METRIC_PLATFORM_CALLS] = { "platform_calls_total", "counter",
	    "Calls to the platform's object API." },
	[METRIC_PLATFORM_FAILURES] = { "platform_failures_total", "counter",
	    "Calls to the platform's object API that failed." },
	[METRIC_PLATFORM_RESTORES] = { "platform_restores_total", "counter",
	    "Restores of the platform's store from a copy heard of." },
	[METRIC_CONTROL_CPU_US] = { "control_cpu_microseconds_total", "counter",
	    "Processor time of the control thread." },
	[METRIC_TABLES_ADOPTED] = { "tables_adopted_total", "counter",
	    "Table versions put in force." },
	[METRIC_TABLES_INVALID] = { "tables_invalid_total", "counter",
	    "Table versions rejected as invalid." },
	[METRIC_EDITS_ACCEPTED] = { "edits_accepted_total", "counter",
	    "Edits of the tables accepted through this daemon." },
	[METRIC_EDITS_REFUSED] = { "edits_refused_total", "counter",
	    "Edits of the tables refused or failed at this daemon." },
	[METRIC_ADMIN_UNAUTHORIZED] = { "admin_unauthorized_total", "counter",
	    "Calls of the administration API with an unknown token or a scope "
	    "that is too low." },
	[METRIC_WAITING] = { "requests_waiting", "gauge",
	    "Requests that wait for a slot." },
	[METRIC_RUNNING] = { "requests_running", "gauge",
	    "Requests that hold a slot." },
	[METRIC_MEMBERS_LIVE] = { "members_live", "gauge",
	    "Live daemons, this one included." },
	[METRIC_LOG_DROPPED] = { "log_lines_dropped_total", "counter",
	    "Log lines beyond the rate or refused by a full pipe." },
};

static _Atomic uint64_t values[METRIC_COUNT];

void
metric_add(enum metric_id id, uint64_t delta)
{
	atomic_fetch_add_explicit(&values[id], delta, memory_order_relaxed);
}

void
metric_set(enum metric_id id, uint64_t value)
{
	atomic_store_explicit(&values[id], value, memory_order_relaxed);
}

uint64_t
metric_get(enum metric_id id)
{
	return atomic_load_explicit(&values[id], memory_order_relaxed);
}

/* Upper bounds of the buckets, with the latency target for the first token,
 * 1300 ms, among them. */
static const uint32_t bucket_bounds_ms[] = { 1, 2, 5, 10, 20, 50, 100, 200, 500,
	1000, 1300, 2000, 5000, 10000, 30000, 60000 };

struct histogram {
	const char *name;
	const char *help;
};

static const struct histogram histograms[HISTOGRAM_COUNT] = {
	[HISTOGRAM_QUEUE_WAIT] = { "queue_wait_seconds",
	    "Time from a request's arrival until its slot or its refusal." },
	[HISTOGRAM_FIRST_BYTE] = { "first_byte_seconds",
	    "Time from sending a request to an endpoint until the first byte "
	    "of the answer: the first token of a stream." },
	[HISTOGRAM_FORECAST_ERROR] = { "first_token_forecast_error_seconds",
	    "Difference between the forecast of a first token and its time." },
	[HISTOGRAM_PLATFORM_CALL] = { "platform_call_seconds",
	    "Time of calls to the platform, watches left out." },
	[HISTOGRAM_ANSWERED] = { "request_answered_seconds",
	    "Time from a request's arrival until its whole answer." },
	[HISTOGRAM_REFUSED] = { "request_refused_seconds",
	    "Time from a request's arrival until it was refused as not run." },
	[HISTOGRAM_FAILED] = { "request_failed_seconds",
	    "Time from a request's arrival until it failed, was cut or its "
	    "caller left." },
};

static struct {
	_Atomic uint64_t buckets[G_N_ELEMENTS(bucket_bounds_ms) + 1];
	_Atomic uint64_t sum_us;
} histogram_values[HISTOGRAM_COUNT];

void
metric_observe(enum histogram_id id, uint64_t duration_us)
{
	size_t bucket = 0;

	while (bucket < G_N_ELEMENTS(bucket_bounds_ms) &&
	    duration_us > (uint64_t)bucket_bounds_ms[bucket] * US_PER_MS)
		bucket++;
	atomic_fetch_add_explicit(&histogram_values[id].buckets[bucket], 1,
	    memory_order_relaxed);
	atomic_fetch_add_explicit(&histogram_values[id].sum_us, duration_us,
	    memory_order_relaxed);
}

static void
histogram_render(GString *out, enum histogram_id id)
{
	const char *name = histograms[id].name;
	uint64_t count = 0;

	g_string_append_printf(out,
	    "# HELP bamboorudder_%s %s\n# TYPE bamboorudder_%s histogram\n",
	    name, histograms[id].help, name);
	for (size_t i = 0; i < G_N_ELEMENTS(bucket_bounds_ms); i++) {
		count += atomic_load_explicit(&histogram_values[id].buckets[i],
		    memory_order_relaxed);
		g_string_append_printf(out,
		    "bamboorudder_%s_bucket{le=\"%u.%03u\"} %" PRIu64 "\n",
		    name, bucket_bounds_ms[i] / MS_PER_S,
		    bucket_bounds_ms[i] % MS_PER_S, count);
	}
	count +=
	    atomic_load_explicit(&histogram_values[id]
				      .buckets[G_N_ELEMENTS(bucket_bounds_ms)],
		memory_order_relaxed);
	g_string_append_printf(out,
	    "bamboorudder_%s_bucket{le=\"+Inf\"} %" PRIu64
	    "\nbamboorudder_%s_sum %.6f\nbamboorudder_%s_count %" PRIu64 "\n",
	    name, count, name,
	    (double)atomic_load_explicit(&histogram_values[id].sum_us,
		memory_order_relaxed) /
		US_PER_S,
	    name, count);
}

void
metric_render(GString *out)
{
	for (int i = 0; i < METRIC_COUNT; i++) {
		const struct metric *metric = &metrics[i];

		g_string_append_printf(out,
		    "# HELP bamboorudder_%s %s\n# TYPE bamboorudder_%s %s\n"
		    "bamboorudder_%s %" PRIu64 "\n",
		    metric->name, metric->help, metric->name, metric->type,
		    metric->name, metric_get((enum metric_id)i));
	}
	for (int i = 0; i < HISTOGRAM_COUNT; i++)
		histogram_render(out, (enum histogram_id)i);
}
