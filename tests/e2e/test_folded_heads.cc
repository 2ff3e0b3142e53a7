/*
 * A head whose first field line begins with a blank continues no line. It must not
 * reach the fields of an earlier response, whose memory is free.
 */
#include "gateway_fixture.h"
#include "http_client_fixture.h"
#include "responses.h"

using namespace e2e;

namespace
{

/* Freed memory may still hold the old bytes, so one response can do no harm. */
constexpr int ROUNDS_COUNT = 8;

/* The threads of the own interface read responses by turns. */
constexpr int THREADS_ROUNDS_COUNT = 128;

/** Text before a response's fields, of which the last line begins blank. */
const std::vector<std::string> folded_starts = {
	"HTTP/1.1 200 OK\r\n ",
	"HTTP/1.1 200 OK\r\n\t",
	"HTTP/1.1 404 Not Found\r\n ",
	"HTTP/1.1 503 Unavailable\r\n ",
	"HTTP/1.1 100 Continue\r\n X-A: 1\r\n\r\nHTTP/1.1 200 OK\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n ",
	"HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\nHTTP/1.1 200 OK\r\n ",
};

class GatewayFoldedHeads : public Gateway,
			   public ::testing::WithParamInterface<std::string>
{
      protected:
	/** Lets every other response begin with the given text. */
	void fold_every_other_response()
	{
		first_endpoint.set_script(
		    [this](Connection &connection, const std::string &request) {
			    std::string text = response_text(request, "whole");

			    if (++first_request_count % 2 == 0)
				    text.replace(0, text.find("\r\n") + 2,
					GetParam());
			    connection.send_text(text);
		    });
	}
};

TEST_P(GatewayFoldedHeads, DoNotEndTheDaemonAfterASoundResponse)
{
	fold_every_other_response();
	start();
	for (int i = 0; i < ROUNDS_COUNT; i++) {
		Response sound = send_until_taken();
		ASSERT_EQ(sound.status, 200) << sound.error;
		ASSERT_EQ(sound.body, "whole");
		Response folded = send_until_taken();
		ASSERT_NE(folded.status, 0) << folded.error;
	}
	EXPECT_EQ(first_request_count, 2 * ROUNDS_COUNT);
}

INSTANTIATE_TEST_SUITE_P(Starts, GatewayFoldedHeads,
    ::testing::ValuesIn(folded_starts));

class OwnFoldedHeads : public Responses,
		       public ::testing::WithParamInterface<std::string>
{
      protected:
	/** Sends a request that is sent to the endpoint once. */
	Response post()
	{
		return send_request("POST", fleet.daemons[0].url("/plain"), "x",
		    AUTHORIZATION);
	}
};

TEST_P(OwnFoldedHeads, DoNotEndTheDaemonAfterASoundResponse)
{
	auto count = std::make_shared<std::atomic<int>>(0);
	const std::string rest = "X-A: 1\r\nContent-Length: 5\r\n\r\nwhole";

	scripted.set_script([count, rest](Connection &connection,
				const std::string &) {
		std::string start = ++*count % 2 == 0 ? GetParam()
						      : "HTTP/1.1 200 OK\r\n";

		connection.send_text(start + rest);
	});
	for (int i = 0; i < THREADS_ROUNDS_COUNT; i++) {
		ASSERT_EQ(post().body, "whole");
		ASSERT_NE(post().status, 0);
	}
}

INSTANTIATE_TEST_SUITE_P(Starts, OwnFoldedHeads,
    ::testing::ValuesIn(folded_starts));

class ClientFoldedHeads : public HttpClient,
			  public ::testing::WithParamInterface<std::string>
{
};

/* The store's responses are read by the same library. */
TEST_P(ClientFoldedHeads, DoNotEndTheProcessAfterASoundResponse)
{
	auto count = std::make_shared<std::atomic<int>>(0);

	server.set_script([count](Connection &connection, const std::string &) {
		std::string start = ++*count % 2 == 0 ? GetParam()
						      : "HTTP/1.1 200 OK\r\n";

		connection.send_text(
		    start + "ETag: \"7\"\r\nContent-Length: 2\r\n\r\n{}");
	});
	for (int i = 0; i < ROUNDS_COUNT; i++) {
		ASSERT_TRUE(perform());
		perform();
	}
	EXPECT_EQ(*count, 2 * ROUNDS_COUNT);
}

INSTANTIATE_TEST_SUITE_P(Starts, ClientFoldedHeads,
    ::testing::ValuesIn(folded_starts));

} // namespace
