/**
 * @file
 * Traffic thread that serves the platform's callers. One event loop receives
 * requests, obtains a dispatch decision for each from the control thread,
 * forwards it to the chosen endpoint and relays the response. Both the server
 * (libmicrohttpd) and the transfers to endpoints (libcurl) run in this loop.
 */
#ifndef BAMBOORUDDERD_GATEWAY_H
#define BAMBOORUDDERD_GATEWAY_H

#include <curl/curl.h>
#include <glib.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "bamboorudderd/control.h"
#include "bamboorudderd/settings.h"
#include "common/clk.h"
#include "common/http_head.h"
#include "common/sse.h"
#include "core/caller_memory.h"
#include "core/config_snapshot.h"
#include "core/dispatch.h"
#include "core/drain_admission.h"
#include "core/handoff.h"
#include "core/load_shedder.h"
#include "core/readiness.h"
#include "platform/feed.h"
#include "platform/wire.h"

struct gateway;
struct gw_greeting;
struct gw_handoff;
struct gw_request;
struct gw_turned_away;

enum gw_source_kind {
	GW_SOURCE_SERVER, /**< epoll descriptor of the server */
	GW_SOURCE_READINESS, /**< epoll descriptor of the readiness server */
	GW_SOURCE_MAILBOX,
	GW_SOURCE_TRANSFER, /**< socket of a transfer to an endpoint */
	GW_SOURCE_CALLER, /**< connection whose disconnection is watched */
	GW_SOURCE_LISTEN, /**< new connections of callers */
	GW_SOURCE_PEERS_LISTEN, /**< connections that peers pass on */
	GW_SOURCE_GREETING, /**< a peer that has not named itself yet */
	GW_SOURCE_HANDOFF, /**< a connection that is passed to a peer */
	GW_SOURCE_TURNED_AWAY, /**< a connection that is refused unread */
	GW_SOURCE_REMOVED /**< an event read earlier may still refer to it */
};

/** A file descriptor of the event loop. */
struct gw_source {
	enum gw_source_kind kind;
	int fd;
	uint32_t events; /**< epoll mask; for GW_SOURCE_TRANSFER */
	/** Socket of a running stream, which is polled periodically instead of
	 * waking the event loop. */
	bool polled;
	struct gw_request *request; /**< for GW_SOURCE_CALLER */
	struct gw_greeting *greeting; /**< for GW_SOURCE_GREETING */
	struct gw_handoff *handoff; /**< for GW_SOURCE_HANDOFF */
	struct gw_turned_away *turned_away; /**< for GW_SOURCE_TURNED_AWAY */
};

/** A function to be called on the traffic thread. */
struct gw_task {
	STAILQ_ENTRY(gw_task) entries;
	void (*run)(struct gateway *gateway, void *context);
	void *context;
};

enum gw_state {
	GW_STATE_RECEIVING, /**< the caller is still sending the request */
	GW_STATE_DECIDING, /**< waits for a decision of the control thread */
	GW_STATE_FORWARDING, /**< was sent to an endpoint */
	GW_STATE_RESPONDING, /**< an event stream is being relayed */
	GW_STATE_ENDED
};

/** Category of a finished request in the metrics. */
enum gw_result { GW_RESULT_FAILED, GW_RESULT_REFUSED, GW_RESULT_RESPONDED };

struct gw_header {
	char *name;
	char *value;
};

/** A connection of a caller. */
struct gw_caller {
	struct caller_holder holder; /**< the first member */
	int fd;
	struct gw_request *request; /**< in progress, or NULL */
	struct gw_handoff *handoff; /**< passes it to a peer, or NULL */
	uint64_t from_node_id; /**< peer that passes it here; 0: none */
	bool unread; /**< no request on it has begun yet */
	bool close_after; /**< takes no further request */
	bool evicted; /**< being closed, to make room */
	struct drain_admission origin; /**< a stop of the peer that passes it */
};

/** One request of a caller and the state of its attempts. */
struct gw_request {
	LIST_ENTRY(gw_request) entries;
	struct gateway *gateway;
	struct MHD_Connection *connection;
	struct gw_caller *caller; /**< NULL once the server is done with it */
	struct gw_source caller_source; /**< detects a disconnection */
	struct config_snapshot *configuration;
	const struct config_route *route;
	const struct config_account *account;
	struct wire_request head;
	char *method;
	char *target; /**< path and query as received, escapes included */
	GByteArray *body;
	uint64_t discarded_bytes; /**< of the body, received after a refusal */
	uint64_t arrived_ms;
	uint64_t caller_deadline_ms;
	uint64_t deadline_ms; /**< earlier of caller deadline, route timeout */
	enum gw_state state;
	bool head_received;
	bool received; /**< whole, with its body and trailer */
	bool submitted; /**< received; counted in active_count */
	bool close_connection; /**< the connection can't be reused */
	bool suspended; /**< the server does not handle the connection */
	bool disconnected; /**< the caller closed its connection */
	bool server_done; /**< the server no longer refers to the request */
	bool decision_pending; /**< the control thread refers to the request */
	bool caller_watched;
	/* of the attempts */
	struct dispatch_request dispatch;
	struct dispatch_decision decision;
	/** Daemon that decided; "" if the request needed no hub. */
	char hub_address[ADDRESS_MAX_BYTES];
	uint64_t attempt_ms; /**< start of the current attempt */
	uint32_t attempts_count; /**< ended, having reached an endpoint */
	uint32_t unreached_count; /**< ended without reaching one */
	bool may_have_run;
	bool first_token_reported;
	CURL *transfer; /**< of the current attempt, or NULL */
	struct gw_source *transfer_source; /**< its socket, or NULL */
	struct curl_slist *transfer_headers;
	struct http_head endpoint_head; /**< check of the head and trailer */
	struct wire_response endpoint_response;
	GArray *endpoint_headers; /**< struct gw_header */
	/** Received bytes that are not in response_bytes yet. */
	GByteArray *endpoint_body;
	bool endpoint_head_complete;
	bool endpoint_head_too_large; /**< the server can't relay it */
	/* of the response to the caller */
	uint32_t status;
	GArray *response_headers; /**< struct gw_header */
	GByteArray *response_bytes; /**< body that the server has not taken */
	gsize response_offset; /**< bytes of it that the server has taken */
	bool streaming;
	bool response_complete;
	bool response_aborted; /**< the connection is closed mid-response */
	struct sse_parser sse;
	enum gw_result result;
	const char *outcome; /**< for the log */
};

/** Refuses requests of an account for a pool without a dispatch decision. */
struct gw_rejection_hold {
	uint64_t until_ms;
	/** Requests with a longer target are dispatched as usual. */
	uint32_t latency_target_ms;
	bool far_over_share; /**< account far above its fair share */
	/** The account would not be refused if it had less than its share. */
	bool over_share;
};

/** Window over which the idle time of the event loop is measured. */
struct gw_idle_window {
	uint64_t start_ms;
	uint64_t idle_us; /**< time spent waiting for events */
};

/** What happened to requests since the start of the daemon. */
struct gw_load_counts {
	uint32_t requests_count; /**< submitted */
	uint32_t shed_count;
	uint32_t held_count; /**< refused by a rejection hold */
	uint32_t refused_count; /**< refused by a decision */
	uint32_t started_count; /**< attempts */
	uint32_t passed_count; /**< connections that a peer took */
	uint32_t turned_away_count; /**< connections refused unread */
};

/** A live daemon in the same failure domain. */
struct gw_peer {
	uint64_t node_id;
	uint64_t incarnation; /**< identifies the process */
	uint32_t weight; /**< see struct handoff_peer */
	char host[ADDRESS_MAX_BYTES]; /**< IP address */
	struct sockaddr_in address; /**< where it takes connections */
};

struct gateway {
	const struct settings *settings;
	struct control *control;
	struct feed feed;
	struct clk clk;
	pthread_t thread;
	int epoll_fd;
	int stream_epoll_fd; /**< sockets of running streams */
	uint64_t stream_poll_due_ms;
	uint32_t streams_count;
	uint32_t connections_count; /**< connections of callers */
	struct caller_memory caller_memory;
	/** Connections that gave way and are not closed yet. */
	uint32_t closing_count;
	struct gw_source listen_source;
	struct gw_source peers_source; /**< fd -1: none are taken */
	bool accepts_paused;
	/** Peer that passes on the connection that the server is given now. */
	uint64_t accepting_from;
	LIST_HEAD(, gw_greeting) greetings;
	LIST_HEAD(, gw_handoff) handoffs;
	LIST_HEAD(, gw_turned_away) turned_away;
	uint32_t turned_away_count;
	uint32_t handoffs_count;
	uint64_t stop_due_ms; /**< when the peers are told next of a stop */
	uint32_t unanswered_count; /**< of them, that no peer took yet */
	uint32_t unread_count; /**< connections without a request yet */
	struct handoff handoff;
	GArray *peers; /**< struct gw_peer */
	GArray *handoff_peers; /**< struct handoff_peer, the same peers */
	GHashTable *peer_stops; /**< node_id to struct peer_stop */
	struct gw_source server_source;
	struct gw_source readiness_source;
	struct gw_source mailbox_source;
	struct MHD_Daemon *server;
	struct MHD_Daemon *readiness_server; /**< on an address of its own */
	CURLM *transfers;
	GPtrArray *removed_sources; /**< freed once all events are handled */
	uint64_t transfers_due_ms; /**< libcurl's timer, 0 if not set */
	uint64_t check_due_ms;
	pthread_mutex_t mailbox_mutex;
	STAILQ_HEAD(, gw_task) mailbox;
	LIST_HEAD(, gw_request) requests;
	uint32_t active_count; /**< requests received and not ended */
	struct config_snapshot *configuration;
	/** Latest time, by feed_clock_ms, at which the configuration was known
	 * to be the newest. */
	uint64_t fresh_as_of_ms;
	/** The first list of the kind is known, or it is not read. */
	bool synced[RESOURCE_KIND_COUNT];
	struct readiness readiness;
	struct gw_idle_window readiness_window;
	struct gw_idle_window shedding_window;
	struct gw_idle_window log_window;
	struct gw_load_counts load_counts;
	struct gw_load_counts readiness_start; /**< as its window began */
	struct gw_load_counts shedding_start; /**< as its window began */
	struct gw_load_counts log_start; /**< as its window began */
	struct load_shedder load_shedder;
	/** Hash of account and pool to struct gw_rejection_hold. */
	GHashTable *rejection_holds;
	/** account_id to the number of its requests that wait for a decision. */
	GHashTable *undecided_counts;
	bool server_due; /**< MHD_run() has to be called */
	bool draining;
	bool shutting_down; /**< draining is over; refuses all requests */
	bool stopping;
	struct drain_admission admission; /**< from the signal to stop on */
	uint64_t drain_start_ms; /**< when this thread learned of it */
	uint64_t shutdown_ms; /**< when shutting_down was set */
	uint64_t idle_since_ms; /**< last time with a request, in a drain */
	_Atomic uint32_t drain_ends_soon; /**< read by the main thread */
	_Atomic uint32_t drained; /**< read by the main thread */
};

/** Binds the addresses and starts the traffic thread and the feed. */
gboolean gateway_init(struct gateway *gateway, const struct settings *settings,
    struct control *control, GError **error);

/** Reports the daemon as not ready and serves the remaining requests.
 * @param signal_ms when the process was told to stop, by clk_monotonic_ms() */
void gateway_drain(struct gateway *gateway, uint64_t signal_ms);

/** Ends a drain at once: requests that still run get an answer that tells whether
 * they may have run. */
void gateway_end_drain(struct gateway *gateway);

/** @return whether draining will be over within two seconds */
bool gateway_drain_ends_soon(struct gateway *gateway);

/** Lets the reflectors end, which takes them up to a watch; does not wait. Only
 * for the thread that calls gateway_finish(). */
void gateway_stop_feed(struct gateway *gateway);

/** @return whether draining is over and the gateway may be stopped */
bool gateway_drained(struct gateway *gateway);

void gateway_finish(struct gateway *gateway);

/** Tells the traffic thread which daemons are live in the same failure domain;
 * called by the control thread. */
void gw_peers_update(struct control *control);

/** Handles a peer's word that it is about to stop; called by the control
 * thread. */
void gw_handoff_on_stop(struct control *control, const struct msg *msg);

/** Passes a decision on to the traffic thread; called by the control thread. */
void gw_dispatch_on_decided(struct control *control, uint64_t attempt_id);

#endif
