/* Whatever the store or a head holds, decoding ends, and what it gives is
 * within the types' bounds. */
#include <glib.h>
#include <string.h>

#include "fuzz.h"
#include "platform/decode.h"
#include "platform/wire.h"

static void
fuzz_objects(const char *bytes, size_t length_bytes)
{
	json_t *spec = json_loadb(bytes, length_bytes, JSON_DECODE_ANY, NULL);
	struct dispatch_endpoint_info listing;
	struct config_snapshot *configuration;
	char *error = NULL;

	if (spec == NULL)
		return;
	configuration = decode_configuration(spec, &error);
	FUZZ_CHECK((configuration == NULL) == (error != NULL));
	if (configuration != NULL) {
		config_snapshot_find_route(configuration, "a.example", "/a/b");
		config_snapshot_unref(configuration);
	}
	g_free(error);
	if (decode_endpoint("e1", spec, &listing))
		FUZZ_CHECK(listing.address[0] != '\0' && listing.pool_id != 0);
	json_decref(spec);
}

/* Lines of NAME: VALUE. */
static void
fuzz_heads(const char *bytes, size_t length_bytes)
{
	char *text = g_strndup(bytes, length_bytes);
	char **lines = g_strsplit(text, "\n", 64);
	struct wire_request request = { 0 };
	struct wire_response reply = { 0 };

	for (char **line = lines; *line != NULL; line++) {
		char *colon = strchr(*line, ':');
		if (colon == NULL)
			continue;
		*colon = '\0';
		wire_parse_request_header(&request, *line, colon + 1);
		wire_parse_response_header(&reply, *line, colon + 1);
		wire_forwards_to_endpoint(*line, colon + 1, true);
		wire_forwards_to_caller(*line, reply.connection);
	}
	FUZZ_CHECK(request.segments_count <= PROMPT_SEGMENTS_MAX_COUNT);
	FUZZ_CHECK(strlen(request.host) < sizeof(request.host));
	FUZZ_CHECK(strlen(request.key) < sizeof(request.key));
	wire_response_matches(&reply, &request);
	g_strfreev(lines);
	g_free(text);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
	fuzz_objects((const char *)bytes, length_bytes);
	fuzz_heads((const char *)bytes, length_bytes);
	return 0;
}
