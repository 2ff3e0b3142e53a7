/*
 * What callers send in a head reaches the daemon and the endpoint as it was meant:
 * blanks around a value belong to none, and a target arrives as it was sent.
 */
#include "gateway_fixture.h"
#include "responses.h"

using namespace e2e;

namespace
{

const std::vector<std::string> targets = {
	"a#b",
	"a?q=1#b",
	"#",
	"\xc3\xa9",
	"a?q=\xff",
	"a%23b",
	"a/../b/./c",
	"a//b",
	"a?q=[1]&r={2}|^`\\",
};

class CallerHeads : public Gateway
{
      protected:
	/** @return the head of the response */
	std::string send_head(const std::string &target,
	    const std::string &fields)
	{
		Caller caller(harness.listen_port,
		    "POST " + target + " HTTP/1.1\r\n" + fields +
			"X-Bamboorudder-Deadline-Ms: 8000\r\n"
			"Content-Length: 1\r\n\r\nb");

		return caller.receive();
	}

	/** @return first line of the last request at the endpoint */
	std::string received_line()
	{
		std::string request = first_endpoint.requests().back();

		return request.substr(0, request.find("\r\n"));
	}
};

TEST_F(CallerHeads, TargetsArriveAsTheyWereSent)
{
	first_endpoint.set_script(count_and_respond(&first_request_count));
	start();
	for (const std::string &target : targets) {
		std::string response = send_head("/once/" + target,
		    "Host: a.example\r\nX-Bamboorudder-Request-Id: t1\r\n");

		EXPECT_EQ(response.rfind("HTTP/1.1 200", 0), 0u) << target;
		EXPECT_EQ(received_line(),
		    "POST /once/" + target + " HTTP/1.1");
	}
}

/* review-3: a route, a key or the own response was not found. */
TEST_F(CallerHeads, BlanksAroundAValueBelongToNone)
{
	first_endpoint.set_script(
	    [this](Connection &connection, const std::string &) {
		    first_request_count++;
		    connection.send_text(
			"HTTP/1.1 200 OK\r\nX-Bamboorudder-Request-Id: b1\r\n"
			"X-Bamboorudder-Replica-Signature: sig\r\n"
			"Content-Length: 2\r\n\r\nok");
	    });
	start();
	EXPECT_EQ(send_head("/keyed/",
		      "Host: \t a.example \t\r\n"
		      "X-Bamboorudder-Request-Id:\tb1 \t \r\n"
		      "X-Bamboorudder-Credential:  k1\t \r\n")
		      .rfind("HTTP/1.1 200", 0),
	    0u);
	EXPECT_EQ(first_request_count, 1);
}

class OwnCallerHeads : public Responses
{
};

TEST_F(OwnCallerHeads, TargetsArriveAsTheyWereSent)
{
	scripted.set_script([](Connection &connection, const std::string &) {
		connection.send_text(
		    response_head("Content-Length: 5\r\n") + "whole");
	});
	for (const char *target : { "/plain/a?q=1", "/plain/a%20b?q=%23" }) {
		RawCaller caller(fleet.daemons[0]);
		std::string response;

		caller.send_text(std::string("GET ") + target +
		    " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
		    "Authorization: Bearer key-a\r\n\r\n");
		response = caller.read_all();
		EXPECT_EQ(response.rfind("HTTP/1.1 200", 0), 0u) << response;
		EXPECT_EQ(scripted.requests().back().rfind(std::string("GET ") +
				  target + " HTTP/1.1\r\n",
			      0),
		    0u);
	}
}

} // namespace
