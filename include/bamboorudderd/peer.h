/**
 * @file
 * Transport of encoded messages between daemons, as a table of functions.
 * All functions belong to the control thread.
 */
#ifndef BAMBOORUDDERD_PEER_H
#define BAMBOORUDDERD_PEER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define PEER_ERROR (peer_error_quark())
GQuark peer_error_quark(void);

struct peer;

/** Called for each message received. */
typedef void (
    *peer_message_fn)(void *context, const void *bytes, size_t length_bytes);

struct peer_ops {
	/** Sends without waiting. @return false if the message was dropped */
	bool (*send)(struct peer *peer, const char *address, const void *bytes,
	    size_t length_bytes);
	/** Waits for messages or for wake_fd to be readable, at most
	 * timeout_ms, and hands each message over. */
	void (*wait)(struct peer *peer, int wake_fd, uint32_t timeout_ms,
	    peer_message_fn on_message, void *context);
	/** Closes the connection to a daemon that is gone. */
	void (*disconnect)(struct peer *peer, const char *address);
	void (*finish)(struct peer *peer);
};

struct peer {
	const struct peer_ops *ops;
	void *context;
};

/** Address and keys of the ZeroMQ transport; keys in Z85, "" for none. */
struct peer_zmq_config {
	const char *address;
	const char *public_key;
	const char *secret_key;
};

#define PEER_KEY_TEXT_BYTES 41u /**< a key in Z85, with its end */

/**
 * Makes a pair of keys for a fleet.
 * @return false if the library can't
 */
bool peer_generate_keys(char public_key[PEER_KEY_TEXT_BYTES],
    char secret_key[PEER_KEY_TEXT_BYTES]);

/** Initialises the transport over ZeroMQ and binds its address. */
gboolean peer_init_zmq(struct peer *peer, const struct peer_zmq_config *config,
    GError **error);

#endif
