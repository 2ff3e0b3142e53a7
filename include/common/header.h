/**
 * @file
 * Which HTTP headers pass through the daemon, in either direction.
 */
#ifndef COMMON_HEADER_H
#define COMMON_HEADER_H

#include <stdbool.h>

/** Prefix of the headers that only daemons and endpoints may set. */
#define HEADER_INTERNAL_PREFIX "Bamboorudder-"

/** @return whether a header concerns one connection only */
bool header_is_hop(const char *name);

/** @return whether a message's Connection header, or NULL, names a header */
bool header_is_named_by(const char *connection, const char *name);

/**
 * @param connection value of the message's Connection header, or NULL
 * @return whether a caller's header goes on to the endpoint
 */
bool header_passes_to_endpoint(const char *name, const char *connection);

/** @return whether an endpoint's header goes on to the caller */
bool header_passes_to_caller(const char *name, const char *connection);

#endif
