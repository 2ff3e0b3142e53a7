#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <memory>

#include "fleet.h"

using namespace e2e;

namespace
{

class TableDistribution : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		fleet.add_daemons(4);
		fleet.apply_table("pools",
		    table_json(model_pool_row("p", { "1.1.1.1:1" }, 4)));
		fleet.apply_table("routes", routes_with_weight(1));
		fleet.wait_ready();
	}

	/* Returns a routes table that can be recognized by its weight. */
	static std::string routes_with_weight(int weight,
	    const std::string &pool = "p")
	{
		return table_json(route_row("a", "key-a", "/v1", pool,
		    ", \"weight\": " + std::to_string(weight)));
	}

	/* Whether a daemon has the table with this weight in force. It may
	 * write JSON with or without white space. */
	bool in_force_at(size_t index, int weight)
	{
		std::string text =
		    fleet.admin_request(index, "GET", "/v1/tables/routes").body;

		text.erase(std::remove_if(text.begin(), text.end(),
			       [](char c) {
				       return isspace((unsigned char)c);
			       }),
		    text.end());
		return text.find("\"weight\":" + std::to_string(weight) +
			   "}") != std::string::npos;
	}

	bool in_force_at_all(int weight)
	{
		bool all = true;

		for (size_t i = 0; i < fleet.daemons.size(); i++)
			all = eventually(
				  [&] { return in_force_at(i, weight); }) &&
			    all;
		return all;
	}

	/* Writes a table to the store directly instead of through a daemon. */
	void write_to_store(const std::string &text)
	{
		EXPECT_EQ(send_request("PUT",
			      fleet.platform_url("/objects/routes"), text)
			      .status,
		    200);
	}

	void inject_fault(const std::string &query)
	{
		EXPECT_EQ(send_request("POST",
			      fleet.platform_url("/standin/faults?" + query))
			      .status,
		    200);
	}

	void test_hook_request(size_t index, const std::string &path)
	{
		EXPECT_EQ(fleet.admin_request(index, "POST", path).status, 200);
	}

	bool all_live()
	{
		return eventually([&] {
			for (const auto &daemon : fleet.daemons)
				if (send_request("GET",
					daemon.admin_url("/metrics"))
					.body.find("bamboorudder_members_live "
						   "4\n") == std::string::npos)
					return false;
			return true;
		});
	}

	Fleet fleet{ "test.hooks = true\n" };
};

} // namespace

TEST_F(TableDistribution, AnEditThroughAnyDaemonReachesAllDaemons)
{
	for (int i = 0; i < 4; i++) {
		fleet.apply_table("routes", routes_with_weight(10 + i),
		    (size_t)i);
		EXPECT_TRUE(in_force_at_all(10 + i));
	}
}

TEST_F(TableDistribution, ADaemonPartitionedFromThePlatformGetsTablesFromPeers)
{
	ASSERT_TRUE(all_live());
	test_hook_request(2, "/v1/test/cut?platform=1");
	fleet.apply_table("routes", routes_with_weight(20), 0);
	EXPECT_TRUE(in_force_at_all(20));
}

TEST_F(TableDistribution, AnotherDaemonWatchesWhenTheWatchersArePartitioned)
{
	ASSERT_TRUE(all_live());
	for (size_t i = 0; i < 3; i++)
		test_hook_request(i, "/v1/test/cut?platform=1");
	write_to_store(routes_with_weight(21));
	EXPECT_TRUE(in_force_at_all(21));
}

TEST_F(TableDistribution, AnIsolatedDaemonKeepsItsTablesAndCatchesUpAfterwards)
{
	ASSERT_TRUE(in_force_at_all(1));
	test_hook_request(3, "/v1/test/cut?platform=1&peers=*");
	fleet.apply_table("routes", routes_with_weight(30), 0);
	for (size_t i = 0; i < 3; i++)
		EXPECT_TRUE(eventually([&] { return in_force_at(i, 30); }));
	EXPECT_TRUE(in_force_at(3, 1));
	EXPECT_EQ(send_request("GET", fleet.daemons[3].admin_url("/readyz"))
		      .status,
	    200);
	test_hook_request(3, "/v1/test/heal");
	EXPECT_TRUE(in_force_at_all(30));
}

TEST_F(TableDistribution, ADaemonRestartedDuringAnOutageGetsTablesFromPeers)
{
	ASSERT_TRUE(in_force_at_all(1));
	inject_fault("outage_ms=60000");
	fleet.daemons[1].process->signal(SIGKILL);
	fleet.daemons[1].process->wait();
	fleet.start(1);
	EXPECT_TRUE(eventually([&] { return in_force_at(1, 1); }));
	EXPECT_TRUE(eventually([&] {
		return send_request("GET",
			   fleet.daemons[1].admin_url("/readyz"))
			   .status == 200;
	}));
}

TEST_F(TableDistribution, KeepsTheLastValidTableAlsoAcrossARestart)
{
	ASSERT_TRUE(in_force_at_all(1));
	write_to_store("{\"rows\": [{\"account\": 1}]}");
	EXPECT_TRUE(eventually([&] {
		for (auto &daemon : fleet.daemons)
			if (daemon.process->log().find("table_invalid") !=
			    std::string::npos)
				return true;
		return false;
	}));
	EXPECT_TRUE(in_force_at_all(1));
	fleet.daemons[1].process->signal(SIGKILL);
	fleet.daemons[1].process->wait();
	fleet.start(1);
	EXPECT_TRUE(in_force_at_all(1));
	write_to_store(routes_with_weight(40));
	EXPECT_TRUE(in_force_at_all(40));
}

TEST_F(TableDistribution, IgnoresOlderTablesOfARestoredPlatform)
{
	for (int i = 50; i < 54; i++)
		fleet.apply_table("routes", routes_with_weight(i));
	ASSERT_TRUE(in_force_at_all(53));
	fleet.start_platform();
	write_to_store(routes_with_weight(1));
	fleet.daemons[2].process->signal(SIGKILL);
	fleet.daemons[2].process->wait();
	fleet.start(2);
	EXPECT_TRUE(eventually([&] { return in_force_at(2, 53); }));
	EXPECT_TRUE(in_force_at_all(53));
}

TEST_F(TableDistribution, ADeletedTableStaysInForceUntilANewOneIsStored)
{
	ASSERT_TRUE(in_force_at_all(1));
	EXPECT_EQ(send_request("DELETE", fleet.platform_url("/objects/routes"))
		      .status,
	    200);
	EXPECT_TRUE(in_force_at_all(1));
	write_to_store(routes_with_weight(60));
	EXPECT_TRUE(in_force_at_all(60));
}
