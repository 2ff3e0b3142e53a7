#include <string.h>

#include "bamboorudderd/gateway_private.h"

static void
header_finish(struct gw_header *header)
{
	g_free(header->name);
	g_free(header->value);
}

void
gw_headers_clear(GArray *headers)
{
	for (guint i = 0; i < headers->len; i++)
		header_finish(&g_array_index(headers, struct gw_header, i));
	g_array_set_size(headers, 0);
}

/* Needs the complete head, as its Connection header may list any other one. */
void
gw_headers_filter_response(struct gw_request *request)
{
	GArray *headers = request->endpoint_headers;

	for (guint i = headers->len; i-- > 0;) {
		struct gw_header *header = &g_array_index(headers,
		    struct gw_header, i);
		if (wire_forwards_to_caller(header->name,
			request->endpoint_response.connection))
			continue;
		header_finish(header);
		g_array_remove_index(headers, i);
	}
}

bool
gw_headers_are_sendable(const GArray *headers)
{
	for (guint i = 0; i < headers->len; i++)
		if (strchr(g_array_index(headers, struct gw_header, i).value,
			'\t') != NULL)
			return false;
	return true;
}

static void
add_header(void *context, const char *name, const char *value)
{
	struct curl_slist **list = context;
	/* libcurl sends an empty header for "Name;" and omits it for "Name:" */
	char *line = value[0] == '\0' ? g_strdup_printf("%s;", name)
				      : g_strdup_printf("%s: %s", name, value);

	*list = curl_slist_append(*list, line);
	g_free(line);
}

struct forward_context {
	struct curl_slist *list;
	const char *connection; /**< the caller's Connection header, or NULL */
	bool resumes;
	bool content_type;
	bool accept;
};

static enum MHD_Result
forward_header(void *context, enum MHD_ValueKind kind, const char *name,
    const char *value)
{
	struct forward_context *forward = context;

	(void)kind;
	if (!wire_forwards_to_endpoint(name, forward->connection,
		forward->resumes))
		return MHD_YES;
	forward->content_type |= g_ascii_strcasecmp(name, "Content-Type") == 0;
	forward->accept |= g_ascii_strcasecmp(name, "Accept") == 0;
	add_header(&forward->list, name, value == NULL ? "" : value);
	return MHD_YES;
}

struct curl_slist *
gw_headers_for_endpoint(struct gw_request *request)
{
	uint64_t now_ms = gw_now_ms(request->gateway);
	struct forward_context forward = {
		.list = curl_slist_append(NULL, "Expect:"),
		.connection = MHD_lookup_connection_value(request->connection,
		    MHD_HEADER_KIND, "Connection"),
		.resumes = request->sse.last_event_id[0] != '\0',
	};
	struct wire_forward added = {
		.endpoint_name = request->decision.name,
		.account_name = request->account == NULL
		    ? NULL
		    : request->account->name,
		.resume_after = forward.resumes ? request->sse.last_event_id
						: NULL,
		.remaining_ms = request->deadline_ms > now_ms
		    ? (uint32_t)(request->deadline_ms - now_ms)
		    : 1,
	};

	MHD_get_connection_values(request->connection, MHD_HEADER_KIND,
	    forward_header, &forward);
	if (!forward.content_type)
		forward.list = curl_slist_append(forward.list, "Content-Type:");
	if (!forward.accept)
		forward.list = curl_slist_append(forward.list, "Accept:");
	wire_add_forward_headers(&added, add_header, &forward.list);
	return forward.list;
}
