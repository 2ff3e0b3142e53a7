/*
 * An endpoint in trouble answers before it has read a long body and breaks off, or
 * sends a status that is none. Neither may reach a caller as a response.
 */
#include "gateway_fixture.h"
#include "handoff_fixture.h"
#include "responses.h"

using namespace e2e;

namespace
{

constexpr size_t UPLOAD_BYTES = 3 * 1024 * 1024;

/** An early response without its end, and how the connection ends. */
struct Break {
	const char *head;
	uint32_t wait_ms;
	bool reset;
};

const std::vector<Break> breaks = {
	{ "HTTP/1.1 200 OK\r\n", 0, true },
	{ "HTTP/1.1 200 OK\r\n", 50, true },
	{ "HTTP/1.1 200 OK\r\n", 250, true },
	{ "HTTP/1.1 200 OK\r\n", 50, false },
	{ "HTTP/1.1 200 OK\r\nConnection: close\r\n", 50, true },
	{ "HTTP/1.1 200 OK\r\nConnection: close\r\n", 250, false },
	{ "HTTP/1.0 200 OK\r\n", 50, true },
	{ "HTTP/1.1 201 Created\r\n", 50, true },
	{ "HTTP/1.1 404 Not Found\r\n", 50, true },
	{ "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n", 50, true },
	{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", 50, true },
};

const std::vector<std::string> false_statuses = { "000", "001", "099", "600",
	"700", "999" };

ScriptedEndpoint::Script
break_off(const Break &item, const std::string &headers)
{
	return [item, headers](Connection &connection, const std::string &) {
		std::string head = item.head;

		if (head.find("chunked") != std::string::npos)
			connection.send_text(
			    head + headers + "\r\n5\r\npart\n");
		else
			connection.send_text(head + headers + "\r\npart");
		std::this_thread::sleep_for(
		    std::chrono::milliseconds(item.wait_ms));
		if (item.reset)
			connection.end_by_reset();
	};
}

ScriptedEndpoint::Script
respond_with_status(const std::string &status, const std::string &headers)
{
	return [status, headers](Connection &connection, const std::string &) {
		connection.send_text("HTTP/1.1 " + status + " Trouble\r\n" +
		    headers + "Content-Length: 4\r\n\r\nbody");
	};
}

/** Headers of the platform's endpoints for a request. */
std::string
platform_headers(const std::string &id)
{
	return "X-Bamboorudder-Request-Id: " + id +
	    "\r\nX-Bamboorudder-Replica-Signature: sig\r\n";
}

class FalseResponses : public Gateway
{
      protected:
	FalseResponses()
	{
		limits = "\"max_body_bytes\":4194304,"
			 "\"idle_timeout_ms\":15000";
	}

	std::string next_headers() const
	{
		return platform_headers(
		    "id" + std::to_string(harness.last_request_id + 1));
	}
};

TEST_F(FalseResponses, AnEarlyResponseThatBreaksOffIsNone)
{
	const std::string upload(UPLOAD_BYTES, 'u');

	first_endpoint.answer_early();
	start();
	for (size_t i = 0; i < breaks.size(); i++)
		for (const char *path : { "/once/", "/flow/" }) {
			first_endpoint.set_script(
			    break_off(breaks[i], next_headers()));
			Response response = harness.send("POST", path, {},
			    upload);
			EXPECT_EQ(response.status, 502) << i << path;
			EXPECT_EQ(response.body, "") << i << path;
		}
}

TEST_F(FalseResponses, AStatusThatIsNoneIsNoResponse)
{
	start();
	for (const auto &status : false_statuses)
		for (const char *path : { "/once/", "/flow/" }) {
			first_endpoint.set_script(
			    respond_with_status(status, next_headers()));
			Response response = harness.send("POST", path, {}, "b");
			EXPECT_EQ(response.status, 502) << status << path;
			EXPECT_EQ(response.body, "") << status << path;
		}
}

/** The same through a peer that has taken the caller's connection. */
class FalseResponsesPassed : public Handoff
{
};

TEST_F(FalseResponsesPassed, AStatusThatIsNoneIsNoResponse)
{
	start({ PASSES, TAKES, TAKES });
	for (const auto &status : false_statuses) {
		endpoint.set_script(respond_with_status(status,
		    platform_headers("r" + status)));
		EXPECT_EQ(send("/once/", "r" + status).status, 502) << status;
		EXPECT_NE(handled_by("r" + status), 0u);
	}
}

TEST_F(FalseResponsesPassed, AResponseThatBreaksOffIsNone)
{
	start({ PASSES, TAKES, TAKES });
	for (size_t i = 0; i < breaks.size(); i++) {
		std::string id = "b" + std::to_string(i);

		if (!breaks[i].reset)
			continue;
		endpoint.set_script(break_off(breaks[i], platform_headers(id)));
		EXPECT_EQ(send("/once/", id).status, 502) << i;
		EXPECT_NE(handled_by(id), 0u);
	}
}

/** The same on the project's own interface. */
class FalseResponsesOwn : public Responses
{
      protected:
	FalseResponsesOwn() : Responses("listen.body_max_bytes = 4194304\n")
	{
	}

	Response upload(const std::string &key = "")
	{
		std::vector<std::string> headers = AUTHORIZATION;

		if (!key.empty())
			headers.push_back("Idempotency-Key: " + key);
		return send_request("POST", fleet.daemons[0].url("/plain"),
		    std::string(UPLOAD_BYTES, 'u'), headers);
	}
};

/* A daemon for each, as it leaves an endpoint out that fails again and again. */
class FalseResponsesOwnBreak : public FalseResponsesOwn,
			       public ::testing::WithParamInterface<Break>
{
};

TEST_P(FalseResponsesOwnBreak, AnEarlyResponseThatBreaksOffIsNone)
{
	scripted.answer_early();
	scripted.set_script(break_off(GetParam(), ""));
	Response response = upload();
	EXPECT_NE(response.status, 413u);
	EXPECT_FALSE(response.complete && response.status < 500)
	    << response.status;
}

INSTANTIATE_TEST_SUITE_P(Breaks, FalseResponsesOwnBreak,
    ::testing::ValuesIn(breaks));

class FalseResponsesOwnStatus
    : public FalseResponsesOwn,
      public ::testing::WithParamInterface<std::string>
{
};

TEST_P(FalseResponsesOwnStatus, AStatusThatIsNoneIsNoResponse)
{
	scripted.set_script(respond_with_status(GetParam(), ""));
	Response response = send_request("POST", fleet.daemons[0].url("/plain"),
	    "x", AUTHORIZATION);
	EXPECT_EQ(response.status, 502);
	EXPECT_EQ(response.headers["bamboorudder-run"], "unknown");
	/* without a body */
	scripted.set_script([](Connection &connection, const std::string &) {
		connection.send_text("HTTP/1.1 " + GetParam() +
		    " Trouble\r\nContent-Length: 0\r\n\r\n");
	});
	response = send_request("POST", fleet.daemons[0].url("/plain"), "x",
	    AUTHORIZATION);
	EXPECT_EQ(response.status, 502);
}

INSTANTIATE_TEST_SUITE_P(Statuses, FalseResponsesOwnStatus,
    ::testing::ValuesIn(false_statuses));

/* What was recorded is given to the next request with the key. */
TEST_F(FalseResponsesOwn, NoFalseResponseIsRecorded)
{
	scripted.answer_early();
	scripted.set_script(break_off(breaks[1], ""));
	EXPECT_FALSE(upload("broken").complete);
	Response again = upload("broken");
	EXPECT_FALSE(again.complete && again.status < 400) << again.status;
	scripted.set_script(respond_with_status("000", ""));
	EXPECT_EQ(upload("none").status, 502);
	again = upload("none");
	EXPECT_GE(again.status, 400) << again.status;
	EXPECT_LT(again.status, 600) << again.status;
}

TEST_F(FalseResponsesOwn, AFalseResponseDoesNotEndAResumedStream)
{
	for (const auto &status : false_statuses) {
		auto count = std::make_shared<std::atomic<int>>(0);

		scripted.set_script([count, status](Connection &connection,
					const std::string &) {
			if ((*count)++ == 0)
				connection.send_text(
				    STREAM_HEAD + http_chunk(sse_event(0)));
			else
				connection.send_text("HTTP/1.1 " + status +
				    " Trouble\r\nContent-Type: "
				    "text/event-stream\r\n\r\n" +
				    DONE_EVENT);
		});
		Response response = post_completion("/resumed");
		EXPECT_FALSE(response.complete) << status;
		EXPECT_EQ(response.body, sse_event(0)) << status;
	}
}

} // namespace
