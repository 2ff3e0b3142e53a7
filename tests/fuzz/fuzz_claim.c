/* A claim record that can be read comes back as it was, once written. */
#include <glib.h>
#include <string.h>

#include "common/claim_json.h"
#include "fuzz.h"

static void
check_again(const struct claim_record *record)
{
	struct claim_record again;
	char *text = claim_json_write(record);

	claim_record_init(&again);
	FUZZ_CHECK(claim_json_read(text, &again));
	FUZZ_CHECK(memcmp(&again.metadata, &record->metadata,
		       sizeof(again.metadata)) == 0);
	FUZZ_CHECK(again.node_id == record->node_id);
	FUZZ_CHECK(again.response.status == record->response.status);
	FUZZ_CHECK(
	    g_string_equal(again.response.headers, record->response.headers));
	FUZZ_CHECK(g_string_equal(again.response.body, record->response.body));
	claim_record_finish(&again);
	free(text);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
	char *text = g_strndup((const char *)bytes, length_bytes);
	struct claim_record record;

	claim_record_init(&record);
	if (claim_json_read(text, &record))
		check_again(&record);
	claim_record_finish(&record);
	g_free(text);
	return 0;
}
