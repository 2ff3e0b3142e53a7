/*
 * Keys that a configuration takes away hold nowhere, also if it has no key, no
 * account or none that can be read any more.
 */
#include "gateway_fixture.h"

using namespace e2e;

namespace
{

const std::vector<RouteSpec> keyed_routes = {
	{ "/keyed/", "safe", 2, false },
};
const std::string LIST_START = ",\"tenants\":";

/** A configuration whose field of accounts holds any text, or is missing. */
std::string
configuration_with(uint64_t version, const std::string &accounts_text)
{
	std::string text = configuration_json(version, keyed_routes);
	size_t start = text.rfind(LIST_START);

	text.erase(start, text.size() - 1 - start);
	if (!accounts_text.empty())
		text.insert(start, LIST_START + accounts_text);
	return text;
}

class GatewayKeys : public Gateway,
		    public ::testing::WithParamInterface<std::string>
{
      protected:
	void put_accounts(uint64_t version, const std::string &accounts_text)
	{
		harness.store.put("config", "main",
		    configuration_with(version, accounts_text));
	}

	void start_with(const std::string &accounts_text)
	{
		first_endpoint.set_script(
		    count_and_respond(&first_request_count));
		put_accounts(3, accounts_text);
		harness.add_endpoint("e1", first_endpoint);
		ASSERT_TRUE(eventually([&] {
			return harness.is_ready() && harness.discovered("e1");
		})) << harness.daemon->log();
	}

	bool in_force(uint64_t version)
	{
		return eventually([&] {
			return harness.daemon->log().find(
				   "event=configuration_in_force version=" +
				   std::to_string(version)) !=
			    std::string::npos;
		});
	}

	Response ask(const std::vector<std::string> &headers = {})
	{
		return harness.send("GET", "/keyed/", headers);
	}

	Response ask_with(const std::string &key)
	{
		return ask({ "X-Bamboorudder-Credential: " + key });
	}
};

/* review/13: a list that was empty opened the routes to everybody. */
TEST_P(GatewayKeys, NoneIsAcceptedWhereNoAccountIsLeft)
{
	start_with("[{\"name\":\"desk\",\"api_keys\":[\"k1\"]}]");
	ASSERT_EQ(ask_with("k1").status, 200);
	put_accounts(4, GetParam());
	ASSERT_TRUE(in_force(4));
	EXPECT_EQ(ask_with("k1").status, 401);
	EXPECT_EQ(ask_with("never-held").status, 401);
	EXPECT_EQ(ask_with("").status, 401);
	EXPECT_EQ(ask().status, 401);
	EXPECT_EQ(first_request_count, 1);
}

INSTANTIATE_TEST_SUITE_P(Lists, GatewayKeys,
    ::testing::Values("[]", "{}", "null", "7", "\"desk\"", "[\"desk\"]",
	"[{\"name\":7,\"api_keys\":[\"k1\"]}]", "[{\"api_keys\":[\"k1\"]}]",
	"[{\"name\":\"desk\",\"api_keys\":[]}]",
	"[{\"name\":\"desk\",\"api_keys\":[7]}]",
	"[{\"name\":\"desk\",\"api_keys\":\"k1\"}]",
	"[{\"name\":\"desk\",\"api_keys\":[\"\"]}]"));

TEST_F(GatewayKeys, NoneIsNeededWithoutTheField)
{
	start_with("");
	EXPECT_EQ(ask().status, 200);
	EXPECT_EQ(ask_with("any").status, 200);
	put_accounts(4, "[]");
	ASSERT_TRUE(in_force(4));
	EXPECT_EQ(ask().status, 401);
	put_accounts(5, "");
	ASSERT_TRUE(in_force(5));
	EXPECT_EQ(ask().status, 200);
}

/* The configuration before the change accepted the request without a key. */
TEST_F(GatewayKeys, AreAskedForAgainBeforeAnotherAttempt)
{
	auto break_now = std::make_shared<std::atomic<bool>>(false);
	auto break_off = [this, break_now](Connection &, const std::string &) {
		first_request_count++;
		for (int i = 0; i < 600 && !*break_now; i++)
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(5));
	};
	Response response;

	start_with("");
	first_endpoint.set_script(break_off);
	second_endpoint.set_script(break_off);
	harness.add_endpoint("e2", second_endpoint);
	ASSERT_TRUE(eventually([&] { return harness.discovered("e2"); }));
	std::thread caller([&] { response = ask(); });
	EXPECT_TRUE(eventually([&] { return first_request_count == 1; }));
	put_accounts(4, "[]");
	EXPECT_TRUE(in_force(4));
	*break_now = true;
	caller.join();
	EXPECT_EQ(response.status, 502) << response.body;
	EXPECT_EQ(first_request_count, 1);
}

} // namespace
