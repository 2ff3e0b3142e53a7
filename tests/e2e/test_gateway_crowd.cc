#include "crowd.h"

using namespace e2e;

namespace
{

/** The instance of these tests has so much memory and so many descriptors. */
constexpr uint32_t MEMORY_MB = 48;
constexpr uint32_t CONNECTIONS_MAX_COUNT = 1000;
constexpr size_t FILES_MAX_COUNT = 1200;
constexpr uint32_t BODY_MAX_BYTES = 1024 * 1024;
constexpr size_t BODIES_COUNT = 64;
constexpr size_t HEADS_COUNT = 900;
constexpr size_t CHUNK_BYTES = 256 * 1024;
constexpr uint32_t TRIES_MAX_COUNT = 50;

std::string
head(const std::string &path, const std::string &framing)
{
	return "POST " + path +
	    " HTTP/1.1\r\nHost: a.example\r\n"
	    "X-Bamboorudder-Request-Id: crowd\r\n"
	    "X-Bamboorudder-Deadline-Ms: 8000\r\n" +
	    framing;
}

std::string
chunked_head(const std::string &path)
{
	return head(path, "Transfer-Encoding: chunked\r\n\r\n");
}

std::string
sized_head(uint64_t bytes, const std::string &more = "")
{
	return head("/once/",
	    "Content-Length: " + std::to_string(bytes) + "\r\n" + more +
		"\r\n");
}

std::string
repeat(const std::string &text, size_t count)
{
	std::string all;

	for (size_t i = 0; i < count; i++)
		all += text;
	return all;
}

const std::string letters(CHUNK_BYTES, 'a');
const std::string large_chunk = http_chunk(letters);
const std::string short_chunk = http_chunk(letters.substr(1));
const std::string pad = "X-Pad: " + std::string(1000, 'p') + "\r\n";

const std::vector<CrowdKind> kinds = {
	{ "LargeChunksThatStopShortOfTheLimit", BODIES_COUNT,
	    chunked_head("/once/") + short_chunk, large_chunk, 3 },
	{ "ChunksOfOneByte", BODIES_COUNT, chunked_head("/once/"),
	    repeat(http_chunk("a"), 2000), 10 },
	{ "ChunksFarOverTheLimit", BODIES_COUNT, chunked_head("/once/"),
	    large_chunk, 64 },
	{ "AnnouncedFarOverTheLimit", BODIES_COUNT, sized_head(900000000),
	    letters, 16 },
	{ "ExpectedFarOverTheLimit", BODIES_COUNT,
	    sized_head(900000000, "Expect: 100-continue\r\n"), letters, 16 },
	{ "AnnouncedAndStoppedShort", BODIES_COUNT,
	    sized_head(BODY_MAX_BYTES) + letters.substr(1), letters, 3 },
	{ "HalfOfAHead", HEADS_COUNT, head("/once/", ""), pad, 40 },
	{ "ChunkSizeWithoutEnd", HEADS_COUNT, chunked_head("/once/") + "1;",
	    std::string(1000, 'e'), 40 },
	{ "TrailerWithoutEnd", HEADS_COUNT,
	    chunked_head("/once/") + http_chunk("a") + "0\r\n", pad, 40 },
	{ "ResponsesThatNobodyReads", BODIES_COUNT,
	    chunked_head("/once/") + http_chunk("a") + "0\r\n\r\n", "\r\n", 1 },
};

class GatewayCrowd : public Gateway,
		     public ::testing::WithParamInterface<CrowdKind>
{
      protected:
	GatewayCrowd()
	    : Gateway("",
		  "memory_mb = " + std::to_string(MEMORY_MB) +
		      "\nconnections_max = " +
		      std::to_string(CONNECTIONS_MAX_COUNT) + "\n")
	{
		limits = "\"max_body_bytes\":" +
		    std::to_string(BODY_MAX_BYTES) +
		    ",\"max_header_bytes\":16384,\"header_timeout_ms\":3000";
	}

	/** Starts the daemon before an endpoint with long responses. */
	void start_gateway()
	{
		const std::string long_body(BODY_MAX_BYTES, 'r');

		first_endpoint.set_script([long_body](Connection &connection,
					      const std::string &request) {
			bool ordinary = request.find("/safe/") !=
			    std::string::npos;
			connection.send_text(response_text(request,
			    ordinary ? "whole" : long_body));
		});
		start();
		ASSERT_EQ(harness.send("POST", "/safe/", {}, "b").status, 200);
	}

	/** A daemon that is short of something may refuse a request for now. */
	bool answers_an_ordinary_request()
	{
		for (uint32_t i = 0; i < TRIES_MAX_COUNT; i++) {
			Response response = harness.send("POST", "/safe/", {},
			    "b");
			if (response.status == 200 && response.body == "whole")
				return true;
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(100));
		}
		return false;
	}

	void check_daemon()
	{
		EXPECT_LE(harness.open_files(), FILES_MAX_COUNT);
		EXPECT_TRUE(answers_an_ordinary_request())
		    << harness.daemon->log();
		EXPECT_TRUE(
		    SANITIZED || harness.memory_peak_kb() < MEMORY_MB * 1024)
		    << harness.memory_peak_kb();
	}
};

TEST_P(GatewayCrowd, LeavesTheDaemonWithinItsMemoryAndOthersServed)
{
	start_gateway();
	Crowd crowd(harness.listen_port, GetParam());
	crowd.send_all();
	check_daemon();
}

INSTANTIATE_TEST_SUITE_P(All, GatewayCrowd, ::testing::ValuesIn(kinds),
    [](const auto &info) { return std::string(info.param.name); });

using GatewayCrowds = GatewayCrowd;

TEST_F(GatewayCrowds, AllKindsTogetherLeaveTheDaemonWithinItsMemory)
{
	std::vector<std::unique_ptr<Crowd>> crowds;
	std::vector<std::thread> senders;

	start_gateway();
	for (CrowdKind kind : kinds) {
		kind.callers_count /= 6;
		crowds.push_back(
		    std::make_unique<Crowd>(harness.listen_port, kind));
	}
	for (auto &crowd : crowds)
		senders.emplace_back([&crowd] { crowd->send_all(); });
	for (auto &sender : senders)
		sender.join();
	check_daemon();
}

/* The largest body, in calm, by a caller that takes its time. */
TEST_F(GatewayCrowds, ASlowCallerWithinTheLimitsIsServed)
{
	constexpr size_t PIECES_COUNT = 64;
	const std::string piece = http_chunk(
	    std::string(BODY_MAX_BYTES / PIECES_COUNT, 's'));

	start_gateway();
	Caller caller(harness.listen_port, chunked_head("/safe/"));
	for (size_t i = 0; i < PIECES_COUNT; i++) {
		caller.send_text(piece);
		std::this_thread::sleep_for(std::chrono::milliseconds(20));
	}
	caller.send_text("0\r\n\r\n");
	EXPECT_EQ(caller.receive().rfind("HTTP/1.1 200", 0), 0u);
}

} // namespace
