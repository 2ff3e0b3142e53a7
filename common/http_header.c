#include "common/http_header.h"

#include <glib.h>
#include <string.h>

#define STATUS_FINAL_MIN 200u
#define STATUS_MAX 599u

/* Headers that apply to a single connection. */
static const char *const hop_by_hop_names[] = { "connection", "keep-alive",
	"proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
	"trailer", "transfer-encoding", "upgrade", "content-length", "expect",
	NULL };
/* The daemon sets its own value for each direction. */
static const char *const regenerated_names[] = { "x-request-id", NULL };
/* Endpoints send uncompressed responses to requests without accept-encoding, so
 * that the events of a stream can be counted and separated. */
static const char *const dropped_request_names[] = { "authorization", "host",
	"accept-encoding", NULL };
static const char *const dropped_response_names[] = { "date", "server", NULL };

static bool
list_contains(const char *const *names, const char *name)
{
	for (; *names != NULL; names++)
		if (g_ascii_strcasecmp(*names, name) == 0)
			return true;
	return false;
}

bool
http_status_is_final(uint32_t status)
{
	return status >= STATUS_FINAL_MIN && status <= STATUS_MAX;
}

bool
http_header_is_hop_by_hop(const char *name)
{
	return list_contains(hop_by_hop_names, name);
}

bool
http_header_is_connection_option(const char *connection, const char *name)
{
	char **tokens;
	bool found = false;

	if (connection == NULL)
		return false;
	tokens = g_strsplit(connection, ",", -1);
	for (char **token = tokens; *token != NULL && !found; token++)
		found = g_ascii_strcasecmp(g_strstrip(*token), name) == 0;
	g_strfreev(tokens);
	return found;
}

static bool
is_forwarded(const char *name, const char *connection)
{
	return name[0] != '\0' && !http_header_is_hop_by_hop(name) &&
	    !list_contains(regenerated_names, name) &&
	    g_ascii_strncasecmp(name, HTTP_HEADER_INTERNAL_PREFIX,
		strlen(HTTP_HEADER_INTERNAL_PREFIX)) != 0 &&
	    !http_header_is_connection_option(connection, name);
}

bool
http_header_is_forwarded_to_endpoint(const char *name, const char *connection)
{
	return is_forwarded(name, connection) &&
	    !list_contains(dropped_request_names, name);
}

bool
http_header_is_forwarded_to_caller(const char *name, const char *connection)
{
	return is_forwarded(name, connection) &&
	    !list_contains(dropped_response_names, name);
}
