#include "bamboorudderd/hook.h"

#include <string.h>

#include "common/codec.h"
#include "core/hash.h"

/* Where a message goes that no cut holds back. */
struct hook_receiver {
	struct hook *hook;
	peer_message_fn on_message;
	void *context;
};

void
hook_init(struct hook *hook)
{
	memset(hook, 0, sizeof(*hook));
	pthread_mutex_init(&hook->mutex, NULL);
	hook->cut_node_ids = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    g_free, NULL);
}

void
hook_finish(struct hook *hook)
{
	g_hash_table_destroy(hook->cut_node_ids);
	pthread_mutex_destroy(&hook->mutex);
}

static bool
peer_is_cut(struct hook *hook, uint64_t node_id)
{
	bool cut;

	pthread_mutex_lock(&hook->mutex);
	cut = hook->all_peers_cut ||
	    g_hash_table_contains(hook->cut_node_ids, &node_id);
	pthread_mutex_unlock(&hook->mutex);
	return cut;
}

static bool
platform_is_cut(struct hook *hook)
{
	bool cut;

	pthread_mutex_lock(&hook->mutex);
	cut = hook->platform_cut;
	pthread_mutex_unlock(&hook->mutex);
	return cut;
}

static bool
hook_send(struct peer *peer, const char *address, const void *bytes,
    size_t length_bytes)
{
	struct hook *hook = peer->context;

	if (peer_is_cut(hook, hash_name(address)))
		return false;
	return hook->peer.ops->send(&hook->peer, address, bytes, length_bytes);
}

static void
hook_receive(void *context, const void *bytes, size_t length_bytes)
{
	const struct hook_receiver *receiver = context;
	uint64_t from_node_id;

	if (codec_decode_sender(bytes, length_bytes, &from_node_id) &&
	    peer_is_cut(receiver->hook, from_node_id))
		return;
	receiver->on_message(receiver->context, bytes, length_bytes);
}

static void
hook_wait(struct peer *peer, int wake_fd, uint32_t timeout_ms,
    peer_message_fn on_message, void *context)
{
	struct hook *hook = peer->context;
	struct hook_receiver receiver = { hook, on_message, context };

	hook->peer.ops->wait(&hook->peer, wake_fd, timeout_ms, hook_receive,
	    &receiver);
}

static void
hook_forget(struct peer *peer, const char *address)
{
	struct hook *hook = peer->context;

	hook->peer.ops->disconnect(&hook->peer, address);
}

static void
hook_finish_peer(struct peer *peer)
{
	struct hook *hook = peer->context;

	hook->peer.ops->finish(&hook->peer);
}

void
hook_wrap_peer(struct hook *hook, struct peer *peer)
{
	static const struct peer_ops ops = { hook_send, hook_wait, hook_forget,
		hook_finish_peer };

	hook->peer = *peer;
	peer->ops = &ops;
	peer->context = hook;
}

/* Fails a call if the platform is cut off; @return true if so */
static bool
fail_if_cut(struct platform *platform, const char *name, GError **error)
{
	if (!platform_is_cut(platform->context))
		return false;
	g_set_error(error, PLATFORM_ERROR, PLATFORM_ERROR_UNREACHED,
	    "platform object %s: cut off by the test hook", name);
	return true;
}

static const struct platform_ops *
wrapped(const struct platform *platform)
{
	const struct hook *hook = platform->context;

	return hook->platform_ops;
}

static gboolean
hook_get(struct platform *platform, const char *name,
    struct platform_object *out, GError **error)
{
	return !fail_if_cut(platform, name, error) &&
	    wrapped(platform)->get(platform, name, out, error);
}

static gboolean
hook_put(struct platform *platform, const char *name, const char *text,
    uint64_t *version, GError **error)
{
	return !fail_if_cut(platform, name, error) &&
	    wrapped(platform)->put(platform, name, text, version, error);
}

static gboolean
hook_remove(struct platform *platform, const char *name, uint64_t version,
    GError **error)
{
	return !fail_if_cut(platform, name, error) &&
	    wrapped(platform)->remove(platform, name, version, error);
}

/* A watch that waits when the cut begins brings nothing more. */
static gboolean
hook_watch(struct platform *platform, const char *name, uint64_t after_version,
    uint32_t wait_ms, struct platform_object *out, GError **error)
{
	if (fail_if_cut(platform, name, error) ||
	    !wrapped(platform)->watch(platform, name, after_version, wait_ms,
		out, error))
		return FALSE;
	if (!fail_if_cut(platform, name, error))
		return TRUE;
	g_free(out->text);
	out->text = NULL;
	return FALSE;
}

static gboolean
hook_list(struct platform *platform, const char *prefix, char ***names,
    GError **error)
{
	return !fail_if_cut(platform, prefix, error) &&
	    wrapped(platform)->list(platform, prefix, names, error);
}

static gboolean
hook_instances(struct platform *platform, char **text, GError **error)
{
	return !fail_if_cut(platform, "instances", error) &&
	    wrapped(platform)->instances(platform, text, error);
}

void
hook_wrap_platform(struct hook *hook, struct platform *platform)
{
	static const struct platform_ops ops = { hook_get, hook_put,
		hook_remove, hook_watch, hook_list, hook_instances };

	hook->platform_ops = platform->ops;
	platform->ops = &ops;
	platform->context = hook;
}

void
hook_cut_peers(struct hook *hook, const char *addresses)
{
	char **list = g_strsplit(addresses, ",", -1);

	pthread_mutex_lock(&hook->mutex);
	for (char **address = list; *address != NULL; address++) {
		uint64_t node_id = hash_name(*address);

		if (strcmp(*address, HOOK_ALL_PEERS) == 0)
			hook->all_peers_cut = true;
		else
			g_hash_table_add(hook->cut_node_ids,
			    g_memdup2(&node_id, sizeof(node_id)));
	}
	pthread_mutex_unlock(&hook->mutex);
	g_strfreev(list);
}

void
hook_cut_platform(struct hook *hook)
{
	pthread_mutex_lock(&hook->mutex);
	hook->platform_cut = true;
	pthread_mutex_unlock(&hook->mutex);
}

void
hook_heal(struct hook *hook)
{
	pthread_mutex_lock(&hook->mutex);
	g_hash_table_remove_all(hook->cut_node_ids);
	hook->all_peers_cut = false;
	hook->platform_cut = false;
	pthread_mutex_unlock(&hook->mutex);
}
