#include "gateway_fixture.h"

using namespace e2e;

namespace
{

const char FIRST_EVENT[] = "id: 1\ndata: a\n\n";

/** Head of a stream that ends with its connection. */
std::string
unframed_head(const std::string &request)
{
	std::string head = event_stream_head(request);

	return head.substr(0, head.find("Transfer-Encoding")) + "\r\n";
}

ScriptedEndpoint::Script
send(std::function<std::string(const std::string &request)> response)
{
	return [response](Connection &connection, const std::string &request) {
		connection.send_text(response(request));
	};
}

TEST_F(Gateway, AnErrorAfterABrokenStreamDoesNotReachItsCaller)
{
	const std::function<std::string(const std::string &)> errors[] = {
		[](const std::string &request) {
			return response_text(request, "failed", "500 Failed");
		},
		[](const std::string &request) {
			return response_text(request, "", "500 Failed");
		},
		[](const std::string &request) {
			return response_text(request, "{\"error\":1}");
		},
		[](const std::string &request) {
			return response_text(request, "");
		},
		[](const std::string &) {
			return std::string("HTTP/1.1 503 Full\r\n"
					   "X-Bamboorudder-Not-Executed: 1\r\n"
					   "Content-Length: 4\r\n\r\nfull");
		},
		[](const std::string &request) {
			return response_text(request, "moved", "421 Moved");
		},
		[](const std::string &) { return std::string("garbage\r\n"); },
	};

	start();
	harness.add_endpoint("e2", second_endpoint);
	ASSERT_TRUE(eventually([&] { return harness.discovered("e2"); }));
	for (const auto &error : errors) {
		auto script = [error](Connection &connection,
				  const std::string &request) {
			bool resumed = request.find("Last-Event-Id: ") !=
			    std::string::npos;
			connection.send_text(resumed
				? error(request)
				: event_stream_head(request) +
				    http_chunk(FIRST_EVENT));
		};
		first_endpoint.set_script(script);
		second_endpoint.set_script(script);
		Response response = harness.send("POST", "/again/", {}, "b");
		EXPECT_EQ(response.status, 200) << error("");
		EXPECT_FALSE(response.complete) << error("");
		EXPECT_EQ(response.body, FIRST_EVENT) << error("");
	}
}

TEST_F(Gateway, AStreamThatEndsInsideAnEventIsBroken)
{
	start();
	first_endpoint.set_script(send([](const std::string &request) {
		return unframed_head(request) + FIRST_EVENT + "id: 2\ndata: b";
	}));
	Response response = harness.send("POST", "/flow/", {}, "b");
	EXPECT_FALSE(response.complete);
	EXPECT_EQ(response.body, FIRST_EVENT);
	first_endpoint.set_script(send([](const std::string &request) {
		return event_stream_head(request) + http_chunk(FIRST_EVENT) +
		    http_chunk("id: 2\ndata: b") + "0\r\n\r\n";
	}));
	response = harness.send("POST", "/flow/", {}, "b");
	EXPECT_FALSE(response.complete);
	EXPECT_EQ(response.body, FIRST_EVENT);
}

TEST_F(Gateway, AStreamThatEndsBeforeItsFirstEventIsNoResponse)
{
	start();
	for (const char *text : { "", "id: 1\ndata: a" }) {
		first_endpoint.set_script(
		    send([text](const std::string &request) {
			    return unframed_head(request) + text;
		    }));
		EXPECT_EQ(harness.send("POST", "/flow/", {}, "b").status, 502)
		    << text;
	}
}

TEST_F(Gateway, AStreamMayEndWithItsConnection)
{
	start();
	first_endpoint.set_script(send([](const std::string &request) {
		return unframed_head(request) + FIRST_EVENT;
	}));
	Response response = harness.send("POST", "/flow/", {}, "b");
	EXPECT_TRUE(response.complete);
	EXPECT_EQ(response.body, FIRST_EVENT);
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
