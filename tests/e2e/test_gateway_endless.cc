#include "gateway_fixture.h"

using namespace e2e;

namespace
{

constexpr uint32_t CALLERS_COUNT = 8;
constexpr uint32_t TRIES_MAX_COUNT = 50;
/* What the requests of all callers may add to the daemon's memory. */
constexpr uint64_t MEMORY_MAX_KB = 32 * 1024;

/** A response that never ends: its start, then a piece again and again. */
struct EndlessResponse {
	const char *name, *path;
	std::function<std::string(const std::string &request)> start;
	std::string piece;
};

std::string
repeat(const std::string &text, size_t count)
{
	std::string all;

	for (size_t i = 0; i < count; i++)
		all += text;
	return all;
}

std::string
status_line(const std::string &)
{
	return "HTTP/1.1 200 OK\r\n";
}

std::string
foreign_head(const std::string &)
{
	return "HTTP/1.1 200 OK\r\nX-Bamboorudder-Request-Id: other\r\n"
	       "X-Bamboorudder-Replica-Signature: sig\r\n\r\n";
}

std::string
own_head(const std::string &request)
{
	std::string head = event_stream_head(request);

	return head.substr(0, head.find("Content-Type")) +
	    "Transfer-Encoding: chunked\r\n\r\n";
}

class GatewayMemory : public Gateway
{
      protected:
	Response send_once(const std::string &path, const std::string &id) const
	{
		return send_request("POST",
		    "http://127.0.0.1:" + std::to_string(harness.listen_port) +
			path,
		    "b",
		    { "Host: a.example", "X-Bamboorudder-Request-Id: " + id,
			"X-Bamboorudder-Deadline-Ms: 8000" },
		    12000);
	}

	/** Sends a request again while the daemon sheds it: a busy one may. */
	Response send_until_started(const std::string &path,
	    uint32_t number) const
	{
		std::string id = "endless" + std::to_string(number) + "-";
		Response response;

		for (uint32_t i = 0; i < TRIES_MAX_COUNT; i++) {
			response = send_once(path, id + std::to_string(i));
			if (response.status != 503)
				break;
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(20));
		}
		return response;
	}
};

class GatewayEndless : public GatewayMemory,
		       public ::testing::WithParamInterface<EndlessResponse>
{
};

TEST_P(GatewayEndless, BytesThatNeverEndNeitherFillMemoryNorHoldUpOthers)
{
	auto closed_count = std::make_shared<std::atomic<uint32_t>>(0);
	std::vector<std::thread> callers;

	first_endpoint.set_script(
	    [closed_count, endless = GetParam()](Connection &connection,
		const std::string &request) {
		    if (request.find("/safe/") != std::string::npos) {
			    connection.send_text(
				response_text(request, "whole"));
			    return;
		    }
		    connection.send_text(endless.start(request));
		    while (connection.send_text(endless.piece))
			    continue;
		    (*closed_count)++;
	    });
	start();
	ASSERT_EQ(harness.send("GET", "/safe/").status, 200);
	uint64_t before_kb = harness.memory_peak_kb();
	for (uint32_t i = 0; i < CALLERS_COUNT; i++)
		callers.emplace_back([&, i] {
			Response response = send_until_started(GetParam().path,
			    i);
			EXPECT_FALSE(
			    response.status == 200 && response.complete);
		});
	for (int i = 0; i < 10; i++) {
		EXPECT_EQ(harness.send("GET", "/safe/").status, 200);
		std::this_thread::sleep_for(std::chrono::milliseconds(50));
	}
	EXPECT_TRUE(
	    eventually([&] { return *closed_count >= CALLERS_COUNT; }, 4000));
	for (auto &caller : callers)
		caller.join();
	uint64_t added_kb = harness.memory_peak_kb() - before_kb;
	EXPECT_TRUE(SANITIZED || added_kb < MEMORY_MAX_KB) << added_kb;
}

/* Each sends less than a response may have, and none ends. */
TEST_F(GatewayMemory, ManyUnfinishedResponsesDoNotFillTheMemory)
{
	constexpr uint32_t UNFINISHED_COUNT = 200;
	const std::string most_of_a_body(250 * 1024, 'g');
	std::vector<std::thread> callers;

	first_endpoint.set_script([most_of_a_body](Connection &connection,
				      const std::string &request) {
		if (request.find("/safe/") != std::string::npos) {
			connection.send_text(response_text(request, "whole"));
			return;
		}
		connection.send_text(
		    own_head(request) + http_chunk(most_of_a_body));
		connection.read_request(); /* until it is closed */
	});
	start();
	ASSERT_EQ(harness.send("GET", "/safe/").status, 200);
	uint64_t before_kb = harness.memory_peak_kb();
	for (uint32_t i = 0; i < UNFINISHED_COUNT; i++)
		callers.emplace_back([&, i] {
			Response response = send_until_started("/once/", i);
			EXPECT_FALSE(
			    response.status == 200 && response.complete);
		});
	for (auto &caller : callers)
		caller.join();
	uint64_t added_kb = harness.memory_peak_kb() - before_kb;
	EXPECT_TRUE(SANITIZED || added_kb < MEMORY_MAX_KB) << added_kb;
	EXPECT_EQ(harness.send("GET", "/safe/").status, 200);
}

INSTANTIATE_TEST_SUITE_P(All, GatewayEndless,
    ::testing::Values(EndlessResponse{ "HeaderLines", "/once/", status_line,
			  repeat("X-A: 1\r\n", 1000) },
	EndlessResponse{ "HeaderLine", "/once/", status_line,
	    repeat("X-A: 12", 1000) },
	EndlessResponse{ "InterimResponses", "/once/",
	    [](const std::string &) { return std::string(); },
	    repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1000) },
	EndlessResponse{ "NoHead", "/once/",
	    [](const std::string &) { return std::string(); },
	    repeat("garbage", 1000) },
	EndlessResponse{ "BodyOfAnotherRequest", "/once/", foreign_head,
	    repeat("garbage", 1000) },
	EndlessResponse{ "Trailers", "/once/",
	    [](const std::string &request) {
		    return own_head(request) + http_chunk("whole") + "0\r\n";
	    },
	    repeat("X-A: 1\r\n", 1000) },
	EndlessResponse{ "Body", "/once/", own_head,
	    http_chunk(repeat("garbage", 1000)) },
	EndlessResponse{ "Event", "/flow/", event_stream_head,
	    http_chunk(repeat("data: a\n", 1000)) }),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
