#include <string.h>

#include "bamboorudderd/admin.h"
#include "bamboorudderd/admin_operation.h"

#define CUT_QUERY_MAX_BYTES 4096

/* @return NULL after an error response if test.hooks is false */
static struct fault_injector *
get_fault_injector(const struct admin_request *request)
{
	struct fault_injector *injector = request->admin->control
					      ->fault_injector;

	if (injector == NULL)
		admin_send_error(request, 404, "no_such_path",
		    "test.hooks is off", RUN_NOT_RUN, NULL);
	return injector;
}

void
admin_post_cut(const struct admin_request *request)
{
	const char *query = mg_get_request_info(request->connection)
				->query_string;
	size_t length_bytes = query == NULL ? 0 : strlen(query);
	struct fault_injector *injector = get_fault_injector(request);
	char peers[CUT_QUERY_MAX_BYTES], platform[2];

	if (injector == NULL)
		return;
	if (mg_get_var(query, length_bytes, "peers", peers, sizeof(peers)) > 0)
		fault_injector_block_peers(injector, peers);
	if (mg_get_var(query, length_bytes, "platform", platform,
		sizeof(platform)) > 0)
		fault_injector_block_platform(injector);
	response_send_json(request->connection, 200,
	    json_pack("{s:s}", "status", "cut"));
}

void
admin_post_heal(const struct admin_request *request)
{
	struct fault_injector *injector = get_fault_injector(request);

	if (injector == NULL)
		return;
	fault_injector_heal(injector);
	response_send_json(request->connection, 200,
	    json_pack("{s:s}", "status", "healed"));
}
