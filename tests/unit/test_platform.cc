#include <gtest/gtest.h>
#include <jansson.h>

#include <string>
#include <vector>

extern "C" {
#include "core/hash.h"
#include "platform/decode.h"
#include "platform/wire.h"
}

namespace
{

json_t *
parse(const std::string &text)
{
	return json_loads(text.c_str(), JSON_DECODE_ANY, nullptr);
}

struct config_snapshot *
decode(const std::string &text)
{
	json_t *spec = parse(text);
	char *error = nullptr;
	struct config_snapshot *configuration = decode_configuration(spec,
	    &error);

	EXPECT_EQ(configuration == nullptr, error != nullptr);
	g_free(error);
	json_decref(spec);
	return configuration;
}

const char CONFIGURATION[] = R"({"version": 7, "routes": [
  {"name": "r1", "hostname": "A.example", "path_prefix": "/a/",
   "route_type": "streaming", "timeout_ms": 15000, "target_latency_ms": 800,
   "traffic_split": [{"backend": "p", "weight": 90},
                     {"backend": "q", "weight": 10}],
   "max_attempts": 2, "anonymous": false, "stream_resume": true},
  {"name": "r2", "hostname": "a.example", "path_prefix": "/a/b/",
   "route_type": "safe", "backend": "q", "anonymous": true, "new": [1]}],
 "backends": [
  {"name": "p", "runtime": {"batch_slots": 32, "kv_capacity": 588101}},
  {"name": "q"}],
 "limits": {"max_body_bytes": 100, "tokens_per_s": 480000},
 "tenants": [{"name": "t1", "api_keys": ["k1", "k2"], "priority": 1}]})";

TEST(Platform, DecodesConfiguration)
{
	struct config_snapshot *configuration = decode(CONFIGURATION);
	ASSERT_NE(configuration, nullptr);
	const config_route *route = config_snapshot_find_route(configuration,
	    "a.example", "/a/x");
	ASSERT_NE(route, nullptr);
	EXPECT_STREQ(route->name, "r1");
	EXPECT_EQ(route->request_kind, REQUEST_STREAM);
	EXPECT_EQ(route->attempts_max_count, 2u);
	EXPECT_TRUE(route->resumable);
	EXPECT_FALSE(route->anonymous);
	EXPECT_EQ(route->targets->len, 2u);
	EXPECT_STREQ(config_snapshot_find_route(configuration, "a.example",
			 "/a/b/c")
			 ->name,
	    "r2");
	EXPECT_EQ(config_snapshot_find_route(configuration, "a.example", "/b/"),
	    nullptr);
	EXPECT_EQ(config_snapshot_find_route(configuration, "b.example", "/a/"),
	    nullptr);
	EXPECT_STREQ(config_snapshot_find_account(configuration, "k2")->name,
	    "t1");
	EXPECT_EQ(config_snapshot_find_account(configuration, ""), nullptr);
	EXPECT_TRUE(
	    config_snapshot_find_pool(configuration, hash_name("p"))->engine);
	EXPECT_FALSE(
	    config_snapshot_find_pool(configuration, hash_name("q"))->engine);
	EXPECT_EQ(configuration->limits.body_max_bytes, 100u);
	config_snapshot_unref(configuration);
}

/* A figure that makes no sense is left out alone. */
TEST(Platform, DecodesTheRateOfColdEndpoints)
{
	const struct {
		const char *text;
		uint32_t thousandths;
	} cases[] = { { "12", 12000 }, { "0.25", 250 }, { "0", 0 }, { "-1", 0 },
		{ "1e300", 0 }, { "\"12\"", 0 }, { "null", 0 } };

	for (const auto &item : cases) {
		struct config_snapshot *configuration = decode(
		    std::string(R"({"version": 7, "routes": [],
 "backends": [{"name": "p", "cold_start_s": 3.5, "cold_per_s": )") +
		    item.text + "}]}");
		ASSERT_NE(configuration, nullptr);
		const config_pool *pool =
		    config_snapshot_find_pool(configuration, hash_name("p"));
		ASSERT_NE(pool, nullptr) << item.text;
		EXPECT_EQ(pool->cold_per_1000_s, item.thousandths) << item.text;
		EXPECT_EQ(pool->cold_start_ms, 3500u);
		config_snapshot_unref(configuration);
	}
}

TEST(Platform, SplitsRouteByWeight)
{
	struct config_snapshot *configuration = decode(CONFIGURATION);
	const config_route *route = config_snapshot_find_route(configuration,
	    "a.example", "/a/x");
	uint32_t first = 0;

	for (uint64_t hash = 0; hash < 1000; hash++)
		first += config_route_pick_pool(route, hash) == hash_name("p");
	EXPECT_EQ(first, 900u);
	config_snapshot_unref(configuration);
}

TEST(Platform, RejectsIncompleteConfiguration)
{
	for (const char *text :
	    { "5", "{}", R"({"routes": []})", R"({"version": 7, "routes": {}})",
		R"({"version": "7", "routes": []})" })
		EXPECT_EQ(decode(text), nullptr) << text;
	struct config_snapshot *configuration = decode(
	    R"({"version": 7, "routes": []})");
	ASSERT_NE(configuration, nullptr);
	EXPECT_EQ(configuration->left_out_count, 0u);
	config_snapshot_unref(configuration);
}

/* review/13: a configuration without accounts is not one without the field. */
TEST(Platform, KeysAreRequiredWhereTheConfigurationHasAFieldOfAccounts)
{
	const struct {
		const char *field;
		bool required;
		uint32_t left_out_count;
	} cases[] = { { "", false, 0 }, { ", \"tenants\": []", true, 0 },
		{ ", \"tenants\": {}", true, 1 },
		{ ", \"tenants\": null", true, 1 },
		{ ", \"tenants\": [7]", true, 1 },
		{ ", \"tenants\": [{\"name\": \"t\"}]", true, 0 } };

	for (const auto &item : cases) {
		struct config_snapshot *configuration = decode(
		    std::string(R"({"version": 7, "routes": [
		      {"hostname": "h", "path_prefix": "/a/", "backend": "p"},
		      {"hostname": "h", "path_prefix": "/b/", "backend": "p",
                       "anonymous": true}])") +
		    item.field + "}");
		ASSERT_NE(configuration, nullptr) << item.field;
		EXPECT_EQ(config_snapshot_needs_key(configuration,
			      config_snapshot_find_route(configuration, "h",
				  "/a/")),
		    item.required)
		    << item.field;
		EXPECT_FALSE(config_snapshot_needs_key(configuration,
		    config_snapshot_find_route(configuration, "h", "/b/")));
		EXPECT_EQ(configuration->left_out_count, item.left_out_count)
		    << item.field;
		config_snapshot_unref(configuration);
	}
}

/* A request without a key has the empty text where others have theirs. */
TEST(Platform, AnEmptyKeyIsNoKeyOfAnAccount)
{
	struct config_snapshot *configuration = decode(R"({"version": 7,
	  "routes": [], "tenants": [{"name": "t", "api_keys": ["", 7, "k"]}]})");

	ASSERT_NE(configuration, nullptr);
	EXPECT_EQ(config_snapshot_find_account(configuration, ""), nullptr);
	EXPECT_NE(config_snapshot_find_account(configuration, "k"), nullptr);
	EXPECT_EQ(configuration->left_out_count, 2u);
	config_snapshot_unref(configuration);
}

TEST(Platform, UnreadablePartsOfAConfigurationLeaveTheRestInForce)
{
	struct config_snapshot *configuration = decode(R"({"version": 7,
	  "routes": [{"hostname": "h"}, 5, {"hostname": "h", "path_prefix": "/a/",
	    "route_type": "new", "traffic_split": [{"weight": 1},
	      {"backend": "p", "weight": 1}]}],
	  "backends": [{}, {"name": "p"}],
	  "tenants": [{"api_keys": ["k1"]}, {"name": "t", "api_keys": ["k2"]}]})");
	ASSERT_NE(configuration, nullptr);
	EXPECT_EQ(configuration->left_out_count, 5u);
	EXPECT_EQ(config_snapshot_find_account(configuration, "k1"), nullptr);
	EXPECT_NE(config_snapshot_find_account(configuration, "k2"), nullptr);
	EXPECT_NE(config_snapshot_find_pool(configuration, hash_name("p")),
	    nullptr);
	const config_route *route = config_snapshot_find_route(configuration,
	    "h", "/a/b");
	ASSERT_NE(route, nullptr);
	EXPECT_EQ(route->request_kind, REQUEST_AT_MOST_ONCE);
	EXPECT_EQ(config_route_pick_pool(route, 0), hash_name("p"));
	config_snapshot_unref(configuration);
}

/* "a.a.a..." of a number of bytes */
std::string
long_name(size_t length_bytes)
{
	std::string name;

	while (name.size() < length_bytes)
		name += name.size() % 2 == 0 ? "a" : ".";
	return name;
}

TEST(Platform, LongNamesAreReadWhole)
{
	const std::string host = long_name(253);
	const std::string path = "/" + std::string(400, 'p') + "/";
	const std::string pool = std::string(300, 'q'), key(400, 'k');
	std::string targets;

	for (int i = 0; i < 40; i++)
		targets += R"({"backend": "other", "weight": 0},)";
	struct config_snapshot *configuration = decode(R"({"version": 7,
	  "routes": [{"name": ")" +
	    pool + R"(", "hostname": ")" + host + R"(", "path_prefix": ")" +
	    path + R"(", "route_type": "safe", "traffic_split": [)" + targets +
	    R"({"backend": ")" + pool + R"(", "weight": 1}]}],
	  "backends": [{"name": ")" +
	    pool + R"("}],
	  "tenants": [{"name": ")" +
	    pool + R"(", "api_keys": [")" + key + R"("]}]})");
	ASSERT_NE(configuration, nullptr);
	EXPECT_EQ(configuration->left_out_count, 0u);
	const config_route *route = config_snapshot_find_route(configuration,
	    host.c_str(), (path + "x").c_str());
	ASSERT_NE(route, nullptr);
	EXPECT_EQ(route->name, pool);
	EXPECT_EQ(config_route_pick_pool(route, 7), hash_name(pool.c_str()));
	EXPECT_NE(config_snapshot_find_pool(configuration,
		      hash_name(pool.c_str())),
	    nullptr);
	const config_account *account =
	    config_snapshot_find_account(configuration, key.c_str());
	ASSERT_NE(account, nullptr);
	EXPECT_EQ(account->name, pool);
	config_snapshot_unref(configuration);
}

bool
decode_endpoint_json(const std::string &text, dispatch_endpoint_info *info)
{
	json_t *spec = parse(text);
	bool decoded = decode_endpoint("i-1", spec, info);

	json_decref(spec);
	return decoded;
}

TEST(Platform, DecodesEndpoint)
{
	dispatch_endpoint_info info;

	ASSERT_TRUE(
	    decode_endpoint_json(R"({"backend": "p", "address": "1.2.3.4:5",
	    "zone": "z", "version": "v1", "batch_slots": 32,
	    "phase": "draining", "warmup_remaining_ms": 12.5, "sequence": 4,
	    "born": 99})",
		&info));
	EXPECT_STREQ(info.name, "i-1");
	EXPECT_EQ(info.pool_id, hash_name("p"));
	EXPECT_TRUE(info.leaving);
	EXPECT_EQ(info.slots, 32u);
	EXPECT_EQ(info.warmup_remaining_ms, 12u);
	EXPECT_EQ(info.process_start_ms, 99u);
}

TEST(Platform, RejectsMalformedEndpointEntry)
{
	const std::string head = R"({"backend": "p", "zone": "z", )";
	const std::string tail =
	    R"("phase": "ready", "warmup_remaining_ms": 0})";
	dispatch_endpoint_info info;

	EXPECT_TRUE(decode_endpoint_json(head +
		R"("address": "1.2.3.4:5", "batch_slots": 1, )" + tail,
	    &info));
	for (const char *middle : { R"("batch_slots": 1, )",
		 R"("address": "1.2.3.4", "batch_slots": 1, )",
		 R"("address": "host:5", "batch_slots": 1, )",
		 R"("address": "1.2.3.4:5", "batch_slots": "1", )",
		 R"("address": "1.2.3.4:5", "batch_slots": -1, )",
		 R"("address": 5, "batch_slots": 1, )",
		 R"("address": "1.2.3.4:0", "batch_slots": 1, )",
		 R"("address": "1.2.3.4:65536", "batch_slots": 1, )",
		 R"("address": "1.2.3.4:5x", "batch_slots": 1, )",
		 R"("address": "1.2.3.4:5/a", "batch_slots": 1, )" })
		EXPECT_FALSE(decode_endpoint_json(head + middle + tail, &info))
		    << middle;
	EXPECT_FALSE(decode_endpoint_json(head +
		R"("address": "1.2.3.4:5", "batch_slots": 1,
		"phase": "lost", "warmup_remaining_ms": 0})",
	    &info));
	EXPECT_FALSE(decode_endpoint_json("null", &info));
	EXPECT_FALSE(decode_endpoint_json("[]", &info));
}

using Headers = std::vector<std::pair<const char *, std::string>>;

struct ParsedRequest : wire_request {
	explicit ParsedRequest(const Headers &headers)
	{
		wire_request_init(this);
		for (const auto &[name, value] : headers)
			wire_parse_request_header(this, name, value.c_str());
	}

	~ParsedRequest()
	{
		wire_request_finish(this);
	}

	ParsedRequest(const ParsedRequest &) = delete;
	ParsedRequest &operator=(const ParsedRequest &) = delete;
};

TEST(Platform, LongHostsAndKeysOfRequestsAreReadWhole)
{
	const std::string host = long_name(253), key(400, 'k');
	ParsedRequest request(Headers{ { "Host", host + ":8080" },
	    { "X-Bamboorudder-Credential", key } });

	EXPECT_EQ(request.host, host);
	EXPECT_EQ(request.key, key);
}

TEST(Platform, ParsesRequestHeaders)
{
	ParsedRequest request(Headers{ { "host", "A.Example:80" },
	    { "x-bamboorudder-request-id", "9c41" },
	    { "X-Bamboorudder-Token-Count", "1460,80" },
	    { "X-Bamboorudder-Length-Hint", "40" },
	    { "X-Bamboorudder-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410" },
	    { "X-Bamboorudder-Deadline-Ms", "15000" } });

	EXPECT_STREQ(request.host, "a.example");
	EXPECT_STREQ(request.request_id, "9c41");
	EXPECT_EQ(request.prompt_tokens, 1460u);
	EXPECT_EQ(request.response_max_tokens, 80u);
	EXPECT_EQ(request.response_tokens, 40u);
	ASSERT_EQ(request.segments_count, 2u);
	EXPECT_EQ(request.segments[1].segment_id, 0x91bd3f06u);
	EXPECT_EQ(request.segments[1].tokens, 410u);
	EXPECT_EQ(request.remaining_ms, 15000u);
}

TEST(Platform, IgnoresMalformedRequestHeaderValues)
{
	ParsedRequest request(Headers{ { "X-Bamboorudder-Token-Count", "x" },
	    { "X-Bamboorudder-Prompt-Prefix", "1:2,zz,3:4" },
	    { "X-Bamboorudder-Deadline-Ms", "-5" } });

	EXPECT_EQ(request.prompt_tokens, 0u);
	EXPECT_EQ(request.segments_count, 1u);
	EXPECT_EQ(request.remaining_ms, 0u);
}

TEST(Platform, DropsReservedHeadersOfCallers)
{
	for (const char *name : { "X-Bamboorudder-Credential",
		 "x-bamboorudder-tenant", "X-Bamboorudder-Kv-Retention",
		 "X-Bamboorudder-Pin-Ms", "X-Bamboorudder-Kv-Backup", "Kv-From",
		 "Kv-Fetch", "Transfer-Encoding", "Connection" })
		EXPECT_FALSE(wire_forwards_to_endpoint(name, nullptr, false))
		    << name;
	EXPECT_TRUE(
	    wire_forwards_to_endpoint("X-Bamboorudder-Model", nullptr, false));
	EXPECT_TRUE(wire_forwards_to_endpoint("Last-Event-Id", nullptr, false));
	EXPECT_FALSE(wire_forwards_to_endpoint("Last-Event-Id", nullptr, true));
}

TEST(Platform, DropsConnectionHeadersButNotPlatformHeaders)
{
	const char connection[] = "close, X-Hop,X-Bamboorudder-Request-Id, "
				  "Last-Event-Id";

	EXPECT_FALSE(wire_forwards_to_endpoint("x-hop", connection, false));
	EXPECT_FALSE(wire_forwards_to_caller("x-hop", connection));
	EXPECT_TRUE(wire_forwards_to_endpoint("X-Other", connection, false));
	EXPECT_TRUE(wire_forwards_to_endpoint("X-Bamboorudder-Request-Id",
	    connection, false));
	EXPECT_TRUE(
	    wire_forwards_to_endpoint("Last-Event-Id", connection, false));
}

TEST(Platform, ResponseMatchesOnlyItsOwnRequest)
{
	ParsedRequest request(Headers{ { "X-Bamboorudder-Request-Id", "a" } });
	wire_response response = {};

	EXPECT_FALSE(wire_response_matches(&response, &request));
	wire_parse_response_header(&response,
	    "X-Bamboorudder-Replica-Signature", "s");
	wire_parse_response_header(&response, "X-Bamboorudder-Request-Id", "a");
	EXPECT_TRUE(wire_response_matches(&response, &request));
	wire_parse_response_header(&response, "X-Bamboorudder-Request-Id", "b");
	EXPECT_FALSE(wire_response_matches(&response, &request));
}

TEST(Wire, ReadsThePaceOfAnEngineFromItsLoad)
{
	const std::vector<std::pair<const char *, uint32_t>> loads = {
		{ "3, 1, 48, 250", 250 },
		{ "3,1,48,100.5", 100 },
		{ "3, 1, 48", 0 },
		{ "", 0 },
		{ "3, 1, 48, ", 0 },
		{ "3, 1, 48, -5", 0 },
		{ "3, 1, 48, nan", 0 },
		{ "3, 1, 48, 1e300", 2000 },
		{ "3, 1, 48, 250x", 0 },
	};

	for (const auto &load : loads) {
		wire_response response = {};

		wire_parse_response_header(&response,
		    "X-Bamboorudder-Replica-Load", load.first);
		EXPECT_EQ(response.pace_percent, load.second) << load.first;
	}
}

} // namespace
