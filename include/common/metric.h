/**
 * @file
 * Counters, gauges and histograms of the process, and their output in the
 * Prometheus text format. All functions may be called from any thread.
 */
#ifndef COMMON_METRIC_H
#define COMMON_METRIC_H

#include <glib.h>
#include <stdint.h>

enum metric_id {
	METRIC_REQUESTS,
	METRIC_REQUESTS_REFUSED,
	METRIC_REQUESTS_SHED,
	METRIC_REQUESTS_SUSPECT,
	METRIC_REQUESTS_LIMITED,
	METRIC_REQUESTS_UNKNOWN,
	METRIC_REQUESTS_UNAUTHORIZED,
	METRIC_REQUESTS_MALFORMED,
	METRIC_RETRIES,
	METRIC_CLAIMS_REPLAYED,
	METRIC_CLAIMS_CONFLICTS,
	METRIC_CLAIMS_SWEPT,
	METRIC_STREAMS_RESUMED,
	METRIC_TOKENS,
	METRIC_ANSWERS_BROKEN,
	METRIC_PEER_SENT_BYTES,
	METRIC_PEER_RECEIVED_BYTES,
	METRIC_PEER_MESSAGES_SENT,
	METRIC_PEER_MESSAGES_RECEIVED,
	METRIC_PEER_MALFORMED,
	METRIC_PEER_STRANGERS,
	METRIC_PLATFORM_CALLS,
	METRIC_PLATFORM_FAILURES,
	METRIC_CONTROL_CPU_US,
	METRIC_TABLES_ADOPTED,
	METRIC_TABLES_INVALID,
	METRIC_EDITS_ACCEPTED,
	METRIC_EDITS_REFUSED,
	METRIC_ADMIN_UNAUTHORIZED,
	METRIC_WAITING,
	METRIC_RUNNING,
	METRIC_MEMBERS_LIVE,
	METRIC_LOG_DROPPED,
	METRIC_COUNT
};

void metric_add(enum metric_id id, uint64_t delta);
void metric_set(enum metric_id id, uint64_t value);
uint64_t metric_get(enum metric_id id);

enum histogram_id {
	HISTOGRAM_QUEUE_WAIT,
	HISTOGRAM_FIRST_BYTE,
	HISTOGRAM_PLATFORM_CALL,
	HISTOGRAM_ANSWERED,
	HISTOGRAM_REFUSED,
	HISTOGRAM_FAILED,
	HISTOGRAM_COUNT
};

/** Records a duration in a histogram. */
void metric_observe(enum histogram_id id, uint64_t duration_us);

/** Appends all metrics in the Prometheus text format to out. */
void metric_render(GString *out);

#endif
