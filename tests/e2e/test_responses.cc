/*
 * Whole answers to the right caller: answers that are split, cut, late, too
 * long, too short or crossed, and streams that break and are resumed.
 */
#include <gtest/gtest.h>

#include <future>
#include <thread>

#include "responses.h"

using namespace e2e;

TEST_F(Responses, AnAnswerSplitAtEveryByteComesWhole)
{
	const std::string answer = STREAM_HEAD + chunk(event(0) + event(1)) +
	    chunk(DONE) + "0\r\n\r\n";

	for (size_t split = 1; split < answer.size(); split++) {
		scripted.set([=](Peer &peer, const std::string &) {
			peer.send_text(answer.substr(0, split));
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(2));
			peer.send_text(answer.substr(split));
		});
		Answer got = complete("/scripted");
		ASSERT_TRUE(got.whole) << split << got.error;
		ASSERT_EQ(got.body, event(0) + event(1) + DONE) << split;
	}
}

TEST_F(Responses, AnAnswerLargerThanAnyBufferComesWhole)
{
	std::string body;

	for (int i = 0; body.size() < 5000000; i++)
		body += std::to_string(i) + ",";
	scripted.set([=](Peer &peer, const std::string &) {
		peer.send_text(head(
		    "Content-Length: " + std::to_string(body.size()) + "\r\n"));
		peer.send_text(body);
	});
	EXPECT_EQ(get("/plain").body, body);
	scripted.set([=](Peer &peer, const std::string &) {
		peer.send_text(head("Transfer-Encoding: chunked\r\n") +
		    chunk(body) + "0\r\n\r\n");
	});
	EXPECT_EQ(get("/plain").body, body);
}

TEST_F(Responses, ACutAnswerHasNoProperEnd)
{
	const std::string cuts[] = {
		head("Content-Length: 100\r\n") + "short",
		head("Transfer-Encoding: chunked\r\n") + chunk("part"),
		head("Transfer-Encoding: chunked\r\n") + "64\r\npart",
		head("Transfer-Encoding: chunked\r\n") + chunk("part") + "zz",
	};

	for (const auto &cut : cuts) {
		scripted.set([=](Peer &peer, const std::string &) {
			peer.send_text(cut);
		});
		Answer answer = get("/plain");
		EXPECT_EQ(answer.status, 200);
		EXPECT_FALSE(answer.whole) << cut;
	}
}

TEST_F(Responses, AHeadThatBreaksOffIsUnknown)
{
	scripted.set([=](Peer &peer, const std::string &) {
		peer.send_text("HTTP/1.1 200 OK\r\nContent-Le");
	});
	Answer answer = call("POST", fleet.daemons[0].url("/plain"), "x", KEY);
	EXPECT_EQ(answer.status, 502);
	EXPECT_EQ(answer.headers["bamboorudder-run"], "unknown");
	EXPECT_EQ(scripted.requests().size(), 1u);
}

TEST_F(Responses, AStreamWithoutItsLastEventHasNoProperEnd)
{
	scripted.set([=](Peer &peer, const std::string &) {
		peer.send_text(STREAM_HEAD + chunk(event(0)) + "0\r\n\r\n");
	});
	EXPECT_FALSE(complete("/scripted").whole);
	/* the same where the endpoint ends its answer by closing */
	scripted.set([=](Peer &peer, const std::string &) {
		peer.send_text(
		    head("Content-Type: text/event-stream\r\n") + event(0));
	});
	EXPECT_FALSE(complete("/scripted").whole);
}

TEST_F(Responses, ACutWithinAnEventNeverReachesTheCaller)
{
	scripted.set([=](Peer &peer, const std::string &) {
		peer.send_text(STREAM_HEAD + chunk(event(0)) +
		    chunk(event(1).substr(0, 9)));
	});
	Answer answer = complete("/scripted");
	EXPECT_FALSE(answer.whole);
	EXPECT_EQ(answer.body, event(0));
}

TEST_F(Responses, AStreamIsResumedAtEveryCutWithoutALostOrDoubledToken)
{
	const std::string events = event(0) + event(1) + event(2);

	for (size_t cut = event(0).size(); cut <= events.size(); cut++) {
		scripted.set([=](Peer &peer, const std::string &request) {
			size_t at = request.find("Last-Event-ID: ");
			int next = at == std::string::npos
			    ? 0
			    : std::stoi(request.substr(at + 15)) + 1;
			if (next == 0) {
				peer.send_text(
				    STREAM_HEAD + chunk(events.substr(0, cut)));
				return;
			}
			std::string rest;
			for (int i = next; i < 3; i++)
				rest += event(i);
			peer.send_text(
			    STREAM_HEAD + chunk(rest + DONE) + "0\r\n\r\n");
		});
		Answer answer = complete("/resumed");
		ASSERT_TRUE(answer.whole) << cut << answer.error;
		ASSERT_EQ(answer.body, events + DONE) << cut;
	}
}

TEST_F(Responses, AStreamThatCannotBeResumedHasNoProperEnd)
{
	scripted.set([=](Peer &peer, const std::string &request) {
		if (request.find("Last-Event-ID") == std::string::npos)
			peer.send_text(STREAM_HEAD + chunk(event(0)));
		else
			peer.send_text(
			    head("Content-Length: 4\r\n", "404 Not Found") +
			    "gone");
	});
	Answer answer = complete("/resumed");
	EXPECT_FALSE(answer.whole);
	EXPECT_EQ(answer.body, event(0));
	EXPECT_LE(scripted.requests().size(), 4u);
}

TEST_F(Responses, AnEngineThatBreaksOnceIsResumed)
{
	call("POST",
	    "http://" + engine + "/standin/set?break_after=3&break_count=1");
	Answer answer = complete("/v1/chat/completions",
	    ", \"standin_tokens\": 8");
	EXPECT_TRUE(answer.whole) << answer.error;
	for (int i = 0; i < 8; i++) {
		std::string token = "\"t" + std::to_string(i) + " \"";
		size_t at = answer.body.find(token);
		EXPECT_NE(at, std::string::npos) << token;
		EXPECT_EQ(answer.body.find(token, at + 1), std::string::npos);
	}
	EXPECT_EQ(engine_count("tokens"), 8u);
}

TEST_F(Responses, ALateAnswerReachesNobodyElse)
{
	scripted.set([=](Peer &peer, const std::string &request) {
		bool late = request.find("/late") != std::string::npos;
		if (late)
			std::this_thread::sleep_for(std::chrono::seconds(4));
		std::string body = late ? "late" : "right";
		peer.send_text(head("Content-Length: " +
				   std::to_string(body.size()) + "\r\n") +
		    body);
	});
	std::future<Answer> late = std::async(std::launch::async, [&] {
		return call("POST", fleet.daemons[0].url("/plain/late"), "x",
		    KEY);
	});
	for (int i = 0; i < 50; i++) {
		EXPECT_EQ(get("/plain").body, "right");
		std::this_thread::sleep_for(std::chrono::milliseconds(50));
	}
	EXPECT_EQ(late.get().headers["bamboorudder-run"], "unknown");
}

TEST_F(Responses, ExtraBytesAfterAnAnswerReachNobody)
{
	scripted.set([=](Peer &peer, const std::string &) {
		peer.send_text(head("Content-Length: 5\r\n") + "right" +
		    head("Content-Length: 5\r\n") + "wrong");
		std::this_thread::sleep_for(std::chrono::milliseconds(20));
		peer.send_text(head("Content-Length: 5\r\n") + "wrong");
		std::this_thread::sleep_for(std::chrono::milliseconds(200));
	});
	for (int i = 0; i < 30; i++) {
		Answer answer = get("/plain");
		EXPECT_EQ(answer.body, "right");
		EXPECT_TRUE(answer.whole);
	}
}

TEST_F(Responses, AnswersWithoutABodyAreFramedAsSuch)
{
	const std::string request =
	    " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
	    "key-a\r\nConnection: close\r\n\r\n";
	std::string text;

	scripted.set([=](Peer &peer, const std::string &) {
		peer.send_text(
		    "HTTP/1.1 103 Early Hints\r\nX-Early: 1\r\n\r\n" +
		    head("X-Kept: 1\r\n", "204 No Content"));
	});
	text = raw("GET /plain" + request);
	EXPECT_EQ(text.rfind("HTTP/1.1 204", 0), 0u) << text;
	EXPECT_EQ(text.find("chunked"), std::string::npos) << text;
	EXPECT_EQ(text.find("X-Early"), std::string::npos) << text;
	EXPECT_NE(text.find("X-Kept: 1"), std::string::npos) << text;
	EXPECT_EQ(text.find("\r\n\r\n"), text.size() - 4) << text;
	scripted.set([=](Peer &peer, const std::string &) {
		peer.send_text(head("ETag: \"1\"\r\n", "304 Not Modified"));
	});
	text = raw("GET /plain" + request);
	EXPECT_EQ(text.rfind("HTTP/1.1 304", 0), 0u) << text;
	EXPECT_EQ(text.find("chunked"), std::string::npos) << text;
	EXPECT_EQ(text.find("\r\n\r\n"), text.size() - 4) << text;
	scripted.set([=](Peer &peer, const std::string &) {
		peer.send_text(head("Content-Length: 7\r\n"));
	});
	text = raw("HEAD /plain" + request);
	EXPECT_NE(text.find("Content-Length: 7"), std::string::npos) << text;
	EXPECT_EQ(text.find("\r\n\r\n"), text.size() - 4) << text;
}

TEST_F(Responses, AnOldCallerGetsAnAnswerThatEndsByClosing)
{
	scripted.set([=](Peer &peer, const std::string &) {
		peer.send_text(head("Transfer-Encoding: chunked\r\n") +
		    chunk("one") + chunk("two") + "0\r\n\r\n");
	});
	std::string text = raw(
	    "GET /plain HTTP/1.0\r\nAuthorization: Bearer key-a\r\n\r\n");
	EXPECT_EQ(text.find("chunked"), std::string::npos) << text;
	EXPECT_NE(text.find("\r\n\r\nonetwo"), std::string::npos) << text;
	EXPECT_EQ(text.substr(text.size() - 6), "onetwo");
}
