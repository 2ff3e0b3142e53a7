#include "bamboorudderd/fault_injector.h"

#include <string.h>

#include "common/codec.h"
#include "core/hash.h"

/* Receiver of the messages that are not dropped. */
struct filtered_receiver {
	struct fault_injector *injector;
	peer_message_fn on_message;
	void *context;
};

void
fault_injector_init(struct fault_injector *injector)
{
	memset(injector, 0, sizeof(*injector));
	pthread_mutex_init(&injector->mutex, NULL);
	injector->blocked_node_ids = g_hash_table_new_full(g_int64_hash,
	    g_int64_equal, g_free, NULL);
}

void
fault_injector_finish(struct fault_injector *injector)
{
	g_hash_table_destroy(injector->blocked_node_ids);
	pthread_mutex_destroy(&injector->mutex);
}

static bool
peer_is_blocked(struct fault_injector *injector, uint64_t node_id)
{
	bool blocked;

	pthread_mutex_lock(&injector->mutex);
	blocked = injector->all_peers_blocked ||
	    g_hash_table_contains(injector->blocked_node_ids, &node_id);
	pthread_mutex_unlock(&injector->mutex);
	return blocked;
}

static bool
platform_is_blocked(struct fault_injector *injector)
{
	bool blocked;

	pthread_mutex_lock(&injector->mutex);
	blocked = injector->platform_blocked;
	pthread_mutex_unlock(&injector->mutex);
	return blocked;
}

static bool
injector_send(struct peer *peer, const char *address, const void *bytes,
    size_t length_bytes)
{
	struct fault_injector *injector = peer->context;

	if (peer_is_blocked(injector, hash_name(address)))
		return false;
	return injector->wrapped_peer.ops->send(&injector->wrapped_peer,
	    address, bytes, length_bytes);
}

static void
injector_receive(void *context, const void *bytes, size_t length_bytes)
{
	const struct filtered_receiver *receiver = context;
	uint64_t from_node_id;

	if (codec_decode_sender(bytes, length_bytes, &from_node_id) &&
	    peer_is_blocked(receiver->injector, from_node_id))
		return;
	receiver->on_message(receiver->context, bytes, length_bytes);
}

static void
injector_wait(struct peer *peer, int wake_fd, uint32_t timeout_ms,
    peer_message_fn on_message, void *context)
{
	struct fault_injector *injector = peer->context;
	struct filtered_receiver receiver = { injector, on_message, context };

	injector->wrapped_peer.ops->wait(&injector->wrapped_peer, wake_fd,
	    timeout_ms, injector_receive, &receiver);
}

static void
injector_disconnect(struct peer *peer, const char *address)
{
	struct fault_injector *injector = peer->context;

	injector->wrapped_peer.ops->disconnect(&injector->wrapped_peer,
	    address);
}

static void
injector_finish_peer(struct peer *peer)
{
	struct fault_injector *injector = peer->context;

	injector->wrapped_peer.ops->finish(&injector->wrapped_peer);
}

void
fault_injector_wrap_peer(struct fault_injector *injector, struct peer *peer)
{
	static const struct peer_ops ops = { injector_send, injector_wait,
		injector_disconnect, injector_finish_peer };

	injector->wrapped_peer = *peer;
	peer->ops = &ops;
	peer->context = injector;
}

/* @return true and sets error if the platform is blocked */
static bool
fail_if_blocked(struct platform *platform, const char *name, GError **error)
{
	if (!platform_is_blocked(platform->context))
		return false;
	g_set_error(error, PLATFORM_ERROR, PLATFORM_ERROR_UNREACHED,
	    "platform object %s: cut off by the test hook", name);
	return true;
}

static const struct platform_ops *
wrapped_ops(const struct platform *platform)
{
	const struct fault_injector *injector = platform->context;

	return injector->wrapped_platform_ops;
}

static gboolean
injector_get(struct platform *platform, const char *name,
    struct platform_object *out, GError **error)
{
	return !fail_if_blocked(platform, name, error) &&
	    wrapped_ops(platform)->get(platform, name, out, error);
}

static gboolean
injector_put(struct platform *platform, const char *name, const char *text,
    uint64_t *version, GError **error)
{
	return !fail_if_blocked(platform, name, error) &&
	    wrapped_ops(platform)->put(platform, name, text, version, error);
}

static gboolean
injector_remove(struct platform *platform, const char *name, uint64_t version,
    GError **error)
{
	return !fail_if_blocked(platform, name, error) &&
	    wrapped_ops(platform)->remove(platform, name, version, error);
}

/* Fails also if the platform was blocked during the watch. */
static gboolean
injector_watch(struct platform *platform, const char *name,
    uint64_t after_version, uint32_t wait_ms, struct platform_object *out,
    GError **error)
{
	if (fail_if_blocked(platform, name, error) ||
	    !wrapped_ops(platform)->watch(platform, name, after_version,
		wait_ms, out, error))
		return FALSE;
	if (!fail_if_blocked(platform, name, error))
		return TRUE;
	g_free(out->text);
	out->text = NULL;
	return FALSE;
}

static gboolean
injector_list(struct platform *platform, const char *prefix, char ***names,
    GError **error)
{
	return !fail_if_blocked(platform, prefix, error) &&
	    wrapped_ops(platform)->list(platform, prefix, names, error);
}

static gboolean
injector_instances(struct platform *platform, char **text, GError **error)
{
	return !fail_if_blocked(platform, "instances", error) &&
	    wrapped_ops(platform)->instances(platform, text, error);
}

void
fault_injector_wrap_platform(struct fault_injector *injector,
    struct platform *platform)
{
	static const struct platform_ops ops = { injector_get, injector_put,
		injector_remove, injector_watch, injector_list,
		injector_instances };

	injector->wrapped_platform_ops = platform->ops;
	platform->ops = &ops;
	platform->context = injector;
}

void
fault_injector_block_peers(struct fault_injector *injector,
    const char *addresses)
{
	char **list = g_strsplit(addresses, ",", -1);

	pthread_mutex_lock(&injector->mutex);
	for (char **address = list; *address != NULL; address++) {
		uint64_t node_id = hash_name(*address);

		if (strcmp(*address, FAULT_INJECTOR_ALL_PEERS) == 0)
			injector->all_peers_blocked = true;
		else
			g_hash_table_add(injector->blocked_node_ids,
			    g_memdup2(&node_id, sizeof(node_id)));
	}
	pthread_mutex_unlock(&injector->mutex);
	g_strfreev(list);
}

void
fault_injector_block_platform(struct fault_injector *injector)
{
	pthread_mutex_lock(&injector->mutex);
	injector->platform_blocked = true;
	pthread_mutex_unlock(&injector->mutex);
}

void
fault_injector_heal(struct fault_injector *injector)
{
	pthread_mutex_lock(&injector->mutex);
	g_hash_table_remove_all(injector->blocked_node_ids);
	injector->all_peers_blocked = false;
	injector->platform_blocked = false;
	pthread_mutex_unlock(&injector->mutex);
}
