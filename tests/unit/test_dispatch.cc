#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <vector>

extern "C" {
#include "core/dispatch.h"
#include "core/dispatch_private.h"
#include "core/hash.h"
}

namespace
{

constexpr uint64_t NODE = 7;

class Dispatch : public ::testing::Test
{
      protected:
	Dispatch()
	{
		dispatch_config config = {};

		config.node_id = NODE;
		config.domain_id = hash_name("z1");
		config.report_period_ms = 100;
		config.repeat_percent = 20;
		config.repeat_slack_count = 8;
		config.repeat_window_ms = 10000;
		dispatch_init(&dispatch, &config);
		effects_init(&effects);
		catalog = catalog_new();
		add_pool("engines", true);
		add_pool("service", false);
		dispatch_set_catalog(&dispatch, catalog);
	}

	~Dispatch() override
	{
		effects_finish(&effects);
		dispatch_finish(&dispatch);
		catalog_unref(catalog);
	}

	void add_pool(const char *name, bool engine)
	{
		catalog_pool pool = {};

		pool.pool_id = hash_name(name);
		g_strlcpy(pool.name, name, sizeof(pool.name));
		pool.engine = engine;
		pool.memory_tokens = engine ? 100000 : 0;
		g_array_append_val(catalog->pools, pool);
	}

	void add(const char *name, const char *pool = "engines",
	    uint32_t slots = 8, uint64_t born_ms = 1, bool leaving = false,
	    const char *domain = "z1")
	{
		dispatch_listing listing = {};

		g_strlcpy(listing.name, name, sizeof(listing.name));
		g_strlcpy(listing.address, "127.0.0.1:1",
		    sizeof(listing.address));
		listing.pool_id = hash_name(pool);
		listing.domain_id = hash_name(domain);
		listing.slots = slots;
		listing.born_ms = born_ms;
		listing.leaving = leaving;
		dispatch_put_endpoint(&dispatch, &listing, now_ms);
	}

	dispatch_ask ask(uint32_t prompt_tokens = 1000, uint64_t account_id = 1)
	{
		dispatch_ask ask = {};

		ask.pool_id = hash_name("engines");
		ask.account_id = account_id;
		ask.request_hash = ++hash;
		ask.prompt_tokens = prompt_tokens;
		ask.answer_tokens = 100;
		ask.aim_ms = 400;
		ask.left_ms = 12000;
		return ask;
	}

	dispatch_decision decide(const dispatch_ask &ask)
	{
		dispatch_decision decision;

		dispatch_decide(&dispatch, &ask, now_ms, &decision);
		return decision;
	}

	dispatch_ask ask_service()
	{
		dispatch_ask plain = ask(0, 0);

		plain.pool_id = hash_name("service");
		return plain;
	}

	/** Repeats requests of a pool until the budget is spent. */
	uint32_t repeats_allowed(const char *pool)
	{
		dispatch_ask again = ask(0, 0);
		uint32_t count = 0;

		again.pool_id = hash_name(pool);
		again.tried_ids[again.tried_count++] = hash_name("s1");
		while (count < 1000) {
			dispatch_decision decision = decide(again);
			if (!decision.start)
				break;
			dispatch_done(&dispatch, decision.seq, OUTCOME_WHOLE,
			    now_ms, nullptr);
			count++;
		}
		return count;
	}

	/** Runs one request that ends in a way. */
	void run(dispatch_outcome outcome, const dispatch_ask &ask)
	{
		dispatch_decision decision = decide(ask);

		ASSERT_TRUE(decision.start);
		dispatch_first(&dispatch, decision.seq, now_ms);
		dispatch_done(&dispatch, decision.seq, outcome, now_ms,
		    nullptr);
	}

	void tick_for(uint64_t duration_ms)
	{
		for (uint64_t end_ms = now_ms + duration_ms; now_ms < end_ms;
		     now_ms += 50) {
			dispatch_tick(&dispatch, now_ms, now_ms, &effects);
			effects_clear(&effects);
		}
	}

	struct dispatch_account *account_of(uint64_t account_id)
	{
		return dispatch_account(&dispatch, account_id);
	}

	/** A peer reports what it runs at an endpoint. */
	void report(uint64_t node_id, const char *endpoint,
	    uint32_t running_count, uint32_t reading_tokens)
	{
		load_endpoint load = { hash_name(endpoint), running_count,
			reading_tokens, 0 };
		msg msg = {};

		msg.type = MSG_LOAD;
		msg.from_node_id = node_id;
		msg.u.load.endpoints = &load;
		msg.u.load.endpoints_count = 1;
		dispatch_proof proofs[PROOF_KIND_COUNT];
		dispatch_handle(&dispatch, &msg, now_ms, proofs);
	}

	struct dispatch dispatch;
	struct effects effects;
	struct catalog *catalog;
	uint64_t now_ms = 1000000;
	uint64_t hash = 0;
};

TEST_F(Dispatch, RefusesWithoutAnEndpoint)
{
	dispatch_decision decision = decide(ask());

	EXPECT_FALSE(decision.start);
	EXPECT_EQ(decision.reason, REFUSE_NO_ENDPOINT);
	add("e1", "engines", 8, 1, true);
	EXPECT_FALSE(decide(ask()).start);
	dispatch_set_catalog(&dispatch, nullptr);
	EXPECT_FALSE(decide(ask()).start);
}

TEST_F(Dispatch, SpreadsPromptsByTheTokensStillToBeRead)
{
	add("e1");
	add("e2");
	dispatch_decision large = decide(ask(9000));
	for (int i = 0; i < 4; i++) {
		dispatch_decision small = decide(ask(1000));
		ASSERT_TRUE(small.start);
		EXPECT_NE(small.endpoint_id, large.endpoint_id);
	}
}

TEST_F(Dispatch, CountsWhatPeersReport)
{
	add("e1");
	add("e2");
	report(8, "e1", 3, 9000);
	EXPECT_STREQ(decide(ask()).name, "e2");
	report(8, "e1", 0, 0);
	report(9, "e2", 3, 9000);
	EXPECT_STREQ(decide(ask()).name, "e1");
	/* a peer that falls silent counts no longer */
	now_ms += 4000;
	tick_for(100);
	EXPECT_EQ(g_hash_table_size(dispatch.peers), 0u);
}

TEST_F(Dispatch, RefusesEarlyOnceTooMuchIsAhead)
{
	dispatch_decision decision;
	uint32_t started = 0;

	add("e1", "engines", 64);
	while ((decision = decide(ask(3000))).start)
		started++;
	EXPECT_GT(started, 1u);
	EXPECT_LT(started, 20u);
	EXPECT_EQ(decision.reason, REFUSE_QUEUE_FULL);
	EXPECT_GT(decision.retry_after_ms, 0u);
	EXPECT_LE(decision.retry_after_ms, 4000u);
}

TEST_F(Dispatch, ARefusedCallerComesBackOnceTheWorkAheadIsWithinItsLimit)
{
	dispatch_decision decision;

	add("e1");
	do
		decision = decide(ask(4000));
	while (decision.start);
	uint32_t over_ms = decision.forecast.ahead_ms -
	    decision.forecast.limit_ms;
	EXPECT_GT(decision.forecast.limit_ms, 0u);
	EXPECT_GE(decision.retry_after_ms, (int)over_ms < 0 ? 0 : over_ms);
	/* soon enough to be in time */
	EXPECT_LE(decision.retry_after_ms, 300u);
}

TEST_F(Dispatch, WhatIsHeldWouldBeRefusedAsLongAsItIsHeld)
{
	add("e1");
	add("e2");
	report(8, "e1", 1, 20000);
	report(9, "e2", 1, 13000);
	dispatch_decision decision = decide(ask(3000));
	EXPECT_FALSE(decision.start);
	/* 13000 tokens take 260 ms to read, and 200 ms are allowed ahead */
	EXPECT_EQ(decision.hold_ms, 60u);
	for (uint32_t tokens : { 1u, 100u, 3000u, 30000u })
		EXPECT_FALSE(decide(ask(tokens)).start) << tokens;
	dispatch_ask patient = ask(1);
	patient.aim_ms = 4000;
	EXPECT_TRUE(decide(patient).start);
}

TEST_F(Dispatch, HoldsNobodyWhileAnEngineHasRoom)
{
	dispatch_ask large = ask(30000);

	add("e1");
	EXPECT_TRUE(decide(large).start);
	add("e2");
	for (int i = 0; i < 6; i++)
		EXPECT_EQ(decide(ask(20)).hold_ms, 0u);
}

TEST_F(Dispatch, ShutsOutNoLargePromptOnAnIdleEngine)
{
	add("e1");
	EXPECT_TRUE(decide(ask(54000)).start);
}

TEST_F(Dispatch, ReturnsToAnEngineThatKeepsTheSharedPart)
{
	dispatch_ask first = ask(6000), second;

	add("e1");
	add("e2");
	add("e3");
	first.parts[0] = { 11, 5000 };
	first.parts[1] = { 12, 1000 };
	first.parts_count = 2;
	dispatch_decision decision = decide(first);
	dispatch_first(&dispatch, decision.seq, now_ms);
	second = first;
	second.parts[1].part_id = 13;
	dispatch_decision again = decide(second);
	EXPECT_EQ(again.endpoint_id, decision.endpoint_id);
	EXPECT_LT(again.forecast.own_ms, decision.forecast.own_ms + 1);
}

TEST_F(Dispatch, ANewProcessKeepsNothing)
{
	dispatch_ask first = ask(6000);

	add("e1");
	first.parts[0] = { 11, 5000 };
	first.parts[1] = { 12, 1000 };
	first.parts_count = 2;
	run(OUTCOME_WHOLE, first);
	EXPECT_LT(decide(first).forecast.own_ms, 10u);
	add("e1", "engines", 8, 2);
	EXPECT_GT(decide(first).forecast.own_ms, 10u);
}

/** An engine that reads prompts one after another. */
struct ReadingEngine {
	struct Item {
		uint64_t seq, left_tokens;
	};
	std::deque<Item> queue;

	void read(struct dispatch *dispatch, uint64_t tokens, uint64_t now_ms)
	{
		while (!queue.empty() && tokens >= queue.front().left_tokens) {
			tokens -= queue.front().left_tokens;
			dispatch_first(dispatch, queue.front().seq, now_ms);
			dispatch_done(dispatch, queue.front().seq,
			    OUTCOME_WHOLE, now_ms, nullptr);
			queue.pop_front();
		}
		if (!queue.empty())
			queue.front().left_tokens -= tokens;
	}
};

/* Two accounts ask for more than there is, one with many small requests, one
 * with few large ones, beside one that asks little. */
TEST_F(Dispatch, BackloggedAccountsShareByTokensNotByRequests)
{
	const struct {
		uint32_t requests_count, tokens;
	} asks[] = { { 16, 500 }, { 2, 2600 }, { 1, 100 } };
	uint64_t asked[3] = { 0 }, served[3] = { 0 };
	ReadingEngine engine;

	add("e1", "engines", 64);
	for (int step = 0; step < 400; step++) {
		for (int i = 0; i < 3; i++)
			for (uint32_t n = 0; n < asks[i].requests_count; n++) {
				uint32_t tokens = asks[i].tokens;
				dispatch_decision decision = decide(
				    ask(tokens, 1 + (uint64_t)i));
				if (step >= 200)
					asked[i] += tokens;
				if (!decision.start)
					continue;
				engine.queue.push_back(
				    { decision.seq, tokens });
				if (step >= 200)
					served[i] += tokens;
			}
		engine.read(&dispatch, 2500, now_ms);
		tick_for(50);
	}
	EXPECT_GT(served[0], served[1] / 2);
	EXPECT_GT(served[1], served[0] / 2);
	EXPECT_GT(served[2], asked[2] * 9 / 10);
}

TEST_F(Dispatch, NobodyIsOverWhileThereIsEnough)
{
	add("e1");
	run(OUTCOME_WHOLE, ask(2000));
	tick_for(200);
	EXPECT_FALSE(decide(ask(2000)).forecast.over_share);
}

TEST_F(Dispatch, TakesTheTimeOfAFirstTokenForNoSlowReading)
{
	add("e1");
	for (int i = 0; i < 100; i++) {
		dispatch_decision decision = decide(ask(100));
		ASSERT_TRUE(decision.start);
		now_ms += 90;
		dispatch_first(&dispatch, decision.seq, now_ms);
		dispatch_done(&dispatch, decision.seq, OUTCOME_WHOLE, now_ms,
		    nullptr);
	}
	EXPECT_LE(decide(ask(10000)).forecast.own_ms, 10000u / 50);
}

TEST_F(Dispatch, LearnsThatAnEngineReadsSlowly)
{
	add("e1");
	for (int i = 0; i < 100; i++) {
		dispatch_decision decision = decide(ask(10000));
		ASSERT_TRUE(decision.start);
		now_ms += 830;
		dispatch_first(&dispatch, decision.seq, now_ms);
		dispatch_done(&dispatch, decision.seq, OUTCOME_WHOLE, now_ms,
		    nullptr);
	}
	EXPECT_NEAR(decide(ask(10000)).forecast.own_ms, 800u, 40u);
}

TEST_F(Dispatch, SharesBindOnlyAsFarAsWorkIsAhead)
{
	for (const char *name :
	    { "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8" })
		add(name);
	/* two accounts that ask for more than was served lately */
	struct dispatch_account *large = account_of(1);
	account_of(2)->others_asked_tokens = 100000;
	large->others_asked_tokens = 100000;
	large->others_served_tokens = 9000;
	tick_for(100);
	/* nearly idle engines: a little reading is ahead at each of them */
	for (int i = 0; i < 8; i++)
		EXPECT_TRUE(decide(ask(500, 2)).start);
	EXPECT_TRUE(decide(ask(500, 1)).start);
}

TEST_F(Dispatch, EjectsAnEndpointThatFailsAndTriesItAgain)
{
	dispatch_ask plain = ask(0, 0);

	plain.pool_id = hash_name("service");
	add("s1", "service", 4);
	for (int i = 0; i < 4; i++)
		run(OUTCOME_BROKEN, plain);
	add("s2", "service", 4);
	for (int i = 0; i < 8; i++)
		EXPECT_STREQ(decide(plain).name, "s2");
	now_ms += 10000;
	/* one request at a time tries it */
	uint32_t tried = 0;
	for (int i = 0; i < 8; i++)
		tried += std::string(decide(plain).name) == "s1";
	EXPECT_EQ(tried, 1u);
}

TEST_F(Dispatch, UsesAnEjectedEndpointWhenThereIsNoOther)
{
	dispatch_ask plain = ask(0, 0);

	plain.pool_id = hash_name("service");
	add("s1", "service", 4);
	for (int i = 0; i < 6; i++)
		run(OUTCOME_FAILED, plain);
	EXPECT_TRUE(decide(plain).start);
}

TEST_F(Dispatch, TriesNoEndpointTwice)
{
	dispatch_ask again = ask();

	add("e1");
	add("e2");
	again.tried_ids[again.tried_count++] = hash_name("e1");
	EXPECT_STREQ(decide(again).name, "e2");
	again.tried_ids[again.tried_count++] = hash_name("e2");
	EXPECT_FALSE(decide(again).start);
}

TEST_F(Dispatch, KeepsRepeatsWithinItsPartOfTheBudget)
{
	const dispatch_daemon live[] = { { NODE, 1, true }, { 8, 1, true },
		{ 9, 1, true }, { 10, 1, true } };
	uint32_t allowed;

	add("s1", "service", 100);
	add("s2", "service", 100);
	dispatch_set_live(&dispatch, live, 4);
	/* a lost peer leaves no more to those that remain */
	dispatch_set_live(&dispatch, live, 1);
	for (int i = 0; i < 100; i++)
		run(OUTCOME_WHOLE, ask_service());
	allowed = repeats_allowed("service");
	EXPECT_GE(allowed, 1u);
	EXPECT_LE(allowed, 100u * 20 / 100 + 8 / 4);
	now_ms += 30000;
	EXPECT_EQ(repeats_allowed("service"), 8u / 4 / 2);
}

TEST_F(Dispatch, RequestsForOnePoolAllowNoRepeatsAtAnother)
{
	add("e1");
	add("s1", "service", 100);
	add("s2", "service", 100);
	for (int i = 0; i < 100; i++)
		run(OUTCOME_WHOLE, ask());
	EXPECT_LE(repeats_allowed("service"), 8u);
}

TEST_F(Dispatch, ARepeatAfterAnAttemptThatReachedNobodyCostsNothing)
{
	dispatch_ask again = ask_service();

	add("s1", "service", 100);
	add("s2", "service", 100);
	repeats_allowed("service");
	again.tried_ids[again.tried_count++] = hash_name("s1");
	EXPECT_FALSE(decide(again).start);
	again.unreached = true;
	EXPECT_TRUE(decide(again).start);
}

TEST_F(Dispatch, ARequestWithoutBudgetIsToldATimeToComeBack)
{
	dispatch_ask again = ask_service();

	add("s1", "service", 100);
	add("s2", "service", 100);
	repeats_allowed("service");
	again.tried_ids[again.tried_count++] = hash_name("s1");
	dispatch_decision decision = decide(again);
	EXPECT_EQ(decision.reason, REFUSE_BUDGET);
	EXPECT_GE(decision.retry_after_ms, 100u);
}

TEST_F(Dispatch, ReportsToEachLiveDaemon)
{
	const dispatch_daemon live[] = { { NODE, 1, true }, { 8, 1, true },
		{ 9, 1, true } };

	add("e1");
	dispatch_set_live(&dispatch, live, 3);
	ASSERT_TRUE(decide(ask(3000)).start);
	dispatch_tick(&dispatch, now_ms, now_ms, &effects);
	ASSERT_EQ(effects.count, 2u);
	const msg_load *load = &effects.items[0].msg.u.load;
	ASSERT_EQ(load->endpoints_count, 1u);
	EXPECT_EQ(load->endpoints[0].running_count, 1u);
	EXPECT_EQ(load->endpoints[0].reading_tokens, 3000u);
	ASSERT_EQ(load->accounts_count, 1u);
	EXPECT_GT(load->accounts[0].asked_tokens, 3000u);
}

TEST_F(Dispatch, AnEndpointThatLeftIsForgottenAfterItsWork)
{
	add("e1");
	dispatch_decision decision = decide(ask());
	dispatch_remove_endpoint(&dispatch, "e1");
	EXPECT_FALSE(decide(ask()).start);
	dispatch_done(&dispatch, decision.seq, OUTCOME_WHOLE, now_ms, nullptr);
	EXPECT_EQ(g_hash_table_size(dispatch.endpoints), 0u);
}

} // namespace
