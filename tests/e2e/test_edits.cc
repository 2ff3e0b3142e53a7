#include <atomic>
#include <thread>

#include "admin_fixture.h"

using namespace e2e;

namespace
{

class TableEdits : public AdminApi
{
};

} // namespace

TEST_F(TableEdits, ConcurrentEditsLoseNoAcceptedRow)
{
	constexpr int EDITS_PER_DAEMON = 6;
	std::vector<std::thread> threads;
	std::atomic<int> accepted{ 0 };

	for (size_t daemon = 0; daemon < 3; daemon++)
		threads.emplace_back([&, daemon] {
			for (int i = 0; i < EDITS_PER_DAEMON; i++) {
				std::string name = "r" +
				    std::to_string(daemon) + "-" +
				    std::to_string(i);
				Response response = fleet.admin_request(daemon,
				    "PUT", ROW_PATH, chat_route_row(name));
				/* 412 after eight conflicts in a row */
				EXPECT_TRUE(response.status == 200 ||
				    response.status == 412)
				    << response.body;
				if (response.status == 200)
					accepted++;
			}
		});
	for (auto &thread : threads)
		thread.join();
	EXPECT_EQ(stored_accounts().size(), 1u + (size_t)accepted.load());
	EXPECT_GT(accepted.load(), 0);
}

TEST_F(TableEdits, AcceptsOneOfConcurrentReplacementsOfAVersion)
{
	std::string before = newest_etag(ROUTES_PATH);
	std::vector<std::thread> threads;
	std::atomic<int> accepted{ 0 }, conflicts{ 0 };

	for (size_t daemon = 0; daemon < 3; daemon++)
		threads.emplace_back([&, daemon] {
			Response response = fleet.admin_request(daemon, "PUT",
			    ROUTES_PATH,
			    table_json(
				chat_route_row("w" + std::to_string(daemon))),
			    if_match_header(before));
			accepted += response.status == 200;
			conflicts += response.status == 412;
			if (response.status == 412) {
				Json error(response.body);
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
	EXPECT_EQ(accepted.load(), 1);
	EXPECT_EQ(conflicts.load(), 2);
}

TEST_F(TableEdits, AcceptsAnEditWhenTheStoresResponseIsLost)
{
	inject_faults("lose_writes=1");
	Response response = fleet.admin_request(0, "PUT", ROW_PATH,
	    chat_route_row("lost"));

	EXPECT_EQ(response.status, 200) << response.body;
	EXPECT_EQ(response.headers["etag"], newest_etag(ROUTES_PATH));
	EXPECT_EQ(stored_accounts().count("lost"), 1u);
	Json history(
	    fleet.admin_request(0, "GET", std::string(ROUTES_PATH) + "/history")
		.body);
	EXPECT_EQ(json_array_size(history.at({ "history" })), 2u);
}

TEST_F(TableEdits, ReportsAConflictAlsoWhenTheStoresResponseIsLost)
{
	std::string before = newest_etag(ROUTES_PATH);

	EXPECT_EQ(fleet
		      .admin_request(1, "PUT", ROW_PATH,
			  chat_route_row("first"))
		      .status,
	    200);
	inject_faults("lose_writes=1");
	EXPECT_EQ(fleet
		      .admin_request(0, "PUT", ROUTES_PATH,
			  table_json(chat_route_row("second")),
			  if_match_header(before))
		      .status,
	    412);
	EXPECT_EQ(stored_accounts().count("second"), 0u);
	inject_faults("");
}

TEST_F(TableEdits, RefusesEditsAsNotRunAndServesReadsDuringAStoreOutage)
{
	inject_faults("outage_ms=60000");
	Response response = fleet.admin_request(0, "PUT", ROW_PATH,
	    chat_route_row("late"));

	EXPECT_EQ(response.status, 503);
	EXPECT_EQ(Json(response.body).text({ "error", "run" }), "not-run");
	EXPECT_EQ(response.headers["bamboorudder-run"], "not-run");
	EXPECT_EQ(fleet.admin_request(0, "GET", ROUTES_PATH).status, 200);
	inject_faults("");
	EXPECT_EQ(stored_accounts().count("late"), 0u);
	EXPECT_EQ(fleet
		      .admin_request(0, "PUT", ROW_PATH, chat_route_row("late"))
		      .status,
	    200);
}

TEST_F(TableEdits, ReportsNotRunOnASlowStoreOnlyIfNothingWasStored)
{
	/* reads succeed; writes time out but take effect later */
	inject_faults("slow_ms=600&slow_for_ms=2500");
	Response response = fleet.admin_request(0, "PUT", ROW_PATH,
	    chat_route_row("slow"));

	inject_faults("");
	if (response.status == 200)
		EXPECT_EQ(stored_accounts().count("slow"), 1u);
	else {
		EXPECT_EQ(response.status, 503);
		if (response.headers["bamboorudder-run"] == "not-run") {
			EXPECT_EQ(stored_accounts().count("slow"), 0u);
		}
	}
}

TEST_F(TableEdits, ReportsUnknownWhenTheStoreFailsAfterTheWrite)
{
	inject_faults("lose_writes=1&rate=0");
	std::thread outage([&] {
		/* the store fails right after it stored the write */
		EXPECT_TRUE(eventually([&] {
			Json counts(send_request("GET",
			    fleet.platform_url("/standin/counts"))
					.body);
			return counts.number({ "writes" }) >= 3;
		}));
		inject_faults("outage_ms=60000");
	});
	Response response = fleet.admin_request(0, "PUT", ROW_PATH,
	    chat_route_row("unsure"));

	outage.join();
	if (response.status == 503)
		EXPECT_EQ(response.headers["bamboorudder-run"], "unknown")
		    << response.body;
	else
		EXPECT_EQ(response.status, 200);
	inject_faults("");
	EXPECT_EQ(stored_accounts().count("unsure"), 1u);
}

TEST_F(TableEdits, ConcurrentEditsOfBothTablesKeepThemConsistent)
{
	for (int round = 0; round < 5; round++) {
		std::string pool = "p" + std::to_string(round);
		Response added = fleet.admin_request(0, "PUT",
		    std::string(POOLS_PATH) + "/row",
		    model_pool_row(pool, { "127.0.0.1:9" }, 1));
		Response removed, routed;
		ASSERT_EQ(added.status, 200);
		std::thread remover([&] {
			removed = fleet.admin_request(1, "DELETE",
			    std::string(POOLS_PATH) + "/row?pool=" + pool);
		});
		routed = fleet.admin_request(2, "PUT", ROW_PATH,
		    route_row("u" + pool, "key-" + pool, "/v1/chat", pool));
		remover.join();
		EXPECT_FALSE(removed.status == 200 && routed.status == 200);
	}
	EXPECT_TRUE(eventually([&] {
		Json status(fleet.admin_request(0, "GET", "/v1/status").body);
		return status.number({ "routes", "in_force_version" }) ==
		    status.number({ "routes", "newest_version" }) &&
		    status.number({ "pools", "in_force_version" }) ==
		    status.number({ "pools", "newest_version" });
	}));
}

TEST_F(TableEdits, AnInvalidTableInTheStoreIsReportedAndCanBeReplaced)
{
	const char invalid[] = "{\"rows\": [{\"account\": \"x\"}]}";
	std::string valid = fleet.admin_request(0, "GET", ROUTES_PATH).body;

	EXPECT_EQ(send_request("PUT", fleet.platform_url("/objects/routes"),
		      invalid)
		      .status,
	    200);
	EXPECT_TRUE(eventually([&] {
		Json status(fleet.admin_request(0, "GET", "/v1/status").body);
		return json_array_size(status.at({ "routes", "findings" })) > 0;
	}));
	EXPECT_EQ(fleet.admin_request(0, "GET", ROUTES_PATH).body, valid);
	/* the other table can still be edited */
	EXPECT_EQ(fleet
		      .admin_request(0, "PUT", std::string(POOLS_PATH) + "/row",
			  model_pool_row("other", { "127.0.0.1:9" }, 1))
		      .status,
	    200);
	EXPECT_EQ(fleet
		      .admin_request(0, "PUT", ROUTES_PATH, valid,
			  if_match_header(newest_etag(ROUTES_PATH)))
		      .status,
	    200);
	EXPECT_TRUE(eventually([&] {
		Json status(fleet.admin_request(1, "GET", "/v1/status").body);
		return json_array_size(status.at({ "routes", "findings" })) ==
		    0 &&
		    status.number({ "routes", "daemons_confirmed" }) == 3;
	}));
}

TEST_F(TableEdits, ValidatesAnEditAgainstTheNewestTables)
{
	/* daemon 2 may not know the pool and the route to it yet */
	EXPECT_EQ(fleet
		      .admin_request(0, "PUT", std::string(POOLS_PATH) + "/row",
			  model_pool_row("fresh", { "127.0.0.1:9" }, 1))
		      .status,
	    200);
	EXPECT_EQ(fleet
		      .admin_request(1, "PUT", ROW_PATH,
			  route_row("b", "key-b", "/v1/chat", "fresh"))
		      .status,
	    200);
	EXPECT_EQ(fleet
		      .admin_request(2, "DELETE",
			  std::string(POOLS_PATH) + "/row?pool=fresh")
		      .status,
	    422);
}

TEST(TableEditsOnASlowStore, AreLimitedSoThatHealthChecksAreServed)
{
	constexpr int EDITS = 8;
	Fleet fleet("platform.timeout_ms = 5000\n");
	std::vector<std::thread> operators;
	std::atomic<int> refused{ 0 }, ended{ 0 };

	fleet.add_daemons(1);
	fleet.apply_table("pools",
	    table_json(model_pool_row("chat", { "127.0.0.1:9" }, 4)));
	send_request("POST",
	    fleet.platform_url(
		"/standin/faults?slow_ms=4000&slow_for_ms=60000"));
	for (int i = 0; i < EDITS; i++)
		operators.emplace_back([&, i] {
			Response response = fleet.admin_request(0, "PUT",
			    ROW_PATH, chat_route_row("s" + std::to_string(i)));
			bool busy = response.body.find("\"busy\"") !=
			    std::string::npos;
			(busy ? refused : ended)++;
			if (busy) {
				EXPECT_EQ(response.status, 503);
				EXPECT_EQ(response.headers["bamboorudder-run"],
				    "not-run");
			}
		});
	EXPECT_TRUE(eventually([&] { return refused + ended >= 4; }));
	EXPECT_EQ(send_request("GET", fleet.daemons[0].admin_url("/healthz"))
		      .status,
	    200);
	EXPECT_EQ(ended.load(), 0);
	EXPECT_EQ(refused.load(), 4);
	send_request("POST", fleet.platform_url("/standin/faults"));
	for (auto &thread : operators)
		thread.join();
}
