#include <stdlib.h>

#include "bamboorudderd/admin.h"
#include "bamboorudderd/admin_operation.h"
#include "bamboorudderd/explain.h"

#define VALUE_MAX_BYTES 1024

void
admin_get_explain(const struct admin_request *request)
{
	char host[VALUE_MAX_BYTES], path[VALUE_MAX_BYTES];
	char account[VALUE_MAX_BYTES], tokens[VALUE_MAX_BYTES];
	char segments[VALUE_MAX_BYTES], body_bytes[VALUE_MAX_BYTES];
	struct explain_question question = { .host = host,
		.path = path,
		.account = account };
	json_t *answer;

	admin_get_value(request, "host", host, sizeof(host));
	admin_get_value(request, "path", path, sizeof(path));
	admin_get_value(request, "account", account, sizeof(account));
	admin_get_value(request, "tokens", tokens, sizeof(tokens));
	admin_get_value(request, "segments", segments, sizeof(segments));
	admin_get_value(request, "body_bytes", body_bytes, sizeof(body_bytes));
	question.body_bytes = (uint32_t)strtoul(body_bytes, NULL, 10);
	wire_request_init(&question.head);
	wire_parse_prompt(&question.head, tokens, segments);
	answer = control_explain(request->admin->control, &question);
	wire_request_finish(&question.head);
	if (json_object_get(answer, "unknown") == NULL) {
		response_send_json(request->connection, 200, answer);
		return;
	}
	json_decref(answer);
	admin_send_error(request, 404, "unknown_request",
	    "the host and path have no route, or the account is unknown",
	    RUN_NOT_RUN, NULL);
}
