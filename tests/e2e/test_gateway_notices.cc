#include "gateway_fixture.h"

using namespace e2e;

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Requests for this time are on their way when the endpoint says that it wants
 * none. */
constexpr milliseconds IN_FLIGHT(500);
constexpr milliseconds WAIT(2500);

std::string
not_run(const std::string &request, const std::string &retry_after)
{
	return response_text(request, "", "503 Service Unavailable",
	    "X-Bamboorudder-Not-Executed: 1\r\nRetry-After: " + retry_after +
		"\r\n");
}

/** Counts requests, and says that the endpoint leaves. */
ScriptedEndpoint::Script
respond_leaving(std::atomic<int> *count)
{
	return [count](Connection &connection, const std::string &request) {
		(*count)++;
		connection.send_text(response_text(request, "first", "200 OK",
		    "Server-Leaving: 1\r\n"));
	};
}

class GatewayNotices : public Gateway
{
      protected:
	void add_second()
	{
		second_endpoint.set_script(
		    count_and_respond(&second_request_count, "second"));
		harness.add_endpoint("e2", second_endpoint);
		ASSERT_TRUE(
		    eventually([&] { return harness.discovered("e2"); }));
	}

	/** Sends requests for a time. @return number of good responses */
	int send_for(milliseconds duration)
	{
		auto end = steady_clock::now() + duration;
		int good = 0;

		while (steady_clock::now() < end) {
			last = harness.send("GET", "/safe/");
			good += last.status == 200;
			sent_count++;
			std::this_thread::sleep_for(milliseconds(20));
		}
		return good;
	}

	int sent_count = 0;
	Response last;
};

TEST_F(GatewayNotices, AnEndpointThatSaysItLeavesGetsNoMoreRequests)
{
	first_endpoint.set_script(respond_leaving(&first_request_count));
	start();
	EXPECT_EQ(harness.send("GET", "/safe/").status, 200);
	add_second();
	first_request_count = 0;
	EXPECT_GT(send_for(milliseconds(600)), 10);
	EXPECT_EQ(first_request_count, 0);
	EXPECT_GT(second_request_count, 10);
}

TEST_F(GatewayNotices, AnEndpointThatLeavesAloneIsNotAskedAgainAtAll)
{
	first_endpoint.set_script(respond_leaving(&first_request_count));
	start();
	EXPECT_EQ(harness.send("GET", "/safe/").status, 200);
	EXPECT_EQ(harness.send("GET", "/safe/").status, 503);
	EXPECT_EQ(first_request_count, 1);
}

TEST_F(GatewayNotices, ANewProcessBehindTheNameOfALeavingEndpointIsUsed)
{
	first_endpoint.set_script(respond_leaving(&first_request_count));
	start();
	EXPECT_EQ(harness.send("GET", "/safe/").status, 200);
	first_endpoint.set_script(
	    count_and_respond(&first_request_count, "again"));
	std::string entry = endpoint_entry_json("app",
	    first_endpoint.address());
	entry.replace(entry.find("\"born\":5"), 8, "\"born\":6");
	harness.store.put("servers", "e1", entry);
	EXPECT_TRUE(eventually(
	    [&] { return harness.send("GET", "/safe/").status == 200; }));
}

TEST_F(GatewayNotices, AnEndpointThatAsksForAPauseGetsNoRequestsDuringIt)
{
	first_endpoint.set_script(
	    [this](Connection &connection, const std::string &request) {
		    first_request_count++;
		    connection.send_text(not_run(request, "3.0"));
	    });
	second_endpoint.set_script(
	    count_and_respond(&second_request_count, "second"));
	start();
	add_second();
	send_for(IN_FLIGHT);
	EXPECT_GT(first_request_count, 0);
	first_request_count = 0;
	sent_count = 0;
	EXPECT_EQ(send_for(WAIT - IN_FLIGHT), sent_count);
	EXPECT_EQ(first_request_count, 0);
}

TEST_F(GatewayNotices, ACallerIsToldWhenAnEndpointThatPausesTakesRequestsAgain)
{
	first_endpoint.set_script(
	    [this](Connection &connection, const std::string &request) {
		    first_request_count++;
		    connection.send_text(not_run(request, "2"));
	    });
	start();
	harness.send("POST", "/once/", {}, "b");
	Response refused = harness.send("POST", "/once/", {}, "b");
	EXPECT_EQ(refused.status, 503);
	EXPECT_GE(std::stod(refused.headers["retry-after"]), 1.5);
	EXPECT_EQ(first_request_count, 1);
	first_endpoint.set_script(
	    count_and_respond(&second_request_count, "again"));
	std::this_thread::sleep_for(milliseconds(2200));
	EXPECT_EQ(harness.send("POST", "/once/", {}, "b").status, 200);
}

} // namespace
