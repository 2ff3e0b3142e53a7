#include "http_client_fixture.h"

using namespace e2e;

namespace
{

TEST_F(HttpClient, HeadsThatNeverEndAreNotReadUntilTheTimeout)
{
	const std::pair<std::string, std::string> endless[] = {
		{ "HTTP/1.1 200 OK\r\n", "X-A: 1\r\n" },
		{ "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "2\r\n{}\r\n0\r\n",
		    "X-A: 1\r\n" },
	};

	for (const auto &[start, line] : endless) {
		server.set_script(
		    [start = start, line = line](Connection &connection,
			const std::string &) {
			    connection.send_text(start);
			    while (connection.send_text(line))
				    continue;
		    });
		EXPECT_FALSE(perform()) << start;
		EXPECT_LT(response.duration_us, CLIENT_TIMEOUT_MS * 1000 / 2)
		    << start;
	}
}

TEST_F(HttpClient, TakesAResponseAfterInterimResponses)
{
	server.set_script([](Connection &connection, const std::string &) {
		connection.send_text("HTTP/1.1 103 Early Hints\r\n\r\n"
				     "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n"
				     "Content-Length: 2\r\n\r\n{}");
	});
	EXPECT_TRUE(perform());
	EXPECT_EQ(response.status, 200u);
	EXPECT_EQ(http_etag_version(response.etag), 7u);
}

/* A new connection for each request would cost a round trip. */
TEST_F(HttpClient, SendsRequestsOneAfterTheOtherOnOneConnection)
{
	constexpr int REQUESTS_COUNT = 3;

	server.set_script([](Connection &connection, const std::string &) {
		for (int i = 0; i < REQUESTS_COUNT; i++) {
			connection.send_text("HTTP/1.1 200 OK\r\n"
					     "Content-Length: 2\r\n\r\n{}");
			connection.read_head();
		}
	});
	for (int i = 0; i < REQUESTS_COUNT; i++)
		EXPECT_TRUE(perform());
	EXPECT_EQ(server.requests().size(), 1u);
}

} // namespace
