#include <string.h>

#include "bamboorudderd/gateway_private.h"
#include "common/log.h"
#include "common/metric.h"

#define STREAM_BLOCK_BYTES 8192u
/* Share of the connection limit above which responses close connections. */
#define KEEP_ALIVE_MAX_PERCENT 25u
#define TEXT_BYTES 24
/* Memory of the server for each header, cookie and argument of a request, besides
 * its text. */
#define VALUE_RECORD_BYTES 80u
/* The server may take this much more than a long head needs. */
#define RECEIVE_STEP_BYTES 2048u
/* Status line, and the headers that the server and this daemon add. */
#define OWN_HEADERS_BYTES 512u
/* Room for a response without which no request is passed on. */
#define RESPONSE_ROOM_MIN_BYTES 4096u
/* Colon, space and line end of a header. */
#define HEADER_SEPARATORS_BYTES 4u

size_t
gw_request_head_bytes(const struct gw_request *request)
{
	return MHD_get_connection_info(request->connection,
	    MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)
	    ->header_size;
}

/* Adds the memory that the server keeps for a value of the request. */
static enum MHD_Result
add_value_bytes(void *context, enum MHD_ValueKind kind, const char *name,
    const char *value)
{
	size_t *bytes = context;

	*bytes += VALUE_RECORD_BYTES;
	/* the server keeps a copy of cookies, and trailers beside the head */
	if (kind == MHD_FOOTER_KIND ||
	    (kind == MHD_HEADER_KIND &&
		g_ascii_strcasecmp(name, "Cookie") == 0))
		*bytes += strlen(name) + (value == NULL ? 0 : strlen(value)) +
		    HEADER_SEPARATORS_BYTES;
	return MHD_YES;
}

/* @return how long the head of a response may be for the server to have memory
 * for it, whatever bytes of the next request the server has read */
static size_t
room_bytes(const struct gw_request *request)
{
	static const enum MHD_ValueKind kinds[] = { MHD_HEADER_KIND,
		MHD_COOKIE_KIND, MHD_GET_ARGUMENT_KIND, MHD_FOOTER_KIND };
	/* at first the server takes half of the memory to receive into */
	size_t received_bytes = MAX(GW_CONNECTION_MEMORY_BYTES / 2,
	    gw_request_head_bytes(request) + RECEIVE_STEP_BYTES);
	size_t used_bytes = received_bytes + OWN_HEADERS_BYTES;

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		MHD_get_connection_values(request->connection, kinds[i],
		    add_value_bytes, &used_bytes);
	return GW_CONNECTION_MEMORY_BYTES -
	    MIN(used_bytes, GW_CONNECTION_MEMORY_BYTES);
}

bool
gw_response_has_room(const struct gw_request *request)
{
	return room_bytes(request) >= RESPONSE_ROOM_MIN_BYTES;
}

bool
gw_response_head_fits(const struct gw_request *request)
{
	size_t bytes = 0;

	for (guint i = 0; i < request->endpoint_headers->len; i++) {
		const struct gw_header *header =
		    &g_array_index(request->endpoint_headers, struct gw_header,
			i);
		bytes += strlen(header->name) + strlen(header->value) +
		    HEADER_SEPARATORS_BYTES;
	}
	return bytes <= RESPONSE_ROOM_MIN_BYTES || bytes <= room_bytes(request);
}

static ssize_t
read_response(void *context, uint64_t position, char *buffer, size_t max_bytes)
{
	struct gw_request *request = context;
	size_t unsent_bytes = request->response_bytes->len -
	    request->response_offset;
	size_t length = MIN(unsent_bytes, max_bytes);

	(void)position;
	if (request->disconnected)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (length > 0) {
		memcpy(buffer,
		    request->response_bytes->data + request->response_offset,
		    length);
		request->response_offset += length;
		if (request->response_offset == request->response_bytes->len) {
			g_byte_array_set_size(request->response_bytes, 0);
			request->response_offset = 0;
			gw_memory_update(request);
		}
		return (ssize_t)length;
	}
	if (request->response_aborted)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (request->response_complete)
		return MHD_CONTENT_READER_END_OF_STREAM;
	/* relayed events resume the connection */
	gw_suspend(request);
	return 0;
}

static struct MHD_Response *
make_response(struct gw_request *request)
{
	if (request->streaming)
		return MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
		    STREAM_BLOCK_BYTES, read_response, request, NULL);
	/* the request outlasts the response */
	return MHD_create_response_from_buffer(request->response_bytes->len,
	    request->response_bytes->data, MHD_RESPMEM_PERSISTENT);
}

static bool
must_close_connection(const struct gw_request *request)
{
	const struct gateway *gateway = request->gateway;

	return gateway->draining || request->close_connection ||
	    request->caller->close_after || gateway->handoff.passing ||
	    gateway->connections_count * 100 >
	    gateway->settings->connections_max_count * KEEP_ALIVE_MAX_PERCENT;
}

/* @return whether the server takes all headers */
static bool
add_headers(const struct gw_request *request, struct MHD_Response *response)
{
	for (guint i = 0; i < request->response_headers->len; i++) {
		const struct gw_header *header =
		    &g_array_index(request->response_headers, struct gw_header,
			i);
		/* the server refuses empty values; blanks belong to none */
		const char *value = header->value[0] == '\0' ? " "
							     : header->value;

		if (MHD_add_response_header(response, header->name, value) ==
		    MHD_NO)
			return false;
	}
	return true;
}

enum MHD_Result
gw_response_queue(struct gw_request *request)
{
	struct MHD_Response *response = make_response(request);
	enum MHD_Result result = MHD_NO;

	if (must_close_connection(request))
		MHD_add_response_header(response, "Connection", "close");
	/* a response without one of its headers is not the endpoint's */
	if (add_headers(request, response))
		result = MHD_queue_response(request->connection,
		    request->status, response);
	MHD_destroy_response(response);
	return result;
}

static const char *const unsent_reasons[] = {
	[MHD_REQUEST_TERMINATED_COMPLETED_OK] = "-",
	[MHD_REQUEST_TERMINATED_WITH_ERROR] = "server_error",
	[MHD_REQUEST_TERMINATED_TIMEOUT_REACHED] = "timeout",
	[MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN] = "shutdown",
	[MHD_REQUEST_TERMINATED_READ_ERROR] = "read_error",
	[MHD_REQUEST_TERMINATED_CLIENT_ABORT] = "caller_left",
};

void
gw_response_check_sent(const struct gw_request *request,
    enum MHD_RequestTerminationCode code)
{
	char status[TEXT_BYTES];

	if (code == MHD_REQUEST_TERMINATED_COMPLETED_OK ||
	    !request->head_received || request->state != GW_STATE_ENDED ||
	    request->response_aborted)
		return;
	metric_add(METRIC_RESPONSES_UNSENT, 1);
	g_snprintf(status, TEXT_BYTES, "%u", request->status);
	log_event(request->disconnected ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
	    "response_unsent", "id", request->head.request_id, "outcome",
	    request->outcome, "status", status, "reason",
	    request->disconnected ? "caller_left" : unsent_reasons[code], NULL);
}
