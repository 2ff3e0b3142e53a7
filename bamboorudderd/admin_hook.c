#include <string.h>

#include "bamboorudderd/admin.h"
#include "bamboorudderd/admin_call.h"

#define CUT_QUERY_MAX_BYTES 4096

/* The test hook, or NULL after an answer if it is off. */
static struct hook *
hook_of(const struct admin_request *request)
{
	struct hook *hook = request->admin->control->hook;

	if (hook == NULL)
		admin_send_error(request, 404, "no_such_path",
		    "test.hooks is off", RUN_NOT_RUN, NULL);
	return hook;
}

void
admin_post_cut(const struct admin_request *request)
{
	const char *query = mg_get_request_info(request->connection)
				->query_string;
	size_t length_bytes = query == NULL ? 0 : strlen(query);
	struct hook *hook = hook_of(request);
	char peers[CUT_QUERY_MAX_BYTES], platform[2];

	if (hook == NULL)
		return;
	if (mg_get_var(query, length_bytes, "peers", peers, sizeof(peers)) > 0)
		hook_cut_peers(hook, peers);
	if (mg_get_var(query, length_bytes, "platform", platform,
		sizeof(platform)) > 0)
		hook_cut_platform(hook);
	reply_send_json(request->connection, 200,
	    json_pack("{s:s}", "status", "cut"));
}

void
admin_post_heal(const struct admin_request *request)
{
	struct hook *hook = hook_of(request);

	if (hook == NULL)
		return;
	hook_heal(hook);
	reply_send_json(request->connection, 200,
	    json_pack("{s:s}", "status", "healed"));
}
