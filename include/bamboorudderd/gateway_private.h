/**
 * @file
 * What the files of the traffic thread share.
 */
#ifndef BAMBOORUDDERD_GATEWAY_PRIVATE_H
#define BAMBOORUDDERD_GATEWAY_PRIVATE_H

#include "bamboorudderd/gateway.h"

/** Retry-After where nothing tells when there will be room. */
#define GW_RETRY_AFTER_MS 500u

uint64_t gw_now_ms(const struct gateway *gateway);

/** Adds a file descriptor to the event loop. */
void gw_source_add(struct gateway *gateway, struct gw_event_source *source,
    uint32_t events);

/* gateway_load.c: whether the loop keeps up */

void gw_load_start(struct gateway *gateway);
/** The loop waited for so long. */
void gw_load_add_idle(struct gateway *gateway, uint64_t idle_us);
/** To be called every 50 ms. */
void gw_load_check(struct gateway *gateway, uint64_t now_ms);

/* gateway_mail.c: between the traffic thread and the control thread */

void gw_mailbox_post(struct gateway *gateway,
    void (*run)(struct gateway *, void *), void *context);
void gw_mailbox_run(struct gateway *gateway);
extern const struct feed_sink_ops gw_feed_sink;

/** Asks the control thread where a request runs. */
void gw_dispatch_decide(struct gw_request *request);
/** Tells the control thread of an attempt's first token. */
void gw_dispatch_first_token(struct gw_request *request);
/** Tells the control thread that an attempt ended. */
void gw_dispatch_done(struct gw_request *request,
    enum dispatch_outcome outcome);

/* gateway_front.c: the server's side */

gboolean gw_server_init(struct gateway *gateway, GError **error);
void gw_server_finish(struct gateway *gateway);
/** Sees from now on whether the caller leaves. */
void gw_caller_watch(struct gw_request *request);
/** Makes the server go on with a request. */
void gw_resume(struct gw_request *request);

/* gateway_request.c: the way of one request */

struct gw_request *gw_request_new(struct gateway *gateway, const char *target);
/** Frees a request once the server and the control thread let go of it. */
void gw_request_release(struct gw_request *request);
/** Nothing more of the request is to be read. */
void gw_request_received(struct gw_request *request);
/** Checks the head. @return false if the request is refused */
bool gw_request_accept_head(struct gw_request *request);
/** The whole request was read. */
void gw_request_submit(struct gw_request *request);
/** Asks where the next attempt runs. */
void gw_request_decide(struct gw_request *request);
/** Refuses what the request's account sends for as long as the decision says. */
void gw_request_hold_account(struct gw_request *request);
/** The answer is complete, or there will be none. */
void gw_request_end(struct gw_request *request);
/** The caller left. */
void gw_request_disconnected(struct gw_request *request);
/** Ends what is past its time. */
void gw_request_check_deadline(struct gw_request *request, uint64_t now_ms);
/** Answers with an error of the daemon's own; retry_after_ms 0: none. */
void gw_request_refuse(struct gw_request *request, uint32_t status,
    const char *outcome, uint32_t retry_after_ms);

/* gateway_attempt.c: what follows from a decision and from an attempt's end */

/** The control thread decided. */
void gw_request_on_decision(struct gw_request *request);
/** An attempt ended. */
void gw_request_on_attempt_end(struct gw_request *request, CURLcode code);

/** Counts the time until the first byte of the current attempt's answer. */
void gw_observe_first_byte(const struct gw_request *request);

/* gateway_call.c: the endpoints' side */

gboolean gw_transfers_init(struct gateway *gateway);
void gw_transfers_finish(struct gateway *gateway);
/** Sends a request to the endpoint that was decided. */
void gw_transfer_start(struct gw_request *request);
/** Ends the transfer, if one runs, and frees what it holds. */
void gw_transfer_stop(struct gw_request *request);
/** @return whether a byte of the request may have left */
bool gw_transfer_was_sent(struct gw_request *request);
void gw_transfers_on_event(struct gateway *gateway, int fd, uint32_t events);
void gw_transfers_on_timer(struct gateway *gateway);
/** Looks at the streams that run. */
void gw_transfers_poll_streams(struct gateway *gateway);

/* gateway_headers.c: headers on their way in either direction */

void gw_headers_clear(GArray *headers);
/** The head of an answer is complete: drops what does not go on to the caller. */
void gw_headers_filter_response(struct gw_request *request);
/** @return the headers for the endpoint; belongs to the caller */
struct curl_slist *gw_headers_for_endpoint(struct gw_request *request);

#endif
