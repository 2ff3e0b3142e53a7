#include "gateway_fixture.h"

using namespace e2e;

namespace
{

/* Header lines of a total size, of which curl sends some itself. */
std::vector<std::string>
header_lines(size_t total_bytes, size_t count)
{
	size_t value_bytes = total_bytes / count - sizeof("X-Field-000: \r\n") +
	    1;
	std::vector<std::string> lines;
	char name[40];

	for (size_t i = 0; i < count; i++) {
		snprintf(name, sizeof(name), "X-Field-%03zu: ", i);
		lines.push_back(name + std::string(value_bytes, 'v'));
	}
	return lines;
}

std::string
head_text(size_t total_bytes, size_t count)
{
	std::string text;

	for (const std::string &line : header_lines(total_bytes, count))
		text += line + "\r\n";
	return text;
}

class GatewayHeads : public Gateway
{
      protected:
	/** Lets the endpoint respond with headers of a total size besides its
	 * own. */
	void respond_with_head(size_t total_bytes, size_t count)
	{
		first_endpoint.set_script([this, total_bytes,
					      count](Connection &connection,
					      const std::string &request) {
			first_request_count++;
			connection.send_text(response_text(request, "whole",
			    "200 OK",
			    total_bytes == 0 ? ""
					     : head_text(total_bytes, count)));
		});
	}

	Response book(size_t head_bytes, size_t lines_count)
	{
		return harness.send("POST", "/once/",
		    header_lines(head_bytes, lines_count), "b");
	}
};

struct Heads {
	size_t request_bytes, request_lines, response_bytes, response_lines;
};

class GatewayLongHeads : public GatewayHeads,
			 public ::testing::WithParamInterface<Heads>
{
};

TEST_P(GatewayLongHeads, ResponseIsNotLostForWantOfRoomBesideItsRequest)
{
	Heads heads = GetParam();

	respond_with_head(heads.response_bytes, heads.response_lines);
	start();
	Response response = book(heads.request_bytes, heads.request_lines);
	EXPECT_EQ(response.status, 200) << response.error;
	EXPECT_EQ(response.body, "whole");
	EXPECT_EQ(response.headers.count("x-field-000"),
	    heads.response_bytes > 0 ? 1u : 0u);
	EXPECT_EQ(first_request_count, 1);
}

INSTANTIATE_TEST_SUITE_P(Heads, GatewayLongHeads,
    ::testing::Values(Heads{ 16100, 60, 0, 0 }, Heads{ 15300, 60, 1500, 1 },
	Heads{ 16100, 100, 8000, 20 }, Heads{ 1000, 8, 18000, 40 },
	Heads{ 2000, 100, 12000, 60 }));

TEST_F(GatewayHeads, ResponseWithAHeadTooLongToRelayIsNotLost)
{
	constexpr size_t HEAD_BYTES = 50000;

	respond_with_head(HEAD_BYTES, 50);
	start();
	for (int i = 1; i <= 5; i++) {
		ASSERT_EQ(book(1000, 8).status, 502);
		ASSERT_TRUE(harness.logged("outcome=response_head_too_large"));
		ASSERT_EQ(first_request_count, i);
	}
	respond_with_head(0, 0);
	EXPECT_EQ(book(1000, 8).status, 200);
}

/* The server keeps a copy of them. */
TEST_F(GatewayHeads, ResponseIsNotLostBesideLongCookies)
{
	std::string cookies = "Cookie: ";

	for (int i = 0; i < 40; i++)
		cookies += "c" + std::to_string(i) + "=" +
		    std::string(300, 'v') + "; ";
	respond_with_head(2000, 4);
	start();
	EXPECT_EQ(harness.send("POST", "/once/", { cookies + "end=1" }, "b")
		      .status,
	    200);
	EXPECT_EQ(first_request_count, 1);
}

TEST_F(GatewayHeads, RequestThatLeavesNoRoomForAResponseIsRefusedUnrun)
{
	constexpr size_t LINES_COUNT = 400;

	respond_with_head(0, 0);
	start();
	EXPECT_EQ(book(LINES_COUNT * 16, LINES_COUNT).status, 431);
	EXPECT_TRUE(harness.logged("outcome=head_too_large"));
	EXPECT_EQ(first_request_count, 0);
}

TEST_F(GatewayHeads, RequestHeadOverTheConfiguredLimitIsRefused)
{
	std::string configuration = configuration_json(3, routes, accounts);

	configuration.replace(configuration.find("\"max_body_bytes\""), 0,
	    "\"max_header_bytes\":2000,");
	respond_with_head(0, 0);
	harness.store.put("config", "main", configuration);
	harness.add_endpoint("e1", first_endpoint);
	ASSERT_TRUE(eventually(
	    [&] { return harness.is_ready() && harness.discovered("e1"); }));
	EXPECT_EQ(book(1500, 10).status, 200);
	EXPECT_EQ(book(2200, 10).status, 431);
	EXPECT_EQ(first_request_count, 1);
}

/* The bytes of the next request take room on the connection, too. */
TEST_F(GatewayHeads, ResponseIsNotLostBesideAPipelinedRequest)
{
	const std::string body(60000, 'b');
	const std::string request =
	    "POST /once/ HTTP/1.1\r\nHost: a.example\r\n"
	    "X-Bamboorudder-Deadline-Ms: 8000\r\n"
	    "Content-Length: 60000\r\n" +
	    head_text(12000, 60);

	respond_with_head(8000, 20);
	start();
	Caller caller(harness.listen_port,
	    request + "X-Bamboorudder-Request-Id: p1\r\n\r\n" + body + request +
		"X-Bamboorudder-Request-Id: p2\r\n\r\n" + body);
	EXPECT_EQ(caller.receive().rfind("HTTP/1.1 200", 0), 0u);
}

TEST_F(GatewayHeads, ResponseThatItsCallerDidNotGetIsLogged)
{
	constexpr size_t BODY_BYTES = 6 * 1024 * 1024;

	first_endpoint.set_script(count_and_respond(&first_request_count,
	    std::string(BODY_BYTES, 'b')));
	start();
	{
		Caller caller(harness.listen_port, "/safe/", 1);
		EXPECT_EQ(caller.receive().rfind("HTTP/1.1 200", 0), 0u);
	}
	EXPECT_TRUE(eventually([&] {
		return harness.daemon->log().find(
			   "event=response_unsent id=c1 outcome=answered "
			   "status=200 reason=") != std::string::npos;
	})) << harness.daemon->log();
}

/* The server refuses an empty value, and one with a tab. */
TEST_F(GatewayHeads, EveryFieldOfASuccessArrives)
{
	first_endpoint.set_script([this](Connection &connection,
				      const std::string &request) {
		first_request_count++;
		connection.send_text(response_text(request, "whole", "200 OK",
		    "X-Empty:\r\nX-Blank: \t \r\nX-Last: l\xc3\xa9\r\n"));
	});
	start();
	Response response = book(1000, 8);
	EXPECT_EQ(response.status, 200);
	EXPECT_EQ(response.headers.count("x-empty"), 1u);
	EXPECT_EQ(response.headers["x-empty"], "");
	EXPECT_EQ(response.headers.count("x-blank"), 1u);
	EXPECT_EQ(response.headers["x-last"], "l\xc3\xa9");
}

TEST_F(GatewayHeads, ASuccessWithAFieldThatCannotBeSentIsNone)
{
	first_endpoint.set_script(
	    [this](Connection &connection, const std::string &request) {
		    first_request_count++;
		    connection.send_text(response_text(request, "whole",
			"200 OK", "X-Tab: one\ttwo\r\n"));
	    });
	start();
	EXPECT_EQ(book(1000, 8).status, 502);
	EXPECT_TRUE(harness.logged("error=\"tab in a field that is relayed\""));
	EXPECT_EQ(first_request_count, 1);
}

TEST_F(GatewayHeads, MoreFieldsThanAreReadAreNoResponse)
{
	respond_with_head(300 * 20, 300);
	start();
	EXPECT_EQ(book(1000, 8).status, 502);
	respond_with_head(100 * 20, 100);
	Response response = book(1000, 8);
	EXPECT_EQ(response.status, 200);
	EXPECT_EQ(response.headers.count("x-field-099"), 1u);
}

} // namespace
