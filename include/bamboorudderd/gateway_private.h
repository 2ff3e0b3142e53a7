/**
 * @file
 * Interfaces between the files of the traffic thread.
 */
#ifndef BAMBOORUDDERD_GATEWAY_PRIVATE_H
#define BAMBOORUDDERD_GATEWAY_PRIVATE_H

#include "bamboorudderd/gateway.h"

/** Memory of the server for each connection: the head of a request, records of
 * its headers, bytes of the next request, and the head of the response. */
#define GW_CONNECTION_MEMORY_BYTES (48u * 1024u)

/** Retry-After of a refusal for which no better estimate is known. */
#define GW_RETRY_AFTER_MS 500u
/** Retry-After where other daemons can serve the request. */
#define GW_DRAIN_RETRY_AFTER_MS 100u

uint64_t gw_now_ms(const struct gateway *gateway);

/** Adds a file descriptor to the event loop. */
void gw_source_add(struct gateway *gateway, struct gw_source *source,
    uint32_t events);

/** Changes the events that a descriptor of the event loop is watched for. */
void gw_source_set(struct gateway *gateway, const struct gw_source *source,
    uint32_t events);

/* gateway_accept.c: new connections of callers, and those that peers pass on */

/** Answer to a peer whose connection is taken; others are closed. */
#define GW_HANDOFF_TAKEN 1

/** Listens on an address. */
gboolean gw_listen(struct gateway *gateway, struct gw_source *source,
    enum gw_source_kind kind, const char *text, GError **error);
void gw_accept_finish(struct gateway *gateway);
void gw_accept_callers(struct gateway *gateway);
void gw_accept_peers(struct gateway *gateway);
void gw_greeting_on_event(struct gateway *gateway,
    struct gw_greeting *greeting);
/** Lets the server handle a connection.
 * @param from_node_id peer that passes it on, or 0 */
void gw_serve_connection(struct gateway *gateway, int fd,
    uint64_t from_node_id);
/** To be called every 50 ms. */
void gw_accept_check(struct gateway *gateway, uint64_t now_ms);

/* gateway_turn_away.c: connections that are refused without the server */

/** Sends a 503 for a request of which nothing was read or passed on, so that it has
 * not run. */
void gw_refuse_unread(struct gateway *gateway, int fd);
/** Refuses a connection, at less cost than the server does.
 * @return false if too many are being refused */
bool gw_turn_away(struct gateway *gateway, int fd);
void gw_turned_away_on_event(struct gateway *gateway,
    struct gw_turned_away *item);
/** To be called every 50 ms. */
void gw_turned_away_check(struct gateway *gateway, uint64_t now_ms);
void gw_turned_away_finish(struct gateway *gateway);

/* gateway_handoff.c: connections that are passed to peers */

/** Asks peers to take a connection. @return false if there is none to be asked,
 * so that the connection is the caller's again */
bool gw_handoff_start(struct gateway *gateway, int fd);
void gw_handoff_on_event(struct gw_source *source, uint32_t events);
/** Resets a connection that is passed on. */
void gw_handoff_abort(struct gw_handoff *handoff);
/** To be called every 50 ms. */
void gw_handoffs_check(struct gateway *gateway, uint64_t now_ms);
void gw_handoffs_finish(struct gateway *gateway);

/* gateway_peers.c: daemons in the same failure domain */

void gw_peers_init(struct gateway *gateway);
void gw_peers_finish(struct gateway *gateway);
/** Tells the peers that the connections passed to them end soon, if any are. */
void gw_handoffs_stop(struct gateway *gateway);
/** Lets a new connection end soon if the peer that passes it here stops. */
void gw_caller_apply_stop(const struct gateway *gateway,
    struct gw_caller *caller);
/** @return the live peer, or NULL */
const struct gw_peer *gw_find_peer(const struct gateway *gateway,
    uint64_t node_id);

/* gateway_load.c: load of the event loop */

void gw_load_start(struct gateway *gateway);
/** Records time that the event loop spent waiting. */
void gw_load_add_idle(struct gateway *gateway, uint64_t idle_us);
/** Updates readiness and load shedding; to be called every 50 ms. */
void gw_load_check(struct gateway *gateway, uint64_t now_ms);
/** @return when the caller of a shed request may try again
 * @param lot spreads the callers */
uint32_t gw_load_retry_after_ms(const struct gateway *gateway, uint64_t lot,
    uint64_t now_ms);

/* gateway_mailbox.c: tasks between the traffic thread and the control thread */

/** Posts a task to the traffic thread. */
void gw_mailbox_post(struct gateway *gateway,
    void (*run)(struct gateway *, void *), void *context);
/** Runs all posted tasks; on the traffic thread. */
void gw_mailbox_run(struct gateway *gateway);
extern const struct feed_sink_ops gw_feed_sink;

/** Requests a dispatch decision, which the control thread takes or gets from
 * another daemon. */
void gw_dispatch_decide(struct gw_request *request);
/** @return how many requests of the same account wait for a decision */
uint32_t gw_undecided_count(const struct gw_request *request);
/** Reports the first token of an attempt to the control thread. */
void gw_dispatch_first_token(struct gw_request *request);
/** Reports what the head of a response says of its endpoint, if anything. */
void gw_dispatch_statement(struct gw_request *request);
/** Tells the control thread whether this daemon's processor is busy. */
void gw_dispatch_busy(struct gateway *gateway, bool busy);
/** Reports the end of an attempt to the control thread. */
void gw_dispatch_done(struct gw_request *request,
    enum dispatch_outcome outcome);

/* gateway_server.c: HTTP server for callers and readiness probes */

/** @return whether the daemon takes new callers */
bool gw_is_ready(const struct gateway *gateway);
void gw_parse_address(const char *text, struct sockaddr_in *out);
gboolean gw_server_init(struct gateway *gateway, GError **error);
void gw_server_finish(struct gateway *gateway);
/** @return whether the other side of a connection has ended it */
bool gw_has_hung_up(int fd);
/** @return whether bytes of the other side wait to be read */
bool gw_has_unread(int fd);
/** @return whether the caller has closed its connection */
bool gw_caller_has_left(const struct gw_request *request);
/** Starts watching for a disconnection of the caller. */
void gw_caller_watch(struct gw_request *request);
/** Lets the server continue a suspended request. */
void gw_resume(struct gw_request *request);
/** Keeps the server from handling a request until gw_resume(). */
void gw_suspend(struct gw_request *request);

/* gateway_memory.c: memory that callers make this daemon hold */

void gw_memory_init(struct gateway *gateway);
void gw_memory_finish(struct gateway *gateway);
/** @return most connections of callers at once */
uint32_t gw_connections_max_count(const struct settings *settings);
/** Adds a connection, for which others may have to give way. */
struct gw_caller *gw_caller_new(struct gateway *gateway, int fd);
void gw_caller_free(struct gateway *gateway, struct gw_caller *caller);
/** Adds a connection that is passed to a peer. */
struct gw_caller *gw_caller_new_passed(struct gateway *gateway, int fd,
    struct gw_handoff *handoff);
/** Records whether the daemon waits for a caller. */
void gw_caller_set_waiting(struct gateway *gateway, struct gw_caller *caller,
    bool waiting);
/** Records that a request on the connection begins. */
void gw_caller_begin(struct gw_caller *caller, struct gw_request *request);
/** Records that the server is done with the request on the connection. */
void gw_caller_end(struct gw_request *request);
/** Records how many bytes a request and its response hold now. */
void gw_memory_update(const struct gw_request *request);
/** @return whether callers hold too much while the connections that gave way are
 * not closed yet */
bool gw_memory_is_crowded(const struct gateway *gateway);
/** Lets connections give way until there is room.
 * @return whether there is */
bool gw_memory_make_room(struct gateway *gateway);
/** Updates the metric of callers' memory. */
void gw_memory_report(const struct gateway *gateway);

/* gateway_response.c: responses to callers */

/** @return length of the request line and headers */
size_t gw_request_head_bytes(const struct gw_request *request);
/** @return whether the server has the memory for a response of usual size beside
 * the request that it has received */
bool gw_response_has_room(const struct gw_request *request);
/** @return whether the server can relay the endpoint's head to the caller */
bool gw_response_head_fits(const struct gw_request *request);
/** Passes the response, or its head if it is a stream, to the server. */
enum MHD_Result gw_response_queue(struct gw_request *request);
/** Logs a response that the server could not send as a whole. */
void gw_response_check_sent(const struct gw_request *request,
    enum MHD_RequestTerminationCode code);

/* gateway_request.c: life cycle of a request */

struct gw_request *gw_request_new(struct gateway *gateway, const char *target);
/** Frees a request unless the server or the control thread still refers to
 * it. */
void gw_request_release(struct gw_request *request);
/** @param route NULL if it is not known
 * @param remaining_ms until the caller's deadline; 0 if unknown
 * @return how long a request may last */
uint32_t gw_time_limit_ms(const struct config_route *route,
    uint32_t remaining_ms);
/** Finds the route and account of a request. @return false if it was
 * refused */
bool gw_request_accept_head(struct gw_request *request);
/** Decides what to do with a fully received request. */
void gw_request_submit(struct gw_request *request);
/** Describes a request to the cores, but for its body and remaining time.
 * @param account NULL if none
 * @param hash of what identifies the request */
void gw_describe_request(const struct wire_request *head,
    const struct config_route *route, const struct config_account *account,
    uint64_t hash, struct dispatch_request *dispatch);
/** Requests a decision for the next attempt. */
void gw_request_decide(struct gw_request *request);
/** Starts the rejection hold that the decision asks for, if any. */
void gw_request_hold_account(struct gw_request *request);
/** Ends a request and records it in the metrics and the log. */
void gw_request_end(struct gw_request *request);
/** Ends a request whose caller has disconnected. */
void gw_request_disconnected(struct gw_request *request);
/** Ends a request that lasts longer than a drain, and tells the caller whether it
 * may have run. */
void gw_request_end_for_exit(struct gw_request *request);
/** Whether a request may be sent to an endpoint. */
enum gw_permission {
	GW_PERMISSION_GIVEN,
	GW_PERMISSION_LATE, /**< its deadline has passed */
	GW_PERMISSION_STOPPING, /**< it may last longer than this process */
	GW_PERMISSION_UNCONFIRMED, /**< its key may have been revoked */
	GW_PERMISSION_REVOKED
};

/** Checks again what may have changed since a request was accepted: this process
 * may have been suspended, and decisions and earlier attempts take time. */
enum gw_permission gw_request_check_permission(
    const struct gw_request *request);
/** Ends the request if its deadline has passed. */
void gw_request_check_deadline(struct gw_request *request, uint64_t now_ms);
/** Responds with an error, or aborts the response if it has begun.
 * @param retry_after_ms 0 for no Retry-After */
void gw_request_respond_error(struct gw_request *request, uint32_t status,
    const char *outcome, uint32_t retry_after_ms);

/* gateway_attempt.c: start and end of an attempt */

/** Starts an attempt or refuses the request, as decided. */
void gw_request_on_decision(struct gw_request *request);
/** Completes, retries or refuses a request whose attempt has ended. */
void gw_request_on_attempt_end(struct gw_request *request, CURLcode code);

/** Records the time to the first byte of the current attempt's response, and how
 * far its forecast was off. */
void gw_observe_first_byte(const struct gw_request *request);
/** Counts an attempt that was sent, and the bytes of its request and response, by
 * where its endpoint is. */
void gw_observe_attempt(const struct gw_request *request, uint64_t bytes);
/** @return outcome in the log of a request that is refused for a reason */
const char *gw_refusal_outcome(enum refuse_reason reason);
/** Logs the begin of a drain, and how late it is. */
void gw_observe_drain(const struct gateway *gateway);
/** Logs that a peer is about to stop. */
void gw_observe_peer_stop(uint64_t node_id,
    const struct drain_admission *admission, uint64_t now_ms);
/** Records the end of a request: its duration and its line in the log. */
void gw_observe_end(const struct gw_request *request);

/* gateway_transfer.c: transfers to endpoints */

gboolean gw_transfers_init(struct gateway *gateway);
void gw_transfers_finish(struct gateway *gateway);
/** Sends a request to the endpoint that the decision names. */
void gw_transfer_start(struct gw_request *request);
/** Aborts the current transfer, if any, and releases its resources. */
void gw_transfer_stop(struct gw_request *request);
/** @return whether any byte of the request may have been sent */
bool gw_transfer_was_sent(const struct gw_request *request);
/** @return round trip to the endpoint of the current transfer; 0 if unknown */
uint32_t gw_transfer_connect_us(const struct gw_request *request);
void gw_transfers_on_event(struct gateway *gateway, int fd, uint32_t events);
void gw_transfers_on_timer(struct gateway *gateway);
/** Handles the pending events of running streams. */
void gw_transfers_poll_streams(struct gateway *gateway);

/* gateway_headers.c: headers of requests and responses */

void gw_headers_clear(GArray *headers);
/** Drops the headers of a complete response head that are not relayed to the
 * caller. */
void gw_headers_filter_response(struct gw_request *request);
/** @return whether the server can send all headers: it refuses tabs */
bool gw_headers_are_sendable(const GArray *headers);
/** @return the headers to send to the endpoint; to be freed with
 * curl_slist_free_all() */
struct curl_slist *gw_headers_for_endpoint(struct gw_request *request);

#endif
