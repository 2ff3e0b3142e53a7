#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "common/digest.h"
#include "common/table_json.h"
}

namespace
{

std::string
read_findings(const char *routes, const char *pools)
{
	static struct findings findings;
	struct tables tables;
	std::string text;
	char line[512];

	findings_init(&findings);
	table_json_read(routes, pools, &tables, &findings);
	for (size_t i = 0; i < findings.count; i++) {
		finding_format(&findings.items[i], line, sizeof(line));
		text += std::string(line) + "\n";
	}
	tables_finish(&tables);
	return text;
}

const char POOLS[] = R"({"rows": [{"pool": "chat", "kind": "model",
    "endpoints": [{"address": "127.0.0.1:1"}]}]})";

std::string
routes_with(const std::string &rows)
{
	return "{\"rows\": [" + rows + "]}";
}

std::string
route_row(const char *account, const char *pool, const char *key,
    const char *path = "/v1")
{
	char digest[DIGEST_HEX_BYTES + 1];

	digest_sha256_hex(key, digest);
	return std::string("{\"account\":\"") + account + "\",\"path\":\"" +
	    path + "\",\"pool\":\"" + pool + "\",\"key_sha256\":[\"" + digest +
	    "\"]}";
}

} // namespace

TEST(Tables, ReportsAllFindingsTogether)
{
	std::string routes = routes_with(route_row("a", "chat", "k1") + "," +
	    route_row("a", "chat", "k1") + "," +
	    route_row("b", "nowhere", "k2") + ",{\"account\": 7, \"x\": 1}");

	EXPECT_EQ(read_findings(routes.c_str(), POOLS),
	    "routes: row 4: account must be a text\n"
	    "routes: row 4: unknown field x\n"
	    "routes: row 4: path is missing\n"
	    "routes: row 4: pool is missing\n"
	    "routes: row 4: key_sha256 is missing\n"
	    "routes: row 2: account a and path /v1 are listed twice, first "
	    "in row 1\n"
	    "routes: row 3: pool nowhere is not in the pools table\n"
	    "routes: row 4: pool  is not in the pools table\n"
	    "routes: row 4: path must begin with /\n");
}

TEST(Tables, ReportsThePositionOfASyntaxError)
{
	EXPECT_EQ(read_findings("{\"rows\": [", POOLS).rfind("routes:1:", 0),
	    0u);
}

TEST(Tables, RejectsAKeyOfTwoAccounts)
{
	std::string routes = routes_with(
	    route_row("a", "chat", "k") + "," + route_row("b", "chat", "k"));

	EXPECT_EQ(read_findings(routes.c_str(), POOLS),
	    "routes: row 2: account b has a key of account a in row 1\n");
}

TEST(Tables, MatchesTheLongestPrefixOfWholePathSegments)
{
	std::string routes = routes_with(route_row("a", "chat", "k", "/v1") +
	    "," + route_row("a", "chat", "k", "/v1/chat"));
	char digest[DIGEST_HEX_BYTES + 1], other_digest[DIGEST_HEX_BYTES + 1];
	static struct findings findings;
	const struct route *route;
	struct tables tables;

	findings_init(&findings);
	ASSERT_TRUE(table_json_read(routes.c_str(), POOLS, &tables, &findings));
	digest_sha256_hex("k", digest);
	digest_sha256_hex("x", other_digest);
	EXPECT_EQ(tables_match_route(&tables, digest, "/v1/chat/x", &route),
	    ROUTE_FOUND);
	EXPECT_STREQ(route->path, "/v1/chat");
	EXPECT_EQ(tables_match_route(&tables, digest, "/v1/chatter", &route),
	    ROUTE_FOUND);
	EXPECT_STREQ(route->path, "/v1");
	EXPECT_EQ(tables_match_route(&tables, digest, "/v2", &route),
	    ROUTE_NO_PATH);
	EXPECT_EQ(tables_match_route(&tables, other_digest, "/v1", &route),
	    ROUTE_UNKNOWN_KEY);
	tables_finish(&tables);
}
