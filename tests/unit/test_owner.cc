#include <gtest/gtest.h>

#include <cstring>
#include <vector>

extern "C" {
#include "core/hash.h"
#include "core/owner.h"
}

namespace
{

constexpr uint64_t NODE = 11, OTHER_NODE = 12, POOL = 21;
constexpr uint64_t ACCOUNT_A = 31, ACCOUNT_B = 32;

class OwnerTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		const uint64_t live[] = { NODE, OTHER_NODE };
		owner_config config = {};

		config.node_id = NODE;
		config.pool_id = POOL;
		config.fair = &fair_vtc;
		config.sync_timeout_ms = 100;
		config.grant_settle_ms = 50;
		config.report_period_ms = 50;
		endpoints[0].endpoint_id = 41;
		pool_row.pool_id = POOL;
		pool_row.slots_per_endpoint = 2;
		pool_row.estimate_tokens = 10;
		pool_row.request_max_tokens = 100;
		pool_row.endpoints = endpoints;
		pool_row.endpoint_count = 1;
		tables.pools = &pool_row;
		tables.pool_count = 1;
		effects_init(&effects);
		owner_init(&owner, &config, 1000, 0, live, 2, &effects);
		owner_set_tables(&owner, &tables, 0, &effects);
	}

	void TearDown() override
	{
		owner_finish(&owner);
		effects_finish(&effects);
	}

	void ask(uint64_t node, uint64_t seq, uint64_t account, uint64_t now_ms)
	{
		msg message = {};

		message.type = MSG_ASK;
		message.from_node_id = node;
		message.u.ask.pool_id = POOL;
		message.u.ask.seq = seq;
		message.u.ask.account_id = account;
		message.u.ask.estimate_tokens = 10;
		owner_handle(&owner, &message, now_ms, &effects);
	}

	void report(uint64_t node, std::vector<report_item> items,
	    uint64_t now_ms)
	{
		msg message = {};

		message.type = MSG_REPORT;
		message.from_node_id = node;
		message.u.report.pool_id = POOL;
		message.u.report.items = items.data();
		message.u.report.item_count = (uint32_t)items.size();
		message.u.report.send_seq = ++send_seq;
		message.u.report.full = 1;
		message.u.report.seq_max = 1000;
		owner_handle(&owner, &message, now_ms, &effects);
	}

	std::vector<uint64_t> granted()
	{
		std::vector<uint64_t> seqs;

		for (size_t i = 0; i < effects.count; i++)
			if (effects.items[i].msg.type == MSG_GRANT)
				seqs.push_back(
				    effects.items[i].msg.u.grant.seq);
		effects_clear(&effects);
		return seqs;
	}

	uint64_t send_seq = 0;
	struct owner owner;
	struct effects effects;
	struct tables tables = {};
	struct pool pool_row = {};
	struct endpoint endpoints[1] = {};
};

TEST_F(OwnerTest, GrantsNothingUntilAllNodesReported)
{
	ask(NODE, 1, ACCOUNT_A, 0);
	report(NODE, { { ACCOUNT_A, 1, 0, 0, 0, 10, REPORT_WAITING } }, 1);
	EXPECT_TRUE(granted().empty());
	report(OTHER_NODE, {}, 2);
	EXPECT_EQ(granted(), std::vector<uint64_t>{ 1 });
}

TEST_F(OwnerTest, GrantsAfterTheSyncTimeout)
{
	ask(NODE, 1, ACCOUNT_A, 0);
	owner_tick(&owner, 99, &effects);
	EXPECT_TRUE(granted().empty());
	owner_tick(&owner, 100, &effects);
	EXPECT_EQ(granted(), std::vector<uint64_t>{ 1 });
}

TEST_F(OwnerTest, AccountsTakeTurns)
{
	owner_tick(&owner, 100, &effects);
	for (uint64_t seq = 1; seq <= 4; seq++)
		ask(NODE, seq, ACCOUNT_A, 100);
	ask(OTHER_NODE, 5, ACCOUNT_B, 100);
	EXPECT_EQ(granted(), (std::vector<uint64_t>{ 1, 2 }));

	msg done = {};
	done.type = MSG_DONE;
	done.from_node_id = NODE;
	done.u.done.seq = 1;
	done.u.done.tokens = 10;
	owner_handle(&owner, &done, 110, &effects);
	EXPECT_EQ(granted(), std::vector<uint64_t>{ 5 });
}

TEST_F(OwnerTest, LostGrantIsSentAgain)
{
	owner_tick(&owner, 100, &effects);
	ask(NODE, 1, ACCOUNT_A, 100);
	granted();
	report(NODE, { { ACCOUNT_A, 1, 0, 0, 0, 10, REPORT_WAITING } }, 120);
	EXPECT_TRUE(granted().empty());
	report(NODE, { { ACCOUNT_A, 1, 0, 0, 0, 10, REPORT_WAITING } }, 200);
	EXPECT_EQ(granted(), std::vector<uint64_t>{ 1 });
}

TEST_F(OwnerTest, SlotsOfALostNodeAreFree)
{
	owner_tick(&owner, 100, &effects);
	ask(OTHER_NODE, 1, ACCOUNT_A, 100);
	ask(OTHER_NODE, 2, ACCOUNT_A, 100);
	ask(NODE, 3, ACCOUNT_A, 100);
	EXPECT_EQ(granted(), (std::vector<uint64_t>{ 1, 2 }));
	owner_node_down(&owner, OTHER_NODE, 110, &effects);
	EXPECT_EQ(granted(), std::vector<uint64_t>{ 3 });
}

} // namespace
