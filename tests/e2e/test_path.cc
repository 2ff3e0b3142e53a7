#include <gtest/gtest.h>
#include <signal.h>

#include <memory>

#include "fleet.h"

using namespace e2e;

namespace
{

const std::vector<std::string> KEY = { "Authorization: Bearer key-a" };

std::string
completion(int tokens, bool stream = true)
{
	return std::string("{\"messages\": [{\"role\": \"user\", \"content\": "
			   "\"hello\"}], \"stream\": ") +
	    (stream ? "true" : "false") +
	    ", \"standin_tokens\": " + std::to_string(tokens) + "}";
}

class Path : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		engine = fleet.add_engine(4, 1000);
		service = fleet.add_service();
		fleet.add_daemons(2);
		fleet.apply("pools",
		    pools_table(model_pool("chat", { engine }, 4) + "," +
			service_pool("bookings", { service }, 4)));
		fleet.apply("routes",
		    pools_table(route("a", "key-a", "/v1/chat", "chat") + "," +
			route("a", "key-a", "/bookings", "bookings")));
		fleet.wait_ready();
	}

	Fleet fleet{ "listen.body_max_bytes = 4096\n" };
	std::string engine, service;
};

} // namespace

TEST_F(Path, AStreamComesBackWholeThroughEachDaemon)
{
	for (const auto &daemon : fleet.daemons) {
		Answer answer = call("POST", daemon.url("/v1/chat/completions"),
		    completion(5), KEY);
		EXPECT_TRUE(answer.whole);
		EXPECT_EQ(answer.status, 200);
		EXPECT_EQ(answer.headers["content-type"], "text/event-stream");
		EXPECT_NE(answer.body.find("t4 "), std::string::npos);
		EXPECT_NE(answer.body.find("[DONE]"), std::string::npos);
	}
}

TEST_F(Path, AnAnswerWithoutStreamHasItsLength)
{
	Answer answer = call("POST",
	    fleet.daemons[0].url("/v1/chat/completions"), completion(3, false),
	    KEY);

	EXPECT_TRUE(answer.whole);
	EXPECT_NE(answer.body.find("t0 t1 t2 "), std::string::npos);
	EXPECT_EQ(answer.headers["content-length"],
	    std::to_string(answer.body.size()));
}

TEST_F(Path, ABookingRunsOnce)
{
	Answer answer = call("POST", fleet.daemons[1].url("/bookings"),
	    "{\"booking\": \"b1\"}", KEY);

	EXPECT_EQ(answer.status, 201);
	EXPECT_EQ(call("GET", "http://" + service + "/standin/runs").body,
	    "{\"b1\":1}");
}

TEST_F(Path, RefusalsAreTypedAndTheDaemonGoesOn)
{
	const std::string url = fleet.daemons[0].url("/v1/chat/completions");
	const struct {
		Answer answer;
		long status;
		const char *type;
	} cases[] = {
		{ call("POST", url, completion(1)), 401, "unknown_key" },
		{ call("POST", url, completion(1),
		      { "Authorization: Bearer other" }),
		    401, "unknown_key" },
		{ call("POST", fleet.daemons[0].url("/other"), "{}", KEY), 403,
		    "no_route" },
		{ call("POST", url, std::string(5000, ' '), KEY), 413,
		    "too_large" },
		{ call("POST", url, "{\"messages\":", KEY), 400, "malformed" },
		{ call("POST", url, "{\"messages\": 1}", KEY), 400,
		    "malformed" },
	};

	for (const auto &item : cases) {
		EXPECT_EQ(item.answer.status, item.status);
		EXPECT_NE(item.answer.body.find(item.type), std::string::npos)
		    << item.answer.body;
		EXPECT_EQ(item.answer.headers.at("bamboorudder-run"),
		    "not-run");
	}
	EXPECT_EQ(call("POST", url, completion(1), KEY).status, 200);
}

TEST_F(Path, AnInvalidTableChangesNothing)
{
	std::string before = fleet.admin_call(0, "GET", "/v1/tables/routes")
				 .body;
	Answer answer = fleet.admin_call(0, "PUT", "/v1/tables/routes",
	    pools_table(route("a", "key-a", "/v1", "nowhere")),
	    { "If-Match: \"2\"" });

	EXPECT_EQ(answer.status, 422);
	EXPECT_NE(answer.body.find("nowhere"), std::string::npos);
	EXPECT_EQ(fleet.admin_call(0, "GET", "/v1/tables/routes").body, before);
}

TEST_F(Path, ALostRaceIsTold)
{
	Answer answer = fleet.admin_call(0, "PUT", "/v1/tables/routes",
	    pools_table(""), { "If-Match: \"1\"" });

	EXPECT_EQ(answer.status, 412);
}

TEST_F(Path, AShutdownIsClean)
{
	fleet.daemons[0].process->signal(SIGTERM);
	EXPECT_EQ(fleet.daemons[0].process->wait_for_ms(30000), 0);
	EXPECT_NE(fleet.daemons[0].process->log().find("event=stopped"),
	    std::string::npos);
}

TEST(PathEmpty, ADaemonWithoutTablesSaysSoAndNotThatAKeyIsUnknown)
{
	Fleet fleet;

	fleet.add_daemons(1);
	Answer answer = call("POST",
	    fleet.daemons[0].url("/v1/chat/completions"), completion(1), KEY);
	EXPECT_EQ(answer.status, 503);
	EXPECT_NE(answer.body.find("no_tables"), std::string::npos)
	    << answer.body;
	EXPECT_EQ(answer.headers["bamboorudder-run"], "not-run");
	EXPECT_EQ(answer.headers["retry-after"], "1");
}
