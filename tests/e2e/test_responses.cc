/*
 * Responses must arrive complete at the caller that sent the request, even if
 * the endpoint's response is split, truncated, late or followed by extra bytes,
 * or if a stream is interrupted and resumed.
 */
#include <gtest/gtest.h>

#include <future>
#include <thread>

#include "responses.h"

using namespace e2e;

TEST_F(Responses, ForwardsResponseSplitAtAnyByte)
{
	const std::string raw_response = STREAM_HEAD +
	    http_chunk(sse_event(0) + sse_event(1)) + http_chunk(DONE_EVENT) +
	    "0\r\n\r\n";

	for (size_t split = 1; split < raw_response.size(); split++) {
		scripted.set_script(
		    [=](Connection &connection, const std::string &) {
			    connection.send_text(raw_response.substr(0, split));
			    std::this_thread::sleep_for(
				std::chrono::milliseconds(2));
			    connection.send_text(raw_response.substr(split));
		    });
		Response response = post_completion("/scripted");
		ASSERT_TRUE(response.complete) << split << response.error;
		ASSERT_EQ(response.body,
		    sse_event(0) + sse_event(1) + DONE_EVENT)
		    << split;
	}
}

TEST_F(Responses, ForwardsResponseLargerThanAnyBuffer)
{
	std::string body;

	for (int i = 0; body.size() < 5000000; i++)
		body += std::to_string(i) + ",";
	scripted.set_script([=](Connection &connection, const std::string &) {
		connection.send_text(response_head(
		    "Content-Length: " + std::to_string(body.size()) + "\r\n"));
		connection.send_text(body);
	});
	EXPECT_EQ(get("/plain").body, body);
	scripted.set_script([=](Connection &connection, const std::string &) {
		connection.send_text(
		    response_head("Transfer-Encoding: chunked\r\n") +
		    http_chunk(body) + "0\r\n\r\n");
	});
	EXPECT_EQ(get("/plain").body, body);
}

TEST_F(Responses, TruncatedResponseStaysIncomplete)
{
	const std::string cuts[] = {
		response_head("Content-Length: 100\r\n") + "short",
		response_head("Transfer-Encoding: chunked\r\n") +
		    http_chunk("part"),
		response_head("Transfer-Encoding: chunked\r\n") + "64\r\npart",
		response_head("Transfer-Encoding: chunked\r\n") +
		    http_chunk("part") + "zz",
	};

	for (const auto &cut : cuts) {
		scripted.set_script(
		    [=](Connection &connection, const std::string &) {
			    connection.send_text(cut);
		    });
		Response response = get("/plain");
		EXPECT_EQ(response.status, 200);
		EXPECT_FALSE(response.complete) << cut;
	}
}

TEST_F(Responses, TruncatedHeadYieldsUnknownOutcome)
{
	scripted.set_script([=](Connection &connection, const std::string &) {
		connection.send_text("HTTP/1.1 200 OK\r\nContent-Le");
	});
	Response response = send_request("POST", fleet.daemons[0].url("/plain"),
	    "x", AUTHORIZATION);
	EXPECT_EQ(response.status, 502);
	EXPECT_EQ(response.headers["bamboorudder-run"], "unknown");
	EXPECT_EQ(scripted.requests().size(), 1u);
}

TEST_F(Responses, StreamWithoutDoneEventStaysIncomplete)
{
	scripted.set_script([=](Connection &connection, const std::string &) {
		connection.send_text(
		    STREAM_HEAD + http_chunk(sse_event(0)) + "0\r\n\r\n");
	});
	EXPECT_FALSE(post_completion("/scripted").complete);
	/* The same for a response that is delimited by closing. */
	scripted.set_script([=](Connection &connection, const std::string &) {
		connection.send_text(
		    response_head("Content-Type: text/event-stream\r\n") +
		    sse_event(0));
	});
	EXPECT_FALSE(post_completion("/scripted").complete);
}

TEST_F(Responses, TruncatedEventIsNotForwarded)
{
	scripted.set_script([=](Connection &connection, const std::string &) {
		connection.send_text(STREAM_HEAD + http_chunk(sse_event(0)) +
		    http_chunk(sse_event(1).substr(0, 9)));
	});
	Response response = post_completion("/scripted");
	EXPECT_FALSE(response.complete);
	EXPECT_EQ(response.body, sse_event(0));
}

TEST_F(Responses, ResumesStreamAtAnyOffsetWithoutLostOrDuplicateTokens)
{
	const std::string events = sse_event(0) + sse_event(1) + sse_event(2);

	for (size_t cut = sse_event(0).size(); cut <= events.size(); cut++) {
		scripted.set_script(
		    [=](Connection &connection, const std::string &request) {
			    size_t at = request.find("Last-Event-ID: ");
			    int next = at == std::string::npos
				? 0
				: std::stoi(request.substr(at + 15)) + 1;
			    if (next == 0) {
				    connection.send_text(STREAM_HEAD +
					http_chunk(events.substr(0, cut)));
				    return;
			    }
			    std::string rest;
			    for (int i = next; i < 3; i++)
				    rest += sse_event(i);
			    connection.send_text(STREAM_HEAD +
				http_chunk(rest + DONE_EVENT) + "0\r\n\r\n");
		    });
		Response response = post_completion("/resumed");
		ASSERT_TRUE(response.complete) << cut << response.error;
		ASSERT_EQ(response.body, events + DONE_EVENT) << cut;
	}
}

TEST_F(Responses, StreamThatCannotBeResumedStaysIncomplete)
{
	scripted.set_script(
	    [=](Connection &connection, const std::string &request) {
		    if (request.find("Last-Event-ID") == std::string::npos)
			    connection.send_text(
				STREAM_HEAD + http_chunk(sse_event(0)));
		    else
			    connection.send_text(
				response_head("Content-Length: 4\r\n",
				    "404 Not Found") +
				"gone");
	    });
	Response response = post_completion("/resumed");
	EXPECT_FALSE(response.complete);
	EXPECT_EQ(response.body, sse_event(0));
	EXPECT_LE(scripted.requests().size(), 4u);
}

TEST_F(Responses, AnErrorWithoutBodyDoesNotEndAResumedStreamAsComplete)
{
	for (const char *status : { "500 Failed", "200 OK" }) {
		std::string error = response_head("Content-Length: 0\r\n",
		    status);
		scripted.set_script(
		    [=](Connection &connection, const std::string &request) {
			    bool resumed = request.find("Last-Event-ID") !=
				std::string::npos;
			    connection.send_text(resumed
				    ? error
				    : STREAM_HEAD + http_chunk(sse_event(0)));
		    });
		Response response = post_completion("/resumed");
		EXPECT_FALSE(response.complete) << status;
		EXPECT_EQ(response.body, sse_event(0)) << status;
	}
}

TEST_F(Responses, AnEarlierResponseWrittenAgainReachesNoOtherRequest)
{
	scripted.set_script(
	    [=](Connection &connection, const std::string &request) {
		    size_t start = request.find("/plain");
		    std::string target = request.substr(start,
			request.find(" HTTP") - start);
		    std::string response = response_head("Content-Length: " +
					       std::to_string(target.size()) +
					       "\r\n") +
			target;
		    connection.send_text(response);
		    if (!connection.read_request().empty())
			    connection.send_text(response);
	    });
	/* one worker of the daemon serves a connection */
	RawCaller caller(fleet.daemons[0]);
	for (const char *target : { "/plain/a", "/plain/b", "/plain/c" }) {
		std::string text;

		caller.send_text(std::string("GET ") + target +
		    " HTTP/1.1\r\nHost: a\r\n" + AUTHORIZATION[0] + "\r\n\r\n");
		while (text.find("\r\n\r\n/plain/") == std::string::npos &&
		    caller.read_some(&text))
			continue;
		EXPECT_NE(text.find(std::string("\r\n\r\n") + target),
		    std::string::npos)
		    << target << "\n"
		    << text;
	}
}

TEST_F(Responses, ResumesStreamOfEngineThatFailsOnce)
{
	send_request("POST",
	    "http://" + engine + "/standin/set?break_after=3&break_count=1");
	Response response = post_completion("/v1/chat/completions",
	    ", \"standin_tokens\": 8");
	EXPECT_TRUE(response.complete) << response.error;
	for (int i = 0; i < 8; i++) {
		std::string token = "\"t" + std::to_string(i) + " \"";
		size_t at = response.body.find(token);
		EXPECT_NE(at, std::string::npos) << token;
		EXPECT_EQ(response.body.find(token, at + 1), std::string::npos);
	}
	EXPECT_EQ(engine_counter("tokens"), 8u);
}

TEST_F(Responses, LateResponseDoesNotReachOtherRequests)
{
	scripted.set_script([=](Connection &connection,
				const std::string &request) {
		bool late = request.find("/late") != std::string::npos;
		if (late)
			std::this_thread::sleep_for(std::chrono::seconds(4));
		std::string body = late ? "late" : "right";
		connection.send_text(response_head("Content-Length: " +
					 std::to_string(body.size()) + "\r\n") +
		    body);
	});
	std::future<Response> late = std::async(std::launch::async, [&] {
		return send_request("POST", fleet.daemons[0].url("/plain/late"),
		    "x", AUTHORIZATION);
	});
	for (int i = 0; i < 50; i++) {
		EXPECT_EQ(get("/plain").body, "right");
		std::this_thread::sleep_for(std::chrono::milliseconds(50));
	}
	EXPECT_EQ(late.get().headers["bamboorudder-run"], "unknown");
}

TEST_F(Responses, ExtraBytesAfterResponseAreDiscarded)
{
	scripted.set_script([=](Connection &connection, const std::string &) {
		connection.send_text(response_head("Content-Length: 5\r\n") +
		    "right" + response_head("Content-Length: 5\r\n") + "wrong");
		std::this_thread::sleep_for(std::chrono::milliseconds(20));
		connection.send_text(
		    response_head("Content-Length: 5\r\n") + "wrong");
		std::this_thread::sleep_for(std::chrono::milliseconds(200));
	});
	for (int i = 0; i < 30; i++) {
		Response response = get("/plain");
		EXPECT_EQ(response.body, "right");
		EXPECT_TRUE(response.complete);
	}
}

TEST_F(Responses, ResponsesWithoutBodyHaveNoBodyFraming)
{
	const std::string request =
	    " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
	    "key-a\r\nConnection: close\r\n\r\n";
	std::string text;

	scripted.set_script([=](Connection &connection, const std::string &) {
		connection.send_text(
		    "HTTP/1.1 103 Early Hints\r\nX-Early: 1\r\n\r\n" +
		    response_head("X-Kept: 1\r\n", "204 No Content"));
	});
	text = send_raw("GET /plain" + request);
	EXPECT_EQ(text.rfind("HTTP/1.1 204", 0), 0u) << text;
	EXPECT_EQ(text.find("chunked"), std::string::npos) << text;
	EXPECT_EQ(text.find("X-Early"), std::string::npos) << text;
	EXPECT_NE(text.find("X-Kept: 1"), std::string::npos) << text;
	EXPECT_EQ(text.find("\r\n\r\n"), text.size() - 4) << text;
	scripted.set_script([=](Connection &connection, const std::string &) {
		connection.send_text(
		    response_head("ETag: \"1\"\r\n", "304 Not Modified"));
	});
	text = send_raw("GET /plain" + request);
	EXPECT_EQ(text.rfind("HTTP/1.1 304", 0), 0u) << text;
	EXPECT_EQ(text.find("chunked"), std::string::npos) << text;
	EXPECT_EQ(text.find("\r\n\r\n"), text.size() - 4) << text;
	scripted.set_script([=](Connection &connection, const std::string &) {
		connection.send_text(response_head("Content-Length: 7\r\n"));
	});
	text = send_raw("HEAD /plain" + request);
	EXPECT_NE(text.find("Content-Length: 7"), std::string::npos) << text;
	EXPECT_EQ(text.find("\r\n\r\n"), text.size() - 4) << text;
}

TEST_F(Responses, Http10CallerGetsResponseDelimitedByClose)
{
	scripted.set_script([=](Connection &connection, const std::string &) {
		connection.send_text(
		    response_head("Transfer-Encoding: chunked\r\n") +
		    http_chunk("one") + http_chunk("two") + "0\r\n\r\n");
	});
	std::string text = send_raw(
	    "GET /plain HTTP/1.0\r\nAuthorization: Bearer key-a\r\n\r\n");
	EXPECT_EQ(text.find("chunked"), std::string::npos) << text;
	EXPECT_NE(text.find("\r\n\r\nonetwo"), std::string::npos) << text;
	EXPECT_EQ(text.substr(text.size() - 6), "onetwo");
}

TEST_F(Responses, HeadsThatNeverEndDoNotHoldAWorkerUntilTheTimeout)
{
	const std::pair<std::string, std::string> endless[] = {
		{ "HTTP/1.1 200 OK\r\n", "X-A: 1\r\n" },
		{ "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
		{ response_head("Transfer-Encoding: chunked\r\n") +
			http_chunk("whole") + "0\r\n",
		    "X-A: 1\r\n" },
	};

	for (const auto &[start, line] : endless) {
		auto started = std::chrono::steady_clock::now();

		scripted.set_script(
		    [start = start, line = line](Connection &connection,
			const std::string &) {
			    connection.send_text(start);
			    while (connection.send_text(line))
				    continue;
		    });
		Response response = send_request("POST",
		    fleet.daemons[0].url("/plain"), "x", AUTHORIZATION);
		EXPECT_FALSE(response.status == 200 && response.complete)
		    << start;
		EXPECT_LT(std::chrono::steady_clock::now() - started,
		    std::chrono::seconds(5))
		    << start;
	}
}
