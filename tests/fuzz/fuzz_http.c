/* A normalized path has no dot segments after decoding; the token hint of a
 * valid chat request is within its limit; header lookups accept any bytes. */
#include <glib.h>
#include <string.h>

#include "common/chat_request.h"
#include "common/http_header.h"
#include "common/path.h"
#include "fuzz.h"

#define TOKENS_MAX 1000u

static void
check_path(const char *path)
{
	char *decoded;

	if (!path_is_normalized(path))
		return;
	FUZZ_CHECK(path[0] == '/');
	decoded = g_uri_unescape_string(path, NULL);
	FUZZ_CHECK(decoded != NULL);
	FUZZ_CHECK(strstr(decoded, "/../") == NULL);
	FUZZ_CHECK(strstr(decoded, "//") == NULL);
	FUZZ_CHECK(!g_str_has_suffix(decoded, "/.."));
	FUZZ_CHECK(strchr(decoded, '%') == NULL);
	FUZZ_CHECK(strchr(decoded, '\\') == NULL);
	g_free(decoded);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
	char *text = g_strndup((const char *)bytes, length_bytes);
	uint32_t hint_tokens;

	check_path(text);
	if (chat_request_validate((const char *)bytes, length_bytes, TOKENS_MAX,
		&hint_tokens) == NULL)
		FUZZ_CHECK(hint_tokens <= TOKENS_MAX);
	FUZZ_CHECK(!http_header_is_forwarded_to_endpoint("X-Named", "x-named"));
	http_header_is_forwarded_to_endpoint(text, text);
	http_header_is_forwarded_to_caller("X-Name", text);
	g_free(text);
	return 0;
}
