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
	struct fault_injector *injector = get_fault_injector(request);
	char peers[CUT_QUERY_MAX_BYTES], platform[2];

	if (injector == NULL)
		return;
	if (admin_get_value(request, "peers", peers, sizeof(peers)))
		fault_injector_block_peers(injector, peers);
	if (admin_get_value(request, "platform", platform, sizeof(platform)))
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
