/**
 * @file
 * Ends a listening socket without resetting a connection: CivetWeb closes its
 * listener while connections may still wait in the kernel's queue.
 */
#ifndef BAMBOORUDDERD_LISTENER_H
#define BAMBOORUDDERD_LISTENER_H

#include <stdbool.h>

/** A listening socket of this process; the socket belongs to the server. */
struct listener {
	int fd; /**< -1: not found */
};

/** Finds the listening socket bound to "ip:port". */
void listener_init(struct listener *listener, const char *address);

/**
 * Lets the kernel drop attempts to connect, so that the queue of accepted
 * connections runs dry. A caller tries again and is refused once the socket
 * is closed.
 * @return false if the kernel refused the filter
 */
bool listener_drop_syn(const struct listener *listener);

/** @return whether a connection waits to be accepted */
bool listener_has_pending(const struct listener *listener);

#endif
