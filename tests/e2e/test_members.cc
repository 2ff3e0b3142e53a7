#include <gtest/gtest.h>
#include <signal.h>

#include <memory>

#include "fleet.h"

using namespace e2e;

namespace
{

class Members : public ::testing::Test
{
      protected:
	void partition(size_t index, const std::string &query)
	{
		EXPECT_EQ(fleet
			      .admin_request(index, "POST",
				  "/v1/test/cut?" + query)
			      .status,
		    200);
	}

	void heal(size_t index)
	{
		EXPECT_EQ(fleet.admin_request(index, "POST", "/v1/test/heal")
			      .status,
		    200);
	}

	Fleet fleet{ "test.hooks = true\n" };
};

} // namespace

TEST_F(Members, RejoinsAfterAPartitionHeals)
{
	fleet.add_daemons(3);
	ASSERT_TRUE(fleet.all_see_live(3));
	partition(0, "peers=*");
	EXPECT_TRUE(fleet.sees_live(0, 1));
	EXPECT_TRUE(fleet.sees_live(1, 2));
	EXPECT_TRUE(fleet.sees_live(2, 2));
	heal(0);
	EXPECT_TRUE(fleet.all_see_live(3));
}

TEST_F(Members, RemovesAKilledDaemonAndAdmitsItsRestart)
{
	fleet.add_daemons(4);
	ASSERT_TRUE(fleet.all_see_live(4));
	fleet.daemons[1].process->signal(SIGKILL);
	fleet.daemons[1].process->wait();
	EXPECT_TRUE(fleet.sees_live(0, 3));
	EXPECT_TRUE(fleet.sees_live(2, 3));
	fleet.start(1);
	EXPECT_TRUE(fleet.all_see_live(4));
}

TEST_F(Members, RecoversFromAPauseDuringAPartition)
{
	fleet.add_daemons(4);
	ASSERT_TRUE(fleet.all_see_live(4));
	partition(0, "peers=" + fleet.daemons[1].peer_address());
	fleet.daemons[2].process->signal(SIGSTOP);
	EXPECT_TRUE(fleet.sees_live(3, 3));
	EXPECT_TRUE(fleet.sees_live(0, 3));
	fleet.daemons[2].process->signal(SIGCONT);
	EXPECT_TRUE(fleet.all_see_live(4));
	heal(0);
	EXPECT_TRUE(fleet.all_see_live(4));
}

TEST_F(Members, AnnouncesAShutdownAtOnce)
{
	fleet.add_daemons(3);
	ASSERT_TRUE(fleet.all_see_live(3));
	fleet.daemons[2].process->signal(SIGTERM);
	EXPECT_EQ(fleet.daemons[2].process->wait_with_timeout(20000), 0);
	EXPECT_TRUE(fleet.sees_live(0, 2));
	std::string dump = fleet.admin_request(0, "GET", "/v1/dump").body;
	EXPECT_NE(dump.find("\"down\""), std::string::npos) << dump;
}

TEST(MembersWithoutTestHook, TestHookIsUnavailableWithoutItsSetting)
{
	Fleet fleet;

	fleet.add_daemons(1);
	EXPECT_EQ(fleet.admin_request(0, "POST", "/v1/test/cut?peers=*").status,
	    404);
}
