#include "bamboorudderd/peer.h"

#include <poll.h>
#include <string.h>
#include <zmq.h>

#include "common/codec.h"
#include "common/metric.h"

#define LINGER_MS 200
#define RECONNECT_MIN_MS 50
#define RECONNECT_MAX_MS 1000
#define QUEUE_MAX_COUNT 2000
#define HANDSHAKE_MAX_MS 2000
#define KEY_Z85_LENGTH 40u
#define KEY_BYTES 32u
#define ZAP_FRAMES_MAX_COUNT 8
#define MESSAGES_PER_WAIT_COUNT 256

/* Context of a struct peer. */
struct zmq_peer {
	void *zmq_context;
	void *router;
	void *zap_socket; /* receives key checks (ZAP); NULL without keys */
	/* edge-triggered: once readable, all messages must be received */
	int router_fd;
	int zap_fd; /* -1 without keys */
	bool router_pending; /* the router may hold messages */
	GHashTable *dealers; /* address to socket */
	char public_key[KEY_Z85_LENGTH + 1];
	char secret_key[KEY_Z85_LENGTH + 1];
	uint8_t public_key_bytes[KEY_BYTES];
};

GQuark
peer_error_quark(void)
{
	return g_quark_from_static_string("peer-error");
}

bool
peer_generate_keys(char public_key[PEER_KEY_TEXT_BYTES],
    char secret_key[PEER_KEY_TEXT_BYTES])
{
	return zmq_curve_keypair(public_key, secret_key) == 0;
}

static void
set_int_option(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void
set_socket_limits(void *socket)
{
	set_int_option(socket, ZMQ_LINGER, LINGER_MS);
	set_int_option(socket, ZMQ_SNDHWM, QUEUE_MAX_COUNT);
	set_int_option(socket, ZMQ_RCVHWM, QUEUE_MAX_COUNT);
	set_int_option(socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
	set_int_option(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	set_int_option(socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_MAX_MS);
}

static void
set_socket_keys(const struct zmq_peer *state, void *socket, bool server)
{
	if (state->zap_socket == NULL)
		return;
	if (server) {
		set_int_option(socket, ZMQ_CURVE_SERVER, 1);
		zmq_setsockopt(socket, ZMQ_ZAP_DOMAIN, "fleet", 5);
	} else {
		zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, state->public_key,
		    KEY_Z85_LENGTH + 1);
		zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, state->public_key,
		    KEY_Z85_LENGTH + 1);
	}
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, state->secret_key,
	    KEY_Z85_LENGTH + 1);
}

static void
dealer_free(gpointer socket)
{
	zmq_close(socket);
}

static void *
dealer_for(struct zmq_peer *state, const char *address)
{
	void *socket = g_hash_table_lookup(state->dealers, address);
	char *url;

	if (socket != NULL)
		return socket;
	socket = zmq_socket(state->zmq_context, ZMQ_DEALER);
	if (socket == NULL)
		return NULL;
	set_socket_limits(socket);
	set_socket_keys(state, socket, false);
	url = g_strdup_printf("tcp://%s", address);
	if (zmq_connect(socket, url) != 0) {
		zmq_close(socket);
		socket = NULL;
	} else
		g_hash_table_insert(state->dealers, g_strdup(address), socket);
	g_free(url);
	return socket;
}

static bool
zmq_peer_send(struct peer *peer, const char *address, const void *bytes,
    size_t length_bytes)
{
	void *socket = dealer_for(peer->context, address);

	if (socket == NULL ||
	    zmq_send(socket, bytes, length_bytes, ZMQ_DONTWAIT) < 0)
		return false;
	metric_add(METRIC_PEER_MESSAGES_SENT, 1);
	metric_add(METRIC_PEER_SENT_BYTES, length_bytes);
	return true;
}

/* Handles one key check of the library (ZAP, RFC 27): only connections with the
 * public key of the fleet are accepted. Frame 1 of the check is its id, which
 * the response repeats, and frame 6 the public key. */
static void
handle_key_check(struct zmq_peer *state)
{
	zmq_msg_t frames[ZAP_FRAMES_MAX_COUNT];
	const char *status_code;
	int count = 0, more = 1;
	bool authorized;

	while (more && count < ZAP_FRAMES_MAX_COUNT) {
		zmq_msg_init(&frames[count]);
		if (zmq_msg_recv(&frames[count], state->zap_socket, 0) < 0)
			break;
		more = zmq_msg_more(&frames[count]);
		count++;
	}
	authorized = count >= 7 && zmq_msg_size(&frames[6]) == KEY_BYTES &&
	    memcmp(zmq_msg_data(&frames[6]), state->public_key_bytes,
		KEY_BYTES) == 0;
	status_code = authorized ? "200" : "400";
	if (!authorized)
		metric_add(METRIC_PEER_STRANGERS, 1);
	zmq_send(state->zap_socket, "1.0", 3, ZMQ_SNDMORE);
	zmq_send(state->zap_socket, count > 1 ? zmq_msg_data(&frames[1]) : "",
	    count > 1 ? zmq_msg_size(&frames[1]) : 0, ZMQ_SNDMORE);
	zmq_send(state->zap_socket, status_code, 3, ZMQ_SNDMORE);
	zmq_send(state->zap_socket, "", 0, ZMQ_SNDMORE);
	zmq_send(state->zap_socket, "", 0, ZMQ_SNDMORE);
	zmq_send(state->zap_socket, "", 0, 0);
	while (count > 0)
		zmq_msg_close(&frames[--count]);
}

/* Receives one message, whose frames are the sender's identity and the payload.
 * @return false if there was none */
static bool
receive_message(struct zmq_peer *state, peer_message_fn on_message,
    void *context)
{
	zmq_msg_t frame;
	int index = 0, more = 1;

	while (more) {
		zmq_msg_init(&frame);
		if (zmq_msg_recv(&frame, state->router, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&frame);
			return false;
		}
		more = zmq_msg_more(&frame);
		if (index++ == 1 && !more) {
			metric_add(METRIC_PEER_MESSAGES_RECEIVED, 1);
			metric_add(METRIC_PEER_RECEIVED_BYTES,
			    zmq_msg_size(&frame));
			on_message(context, zmq_msg_data(&frame),
			    zmq_msg_size(&frame));
		}
		zmq_msg_close(&frame);
	}
	return true;
}

/* Receives the pending messages, up to a limit per call. */
static void
receive_pending(struct zmq_peer *state, peer_message_fn on_message,
    void *context)
{
	state->router_pending = true;
	for (int i = 0; i < MESSAGES_PER_WAIT_COUNT && state->router_pending;
	     i++)
		state->router_pending = receive_message(state, on_message,
		    context);
}

static bool
has_key_check(const struct zmq_peer *state)
{
	int events = 0;
	size_t length = sizeof(events);

	return zmq_getsockopt(state->zap_socket, ZMQ_EVENTS, &events,
		   &length) == 0 &&
	    (events & ZMQ_POLLIN) != 0;
}

/* Uses poll(), as zmq_poll() would query the state of each socket at every
 * wake-up, although most wake-ups only concern wake_fd. */
static void
zmq_peer_wait(struct peer *peer, int wake_fd, uint32_t timeout_ms,
    peer_message_fn on_message, void *context)
{
	struct zmq_peer *state = peer->context;
	struct pollfd fds[] = {
		{ wake_fd, POLLIN, 0 },
		{ state->router_fd, POLLIN, 0 },
		{ state->zap_fd, POLLIN, 0 },
	};

	if (poll(fds, G_N_ELEMENTS(fds),
		state->router_pending ? 0 : (int)timeout_ms) < 0)
		return;
	while (fds[2].revents != 0 && has_key_check(state))
		handle_key_check(state);
	if (fds[1].revents != 0 || state->router_pending)
		receive_pending(state, on_message, context);
}

static void
zmq_peer_disconnect(struct peer *peer, const char *address)
{
	struct zmq_peer *state = peer->context;

	g_hash_table_remove(state->dealers, address);
}

static void
zmq_peer_finish(struct peer *peer)
{
	struct zmq_peer *state = peer->context;

	g_hash_table_destroy(state->dealers);
	if (state->router != NULL)
		zmq_close(state->router);
	if (state->zap_socket != NULL)
		zmq_close(state->zap_socket);
	zmq_ctx_term(state->zmq_context);
	g_free(state);
	peer->context = NULL;
}

static int
socket_fd(void *socket)
{
	int fd = -1;
	size_t length = sizeof(fd);

	zmq_getsockopt(socket, ZMQ_FD, &fd, &length);
	return fd;
}

static gboolean
load_keys(struct zmq_peer *state, const struct peer_zmq_config *config,
    GError **error)
{
	if (config->public_key[0] == '\0')
		return TRUE;
	if (strlen(config->public_key) != KEY_Z85_LENGTH ||
	    strlen(config->secret_key) != KEY_Z85_LENGTH ||
	    zmq_z85_decode(state->public_key_bytes, config->public_key) ==
		NULL) {
		g_set_error(error, PEER_ERROR, 0,
		    "peer keys must be texts of 40 bytes in Z85");
		return FALSE;
	}
	g_strlcpy(state->public_key, config->public_key, KEY_Z85_LENGTH + 1);
	g_strlcpy(state->secret_key, config->secret_key, KEY_Z85_LENGTH + 1);
	state->zap_socket = zmq_socket(state->zmq_context, ZMQ_REP);
	set_int_option(state->zap_socket, ZMQ_LINGER, 0);
	state->zap_fd = socket_fd(state->zap_socket);
	if (zmq_bind(state->zap_socket, "inproc://zeromq.zap.01") == 0)
		return TRUE;
	g_set_error(error, PEER_ERROR, 0, "key check: %s",
	    zmq_strerror(zmq_errno()));
	return FALSE;
}

static gboolean
bind_router(struct zmq_peer *state, const char *address, GError **error)
{
	char *url = g_strdup_printf("tcp://%s", address);
	int64_t max_bytes = CODEC_MESSAGE_MAX_BYTES;
	int result;

	state->router = zmq_socket(state->zmq_context, ZMQ_ROUTER);
	set_socket_limits(state->router);
	zmq_setsockopt(state->router, ZMQ_MAXMSGSIZE, &max_bytes,
	    sizeof(max_bytes));
	set_socket_keys(state, state->router, true);
	state->router_fd = socket_fd(state->router);
	state->router_pending = true;
	result = zmq_bind(state->router, url);
	if (result != 0)
		g_set_error(error, PEER_ERROR, 0, "bind %s: %s", url,
		    zmq_strerror(zmq_errno()));
	g_free(url);
	return result == 0;
}

gboolean
peer_init_zmq(struct peer *peer, const struct peer_zmq_config *config,
    GError **error)
{
	static const struct peer_ops ops = { zmq_peer_send, zmq_peer_wait,
		zmq_peer_disconnect, zmq_peer_finish };
	struct zmq_peer *state = g_new0(struct zmq_peer, 1);

	peer->ops = &ops;
	peer->context = state;
	state->router_fd = -1;
	state->zap_fd = -1;
	state->zmq_context = zmq_ctx_new();
	state->dealers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
	    dealer_free);
	if (load_keys(state, config, error) &&
	    bind_router(state, config->address, error))
		return TRUE;
	zmq_peer_finish(peer);
	return FALSE;
}
