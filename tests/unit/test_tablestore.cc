#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "bamboorudderd/tablestore.h"
#include "core/tablesync.h"
}

namespace
{

std::string
pools_json(const std::string &name)
{
	return R"({"rows": [{"pool": ")" + name + R"(", "kind": "model",
	    "endpoints": [{"address": "127.0.0.1:1"}]}]})";
}

std::string
routes_json(const std::string &pool)
{
	return R"({"rows": [{"account": "a", "path": "/v1", "pool": ")" + pool +
	    R"(", "key_sha256": [")" + std::string(64, 'a') + R"("]}]})";
}

class Tablestore : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		tablestore_init(&store);
	}

	void TearDown() override
	{
		tablestore_finish(&store);
	}

	void update(table_kind kind, uint64_t version, const std::string &text)
	{
		tablestore_update(&store, kind, version, text.c_str());
	}

	void expect_in_force(uint64_t routes_version, uint64_t pools_version)
	{
		snapshot *now = tablestore_ref(&store);
		EXPECT_EQ(now->tables.routes_version, routes_version);
		EXPECT_EQ(now->tables.pools_version, pools_version);
		snapshot_unref(now);
	}

	tablestore store;
};

} // namespace

TEST_F(Tablestore, RoutesAreNotInForceBeforeTheirPool)
{
	update(TABLE_ROUTES, 2, routes_json("p"));
	expect_in_force(0, 0);
	update(TABLE_POOLS, 1, pools_json("p"));
	expect_in_force(2, 1);
}

TEST_F(Tablestore, NeverRevertsToOlderVersion)
{
	update(TABLE_POOLS, 5, pools_json("p"));
	update(TABLE_ROUTES, 6, routes_json("p"));
	update(TABLE_POOLS, 4, pools_json("p"));
	update(TABLE_ROUTES, 3, routes_json("p"));
	expect_in_force(6, 5);
}

TEST_F(Tablestore, KeepsLastValidTableUntilNextValidOne)
{
	update(TABLE_POOLS, 1, pools_json("p"));
	update(TABLE_ROUTES, 2, routes_json("p"));
	update(TABLE_ROUTES, 3, "{broken");
	expect_in_force(2, 1);
	update(TABLE_ROUTES, 4, routes_json("p"));
	expect_in_force(4, 1);
}

TEST_F(Tablestore, InvalidTableDoesNotBlockOtherTable)
{
	update(TABLE_POOLS, 1, pools_json("p"));
	update(TABLE_ROUTES, 2, routes_json("p"));
	update(TABLE_ROUTES, 3, "{broken");
	update(TABLE_POOLS, 4, pools_json("p"));
	expect_in_force(2, 4);
}

TEST_F(Tablestore, UsesLastValidTableOfPeerDespiteNewerInvalidOne)
{
	update(TABLE_ROUTES, 3, "{broken");
	update(TABLE_POOLS, 1, pools_json("p"));
	update(TABLE_ROUTES, 2, routes_json("p"));
	expect_in_force(2, 1);
	update(TABLE_ROUTES, 4, routes_json("p"));
	expect_in_force(4, 1);
}

TEST_F(Tablestore, UsesNewerRoutesOnceTheirPoolExists)
{
	update(TABLE_POOLS, 1, pools_json("p"));
	update(TABLE_ROUTES, 2, routes_json("p"));
	update(TABLE_ROUTES, 3, routes_json("q"));
	expect_in_force(2, 1);
	update(TABLE_POOLS, 4, pools_json("q"));
	expect_in_force(3, 4);
}

namespace
{

class Tablesync : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		effects_init(&list);
		tablesync_init(&sync);
	}

	void TearDown() override
	{
		effects_finish(&list);
	}

	void handle_versions(uint64_t routes_version, uint64_t pools_version,
	    uint64_t now_ms)
	{
		effects_clear(&list);
		tablesync_handle_versions(&sync, 9, routes_version,
		    pools_version, now_ms, &list);
	}

	tablesync sync;
	effects list;
};

} // namespace

TEST_F(Tablesync, PullsNewerVersionOnceAndAgainAfterLoss)
{
	handle_versions(5, 0, 1000);
	ASSERT_EQ(list.count, 1u);
	EXPECT_EQ(list.items[0].msg.type, MSG_TABLES_PULL);
	EXPECT_EQ(list.items[0].to_node_id, 9u);
	handle_versions(5, 0, 1100);
	EXPECT_EQ(list.count, 0u);
	handle_versions(6, 0, 1200);
	EXPECT_EQ(list.count, 1u);
	handle_versions(5, 0, 60000);
	EXPECT_EQ(list.count, 1u);
}

TEST_F(Tablesync, HeldVersionsAreNeitherPulledNorReverted)
{
	const uint64_t newer[] = { 5, 4 }, older[] = { 3, 3 };
	members none = {};
	members_config config = {};

	members_init(&none, &config);
	tablesync_set_in_force(&sync, newer, &none, &list);
	tablesync_set_in_force(&sync, older, &none, &list);
	EXPECT_EQ(sync.in_force[TABLE_ROUTES], 5u);
	handle_versions(5, 4, 1000);
	EXPECT_EQ(list.count, 0u);
	members_finish(&none);
}

TEST_F(Tablesync, RespondsToPullWithNewerTablesPoolsFirst)
{
	const uint64_t held[] = { 5, 4 };
	const tablesync_texts texts = { { "r", "p" } };
	members none = {};
	members_config config = {};
	msg pull = {};

	members_init(&none, &config);
	tablesync_set_in_force(&sync, held, &none, &list);
	pull.type = MSG_TABLES_PULL;
	pull.from_node_id = 9;
	tablesync_handle_pull(&sync, &pull, &texts, &list);
	ASSERT_EQ(list.count, 2u);
	EXPECT_EQ(list.items[0].msg.u.tables_data.kind, TABLE_POOLS);
	EXPECT_EQ(list.items[1].msg.u.tables_data.kind, TABLE_ROUTES);
	effects_clear(&list);
	pull.u.versions.pools_version = 4;
	tablesync_handle_pull(&sync, &pull, &texts, &list);
	EXPECT_EQ(list.count, 1u);
	members_finish(&none);
}

TEST_F(Tablesync, PollRateOfWholeFleetIsBounded)
{
	for (size_t count : { 8u, 64u, 370u, 1000u })
		EXPECT_LE((double)count * 1000 /
			tablesync_poll_period_ms(count, 10000),
		    5.0);
}
