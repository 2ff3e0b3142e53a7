#include "gateway_fixture.h"

using namespace e2e;

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr double LIMIT_PER_S = 2.0;
/** Time after which a limit must be kept. */
constexpr milliseconds STABLE_WINDOW(3000);
constexpr milliseconds COUNTED_WINDOW(4000);
/** Requests that a limit allows in COUNTED_WINDOW. */
constexpr int ALLOWED_COUNT = int(1.5 * LIMIT_PER_S * 4) + 5;

/** Responds with a limit while it is set, and counts requests. */
ScriptedEndpoint::Script
respond_with_limit(std::atomic<int> *count, std::atomic<bool> *limited)
{
	return [count, limited](Connection &connection,
		   const std::string &request) {
		(*count)++;
		connection.send_text(response_text(request, "whole", "200 OK",
		    *limited ? "Server-Limit: 2.0\r\n" : ""));
	};
}

class GatewayLimit : public Gateway
{
      protected:
	/** Sends requests for a time. @return number of good responses */
	int send_for(milliseconds duration)
	{
		auto end = steady_clock::now() + duration;
		int good = 0;

		while (steady_clock::now() < end) {
			last = harness.send("POST", "/once/", {}, "b");
			good += last.status == 200;
			std::this_thread::sleep_for(milliseconds(50));
		}
		return good;
	}

	std::atomic<bool> limited{ true };
	Response last;
};

TEST_F(GatewayLimit, AnEndpointGetsNoMoreRequestsThanTheLimitThatItNames)
{
	first_endpoint.set_script(
	    respond_with_limit(&first_request_count, &limited));
	start();
	send_for(STABLE_WINDOW);
	first_request_count = 0;
	send_for(COUNTED_WINDOW);
	EXPECT_LE(first_request_count, ALLOWED_COUNT);
	EXPECT_GE(first_request_count, 4);
}

} // namespace
