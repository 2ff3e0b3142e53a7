/* A valid claim record is the same after it is written and read again. */
#include <glib.h>
#include <string.h>

#include "common/claim_json.h"
#include "fuzz.h"

static void
check_round_trip(const struct claim_record *record)
{
	struct claim_record decoded;
	char *text = claim_json_write(record);

	claim_record_init(&decoded);
	FUZZ_CHECK(claim_json_read(text, &decoded));
	FUZZ_CHECK(memcmp(&decoded.metadata, &record->metadata,
		       sizeof(decoded.metadata)) == 0);
	FUZZ_CHECK(decoded.node_id == record->node_id);
	FUZZ_CHECK(decoded.response.status == record->response.status);
	FUZZ_CHECK(
	    g_string_equal(decoded.response.headers, record->response.headers));
	FUZZ_CHECK(
	    g_string_equal(decoded.response.body, record->response.body));
	claim_record_finish(&decoded);
	free(text);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
	char *text = g_strndup((const char *)bytes, length_bytes);
	struct claim_record record;

	claim_record_init(&record);
	if (claim_json_read(text, &record))
		check_round_trip(&record);
	claim_record_finish(&record);
	g_free(text);
	return 0;
}
