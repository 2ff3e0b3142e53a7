#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <memory>

#include "fleet.h"

using namespace e2e;

namespace
{

class Tables : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		fleet.add_daemons(4);
		fleet.apply("pools",
		    pools_table(model_pool("p", { "1.1.1.1:1" }, 4)));
		fleet.apply("routes", table(1));
		fleet.wait_ready();
	}

	/* A routes table that tells its number by the weight. */
	static std::string table(int number, const std::string &pool = "p")
	{
		return pools_table(route("a", "key-a", "/v1", pool,
		    ", \"weight\": " + std::to_string(number)));
	}

	/* Whether a daemon has the table of that number in force. */
	bool has(size_t index, int number)
	{
		std::string body =
		    fleet.admin_call(index, "GET", "/v1/tables/routes").body;
		std::string mark = "\"weight\":" + std::to_string(number);

		body.erase(std::remove(body.begin(), body.end(), ' '),
		    body.end());
		size_t at = body.find(mark);
		return at != std::string::npos &&
		    !isdigit(body[at + mark.size()]);
	}

	bool all_have(int number)
	{
		bool all = true;

		for (size_t i = 0; i < fleet.daemons.size(); i++)
			all = eventually([&] { return has(i, number); }) && all;
		return all;
	}

	/* Writes a table past the daemons, as no operator should. */
	void write_behind(const std::string &text)
	{
		EXPECT_EQ(call("PUT", fleet.platform("/objects/routes"), text)
			      .status,
		    200);
	}

	void fault(const std::string &what)
	{
		EXPECT_EQ(call("POST",
			      fleet.platform("/standin/faults?" + what))
			      .status,
		    200);
	}

	void test_call(size_t index, const std::string &path)
	{
		EXPECT_EQ(fleet.admin_call(index, "POST", path).status, 200);
	}

	bool all_live()
	{
		return eventually([&] {
			for (const auto &daemon : fleet.daemons)
				if (call("GET", daemon.admin("/metrics"))
					.body.find("bamboorudder_members_live "
						   "4\n") == std::string::npos)
					return false;
			return true;
		});
	}

	Fleet fleet{ "test.hooks = true\n" };
};

} // namespace

TEST_F(Tables, AnEditReachesAllThroughAnyDaemon)
{
	for (int i = 0; i < 4; i++) {
		fleet.apply("routes", table(10 + i), (size_t)i);
		EXPECT_TRUE(all_have(10 + i));
	}
}

TEST_F(Tables, ADaemonCutOffFromThePlatformLearnsFromPeers)
{
	ASSERT_TRUE(all_live());
	test_call(2, "/v1/test/cut?platform=1");
	fleet.apply("routes", table(20), 0);
	EXPECT_TRUE(all_have(20));
}

TEST_F(Tables, OthersWatchWhenTheWatchersAreCutOff)
{
	ASSERT_TRUE(all_live());
	for (size_t i = 0; i < 3; i++)
		test_call(i, "/v1/test/cut?platform=1");
	write_behind(table(21));
	EXPECT_TRUE(all_have(21));
}

TEST_F(Tables, ADaemonCutOffFromAllKeepsItsTablesAndCatchesUp)
{
	ASSERT_TRUE(all_have(1));
	test_call(3, "/v1/test/cut?platform=1&peers=*");
	fleet.apply("routes", table(30), 0);
	for (size_t i = 0; i < 3; i++)
		EXPECT_TRUE(eventually([&] { return has(i, 30); }));
	EXPECT_TRUE(has(3, 1));
	EXPECT_EQ(call("GET", fleet.daemons[3].admin("/readyz")).status, 200);
	test_call(3, "/v1/test/heal");
	EXPECT_TRUE(all_have(30));
}

TEST_F(Tables, ADaemonRestartedEmptyInAnOutageLearnsFromPeers)
{
	ASSERT_TRUE(all_have(1));
	fault("outage_ms=60000");
	fleet.daemons[1].process->signal(SIGKILL);
	fleet.daemons[1].process->wait();
	fleet.start(1);
	EXPECT_TRUE(eventually([&] { return has(1, 1); }));
	EXPECT_TRUE(eventually([&] {
		return call("GET", fleet.daemons[1].admin("/readyz")).status ==
		    200;
	}));
}

TEST_F(Tables, AnInvalidTableLeavesTheLastGoodOneAlsoForARestart)
{
	ASSERT_TRUE(all_have(1));
	write_behind("{\"rows\": [{\"account\": 1}]}");
	EXPECT_TRUE(eventually([&] {
		for (auto &daemon : fleet.daemons)
			if (daemon.process->log().find("table_invalid") !=
			    std::string::npos)
				return true;
		return false;
	}));
	EXPECT_TRUE(all_have(1));
	fleet.daemons[1].process->signal(SIGKILL);
	fleet.daemons[1].process->wait();
	fleet.start(1);
	EXPECT_TRUE(all_have(1));
	write_behind(table(40));
	EXPECT_TRUE(all_have(40));
}

TEST_F(Tables, APlatformRestoredToAnOlderStateTakesNothingBack)
{
	for (int i = 50; i < 54; i++)
		fleet.apply("routes", table(i));
	ASSERT_TRUE(all_have(53));
	fleet.start_platform();
	write_behind(table(1));
	fleet.daemons[2].process->signal(SIGKILL);
	fleet.daemons[2].process->wait();
	fleet.start(2);
	EXPECT_TRUE(eventually([&] { return has(2, 53); }));
	EXPECT_TRUE(all_have(53));
}

TEST_F(Tables, ATableDeletedAtThePlatformStaysInForceUntilANewOne)
{
	ASSERT_TRUE(all_have(1));
	EXPECT_EQ(call("DELETE", fleet.platform("/objects/routes")).status,
	    200);
	EXPECT_TRUE(all_have(1));
	write_behind(table(60));
	EXPECT_TRUE(all_have(60));
}
