#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "core/entry.h"
}

namespace
{

constexpr uint64_t SELF = 11, OWNER = 12, OTHER_OWNER = 13, POOL = 21;
constexpr uint64_t ACCOUNT = 31, ACTIVE_ENDPOINT = 41, LEAVING_ENDPOINT = 42;

class EntryTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		entry_config config = {};

		config.node_id = SELF;
		config.seq_first = 100;
		config.ops = &entry_fleet;
		config.report_period_ms = 500;
		config.fallback_after_ms = 1500;
		endpoints[0].endpoint_id = ACTIVE_ENDPOINT;
		endpoints[1].endpoint_id = LEAVING_ENDPOINT;
		endpoints[1].leaving = true;
		pool_row.pool_id = POOL;
		pool_row.slots_per_endpoint = 4;
		pool_row.estimate_tokens = 10;
		pool_row.request_max_tokens = 100;
		pool_row.endpoints = endpoints;
		pool_row.endpoint_count = 2;
		tables.pools = &pool_row;
		tables.pool_count = 1;
		effects_init(&effects);
		entry_init(&entry, &config);
		entry_set_tables(&entry, &tables, 0, &effects);
		set_owner(OWNER);
		effects_clear(&effects);
	}

	void TearDown() override
	{
		entry_finish(&entry);
		effects_finish(&effects);
	}

	void set_owner(uint64_t owner)
	{
		entry_set_members(&entry, &owner, 1, 0, &effects);
	}

	uint64_t submit(uint32_t waiting_max = 8)
	{
		struct entry_request_params params = {};

		params.pool_id = POOL;
		params.account_id = ACCOUNT;
		params.deadline_ms = 100000;
		params.estimate_tokens = 10;
		params.waiting_max_count = waiting_max;
		return entry_submit(&entry, &params, 0, &effects);
	}

	void send_grant(uint64_t seq, uint64_t epoch, uint64_t from = OWNER,
	    uint64_t endpoint = ACTIVE_ENDPOINT, uint64_t now_ms = 10,
	    uint64_t grant_seq = 1)
	{
		msg message = {};

		message.type = MSG_GRANT;
		message.from_node_id = from;
		message.u.grant = { POOL, epoch, seq, endpoint, 7, grant_seq };
		entry_handle(&entry, &message, now_ms, &effects);
	}

	size_t effects_count(effect_type type)
	{
		size_t found = 0;

		for (size_t i = 0; i < effects.count; i++)
			found += effects.items[i].type == type;
		return found;
	}

	// Messages of this type that were sent since effects was cleared.
	std::vector<effect> sent(msg_type type)
	{
		std::vector<effect> found;

		for (size_t i = 0; i < effects.count; i++)
			if (effects.items[i].type == EFFECT_SEND &&
			    effects.items[i].msg.type == type)
				found.push_back(effects.items[i]);
		return found;
	}

	void tick_until(uint64_t from_ms, uint64_t to_ms)
	{
		for (uint64_t now = from_ms; now <= to_ms; now += 50)
			entry_tick(&entry, now, &effects);
	}

	struct entry entry;
	struct effects effects;
	struct tables tables = {};
	struct pool pool_row = {};
	struct endpoint endpoints[2] = {};
};

TEST_F(EntryTest, DuplicateGrantStartsTheRequestOnce)
{
	uint64_t seq = submit();

	send_grant(seq, 5);
	send_grant(seq, 5);
	EXPECT_EQ(effects_count(EFFECT_START), 1u);
}

TEST_F(EntryTest, GrantOfASupersededOwnerIsRejectedAsStale)
{
	uint64_t seq = submit();

	send_grant(1, 9, OTHER_OWNER);
	effects_clear(&effects);
	send_grant(seq, 8);
	EXPECT_EQ(effects_count(EFFECT_START), 0u);
	ASSERT_EQ(sent(MSG_STALE_OWNER).size(), 1u);
	EXPECT_EQ(sent(MSG_STALE_OWNER)[0].to_node_id, OWNER);
	EXPECT_EQ(sent(MSG_STALE_OWNER)[0].msg.u.stale_owner.epoch_seen, 9u);
	EXPECT_EQ(sent(MSG_STALE_OWNER)[0].msg.u.stale_owner.owner_seen,
	    OTHER_OWNER);
}

TEST_F(EntryTest, OfTwoOwnersWithEqualEpochsOnlyTheHigherNodeIdIsAccepted)
{
	uint64_t first = submit(), second = submit();

	send_grant(first, 9, OTHER_OWNER);
	send_grant(second, 9, OWNER);
	EXPECT_EQ(effects_count(EFFECT_START), 1u);
	EXPECT_EQ(sent(MSG_STALE_OWNER).size(), 1u);
}

TEST_F(EntryTest, RefusalOfASupersededOwnerIsIgnored)
{
	msg message = {};
	uint64_t seq = submit();

	send_grant(1, 9, OTHER_OWNER);
	message.type = MSG_REFUSE;
	message.from_node_id = OWNER;
	message.u.refuse = { POOL, 8, seq, 1000, REFUSE_QUEUE_FULL };
	entry_handle(&entry, &message, 10, &effects);
	EXPECT_EQ(effects_count(EFFECT_REFUSE), 0u);
	message.from_node_id = OTHER_OWNER;
	message.u.refuse.epoch = 9;
	entry_handle(&entry, &message, 10, &effects);
	EXPECT_EQ(effects_count(EFFECT_REFUSE), 1u);
}

TEST_F(EntryTest, GrantForAnEndedRequestIsReturned)
{
	uint64_t seq = submit();

	entry_cancel(&entry, seq, &effects);
	effects_clear(&effects);
	send_grant(seq, 5);
	ASSERT_EQ(sent(MSG_CANCEL).size(), 1u);
	EXPECT_EQ(sent(MSG_CANCEL)[0].msg.u.cancel.seq, seq);
	EXPECT_EQ(sent(MSG_CANCEL)[0].msg.u.cancel.endpoint_id, 0u);
}

TEST_F(EntryTest, GrantForALeavingEndpointIsReturnedAndTheRequestWaits)
{
	uint64_t seq = submit();

	send_grant(seq, 5, OWNER, LEAVING_ENDPOINT);
	EXPECT_EQ(effects_count(EFFECT_START), 0u);
	ASSERT_EQ(sent(MSG_CANCEL).size(), 1u);
	EXPECT_EQ(sent(MSG_CANCEL)[0].msg.u.cancel.endpoint_id,
	    LEAVING_ENDPOINT);
	send_grant(seq, 5, OWNER, ACTIVE_ENDPOINT, 10, 2);
	EXPECT_EQ(effects_count(EFFECT_START), 1u);
}

TEST_F(EntryTest, LateDuplicateOfAReturnedGrantIsIgnored)
{
	uint64_t seq = submit();

	send_grant(seq, 5, OWNER, LEAVING_ENDPOINT, 10, 3);
	endpoints[1].leaving = false;
	send_grant(seq, 5, OWNER, LEAVING_ENDPOINT, 20, 3);
	EXPECT_EQ(effects_count(EFFECT_START), 0u);
	send_grant(seq, 5, OWNER, LEAVING_ENDPOINT, 30, 4);
	EXPECT_EQ(effects_count(EFFECT_START), 1u);
}

TEST_F(EntryTest, GrantAtAnotherEndpointForARunningRequestCausesAFullReport)
{
	uint64_t seq = submit();

	send_grant(seq, 5);
	send_grant(seq, 6, OTHER_OWNER, ACTIVE_ENDPOINT + 10);
	effects_clear(&effects);
	entry_tick(&entry, 20, &effects);
	ASSERT_EQ(sent(MSG_REQUEST_REPORT).size(), 1u);
	EXPECT_EQ(sent(MSG_REQUEST_REPORT)[0].msg.u.request_report.full, 1);
	EXPECT_EQ(sent(MSG_REQUEST_REPORT)[0]
		      .msg.u.request_report.items[0]
		      .endpoint_id,
	    ACTIVE_ENDPOINT);
}

TEST_F(EntryTest, WaitingRequestsOfARemovedPoolAreRefused)
{
	struct tables tables_without_pool = {};
	uint64_t running = submit(), waiting = submit();

	send_grant(running, 5);
	effects_clear(&effects);
	entry_set_tables(&entry, &tables_without_pool, 20, &effects);
	ASSERT_EQ(effects_count(EFFECT_REFUSE), 1u);
	EXPECT_EQ(sent(MSG_CANCEL)[0].msg.u.cancel.seq, waiting);
	submit();
	EXPECT_EQ(effects_count(EFFECT_REFUSE), 2u);
	entry_done(&entry, running, 5, DONE_COMPLETE, &effects);
	EXPECT_EQ(sent(MSG_DONE).size(), 1u);
}

TEST_F(EntryTest, RequestsAboveTheWaitingMaxAreRefusedAtOnce)
{
	submit(1);
	submit(1);
	ASSERT_EQ(effects_count(EFFECT_REFUSE), 1u);
	for (size_t i = 0; i < effects.count; i++)
		if (effects.items[i].type == EFFECT_REFUSE) {
			EXPECT_EQ(effects.items[i].reason, REFUSE_QUEUE_FULL);
			EXPECT_GE(effects.items[i].retry_after_ms, 500u);
		}
}

TEST_F(EntryTest, SilentOwnerCausesFallbackToTheLocalShare)
{
	for (int i = 0; i < 6; i++)
		submit();
	tick_until(0, 1450);
	EXPECT_EQ(effects_count(EFFECT_START), 0u);
	EXPECT_FALSE(entry_in_fallback(&entry, POOL));
	tick_until(1500, 1600);
	EXPECT_EQ(effects_count(EFFECT_START), 4u);
	EXPECT_TRUE(entry_in_fallback(&entry, POOL));
	send_grant(1, 9, OWNER, ACTIVE_ENDPOINT, 1650);
	EXPECT_FALSE(entry_in_fallback(&entry, POOL));
	effects_clear(&effects);
	tick_until(1650, 1650);
	ASSERT_EQ(sent(MSG_REQUEST_REPORT).size(), 1u);
	EXPECT_EQ(sent(MSG_REQUEST_REPORT)[0].msg.u.request_report.full, 1);
	EXPECT_EQ(sent(MSG_REQUEST_REPORT)[0].msg.u.request_report.item_count,
	    6u);
}

TEST_F(EntryTest, RespondingOwnerPreventsTheFallback)
{
	msg response = {};

	response.type = MSG_SYNC;
	response.from_node_id = OWNER;
	response.u.sync = { POOL, 5, 0 };
	submit();
	for (uint64_t now = 0; now < 5000; now += 50) {
		entry_tick(&entry, now, &effects);
		for (const effect &item : sent(MSG_REQUEST_REPORT))
			if (item.msg.u.request_report.wants_ack)
				entry_handle(&entry, &response, now, &effects);
		effects_clear(&effects);
	}
	EXPECT_FALSE(entry_in_fallback(&entry, POOL));
}

TEST_F(EntryTest, RunningRequestsAloneAreReportedEveryEighthPeriod)
{
	send_grant(submit(), 5);
	effects_clear(&effects);
	tick_until(50, 16050);
	EXPECT_EQ(sent(MSG_REQUEST_REPORT).size(), 4u);
}

TEST_F(EntryTest, ReportsStopAfterTheLastRequestEnds)
{
	uint64_t seq = submit();

	send_grant(seq, 5);
	entry_done(&entry, seq, 5, DONE_COMPLETE, &effects);
	effects_clear(&effects);
	tick_until(50, 20000);
	EXPECT_LE(sent(MSG_REQUEST_REPORT).size(), 3u);
	EXPECT_GE(sent(MSG_REQUEST_REPORT).size(), 1u);
}

} // namespace
