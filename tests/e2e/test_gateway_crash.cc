#include "gateway_fixture.h"

using namespace e2e;

namespace
{

const char DEADLY_PREFIX[] = "X-Bamboorudder-Prompt-Prefix: a1:600,dead:100,";

/** Closes the connection of each request with the deadly segment, as a crash
 * does, and responds to all others. */
void
crash_by_segment(Connection &connection, const std::string &request)
{
	if (request.find("dead:") == std::string::npos)
		connection.send_text(response_text(request, "data: x\n\n",
		    "200 OK", "Content-Type: text/event-stream\r\n"));
}

TEST_F(Gateway, RefusesAPromptThatCrashedTwoEngines)
{
	Response response;
	int sent = 0;

	first_endpoint.set_script(crash_by_segment);
	second_endpoint.set_script(crash_by_segment);
	start();
	harness.add_endpoint("e2", second_endpoint);
	ASSERT_TRUE(eventually([&] { return harness.discovered("e2"); }));
	do {
		response = harness.send("POST", "/flow/",
		    { DEADLY_PREFIX + std::to_string(++sent) + ":9",
			"X-Bamboorudder-Token-Count: 709,9" });
		std::this_thread::sleep_for(std::chrono::milliseconds(200));
	} while (response.status != 503 && sent < 12);
	EXPECT_EQ(response.status, 503u);
	EXPECT_TRUE(harness.logged("outcome=prompt_suspect"));
	EXPECT_NE(response.headers.count("retry-after"), 0u);
	EXPECT_NE(harness.daemon->log().find(
		      "event=prompt_segment segment=dead state=blocked"),
	    std::string::npos);
	EXPECT_TRUE(eventually([&] {
		return harness
			   .send("POST", "/flow/",
			       { "X-Bamboorudder-Prompt-Prefix: a1:600,f:9",
				   "X-Bamboorudder-Token-Count: 609,9" })
			   .status == 200;
	}));
}

} // namespace
