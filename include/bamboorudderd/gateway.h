/**
 * @file
 * The traffic thread before the platform's callers: one event loop that reads
 * requests, asks the control thread where each runs, and relays the answers.
 * libmicrohttpd serves and libcurl calls, both within the loop.
 */
#ifndef BAMBOORUDDERD_GATEWAY_H
#define BAMBOORUDDERD_GATEWAY_H

#include <curl/curl.h>
#include <glib.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "bamboorudderd/control.h"
#include "bamboorudderd/settings.h"
#include "common/clk.h"
#include "common/sse.h"
#include "core/config_snapshot.h"
#include "core/dispatch.h"
#include "core/load_shedder.h"
#include "platform/feed.h"
#include "platform/wire.h"

struct gateway;
struct gw_request;

enum gw_source_kind {
	GW_SOURCE_SERVER, /**< the server's own event queue */
	GW_SOURCE_READINESS,
	GW_SOURCE_MAILBOX,
	GW_SOURCE_TRANSFER,
	GW_SOURCE_CALLER,
	GW_SOURCE_REMOVED /**< removed; an event of it may still be under way */
};

/** What the event loop waits for. */
struct gw_event_source {
	enum gw_source_kind kind;
	int fd;
	uint32_t events; /**< of GW_SOURCE_TRANSFER */
	bool polled; /**< of a stream that runs, looked at by period */
	struct gw_request *request; /**< of GW_SOURCE_CALLER */
};

/** Work for the traffic thread. */
struct gw_task {
	STAILQ_ENTRY(gw_task) entries;
	void (*run)(struct gateway *gateway, void *context);
	void *context;
};

enum gw_state {
	GW_RECEIVING, /**< the caller still sends */
	GW_DECIDING, /**< the control thread decides */
	GW_FORWARDING, /**< an endpoint has it */
	GW_RESPONDING, /**< the answer is passed on as it comes, or is whole */
	GW_ENDED
};

/** How a request ended, for the metrics. */
enum gw_result { GW_FAILED, GW_REFUSED, GW_RESPONDED };

/** A header of an answer. */
struct gw_header {
	char *name;
	char *value;
};

/** One request of a caller. */
struct gw_request {
	LIST_ENTRY(gw_request) entries;
	struct gateway *gateway;
	struct MHD_Connection *connection;
	struct gw_event_source caller_source; /**< sees the caller leave */
	struct config_snapshot *configuration;
	const struct config_route *route;
	const struct config_account *account;
	struct wire_request head;
	char *method;
	char *target; /**< path and query as they came */
	GByteArray *body;
	uint64_t arrived_ms;
	uint64_t caller_deadline_ms; /**< the caller's own deadline */
	uint64_t deadline_ms; /**< when an answer is due at the latest */
	enum gw_state state;
	bool receiving; /**< not read whole */
	bool head_received; /**< the head was read */
	bool submitted;
	bool close_connection; /**< the connection can't be used again */
	bool suspended;
	bool disconnected; /**< the caller left */
	bool server_done; /**< the server has let go of it */
	bool decision_pending; /**< the control thread holds a decision of it */
	bool caller_watched;
	/* attempts */
	struct dispatch_request dispatch;
	struct dispatch_decision decision;
	uint64_t attempt_ms; /**< when the current one began */
	uint32_t attempts_count; /**< endpoints that it was sent to */
	uint32_t unreached_count;
	bool may_have_run;
	bool first_token_reported;
	CURL *transfer; /**< the transfer that runs, or NULL */
	struct gw_event_source *transfer_source; /**< its socket's, or NULL */
	struct curl_slist *transfer_headers;
	struct wire_response endpoint_response;
	GArray
	    *endpoint_headers; /**< struct gw_header of the current attempt */
	GByteArray *endpoint_body;
	bool endpoint_head_complete;
	/* the answer to the caller */
	uint32_t status;
	GArray *response_headers; /**< struct gw_header */
	GByteArray *response_bytes; /**< bytes not yet given to the server */
	gsize response_offset;
	bool streaming;
	bool response_complete;
	bool response_aborted; /**< the answer ends without its proper end */
	struct sse_parser sse;
	enum gw_result result;
	const char *outcome; /**< for the log */
};

/** An account whose requests for a pool are refused unasked for a moment. */
struct gw_rejection_hold {
	uint64_t until_ms;
	uint32_t
	    latency_target_ms; /**< those with a longer latency target are asked */
	bool far_over_share; /**< the account is far over its share */
};

/** A span over which the event loop's load is measured. */
struct gw_idle_window {
	uint64_t start_ms;
	uint64_t idle_us; /**< that the loop waited in it */
};

struct gateway {
	const struct settings *settings;
	struct control *control;
	struct feed feed;
	struct clk clk;
	pthread_t thread;
	int epoll_fd;
	int stream_epoll_fd; /**< epoll of the streams that run */
	uint64_t stream_poll_due_ms;
	uint32_t streams_count;
	uint32_t connections_count; /**< of callers */
	uint32_t receiving_count; /**< requests that are not read whole */
	struct gw_event_source server_source;
	struct gw_event_source readiness_source;
	struct gw_event_source mailbox_source;
	struct MHD_Daemon *server;
	struct MHD_Daemon
	    *readiness_server; /**< readiness, on its own address */
	CURLM *transfers;
	GPtrArray *removed_sources; /**< freed after the events of a wake-up */
	GPtrArray *idle_handles; /**< CURL handles for reuse */
	uint64_t transfers_due_ms; /**< libcurl's timer, 0: none */
	uint64_t check_due_ms;
	pthread_mutex_t mailbox_mutex;
	STAILQ_HEAD(, gw_task) mailbox;
	LIST_HEAD(, gw_request) requests;
	uint32_t active_count; /**< requests that were read and not ended */
	struct config_snapshot *configuration;
	uint64_t
	    fresh_as_of_ms; /**< feed_clock_ms as of which it was the newest */
	bool endpoints_synced;
	bool overloaded; /**< new connections are to go elsewhere */
	struct gw_idle_window readiness_window;
	struct gw_idle_window shedding_window;
	uint64_t
	    overloaded_ms; /**< end of the last span without time to spare */
	struct load_shedder shed;
	GHashTable *
	    rejection_holds; /**< account and pool to struct gw_rejection_hold */
	bool server_due; /**< the server has to look at its connections */
	bool draining;
	bool shutting_down; /**< it was decided to end: all is refused */
	bool stopping;
	uint64_t drain_start_ms; /**< when draining began */
	uint64_t idle_since_ms; /**< since when nothing ran, while draining */
	_Atomic uint32_t drained; /**< all ended, for the main thread */
};

/** Binds the addresses and starts the traffic thread and the feed. */
gboolean gateway_init(struct gateway *gateway, const struct settings *settings,
    struct control *control, GError **error);

/** Takes no new connections once what is told to leave has been served. */
void gateway_drain(struct gateway *gateway);

/** @return whether everything has ended */
bool gateway_drained(struct gateway *gateway);

void gateway_finish(struct gateway *gateway);

#endif
