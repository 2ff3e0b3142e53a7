/**
 * @file
 * Which HTTP headers pass through the daemon, in either direction.
 */
#ifndef COMMON_HTTP_HEADER_H
#define COMMON_HTTP_HEADER_H

#include <stdbool.h>

/** Prefix of the headers that only daemons and endpoints may set. */
#define HTTP_HEADER_INTERNAL_PREFIX "Bamboorudder-"

/** @return whether a header concerns one connection only */
bool http_header_is_hop_by_hop(const char *name);

/** @return whether a message's Connection header, or NULL, names a header */
bool http_header_is_connection_option(const char *connection, const char *name);

/**
 * @param connection value of the message's Connection header, or NULL
 * @return whether a caller's header goes on to the endpoint
 */
bool http_header_is_forwarded_to_endpoint(const char *name,
    const char *connection);

/** @return whether an endpoint's header goes on to the caller */
bool http_header_is_forwarded_to_caller(const char *name,
    const char *connection);

#endif
