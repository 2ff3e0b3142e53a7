/**
 * @file
 * Drains the accept queue of a listening socket. CivetWeb closes its listening
 * socket even if connections are pending in the kernel's accept queue, which
 * resets them.
 */
#ifndef BAMBOORUDDERD_LISTENER_H
#define BAMBOORUDDERD_LISTENER_H

#include <stdbool.h>

/** A listening socket of this process; owned by the HTTP server. */
struct listener {
	int fd; /**< -1 if not found */
};

/** Finds the listening socket that is bound to an "ip:port" address. */
void listener_init(struct listener *listener, const char *address);

/**
 * Makes the kernel drop new SYN packets, so that the accept queue runs empty.
 * Clients retransmit the SYN and get a reset once the socket is closed.
 * @return false if the socket filter could not be attached
 */
bool listener_drop_syn(const struct listener *listener);

/** @return true if a connection is waiting to be accepted */
bool listener_has_pending(const struct listener *listener);

#endif
