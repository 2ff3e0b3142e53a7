/*
 * Whole answers to the right caller: answers that are split, cut, late, too
 * long, too short or crossed; streams that break and are resumed; callers
 * that are slow or vanish; and what passes between callers and endpoints.
 */
#include <gtest/gtest.h>
#include <signal.h>

#include <future>
#include <thread>

#include "fleet.h"
#include "scripted_endpoint.h"

using namespace e2e;

namespace
{

const std::vector<std::string> KEY = { "Authorization: Bearer key-a" };
const std::string SETTINGS = "request.idle_timeout_ms = 1000\n"
			     "request.timeout_ms = 20000\n"
			     "request.connect_timeout_ms = 500\n";

std::string
head(const std::string &lines, const std::string &status = "200 OK")
{
	return "HTTP/1.1 " + status + "\r\n" + lines + "\r\n";
}

std::string
chunk(const std::string &text)
{
	char size[16];

	snprintf(size, sizeof(size), "%zx\r\n", text.size());
	return size + text + "\r\n";
}

std::string
event(int i)
{
	return "id: " + std::to_string(i) +
	    "\ndata: {\"t\":" + std::to_string(i) + "}\n\n";
}

const std::string STREAM_HEAD = head(
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
const std::string DONE = "data: [DONE]\n\n";

/* Connects to a daemon and sends bytes as they are. */
class RawCaller
{
      public:
	explicit RawCaller(const Daemon &daemon)
	{
		sockaddr_in address = {};
		timeval limit = { 15, 0 };

		fd_ = socket(AF_INET, SOCK_STREAM, 0);
		setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		address.sin_port = htons(daemon.listen_port);
		EXPECT_EQ(connect(fd_, reinterpret_cast<sockaddr *>(&address),
			      sizeof(address)),
		    0);
	}

	~RawCaller()
	{
		close(fd_);
	}

	RawCaller(const RawCaller &) = delete;
	RawCaller &operator=(const RawCaller &) = delete;

	void send_text(const std::string &text)
	{
		::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
	}

	/* Reads until the daemon closes. */
	std::string read_all()
	{
		std::string text;

		while (read_some(&text))
			continue;
		return text;
	}

	bool read_some(std::string *text, size_t limit_bytes = 4096)
	{
		char buffer[4096];
		ssize_t count = recv(fd_, buffer,
		    std::min(limit_bytes, sizeof(buffer)), 0);

		if (count > 0)
			text->append(buffer, (size_t)count);
		return count > 0;
	}

      private:
	int fd_;
};

class Answers : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		engine = fleet.add_engine(4, 1000);
		fleet.add_daemons(1);
		fleet.apply("pools",
		    pools_table(
			service_pool("plain", { scripted.address() }, 8) + "," +
			model_pool("scripted", { scripted.address() }, 8) +
			"," +
			model_pool("resumed", { scripted.address() }, 8,
			    ", \"resume\": true") +
			"," +
			model_pool("engine", { engine }, 4,
			    ", \"resume\": true")));
		fleet.apply("routes",
		    pools_table(route("a", "key-a", "/plain", "plain") + "," +
			route("a", "key-a", "/scripted", "scripted") + "," +
			route("a", "key-a", "/resumed", "resumed") + "," +
			route("a", "key-a", "/v1/chat", "engine") + "," +
			route("b", "key-b", "/other", "plain")));
		fleet.wait_ready();
	}

	Answer get(const std::string &path)
	{
		return call("GET", fleet.daemons[0].url(path), "", KEY);
	}

	Answer complete(const std::string &path, const std::string &more = "")
	{
		return call("POST", fleet.daemons[0].url(path),
		    "{\"messages\": [], \"stream\": true" + more + "}", KEY);
	}

	std::string raw(const std::string &text)
	{
		RawCaller caller(fleet.daemons[0]);

		caller.send_text(text);
		return caller.read_all();
	}

	uint64_t engine_count(const std::string &name)
	{
		std::string text =
		    call("GET", "http://" + engine + "/standin/counts").body;
		size_t at = text.find("\"" + name + "\":");

		return at == std::string::npos
		    ? 0
		    : std::stoull(text.substr(at + name.size() + 3));
	}

	ScriptedEndpoint scripted;
	Fleet fleet{ SETTINGS };
	std::string engine;
};

} // namespace

TEST_F(Answers, AnAnswerSplitAtEveryByteComesWhole)
{
	const std::string answer = STREAM_HEAD + chunk(event(0) + event(1)) +
	    chunk(DONE) + "0\r\n\r\n";

	for (size_t split = 1; split < answer.size(); split++) {
		scripted.set([&](Peer &peer, const std::string &) {
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

TEST_F(Answers, AnAnswerLargerThanAnyBufferComesWhole)
{
	std::string body;

	for (int i = 0; body.size() < 5000000; i++)
		body += std::to_string(i) + ",";
	scripted.set([&](Peer &peer, const std::string &) {
		peer.send_text(head(
		    "Content-Length: " + std::to_string(body.size()) + "\r\n"));
		peer.send_text(body);
	});
	EXPECT_EQ(get("/plain").body, body);
	scripted.set([&](Peer &peer, const std::string &) {
		peer.send_text(head("Transfer-Encoding: chunked\r\n") +
		    chunk(body) + "0\r\n\r\n");
	});
	EXPECT_EQ(get("/plain").body, body);
}

TEST_F(Answers, ACutAnswerHasNoProperEnd)
{
	const std::string cuts[] = {
		head("Content-Length: 100\r\n") + "short",
		head("Transfer-Encoding: chunked\r\n") + chunk("part"),
		head("Transfer-Encoding: chunked\r\n") + "64\r\npart",
		head("Transfer-Encoding: chunked\r\n") + chunk("part") + "zz",
	};

	for (const auto &cut : cuts) {
		scripted.set([&](Peer &peer, const std::string &) {
			peer.send_text(cut);
		});
		Answer answer = get("/plain");
		EXPECT_EQ(answer.status, 200);
		EXPECT_FALSE(answer.whole) << cut;
	}
}

TEST_F(Answers, AHeadThatBreaksOffIsUnknown)
{
	scripted.set([&](Peer &peer, const std::string &) {
		peer.send_text("HTTP/1.1 200 OK\r\nContent-Le");
	});
	Answer answer = call("POST", fleet.daemons[0].url("/plain"), "x", KEY);
	EXPECT_EQ(answer.status, 502);
	EXPECT_EQ(answer.headers["bamboorudder-run"], "unknown");
	EXPECT_EQ(scripted.requests().size(), 1u);
}

TEST_F(Answers, AStreamWithoutItsLastEventHasNoProperEnd)
{
	scripted.set([&](Peer &peer, const std::string &) {
		peer.send_text(STREAM_HEAD + chunk(event(0)) + "0\r\n\r\n");
	});
	EXPECT_FALSE(complete("/scripted").whole);
	/* the same where the endpoint ends its answer by closing */
	scripted.set([&](Peer &peer, const std::string &) {
		peer.send_text(
		    head("Content-Type: text/event-stream\r\n") + event(0));
	});
	EXPECT_FALSE(complete("/scripted").whole);
}

TEST_F(Answers, ACutWithinAnEventNeverReachesTheCaller)
{
	scripted.set([&](Peer &peer, const std::string &) {
		peer.send_text(STREAM_HEAD + chunk(event(0)) +
		    chunk(event(1).substr(0, 9)));
	});
	Answer answer = complete("/scripted");
	EXPECT_FALSE(answer.whole);
	EXPECT_EQ(answer.body, event(0));
}

TEST_F(Answers, AStreamIsResumedAtEveryCutWithoutALostOrDoubledToken)
{
	const std::string events = event(0) + event(1) + event(2);

	for (size_t cut = event(0).size(); cut <= events.size(); cut++) {
		scripted.set([&](Peer &peer, const std::string &request) {
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

TEST_F(Answers, AStreamThatCannotBeResumedHasNoProperEnd)
{
	scripted.set([&](Peer &peer, const std::string &request) {
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

TEST_F(Answers, AnEngineThatBreaksOnceIsResumed)
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

TEST_F(Answers, ALateAnswerReachesNobodyElse)
{
	scripted.set([&](Peer &peer, const std::string &request) {
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

TEST_F(Answers, ExtraBytesAfterAnAnswerReachNobody)
{
	scripted.set([&](Peer &peer, const std::string &) {
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

TEST_F(Answers, AnswersWithoutABodyAreFramedAsSuch)
{
	const std::string request =
	    " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
	    "key-a\r\nConnection: close\r\n\r\n";
	std::string text;

	scripted.set([&](Peer &peer, const std::string &) {
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
	scripted.set([&](Peer &peer, const std::string &) {
		peer.send_text(head("ETag: \"1\"\r\n", "304 Not Modified"));
	});
	text = raw("GET /plain" + request);
	EXPECT_EQ(text.rfind("HTTP/1.1 304", 0), 0u) << text;
	EXPECT_EQ(text.find("chunked"), std::string::npos) << text;
	EXPECT_EQ(text.find("\r\n\r\n"), text.size() - 4) << text;
	scripted.set([&](Peer &peer, const std::string &) {
		peer.send_text(head("Content-Length: 7\r\n"));
	});
	text = raw("HEAD /plain" + request);
	EXPECT_NE(text.find("Content-Length: 7"), std::string::npos) << text;
	EXPECT_EQ(text.find("\r\n\r\n"), text.size() - 4) << text;
}

TEST_F(Answers, AnOldCallerGetsAnAnswerThatEndsByClosing)
{
	scripted.set([&](Peer &peer, const std::string &) {
		peer.send_text(head("Transfer-Encoding: chunked\r\n") +
		    chunk("one") + chunk("two") + "0\r\n\r\n");
	});
	std::string text = raw(
	    "GET /plain HTTP/1.0\r\nAuthorization: Bearer key-a\r\n\r\n");
	EXPECT_EQ(text.find("chunked"), std::string::npos) << text;
	EXPECT_NE(text.find("\r\n\r\nonetwo"), std::string::npos) << text;
	EXPECT_EQ(text.substr(text.size() - 6), "onetwo");
}

TEST_F(Answers, HopByHopAndInternalHeadersStop)
{
	std::string answer, request;

	scripted.set([&](Peer &peer, const std::string &) {
		peer.send_text(head("Connection: close, X-Hop\r\nX-Hop: 1\r\n"
				    "X-End: 1\r\nBamboorudder-Run: not-run\r\n"
				    "Bamboorudder-Other: 1\r\n"
				    "Keep-Alive: timeout=9\r\n"
				    "Content-Length: 2\r\n") +
		    "ok");
	});
	answer = raw("GET /plain?a=b%2Fc HTTP/1.1\r\nHost: h\r\n"
		     "Authorization: Bearer key-a\r\n"
		     "Connection: close, X-Call-Hop\r\nX-Call-Hop: 1\r\n"
		     "X-Call-End: 1\r\nTE: trailers\r\n"
		     "Proxy-Authorization: secret\r\n"
		     "Bamboorudder-Run: not-run\r\n\r\n");
	ASSERT_EQ(scripted.requests().size(), 1u);
	request = scripted.requests()[0];
	EXPECT_EQ(request.rfind("GET /plain?a=b%2Fc HTTP/1.1\r\n", 0), 0u);
	EXPECT_NE(request.find("X-Call-End: 1"), std::string::npos);
	for (const char *text :
	    { "key-a", "X-Call-Hop", "TE:", "secret", "Bamboorudder" })
		EXPECT_EQ(request.find(text), std::string::npos) << request;
	EXPECT_NE(answer.find("X-End: 1"), std::string::npos) << answer;
	for (const char *text : { "X-Hop", "Bamboorudder", "timeout=9" })
		EXPECT_EQ(answer.find(text), std::string::npos) << answer;
	EXPECT_NE(answer.find("ok"), std::string::npos);
}

namespace
{

/* The server answers a malformed head as HTTP/1.0. */
bool
is_typed_refusal(const std::string &text)
{
	return text.rfind("HTTP/1.", 0) == 0 && text.find(" 4") == 8 &&
	    text.find("Bamboorudder-Run: not-run") != std::string::npos &&
	    text.find("\"error\":{\"type\":") != std::string::npos;
}

std::string
get_request(const std::string &target)
{
	return "GET " + target +
	    " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
	    "Authorization: Bearer key-a\r\n\r\n";
}

} // namespace

TEST_F(Answers, ACallerReachesOnlyItsRoute)
{
	const char *paths[] = { "/plain/../other", "/plain/%2e%2e/other",
		"/plain/..%2fother", "//other", "/plain//x", "/plain/./x",
		"/plain/..;/other", "/plain\\..\\other", "/plain/%2e", "other",
		"/plain%00", "/plain/%252e%252e/other" };
	/* CivetWeb closes on these without an answer */
	const char *targets[] = { "http://127.0.0.1/other", "http://h/plain",
		"http://h/plain/../other", "*" };

	scripted.set([](Peer &peer, const std::string &) {
		peer.send_text(head("Content-Length: 0\r\n"));
	});
	for (const char *path : paths) {
		std::string text = raw(get_request(path));
		EXPECT_TRUE(is_typed_refusal(text)) << path << text;
	}
	for (const char *target : targets) {
		std::string text = raw(get_request(target));
		EXPECT_TRUE(text.empty() || is_typed_refusal(text))
		    << target << text;
	}
	EXPECT_TRUE(scripted.requests().empty());
	EXPECT_EQ(get("/other").status, 403);
}

TEST_F(Answers, OversizedHeadsAreRefusedAndTheDaemonGoesOn)
{
	std::string text = raw("GET /plain HTTP/1.1\r\nHost: h\r\nX-Long: " +
	    std::string(100000, 'x') + "\r\n\r\n");

	EXPECT_TRUE(is_typed_refusal(text)) << text.substr(0, 200);
	scripted.set([](Peer &peer, const std::string &) {
		peer.send_text(head("X-Long: " + std::string(100000, 'x') +
		    "\r\nContent-Length: 0\r\n"));
	});
	EXPECT_EQ(get("/plain").headers["bamboorudder-run"], "unknown");
	scripted.set([](Peer &peer, const std::string &) {
		peer.send_text(head("Content-Length: 2\r\n") + "ok");
	});
	EXPECT_EQ(get("/plain").body, "ok");
}

TEST_F(Answers, ASlowCallerGetsItsWholeAnswer)
{
	const std::string body(3000000, 'x');
	std::string text;

	scripted.set([&](Peer &peer, const std::string &) {
		peer.send_text(head("Content-Length: 3000000\r\n") + body);
	});
	RawCaller caller(fleet.daemons[0]);
	caller.send_text("GET /plain HTTP/1.1\r\nHost: h\r\nConnection: "
			 "close\r\nAuthorization: Bearer key-a\r\n\r\n");
	/* longer than the endpoint may be silent */
	std::this_thread::sleep_for(std::chrono::milliseconds(2500));
	while (caller.read_some(&text))
		continue;
	EXPECT_EQ(text.size() - text.find("\r\n\r\n") - 4, body.size());
}

TEST_F(Answers, AVanishedCallerFreesItsSlot)
{
	for (int i = 0; i < 4; i++) {
		RawCaller caller(fleet.daemons[0]);
		std::string body = "{\"messages\": [], \"stream\": true, "
				   "\"standin_tokens\": 100000}";
		std::string text;
		caller.send_text("POST /v1/chat HTTP/1.1\r\nHost: h\r\n"
				 "Authorization: Bearer key-a\r\n"
				 "Content-Length: " +
		    std::to_string(body.size()) + "\r\n\r\n" + body);
		EXPECT_TRUE(caller.read_some(&text));
	}
	EXPECT_TRUE(eventually([&] {
		return complete("/v1/chat/completions",
			   ", \"standin_tokens\": 1")
			   .status == 200;
	}));
	EXPECT_TRUE(eventually([&] {
		return fleet.admin_call(0, "GET", "/metrics")
			   .body.find("bamboorudder_requests_running 0\n") !=
		    std::string::npos;
	}));
}
