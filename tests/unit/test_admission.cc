#include "dispatch_fixture.h"

using namespace dispatch_tests;

namespace
{

using Admission = Dispatch;

TEST_F(Admission, RefusesEarlyOnceTooMuchIsAhead)
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

TEST_F(Admission, ARefusedCallerComesBackOnceTheWorkAheadIsWithinItsLimit)
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

TEST_F(Admission, WhatIsHeldWouldBeRefusedAsLongAsItIsHeld)
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

TEST_F(Admission, HoldsNobodyWhileAnEngineHasRoom)
{
	dispatch_ask large = ask(30000);

	add("e1");
	EXPECT_TRUE(decide(large).start);
	add("e2");
	for (int i = 0; i < 6; i++)
		EXPECT_EQ(decide(ask(20)).hold_ms, 0u);
}

TEST_F(Admission, ShutsOutNoLargePromptOnAnIdleEngine)
{
	add("e1");
	EXPECT_TRUE(decide(ask(54000)).start);
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
TEST_F(Admission, BackloggedAccountsShareByTokensNotByRequests)
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

TEST_F(Admission, NobodyIsOverWhileThereIsEnough)
{
	add("e1");
	run(OUTCOME_WHOLE, ask(2000));
	tick_for(200);
	EXPECT_FALSE(decide(ask(2000)).forecast.over_share);
}

TEST_F(Admission, SharesBindOnlyAsFarAsWorkIsAhead)
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

TEST_F(Admission, KeepsRepeatsWithinItsPartOfTheBudget)
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

TEST_F(Admission, RequestsForOnePoolAllowNoRepeatsAtAnother)
{
	add("e1");
	add("s1", "service", 100);
	add("s2", "service", 100);
	for (int i = 0; i < 100; i++)
		run(OUTCOME_WHOLE, ask());
	EXPECT_LE(repeats_allowed("service"), 8u);
}

TEST_F(Admission, ARepeatAfterAnAttemptThatReachedNobodyCostsNothing)
{
	dispatch_ask again = repeat_without_budget();

	EXPECT_FALSE(decide(again).start);
	again.unreached = true;
	EXPECT_TRUE(decide(again).start);
}

TEST_F(Admission, ARequestWithoutBudgetIsToldATimeToComeBack)
{
	dispatch_decision decision = decide(repeat_without_budget());

	EXPECT_EQ(decision.reason, REFUSE_BUDGET);
	EXPECT_GE(decision.retry_after_ms, 100u);
}

} // namespace
