#include <atomic>
#include <thread>

#include "admin_fixture.h"

using namespace e2e;

namespace
{

class Edits : public Admin
{
};

} // namespace

TEST_F(Edits, RacingOperatorsLoseNoRow)
{
	constexpr int EACH = 6;
	std::vector<std::thread> threads;
	std::atomic<int> accepted{ 0 };

	for (size_t daemon = 0; daemon < 3; daemon++)
		threads.emplace_back([&, daemon] {
			for (int i = 0; i < EACH; i++) {
				std::string name = "r" +
				    std::to_string(daemon) + "-" +
				    std::to_string(i);
				Answer answer = fleet.admin_call(daemon, "PUT",
				    ROW, new_row(name));
				/* a race lost eight times is told as such */
				EXPECT_TRUE(answer.status == 200 ||
				    answer.status == 412)
				    << answer.body;
				if (answer.status == 200)
					accepted++;
			}
		});
	for (auto &thread : threads)
		thread.join();
	EXPECT_EQ(accounts().size(), 1u + (size_t)accepted.load());
	EXPECT_GT(accepted.load(), 0);
}

TEST_F(Edits, OneOfManyReplacementsOfAVersionWins)
{
	std::string before = etag(ROUTES);
	std::vector<std::thread> threads;
	std::atomic<int> won{ 0 }, lost{ 0 };

	for (size_t daemon = 0; daemon < 3; daemon++)
		threads.emplace_back([&, daemon] {
			Answer answer = fleet.admin_call(daemon, "PUT", ROUTES,
			    pools_table(new_row("w" + std::to_string(daemon))),
			    if_match(before));
			won += answer.status == 200;
			lost += answer.status == 412;
			if (answer.status == 412) {
				Json error(answer.body);
				EXPECT_GT(error.number({ "error", "version" }),
				    0);
				EXPECT_EQ(json_array_size(error.at(
					      { "error", "changes_since" })),
				    1u);
				EXPECT_GT(json_array_size(error.at(
					      { "error", "difference" })),
				    0u);
			}
		});
	for (auto &thread : threads)
		thread.join();
	EXPECT_EQ(won.load(), 1);
	EXPECT_EQ(lost.load(), 2);
}

TEST_F(Edits, AWriteWhoseAnswerIsLostIsToldAsAccepted)
{
	faults("lose_writes=1");
	Answer answer = fleet.admin_call(0, "PUT", ROW, new_row("lost"));

	EXPECT_EQ(answer.status, 200) << answer.body;
	EXPECT_EQ(answer.headers["etag"], etag(ROUTES));
	EXPECT_EQ(accounts().count("lost"), 1u);
	Json history(
	    fleet.admin_call(0, "GET", std::string(ROUTES) + "/history").body);
	EXPECT_EQ(json_array_size(history.at({ "history" })), 2u);
}

TEST_F(Edits, ALostAnswerAndALostRaceAreToldApart)
{
	std::string before = etag(ROUTES);

	EXPECT_EQ(fleet.admin_call(1, "PUT", ROW, new_row("first")).status,
	    200);
	faults("lose_writes=1");
	EXPECT_EQ(fleet
		      .admin_call(0, "PUT", ROUTES,
			  pools_table(new_row("second")), if_match(before))
		      .status,
	    412);
	EXPECT_EQ(accounts().count("second"), 0u);
	faults("");
}

TEST_F(Edits, AnOutageIsToldAsNotRunAndReadsGoOn)
{
	faults("outage_ms=60000");
	Answer answer = fleet.admin_call(0, "PUT", ROW, new_row("late"));

	EXPECT_EQ(answer.status, 503);
	EXPECT_EQ(Json(answer.body).text({ "error", "run" }), "not-run");
	EXPECT_EQ(answer.headers["bamboorudder-run"], "not-run");
	EXPECT_EQ(fleet.admin_call(0, "GET", ROUTES).status, 200);
	faults("");
	EXPECT_EQ(accounts().count("late"), 0u);
	EXPECT_EQ(fleet.admin_call(0, "PUT", ROW, new_row("late")).status, 200);
}

TEST_F(Edits, ASlowStoreNeverMakesAFalseNotRun)
{
	/* reads pass, then all writes time out and take effect late */
	faults("slow_ms=600&slow_for_ms=2500");
	Answer answer = fleet.admin_call(0, "PUT", ROW, new_row("slow"));

	faults("");
	if (answer.status == 200)
		EXPECT_EQ(accounts().count("slow"), 1u);
	else {
		EXPECT_EQ(answer.status, 503);
		if (answer.headers["bamboorudder-run"] == "not-run") {
			EXPECT_EQ(accounts().count("slow"), 0u);
		}
	}
}

TEST_F(Edits, AllAnswersLostIsUnknown)
{
	faults("lose_writes=1&rate=0");
	std::thread outage([&] {
		/* the store goes down as soon as the write is in */
		EXPECT_TRUE(eventually([&] {
			Json counts(
			    call("GET", fleet.platform("/standin/counts"))
				.body);
			return counts.number({ "writes" }) >= 3;
		}));
		faults("outage_ms=60000");
	});
	Answer answer = fleet.admin_call(0, "PUT", ROW, new_row("unsure"));

	outage.join();
	if (answer.status == 503)
		EXPECT_EQ(answer.headers["bamboorudder-run"], "unknown")
		    << answer.body;
	else
		EXPECT_EQ(answer.status, 200);
	faults("");
	EXPECT_EQ(accounts().count("unsure"), 1u);
}

TEST_F(Edits, EditsOfBothTablesStayValidTogether)
{
	for (int round = 0; round < 5; round++) {
		std::string pool = "p" + std::to_string(round);
		Answer with = fleet.admin_call(0, "PUT",
		    std::string(POOLS) + "/row",
		    model_pool(pool, { "127.0.0.1:9" }, 1));
		Answer removed, used;
		ASSERT_EQ(with.status, 200);
		std::thread remover([&] {
			removed = fleet.admin_call(1, "DELETE",
			    std::string(POOLS) + "/row?pool=" + pool);
		});
		used = fleet.admin_call(2, "PUT", ROW,
		    route("u" + pool, "key-" + pool, "/v1/chat", pool));
		remover.join();
		EXPECT_FALSE(removed.status == 200 && used.status == 200);
	}
	EXPECT_TRUE(eventually([&] {
		Json status(fleet.admin_call(0, "GET", "/v1/status").body);
		return status.number({ "routes", "in_force_version" }) ==
		    status.number({ "routes", "newest_version" }) &&
		    status.number({ "pools", "in_force_version" }) ==
		    status.number({ "pools", "newest_version" });
	}));
}

TEST_F(Edits, AnInvalidTableBehindTheBackIsShownAndMended)
{
	const char broken[] = "{\"rows\": [{\"account\": \"x\"}]}";
	std::string good = fleet.admin_call(0, "GET", ROUTES).body;

	EXPECT_EQ(call("PUT", fleet.platform("/objects/routes"), broken).status,
	    200);
	EXPECT_TRUE(eventually([&] {
		Json status(fleet.admin_call(0, "GET", "/v1/status").body);
		return json_array_size(status.at({ "routes", "findings" })) > 0;
	}));
	EXPECT_EQ(fleet.admin_call(0, "GET", ROUTES).body, good);
	/* the other table can still be edited */
	EXPECT_EQ(fleet
		      .admin_call(0, "PUT", std::string(POOLS) + "/row",
			  model_pool("other", { "127.0.0.1:9" }, 1))
		      .status,
	    200);
	EXPECT_EQ(fleet
		      .admin_call(0, "PUT", ROUTES, good,
			  if_match(etag(ROUTES)))
		      .status,
	    200);
	EXPECT_TRUE(eventually([&] {
		Json status(fleet.admin_call(1, "GET", "/v1/status").body);
		return json_array_size(status.at({ "routes", "findings" })) ==
		    0 &&
		    status.number({ "routes", "daemons_confirmed" }) == 3;
	}));
}

TEST_F(Edits, TheEditIsValidatedAgainstTheNewestTables)
{
	/* daemon 2 sleeps while a pool is added and then routed to */
	EXPECT_EQ(fleet
		      .admin_call(0, "PUT", std::string(POOLS) + "/row",
			  model_pool("fresh", { "127.0.0.1:9" }, 1))
		      .status,
	    200);
	EXPECT_EQ(fleet
		      .admin_call(1, "PUT", ROW,
			  route("b", "key-b", "/v1/chat", "fresh"))
		      .status,
	    200);
	EXPECT_EQ(fleet
		      .admin_call(2, "DELETE",
			  std::string(POOLS) + "/row?pool=fresh")
		      .status,
	    422);
}
