/* Two tables, with a zero byte between, are read or rejected with a finding. */
#include <glib.h>
#include <string.h>

#include "common/table_json.h"
#include "fuzz.h"

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
	static struct findings findings;
	const uint8_t *zero = memchr(bytes, 0, length_bytes);
	size_t first = zero == NULL ? length_bytes : (size_t)(zero - bytes);
	char *routes = g_strndup((const char *)bytes, first);
	char *pools = zero == NULL
	    ? g_strdup("{\"rows\": []}")
	    : g_strndup((const char *)zero + 1, length_bytes - first - 1);
	struct tables tables;
	bool valid;

	findings_init(&findings);
	valid = table_json_read(routes, pools, &tables, &findings);
	FUZZ_CHECK(valid == (findings.total_count == 0));
	tables_finish(&tables);
	g_free(routes);
	g_free(pools);
	return 0;
}
