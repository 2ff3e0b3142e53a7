/*
 * A head whose first field line begins with a blank continues no line. It must not
 * reach the fields of an earlier response, whose memory is free.
 */
#include "gateway_fixture.h"

using namespace e2e;

namespace
{

/* Freed memory may still hold the old bytes, so one response can do no harm. */
constexpr int ROUNDS_COUNT = 8;

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
		first_endpoint.set_script([this](Connection &connection,
					      const std::string &request) {
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
		Response sound = harness.send("POST", "/once/", {}, "b");
		ASSERT_EQ(sound.status, 200) << sound.error;
		ASSERT_EQ(sound.body, "whole");
		Response folded = harness.send("POST", "/once/", {}, "b");
		ASSERT_NE(folded.status, 0) << folded.error;
	}
	EXPECT_EQ(first_request_count, 2 * ROUNDS_COUNT);
}

INSTANTIATE_TEST_SUITE_P(Starts, GatewayFoldedHeads,
    ::testing::ValuesIn(folded_starts));

} // namespace
