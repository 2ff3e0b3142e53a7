/**
 * @file
 * Rules for statuses, and for the header fields that the daemon forwards in either
 * direction.
 */
#ifndef COMMON_HTTP_HEADER_H
#define COMMON_HTTP_HEADER_H

#include <stdbool.h>
#include <stdint.h>

/** Prefix of the headers that only daemons and endpoints may set; they are not
 * forwarded. */
#define HTTP_HEADER_INTERNAL_PREFIX "Bamboorudder-"

/** @return whether a status is that of a final response; other numbers are as good as
 * no response */
bool http_status_is_final(uint32_t status);

/** @return whether a header applies to a single connection only */
bool http_header_is_hop_by_hop(const char *name);

/**
 * @param connection value of the Connection header, or NULL
 * @return whether the Connection header lists a header, which makes that one
 *     hop-by-hop too
 */
bool http_header_is_connection_option(const char *connection, const char *name);

/**
 * @param connection value of the request's Connection header, or NULL
 * @return whether a caller's header is forwarded to the endpoint
 */
bool http_header_is_forwarded_to_endpoint(const char *name,
    const char *connection);

/**
 * @param connection value of the response's Connection header, or NULL
 * @return whether an endpoint's header is forwarded to the caller
 */
bool http_header_is_forwarded_to_caller(const char *name,
    const char *connection);

#endif
