#include "gateway_fixture.h"

using namespace e2e;

namespace
{

ScriptedEndpoint::Script
send(std::function<std::string(const std::string &request)> response)
{
	return [response](Connection &connection, const std::string &request) {
		connection.send_text(response(request));
	};
}

TEST_F(Gateway, ARefusalOfAnotherRequestIsNotBelieved)
{
	start();
	first_endpoint.set_script(send([](const std::string &) {
		return std::string("HTTP/1.1 503 Full\r\n"
				   "X-Bamboorudder-Request-Id: other\r\n"
				   "X-Bamboorudder-Not-Executed: 1\r\n"
				   "Content-Length: 0\r\n\r\n");
	}));
	EXPECT_EQ(harness.send("POST", "/once/", {}, "b").status, 502);
	first_endpoint.set_script(send([](const std::string &) {
		return std::string("HTTP/1.1 421 Moved\r\n"
				   "X-Bamboorudder-Request-Id: other\r\n"
				   "Content-Length: 0\r\n\r\n");
	}));
	EXPECT_EQ(harness.send("POST", "/once/", {}, "b").status, 502);
}

} // namespace
