/* Tables are either valid or rejected with at least one finding. The input is
 * the routes table, a zero byte and the pools table. */
#include <glib.h>
#include <string.h>

#include "common/table_json.h"
#include "fuzz.h"

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
	static struct findings findings;
	const uint8_t *separator = memchr(bytes, 0, length_bytes);
	size_t routes_bytes = separator == NULL ? length_bytes
						: (size_t)(separator - bytes);
	char *routes = g_strndup((const char *)bytes, routes_bytes);
	char *pools = separator == NULL ? g_strdup("{\"rows\": []}")
					: g_strndup((const char *)separator + 1,
					      length_bytes - routes_bytes - 1);
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
