#include "gateway_fixture.h"

#include <csignal>
#include <cstring>

using namespace e2e;

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Sends the first bytes of a complete response, then closes. */
ScriptedEndpoint::Script
respond_partly(const std::string &extra_headers, const std::string &until)
{
	return [extra_headers, until](Connection &connection,
		   const std::string &request) {
		std::string text = response_text(request, "whole", "200 OK",
		    extra_headers);
		connection.send_text(
		    text.substr(0, text.find(until) + until.size()));
	};
}

TEST_F(Gateway, AHeadThatBreaksOffIsNoResponse)
{
	start();
	for (const char *until : { "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200",
		 "Signature: sig\r\n", "Signature: s", "Content-Length: 5",
		 "Content-Length: 5\r\n", "Content-Length: 5\r\n\r" })
		for (const char *path : { "/once/", "/safe/", "/flow/" }) {
			first_endpoint.set_script(respond_partly("", until));
			Response response = harness.send("POST", path, {}, "b");
			EXPECT_EQ(response.status, 502) << path << until;
		}
}

TEST_F(Gateway, AHeadOfAStreamThatBreaksOffIsNoResponse)
{
	start();
	for (const char *until :
	    { "text/event-stream\r\n", "Signature: sig\r\n", "event-stream" }) {
		first_endpoint.set_script(
		    respond_partly("Content-Type: text/event-stream\r\n",
			until));
		EXPECT_EQ(harness.send("POST", "/flow/", {}, "b").status, 502)
		    << until;
	}
}

/** Sends events with pauses, until there are count or the caller is gone. */
ScriptedEndpoint::Script
stream_slowly(const std::string &text, int count, milliseconds pause)
{
	return [text, count, pause](Connection &connection,
		   const std::string &request) {
		connection.send_text(event_stream_head(request));
		for (int i = 0; i < count; i++) {
			std::this_thread::sleep_for(pause);
			if (!connection.send_text(http_chunk(text)))
				return;
		}
		connection.send_text("0\r\n\r\n");
	};
}

TEST_F(Gateway, ASlowButSoundStreamIsNotCut)
{
	first_endpoint.set_script(
	    stream_slowly("id: 1\ndata: x\n\n", 4, milliseconds(1200)));
	start();
	Response response = harness.send("GET", "/flow/");
	EXPECT_EQ(response.status, 200);
	EXPECT_TRUE(response.complete);
	EXPECT_EQ(response.body.size(), 4 * strlen("id: 1\ndata: x\n\n"));
}

TEST_F(Gateway, AStreamThatTricklesBytesEndsAtTheTimeoutOfItsRoute)
{
	std::vector<RouteSpec> short_routes = {
		{ "/trickle/", "streaming", 1, true, false, 1500 },
	};

	first_endpoint.set_script(stream_slowly("x", 200, milliseconds(50)));
	harness.store.put("config", "main",
	    configuration_json(3, short_routes));
	harness.add_endpoint("e1", first_endpoint);
	ASSERT_TRUE(eventually(
	    [&] { return harness.is_ready() && harness.discovered("e1"); }));
	auto start_time = steady_clock::now();
	Response response = harness.send("GET", "/trickle/");
	auto taken = steady_clock::now() - start_time;
	EXPECT_FALSE(response.status == 200 && response.complete);
	EXPECT_GE(taken, milliseconds(1400));
	EXPECT_LE(taken, milliseconds(2500));
}

class GatewayGrace : public Gateway
{
      protected:
	GatewayGrace()
	{
		harness_with_grace = std::make_unique<GatewayHarness>("",
		    "[shutdown]\ngrace_s = 3.0\n");
	}

	std::unique_ptr<GatewayHarness> harness_with_grace;
};

/* The outcome is unknown, and the caller is told so. */
TEST_F(GatewayGrace, ARequestThatOutlastsTheGracePeriodGetsAnAnswer)
{
	GatewayHarness &own = *harness_with_grace;
	Response response;

	first_endpoint.set_script([this](Connection &, const std::string &) {
		first_request_count++;
		std::this_thread::sleep_for(milliseconds(6000));
	});
	own.store.put("config", "main", configuration_json(3, routes));
	own.add_endpoint("e1", first_endpoint);
	ASSERT_TRUE(
	    eventually([&] { return own.is_ready() && own.discovered("e1"); }));
	std::thread caller(
	    [&] { response = own.send("POST", "/once/", {}, "b"); });
	ASSERT_TRUE(eventually([&] { return first_request_count == 1; }));
	own.daemon->signal(SIGTERM);
	auto start_time = steady_clock::now();
	EXPECT_EQ(own.daemon->wait_with_timeout(4000), 0);
	EXPECT_LE(steady_clock::now() - start_time, milliseconds(3000));
	caller.join();
	EXPECT_EQ(response.status, 504);
}

class GatewayRevocation : public Gateway
{
      protected:
	GatewayRevocation()
	{
		harness_with_keys = std::make_unique<GatewayHarness>(
		    "revoke_ms = 1500\n");
	}

	std::unique_ptr<GatewayHarness> harness_with_keys;
	std::atomic<bool> may_refuse{ false };
};

TEST_F(GatewayRevocation, ADaemonThatWasSuspendedDoesNotSendOnWithAnOldKey)
{
	GatewayHarness &own = *harness_with_keys;
	const std::vector<RouteSpec> keyed_routes = {
		{ "/keyed/", "safe", 2, false },
	};
	Response response;

	first_endpoint.set_script(
	    [this](Connection &connection, const std::string &request) {
		    first_request_count++;
		    while (!may_refuse)
			    std::this_thread::sleep_for(milliseconds(10));
		    connection.send_text(
			response_text(request, "", "503 Service Unavailable",
			    "X-Bamboorudder-Not-Executed: 1\r\n"));
	    });
	second_endpoint.set_script(count_and_respond(&second_request_count));
	own.store.put("config", "main",
	    configuration_json(3, keyed_routes, accounts));
	own.add_endpoint("e1", first_endpoint);
	ASSERT_TRUE(
	    eventually([&] { return own.is_ready() && own.discovered("e1"); }));
	std::thread caller([&] {
		response = own.send("GET", "/keyed/",
		    { "X-Bamboorudder-Credential: k1" });
	});
	ASSERT_TRUE(eventually([&] { return first_request_count == 1; }));
	own.add_endpoint("e2", second_endpoint);
	ASSERT_TRUE(eventually([&] { return own.discovered("e2"); }));
	own.daemon->signal(SIGSTOP);
	own.store.put("config", "main",
	    configuration_json(4, keyed_routes,
		"{\"name\":\"desk\",\"api_keys\":[\"k2\"],\"priority\":1}"));
	std::this_thread::sleep_for(milliseconds(2500));
	may_refuse = true;
	std::this_thread::sleep_for(milliseconds(100));
	own.daemon->signal(SIGCONT);
	caller.join();
	EXPECT_TRUE(response.status == 401 || response.status == 503)
	    << response.status;
	EXPECT_EQ(second_request_count, 0);
}

} // namespace
