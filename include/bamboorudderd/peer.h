/**
 * @file
 * Transport of encoded messages between daemons, as a table of functions.
 * They are called on the control thread only.
 */
#ifndef BAMBOORUDDERD_PEER_H
#define BAMBOORUDDERD_PEER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define PEER_ERROR (peer_error_quark())
GQuark peer_error_quark(void);

struct peer;

/** Receives a message; the bytes are valid during the call only. */
typedef void (
    *peer_message_fn)(void *context, const void *bytes, size_t length_bytes);

struct peer_ops {
	/** Sends without blocking. @return false if the message was dropped */
	bool (*send)(struct peer *peer, const char *address, const void *bytes,
	    size_t length_bytes);
	/** Waits for messages or until wake_fd is readable, for at most
	 * timeout_ms, and calls on_message for each message. */
	void (*wait)(struct peer *peer, int wake_fd, uint32_t timeout_ms,
	    peer_message_fn on_message, void *context);
	/** Closes the connection to a daemon that is down. */
	void (*disconnect)(struct peer *peer, const char *address);
	void (*finish)(struct peer *peer);
};

struct peer {
	const struct peer_ops *ops;
	void *context;
};

/** Address and keys of the ZeroMQ transport; keys in Z85, or "". */
struct peer_zmq_config {
	const char *address;
	const char *public_key;
	const char *secret_key;
};

/** Size of a key in Z85, including the terminating NUL. */
#define PEER_KEY_TEXT_BYTES 41u

/**
 * Generates the key pair that all daemons of a fleet share.
 * @return false if the library lacks support for encryption
 */
bool peer_generate_keys(char public_key[PEER_KEY_TEXT_BYTES],
    char secret_key[PEER_KEY_TEXT_BYTES]);

/** Initialises the transport over ZeroMQ and binds its address. */
gboolean peer_init_zmq(struct peer *peer, const struct peer_zmq_config *config,
    GError **error);

#endif
