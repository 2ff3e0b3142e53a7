#include "common/metric.h"

#include <inttypes.h>
#include <stdatomic.h>

struct metric {
	const char *name;
	const char *type;
	const char *help;
};

static const struct metric metrics[METRIC_COUNT] = {
	[METRIC_REQUESTS] = { "requests_total", "counter",
	    "Requests accepted from callers." },
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
	[METRIC_CONTROL_CPU_US] = { "control_cpu_microseconds_total", "counter",
	    "Processor time of the control thread." },
	[METRIC_TABLES_ADOPTED] = { "tables_adopted_total", "counter",
	    "Table versions put in force." },
	[METRIC_TABLES_INVALID] = { "tables_invalid_total", "counter",
	    "Table versions rejected as invalid." },
	[METRIC_WAITING] = { "requests_waiting", "gauge",
	    "Requests that wait for a slot." },
	[METRIC_RUNNING] = { "requests_running", "gauge",
	    "Requests that hold a slot." },
	[METRIC_MEMBERS_LIVE] = { "members_live", "gauge",
	    "Live daemons, this one included." },
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
}
