#include <atomic>
#include <chrono>
#include <thread>

#include "gateway_world.h"

using namespace e2e;

namespace
{

const std::vector<RouteText> routes = {
	{ "/safe/", "safe", 2 },
	{ "/once/", "unsafe", 1 },
	{ "/flow/", "streaming", 1 },
	{ "/again/", "streaming", 2, true, true },
	{ "/keyed/", "safe", 1, false },
	{ "/short/", "safe", 1, true, false, 400 },
};

const char tenants[] =
    "{\"name\":\"desk\",\"api_keys\":[\"k1\"],\"priority\":1}";

class Gateway : public ::testing::Test
{
      protected:
	void start(uint64_t version = 3)
	{
		world.store.put("config", "main",
		    configuration_text(version, routes, tenants));
		world.add("e1", first);
		ASSERT_TRUE(eventually([&] {
			return world.ready() && world.knows("e1");
		})) << world.daemon->log();
	}

	/** Answers every request whole and counts it. */
	static ScriptedEndpoint::Script whole(std::atomic<int> *count,
	    const std::string &body = "whole")
	{
		return [count, body](Peer &peer, const std::string &request) {
			(*count)++;
			peer.send_text(answer_text(request, body));
		};
	}

	ScriptedEndpoint first, second;
	GatewayWorld world;
	std::atomic<int> first_count{ 0 }, second_count{ 0 };
};

std::string
stream_head(const std::string &request)
{
	std::string head = answer_text(request, "", "200 OK",
	    "Content-Type: text/event-stream\r\n");
	size_t at = head.find("Content-Length");

	return head.substr(0, at) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string
chunk(const std::string &text)
{
	char size[16];

	snprintf(size, sizeof(size), "%zx\r\n", text.size());
	return size + text + "\r\n";
}

TEST_F(Gateway, PassesAnAnswerOnAndSetsItsOwnHeaders)
{
	std::mutex mutex;
	std::string seen;

	first.set([&](Peer &peer, const std::string &request) {
		std::lock_guard<std::mutex> lock(mutex);
		seen = request;
		peer.send_text(answer_text(request, "four", "200 OK",
		    "X-Kept: yes\r\nX-Hop: no\r\n"
		    "Connection: close, X-Hop\r\n"));
	});
	start();
	Answer answer = world.send("POST", "/keyed/a%2fb?q=1",
	    { "X-Bamboorudder-Credential: k1", "X-Bamboorudder-Tenant: forged",
		"X-Bamboorudder-Pin-Ms: 9", "Kv-From: 1.2.3.4:5/6",
		"X-Other: kept", "X-Here: dropped",
		"Connection: keep-alive, X-Here, X-Bamboorudder-Request-Id" },
	    "body");
	EXPECT_EQ(answer.status, 200);
	EXPECT_EQ(answer.body, "four");
	EXPECT_EQ(answer.headers["x-bamboorudder-replica-signature"], "sig");
	EXPECT_EQ(answer.headers["x-kept"], "yes");
	EXPECT_EQ(answer.headers.count("x-hop"), 0u);
	std::lock_guard<std::mutex> lock(mutex);
	EXPECT_EQ(seen.rfind("POST /keyed/a%2fb?q=1 HTTP/1.1\r\n", 0), 0u);
	EXPECT_NE(seen.find("Host: a.example\r\n"), std::string::npos);
	EXPECT_NE(seen.find("X-Other: kept"), std::string::npos);
	EXPECT_EQ(seen.find("X-Here"), std::string::npos);
	EXPECT_NE(seen.find("X-Bamboorudder-Request-Id: id"),
	    std::string::npos);
	EXPECT_NE(seen.find("X-Bamboorudder-Tenant: desk"), std::string::npos);
	EXPECT_NE(seen.find("X-Bamboorudder-Expect-Replica: e1"),
	    std::string::npos);
	EXPECT_EQ(seen.find("k1"), std::string::npos);
	EXPECT_EQ(seen.find("forged"), std::string::npos);
	EXPECT_EQ(seen.find("Pin-Ms"), std::string::npos);
	EXPECT_EQ(seen.find("Kv-From"), std::string::npos);
	EXPECT_EQ(seen.substr(seen.size() - 4), "body");
	EXPECT_EQ(world.daemon->log().find("k1"), std::string::npos);
}

TEST_F(Gateway, RefusesUnknownKeysRoutesAndBadFraming)
{
	first.set(whole(&first_count));
	start();
	EXPECT_EQ(world.send("GET", "/keyed/").status, 401);
	EXPECT_TRUE(world.logged("outcome=unknown_key"));
	EXPECT_EQ(world.send("GET", "/nowhere/").status, 404);
	EXPECT_TRUE(world.logged("outcome=no_route"));
	EXPECT_EQ(world
		      .send("POST", "/once/",
			  { "Transfer-Encoding: chunked", "Content-Length: 4" },
			  "0\r\n\r\n")
		      .status,
	    400);
	EXPECT_EQ(world.send("POST", "/once/", {}, std::string(70000, 'x'))
		      .status,
	    413);
	EXPECT_EQ(first_count, 0);
	EXPECT_EQ(world.send("GET", "/safe/").status, 200);
}

TEST_F(Gateway, KnowsNothingBeforeTheConfiguration)
{
	EXPECT_TRUE(eventually(
	    [&] { return world.send("GET", "/safe/").status == 503; }));
	EXPECT_FALSE(world.ready());
}

TEST_F(Gateway, RunsAnUnsafeRequestOnceAndTellsTheOutcomeAsUnknown)
{
	first.set([&](Peer &, const std::string &) { first_count++; });
	start();
	world.add("e2", first);
	EXPECT_EQ(world.send("POST", "/once/", {}, "b").status, 502);
	EXPECT_EQ(first_count, 1);
	EXPECT_TRUE(world.logged("outcome=no_answer"));
	EXPECT_TRUE(world.logged("event=attempt"));
	EXPECT_TRUE(world.logged("ended=no_answer"));
}

TEST_F(Gateway, RepeatsASafeRequestAtAnotherEndpoint)
{
	auto fail = [&](Peer &peer, const std::string &request) {
		if (request.find("Expect-Replica: e1") != std::string::npos)
			peer.send_text(answer_text(request, "bad",
			    "500 Internal Server Error"));
		else
			peer.send_text(answer_text(request, "good"));
	};

	first.set(fail);
	second.set(fail);
	start();
	world.add("e2", second);
	ASSERT_TRUE(eventually([&] { return world.knows("e2"); }));
	for (int i = 0; i < 8; i++)
		EXPECT_EQ(world.send("GET", "/safe/").body, "good");
}

TEST_F(Gateway, PassesARefusalOnAsNotRun)
{
	first.set([&](Peer &peer, const std::string &) {
		first_count++;
		peer.send_text("HTTP/1.1 503 Full\r\n"
			       "X-Bamboorudder-Not-Executed: 1\r\n"
			       "Content-Length: 0\r\n\r\n");
	});
	start();
	Answer answer = world.send("POST", "/once/", {}, "b");
	EXPECT_EQ(answer.status, 503);
	EXPECT_FALSE(answer.headers["retry-after"].empty());
	EXPECT_EQ(first_count, 1);
}

TEST_F(Gateway, TakesNoAnswerOfAnotherRequestForASuccess)
{
	const std::string good = "HTTP/1.1 200 OK\r\n"
				 "X-Bamboorudder-Replica-Signature: sig\r\n";
	const std::vector<std::string> answers = {
		good +
		    "X-Bamboorudder-Request-Id: other\r\n"
		    "Content-Length: 2\r\n\r\nno",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
		good + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno",
		good + "Content-Length: 9\r\n\r\nno",
		"garbage\r\n\r\n",
	};

	start();
	for (const auto &text : answers) {
		first.set([text](Peer &peer, const std::string &) {
			peer.send_text(text);
		});
		EXPECT_EQ(world.send("POST", "/once/", {}, "b").status, 502)
		    << text;
	}
}

TEST_F(Gateway, CutsABrokenStreamAtAWholeEventAndWithoutAnEnd)
{
	first.set([&](Peer &peer, const std::string &request) {
		peer.send_text(stream_head(request) +
		    chunk("id: 1\ndata: a\n\n") + chunk("id: 2\nda"));
	});
	start();
	Answer answer = world.send("POST", "/flow/", {}, "b");
	EXPECT_EQ(answer.status, 200);
	EXPECT_FALSE(answer.whole);
	EXPECT_EQ(answer.body, "id: 1\ndata: a\n\n");
}

TEST_F(Gateway, ResumesAStreamAtAnotherEndpoint)
{
	auto script = [&](Peer &peer, const std::string &request) {
		if (request.find("Last-Event-Id: 1\r\n") != std::string::npos)
			peer.send_text(stream_head(request) +
			    chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
		else
			peer.send_text(stream_head(request) +
			    chunk("id: 1\ndata: a\n\n") + chunk("id: 2\nda"));
	};

	first.set(script);
	second.set(script);
	start();
	world.add("e2", second);
	ASSERT_TRUE(eventually([&] { return world.knows("e2"); }));
	Answer answer = world.send("POST", "/again/", {}, "b");
	EXPECT_TRUE(answer.whole);
	EXPECT_EQ(answer.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST_F(Gateway, EndsTheWorkOfACallerThatLeaves)
{
	std::atomic<bool> closed{ false };

	first.set([&](Peer &peer, const std::string &) {
		first_count++;
		/* nothing more comes: a read ends when the daemon closes */
		closed = peer.read_request().empty();
	});
	start();
	world.send("POST", "/flow/", {}, "b", 300);
	EXPECT_TRUE(eventually([&] { return closed.load(); }, 1000));
	EXPECT_EQ(first_count, 1);
}

/* Callers leave in the moment in which their endpoints send, so that one
 * wake-up of the daemon brings both. */
TEST_F(Gateway, SurvivesCallersThatLeaveWhileTheirStreamsRun)
{
	constexpr int CALLERS = 24, ROUNDS = 6;
	std::vector<std::thread> callers;

	first.set([&](Peer &peer, const std::string &request) {
		bool going = peer.send_text(stream_head(request));
		for (int i = 1; i < 400 && going; i++) {
			going = peer.send_text(chunk(
			    "id: " + std::to_string(i) + "\ndata: a\n\n"));
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(2));
		}
	});
	start();
	for (int i = 0; i < CALLERS; i++)
		callers.emplace_back([&, i] {
			for (int round = 0; round < ROUNDS; round++)
				call("POST",
				    "http://127.0.0.1:" +
					std::to_string(world.listen_port) +
					"/flow/",
				    "b",
				    { "Host: a.example",
					"X-Bamboorudder-Request-Id: c" +
					    std::to_string(i) + "-" +
					    std::to_string(round) },
				    100);
		});
	for (auto &caller : callers)
		caller.join();
	EXPECT_EQ(world.daemon->wait_for_ms(100), -2) << world.daemon->log();
	EXPECT_TRUE(world.ready());
}

TEST_F(Gateway, IsNotOverloadedByItsStart)
{
	start();
	std::this_thread::sleep_for(std::chrono::milliseconds(1200));
	EXPECT_TRUE(world.ready());
	EXPECT_EQ(world.daemon->log().find("event=overloaded"),
	    std::string::npos);
}

/* Callers still come while the platform has too few other daemons. */
TEST_F(Gateway, ServesShortRequestsLateIntoAShutdown)
{
	std::atomic<bool> go{ false };

	first.set([&](Peer &peer, const std::string &request) {
		while (request.find("/again/") != std::string::npos && !go)
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(5));
		peer.send_text(answer_text(request, "whole"));
	});
	start();
	/* a long request keeps the daemon from ending */
	std::thread caller([&] {
		call("POST",
		    "http://127.0.0.1:" + std::to_string(world.listen_port) +
			"/again/",
		    "b",
		    { "Host: a.example", "X-Bamboorudder-Request-Id: long" });
	});
	std::this_thread::sleep_for(std::chrono::milliseconds(300));
	world.daemon->signal(SIGTERM);
	std::this_thread::sleep_for(std::chrono::milliseconds(4600));
	EXPECT_EQ(world.send("GET", "/short/").status, 200);
	EXPECT_EQ(world.send("POST", "/flow/", {}, "b").status, 503);
	EXPECT_TRUE(world.logged("outcome=shutting_down"));
	/* its timeout is after the end of the grace */
	EXPECT_EQ(world.send("GET", "/safe/").status, 503);
	go = true;
	caller.join();
	EXPECT_EQ(world.daemon->wait_for_ms(15000), 0);
}

/* The decision to end and the end itself are apart: what comes in between is
 * refused, not cut. */
TEST_F(Gateway, CutsNothingThatComesAsItEnds)
{
	Answer answer;

	first.set([&](Peer &peer, const std::string &request) {
		std::this_thread::sleep_for(std::chrono::milliseconds(300));
		peer.send_text(answer_text(request, "whole"));
	});
	start();
	world.daemon->signal(SIGTERM);
	std::this_thread::sleep_for(std::chrono::milliseconds(2300));
	for (int i = 0; i < 20 && !answer.refused; i++) {
		answer = world.send("GET", "/short/");
		EXPECT_TRUE(answer.refused || answer.status == 200 ||
		    answer.status == 503 || answer.status == 504)
		    << answer.error;
		std::this_thread::sleep_for(std::chrono::milliseconds(330));
	}
	EXPECT_EQ(world.daemon->wait_for_ms(15000), 0);
}

TEST_F(Gateway, AnswersAtTheRoutesTimeout)
{
	auto begin = std::chrono::steady_clock::now();

	first.set(
	    [&](Peer &peer, const std::string &) { peer.read_request(); });
	start();
	begin = std::chrono::steady_clock::now();
	EXPECT_EQ(world.send("GET", "/short/").status, 504);
	EXPECT_LT(std::chrono::steady_clock::now() - begin,
	    std::chrono::milliseconds(5000));
	EXPECT_TRUE(world.logged("outcome=timeout"));
}

TEST_F(Gateway, KeepsTheLastGoodConfigurationAndNeverGoesBack)
{
	first.set(whole(&first_count));
	start(7);
	world.store.put("config", "main", "\"unreadable\"");
	world.store.put("config", "main", configuration_text(6, {}));
	world.store.put("servers", "x1", "{\"backend\":5}");
	world.store.put("servers", "x2", "\"\\u0001\"");
	ASSERT_TRUE(eventually([&] {
		return world.daemon->log().find("name=x2") != std::string::npos;
	}));
	EXPECT_EQ(world.send("GET", "/safe/").status, 200);
	world.store.put("config", "main", configuration_text(9, {}));
	EXPECT_TRUE(eventually(
	    [&] { return world.send("GET", "/safe/").status == 404; }));
}

TEST_F(Gateway, ReadsAListInPagesAndStartsAgainAfterALostHistory)
{
	first.set(whole(&first_count));
	second.set(whole(&second_count));
	world.store.page_count = 1;
	world.add("e2", second);
	start();
	EXPECT_TRUE(eventually([&] {
		world.send("GET", "/safe/");
		return first_count > 0 && second_count > 0;
	}));
	world.store.remove("servers", "e2");
	world.store.compact();
	EXPECT_TRUE(eventually([&] {
		return world.daemon->log().find("name=e2 state=gone") !=
		    std::string::npos;
	}));
	second_count = 0;
	for (int i = 0; i < 6; i++)
		EXPECT_EQ(world.send("GET", "/safe/").status, 200);
	EXPECT_EQ(second_count, 0);
}

TEST_F(Gateway, SendsNothingToALeavingEndpoint)
{
	first.set(whole(&first_count));
	second.set(whole(&second_count));
	start();
	world.store.put("servers", "e2",
	    entry_text("app", second.address(), "draining"));
	ASSERT_TRUE(eventually([&] { return world.knows("e2"); }));
	for (int i = 0; i < 8; i++)
		EXPECT_EQ(world.send("GET", "/safe/").status, 200);
	EXPECT_EQ(second_count, 0);
}

TEST_F(Gateway, EndsWhatItReadBeforeItStops)
{
	std::atomic<bool> go{ false };
	Answer answer;

	first.set([&](Peer &peer, const std::string &request) {
		first_count++;
		while (!go)
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(5));
		peer.send_text(answer_text(request, "late"));
	});
	start();
	std::thread caller(
	    [&] { answer = world.send("POST", "/once/", {}, "b"); });
	EXPECT_TRUE(eventually([&] { return first_count == 1; }));
	world.daemon->signal(SIGTERM);
	EXPECT_TRUE(eventually([&] { return !world.ready(); }));
	go = true;
	caller.join();
	EXPECT_EQ(answer.body, "late");
	EXPECT_EQ(world.daemon->wait_for_ms(15000), 0);
	EXPECT_NE(world.daemon->log().find("event=stopped"), std::string::npos);
}

TEST(GatewayFreshness, RefusesKeysOnceTheStoreIsAwayForTooLong)
{
	ScriptedEndpoint endpoint;
	GatewayWorld world("revoke_ms = 1500\n");
	const std::vector<std::string> key = {
		"X-Bamboorudder-Credential: k1"
	};

	endpoint.set([](Peer &peer, const std::string &request) {
		peer.send_text(answer_text(request, "ok"));
	});
	world.store.put("config", "main",
	    configuration_text(3, routes, tenants));
	world.add("e1", endpoint);
	ASSERT_TRUE(eventually([&] { return world.ready(); }));
	EXPECT_TRUE(eventually(
	    [&] { return world.send("GET", "/keyed/", key).status == 200; }));
	world.store.fail_with(503);
	EXPECT_TRUE(eventually(
	    [&] { return world.send("GET", "/keyed/", key).status == 503; }));
	EXPECT_TRUE(world.logged("outcome=configuration_too_old"));
	EXPECT_EQ(world.send("GET", "/safe/").status, 200);
	EXPECT_TRUE(world.ready());
	world.store.fail_with(0);
	EXPECT_TRUE(eventually(
	    [&] { return world.send("GET", "/keyed/", key).status == 200; }));
}

} // namespace
