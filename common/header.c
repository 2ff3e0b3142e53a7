#include "common/header.h"

#include <glib.h>
#include <string.h>

/* Headers of one connection. */
static const char *const hop_names[] = { "connection", "keep-alive",
	"proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
	"trailer", "transfer-encoding", "upgrade", "content-length", "expect",
	NULL };
/* Set by each side for itself. */
static const char *const own_names[] = { "x-request-id", NULL };
/* An encoded answer could not be counted or cut at its events. */
static const char *const request_names[] = { "authorization", "host",
	"accept-encoding", NULL };
static const char *const answer_names[] = { "date", "server", NULL };

static bool
name_in(const char *const *names, const char *name)
{
	for (; *names != NULL; names++)
		if (g_ascii_strcasecmp(*names, name) == 0)
			return true;
	return false;
}

bool
header_is_hop(const char *name)
{
	return name_in(hop_names, name);
}

bool
header_is_named_by(const char *connection, const char *name)
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
passes(const char *name, const char *connection)
{
	return name[0] != '\0' && !header_is_hop(name) &&
	    !name_in(own_names, name) &&
	    g_ascii_strncasecmp(name, HEADER_INTERNAL_PREFIX,
		strlen(HEADER_INTERNAL_PREFIX)) != 0 &&
	    !header_is_named_by(connection, name);
}

bool
header_passes_to_endpoint(const char *name, const char *connection)
{
	return passes(name, connection) && !name_in(request_names, name);
}

bool
header_passes_to_caller(const char *name, const char *connection)
{
	return passes(name, connection) && !name_in(answer_names, name);
}
