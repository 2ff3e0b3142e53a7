#include <gtest/gtest.h>
#include <signal.h>

#include <memory>

#include "fleet.h"

using namespace e2e;

namespace
{

const std::vector<std::string> AUTHORIZATION = {
	"Authorization: Bearer key-a"
};

std::string
completion_body(int tokens, bool stream = true)
{
	return std::string("{\"messages\": [{\"role\": \"user\", \"content\": "
			   "\"hello\"}], \"stream\": ") +
	    (stream ? "true" : "false") +
	    ", \"standin_tokens\": " + std::to_string(tokens) + "}";
}

class RequestPath : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		engine = fleet.add_engine(4, 1000);
		service = fleet.add_service();
		fleet.add_daemons(2);
		fleet.apply_table("pools",
		    table_json(model_pool_row("chat", { engine }, 4) + "," +
			service_pool_row("bookings", { service }, 4)));
		fleet.apply_table("routes",
		    table_json(route_row("a", "key-a", "/v1/chat", "chat") +
			"," +
			route_row("a", "key-a", "/bookings", "bookings")));
		fleet.wait_ready();
	}

	Fleet fleet{ "listen.body_max_bytes = 4096\n" };
	std::string engine, service;
};

} // namespace

TEST_F(RequestPath, RelaysACompleteStreamThroughEachDaemon)
{
	for (const auto &daemon : fleet.daemons) {
		Response response = send_request("POST",
		    daemon.url("/v1/chat/completions"), completion_body(5),
		    AUTHORIZATION);
		EXPECT_TRUE(response.complete);
		EXPECT_EQ(response.status, 200);
		EXPECT_EQ(response.headers["content-type"],
		    "text/event-stream");
		EXPECT_NE(response.body.find("t4 "), std::string::npos);
		EXPECT_NE(response.body.find("[DONE]"), std::string::npos);
	}
}

TEST_F(RequestPath, SetsTheContentLengthOfAResponseThatIsNotStreamed)
{
	Response response = send_request("POST",
	    fleet.daemons[0].url("/v1/chat/completions"),
	    completion_body(3, false), AUTHORIZATION);

	EXPECT_TRUE(response.complete);
	EXPECT_NE(response.body.find("t0 t1 t2 "), std::string::npos);
	EXPECT_EQ(response.headers["content-length"],
	    std::to_string(response.body.size()));
}

TEST_F(RequestPath, RunsABookingOnce)
{
	Response response = send_request("POST",
	    fleet.daemons[1].url("/bookings"), "{\"booking\": \"b1\"}",
	    AUTHORIZATION);

	EXPECT_EQ(response.status, 201);
	EXPECT_EQ(send_request("GET", "http://" + service + "/standin/runs")
		      .body,
	    "{\"b1\":1}");
}

TEST_F(RequestPath, RefusesInvalidRequestsWithTypedErrorsAndKeepsServing)
{
	const std::string url = fleet.daemons[0].url("/v1/chat/completions");
	const struct {
		Response response;
		long status;
		const char *type;
	} cases[] = {
		{ send_request("POST", url, completion_body(1)), 401,
		    "unknown_key" },
		{ send_request("POST", url, completion_body(1),
		      { "Authorization: Bearer other" }),
		    401, "unknown_key" },
		{ send_request("POST", fleet.daemons[0].url("/other"), "{}",
		      AUTHORIZATION),
		    403, "no_route" },
		{ send_request("POST", url, std::string(5000, ' '),
		      AUTHORIZATION),
		    413, "too_large" },
		{ send_request("POST", url, "{\"messages\":", AUTHORIZATION),
		    400, "malformed" },
		{ send_request("POST", url, "{\"messages\": 1}", AUTHORIZATION),
		    400, "malformed" },
	};

	for (const auto &item : cases) {
		EXPECT_EQ(item.response.status, item.status);
		EXPECT_NE(item.response.body.find(item.type), std::string::npos)
		    << item.response.body;
		EXPECT_EQ(item.response.headers.at("bamboorudder-run"),
		    "not-run");
	}
	EXPECT_EQ(send_request("POST", url, completion_body(1), AUTHORIZATION)
		      .status,
	    200);
}

TEST_F(RequestPath, RejectsAnInvalidTableAndChangesNothing)
{
	std::string before = fleet.admin_request(0, "GET", "/v1/tables/routes")
				 .body;
	Response response = fleet.admin_request(0, "PUT", "/v1/tables/routes",
	    table_json(route_row("a", "key-a", "/v1", "nowhere")),
	    { "If-Match: \"2\"" });

	EXPECT_EQ(response.status, 422);
	EXPECT_NE(response.body.find("nowhere"), std::string::npos);
	EXPECT_EQ(fleet.admin_request(0, "GET", "/v1/tables/routes").body,
	    before);
}

TEST_F(RequestPath, Returns412ForAnOutdatedTableVersion)
{
	Response response = fleet.admin_request(0, "PUT", "/v1/tables/routes",
	    table_json(""), { "If-Match: \"1\"" });

	EXPECT_EQ(response.status, 412);
}

TEST_F(RequestPath, ExitsWithStatus0OnSigterm)
{
	fleet.daemons[0].process->signal(SIGTERM);
	EXPECT_EQ(fleet.daemons[0].process->wait_with_timeout(30000), 0);
	EXPECT_NE(fleet.daemons[0].process->log().find("event=stopped"),
	    std::string::npos);
}

TEST(RequestPathWithoutTables, ReturnsNoTablesInsteadOfUnknownKey)
{
	Fleet fleet;

	fleet.add_daemons(1);
	Response response = send_request("POST",
	    fleet.daemons[0].url("/v1/chat/completions"), completion_body(1),
	    AUTHORIZATION);
	EXPECT_EQ(response.status, 503);
	EXPECT_NE(response.body.find("no_tables"), std::string::npos)
	    << response.body;
	EXPECT_EQ(response.headers["bamboorudder-run"], "not-run");
	EXPECT_EQ(response.headers["retry-after"], "1");
}
