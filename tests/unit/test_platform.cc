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
	EXPECT_EQ(route->targets_count, 2u);
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
	for (const char *text : { "5", "{}", R"({"routes": []})",
		 R"({"version": "7", "routes": []})",
		 R"({"version": 7, "routes": [{"hostname": "h"}]})",
		 R"({"version": 7, "routes": [], "backends": [{}]})" })
		EXPECT_EQ(decode(text), nullptr) << text;
	struct config_snapshot *configuration = decode(
	    R"({"version": 7, "routes": []})");
	EXPECT_NE(configuration, nullptr);
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

wire_request
parse_request(const std::vector<std::pair<const char *, const char *>> &headers)
{
	wire_request request = {};

	for (const auto &[name, value] : headers)
		wire_parse_request_header(&request, name, value);
	return request;
}

TEST(Platform, ParsesRequestHeaders)
{
	wire_request request = parse_request({ { "host", "A.Example:80" },
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
	wire_request request = parse_request(
	    { { "X-Bamboorudder-Token-Count", "x" },
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
	wire_request request = parse_request(
	    { { "X-Bamboorudder-Request-Id", "a" } });
	wire_response response = {};

	EXPECT_FALSE(wire_response_matches(&response, &request));
	wire_parse_response_header(&response,
	    "X-Bamboorudder-Replica-Signature", "s");
	wire_parse_response_header(&response, "X-Bamboorudder-Request-Id", "a");
	EXPECT_TRUE(wire_response_matches(&response, &request));
	wire_parse_response_header(&response, "X-Bamboorudder-Request-Id", "b");
	EXPECT_FALSE(wire_response_matches(&response, &request));
}

} // namespace
