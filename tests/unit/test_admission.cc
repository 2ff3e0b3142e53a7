#include "dispatch_fixture.h"

using namespace dispatch_tests;

namespace
{

using Admission = Dispatch;

TEST_F(Admission, RefusesRequestsOnceBacklogExceedsLimit)
{
	dispatch_decision decision;
	uint32_t started = 0;

	add_endpoint("e1", "engines", 64);
	while ((decision = decide(make_request(3000))).start)
		started++;
	EXPECT_GT(started, 1u);
	EXPECT_LT(started, 20u);
	EXPECT_EQ(decision.reason, REFUSE_QUEUE_FULL);
	EXPECT_GT(decision.retry_after_ms, 0u);
	EXPECT_LE(decision.retry_after_ms, 4000u);
}

TEST_F(Admission, RetryAfterCoversTimeUntilBacklogIsWithinLimit)
{
	dispatch_decision decision;

	add_endpoint("e1");
	do
		decision = decide(make_request(4000));
	while (decision.start);
	uint32_t excess_ms = decision.forecast.backlog_ms -
	    decision.forecast.admission_limit_ms;
	EXPECT_GT(decision.forecast.admission_limit_ms, 0u);
	EXPECT_GE(decision.retry_after_ms, (int)excess_ms < 0 ? 0 : excess_ms);
	/* soon enough for a retry to meet the latency target */
	EXPECT_LE(decision.retry_after_ms, 300u);
}

TEST_F(Admission, RejectionHoldCoversOnlyRequestsThatWouldBeRefused)
{
	add_endpoint("e1");
	add_endpoint("e2");
	report_load(8, "e1", 1, 20000);
	report_load(9, "e2", 1, 13000);
	dispatch_decision decision = decide(make_request(3000));
	EXPECT_FALSE(decision.start);
	/* the prefill of 13000 tokens takes 260 ms, and the limit is 200 ms */
	EXPECT_EQ(decision.rejection_hold_ms, 60u);
	for (uint32_t tokens : { 1u, 100u, 3000u, 30000u })
		EXPECT_FALSE(decide(make_request(tokens)).start) << tokens;
	dispatch_request tolerant = make_request(1);
	tolerant.latency_target_ms = 4000;
	EXPECT_TRUE(decide(tolerant).start);
}

TEST_F(Admission, NoRejectionHoldWhileAnEngineHasCapacity)
{
	dispatch_request large = make_request(30000);

	add_endpoint("e1");
	EXPECT_TRUE(decide(large).start);
	add_endpoint("e2");
	for (int i = 0; i < 6; i++)
		EXPECT_EQ(decide(make_request(20)).rejection_hold_ms, 0u);
}

TEST_F(Admission, AdmitsLargePromptOnIdleEngine)
{
	add_endpoint("e1");
	EXPECT_TRUE(decide(make_request(54000)).start);
}

/** An engine that prefills prompts one after another. */
struct SerialPrefillEngine {
	struct Item {
		uint64_t seq, remaining_tokens;
	};
	std::deque<Item> queue;

	/** @param done called with the seq of each request that is complete */
	template <typename Done> void prefill(uint64_t tokens, Done done)
	{
		while (!queue.empty() &&
		    tokens >= queue.front().remaining_tokens) {
			tokens -= queue.front().remaining_tokens;
			done(queue.front().seq);
			queue.pop_front();
		}
		if (!queue.empty())
			queue.front().remaining_tokens -= tokens;
	}
};

/* Two accounts ask for more than the capacity: one with many small requests,
 * one with few large ones. A third account asks for little. */
TEST_F(Admission, BackloggedAccountsShareTokensNotRequests)
{
	const struct {
		uint32_t requests_count, tokens;
	} accounts[] = { { 16, 500 }, { 2, 2600 }, { 1, 100 } };
	uint64_t asked[3] = { 0 }, served[3] = { 0 };
	SerialPrefillEngine engine;
	auto complete = [&](uint64_t seq) {
		begin(seq);
		end(seq, OUTCOME_COMPLETE);
	};

	add_endpoint("e1", "engines", 64);
	for (int step = 0; step < 400; step++) {
		for (int i = 0; i < 3; i++)
			for (uint32_t n = 0; n < accounts[i].requests_count;
			     n++) {
				uint32_t tokens = accounts[i].tokens;
				dispatch_decision decision = decide(
				    make_request(tokens, 1 + (uint64_t)i));
				if (step >= 200)
					asked[i] += tokens;
				if (!decision.start)
					continue;
				engine.queue.push_back(
				    { decision.seq, tokens });
				if (step >= 200)
					served[i] += tokens;
			}
		engine.prefill(2500, complete);
		tick_for(50);
	}
	EXPECT_GT(served[0], served[1] / 2);
	EXPECT_GT(served[1], served[0] / 2);
	EXPECT_GT(served[2], asked[2] * 9 / 10);
}

/* One account uses what others leave, until most of the capacity is lost. */
TEST_F(Admission, AnAccountIsNotHeldToTokensFromBeforeALossOfCapacity)
{
	const uint32_t requests_count[] = { 14, 2, 2, 2 };
	const int lost_step = 100, end_step = lost_step + 120;
	uint64_t served[4] = { 0 };
	SerialPrefillEngine engine;
	auto complete = [&](uint64_t seq) {
		begin(seq);
		end(seq, OUTCOME_COMPLETE);
	};

	add_endpoint("e1", "engines", 64);
	for (int step = 0; step < end_step; step++) {
		for (int i = 0; i < 4; i++)
			for (uint32_t n = 0; n < requests_count[i]; n++) {
				dispatch_decision decision = decide(
				    make_request(200, 1 + (uint64_t)i));
				if (!decision.start)
					continue;
				engine.queue.push_back({ decision.seq, 200 });
				if (step >= lost_step)
					served[i] += 200;
			}
		engine.prefill(step < lost_step ? 3000 : 600, complete);
		tick_for(50);
	}
	for (int i = 1; i < 4; i++) {
		EXPECT_GT(served[0], served[i] / 2) << i;
		EXPECT_GT(served[i], served[0] / 2) << i;
	}
}

TEST_F(Admission, NoAccountIsOverShareWhileCapacitySuffices)
{
	add_endpoint("e1");
	run(OUTCOME_COMPLETE, make_request(2000));
	tick_for(200);
	EXPECT_FALSE(decide(make_request(2000)).forecast.over_share);
}

/* Tokens of an account that were placed and not run do not count for it. */
TEST_F(Admission, AttemptsThatNeverBeganAreNotCountedAsServed)
{
	add_endpoint("e1");
	add_endpoint("e2");
	for (dispatch_outcome outcome :
	    { OUTCOME_REFUSED, OUTCOME_UNREACHED, OUTCOME_UNUSED }) {
		dispatch_decision decision = decide(make_request(2000));
		ASSERT_TRUE(decision.start);
		EXPECT_EQ(account_of(1)->served_tokens, 2200u);
		tick_for(200);
		end(decision.seq, outcome);
		EXPECT_LE(account_of(1)->served_tokens, 5u) << outcome;
	}
	dispatch_decision decision = decide(make_request(2000));
	begin(decision.seq);
	end(decision.seq, OUTCOME_BROKEN);
	EXPECT_GE(account_of(1)->served_tokens, 2200u);
}

TEST_F(Admission, SharesDoNotLimitWhileBacklogIsSmall)
{
	for (const char *name :
	    { "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8" })
		add_endpoint(name);
	/* two accounts that ask for more tokens than they were served */
	struct dispatch_account *large = account_of(1);
	account_of(2)->remote_asked_tokens = 100000;
	large->remote_asked_tokens = 100000;
	large->remote_served_tokens = 9000;
	tick_for(100);
	/* nearly idle engines: each has a small backlog */
	for (int i = 0; i < 8; i++)
		EXPECT_TRUE(decide(make_request(500, 2)).start);
	EXPECT_TRUE(decide(make_request(500, 1)).start);
}

TEST_F(Admission, AnAccountFarOverItsShareGetsNoIdleEngineWhileOthersWait)
{
	serve_two_accounts_unequally();
	EXPECT_FALSE(decide(make_request(1000, 2)).start);
	dispatch_decision decision = decide(make_request(1000, 1));
	EXPECT_TRUE(decision.start);
	EXPECT_STREQ(decision.name, "e2");
}

TEST_F(Admission, ARefusalTellsAnAccountsShareFromAFullFleet)
{
	serve_two_accounts_unequally();
	EXPECT_EQ(decide(make_request(1000, 2)).reason, REFUSE_ACCOUNT_SHARE);
	report_load(50, "e1", 1, 100000);
	report_load(51, "e2", 1, 100000);
	EXPECT_EQ(decide(make_request(1000, 2)).reason, REFUSE_QUEUE_FULL);
	EXPECT_EQ(decide(make_request(1000, 1)).reason, REFUSE_QUEUE_FULL);
}

TEST_F(Admission, RetriesStayWithinLocalPartOfBudget)
{
	const dispatch_daemon live[] = { { NODE, 1, true }, { 8, 1, true },
		{ 9, 1, true }, { 10, 1, true } };
	uint32_t allowed;

	add_endpoint("s1", "service", 100);
	add_endpoint("s2", "service", 100);
	dispatch_set_daemons(&dispatch, live, 4);
	/* the loss of a peer does not increase the part of the remaining
	 * daemons */
	dispatch_set_daemons(&dispatch, live, 1);
	for (int i = 0; i < 100; i++)
		run(OUTCOME_COMPLETE, make_service_request());
	allowed = count_allowed_retries("service");
	EXPECT_GE(allowed, 1u);
	EXPECT_LE(allowed, 100u * 20 / 100 + 8 / 4);
	now_ms += 30000;
	EXPECT_EQ(count_allowed_retries("service"), 8u / 4 / 2);
}

TEST_F(Admission, RequestsForOnePoolAddNoRetriesForAnother)
{
	add_endpoint("e1");
	add_endpoint("s1", "service", 100);
	add_endpoint("s2", "service", 100);
	for (int i = 0; i < 100; i++)
		run(OUTCOME_COMPLETE, make_request());
	EXPECT_LE(count_allowed_retries("service"), 8u);
}

TEST_F(Admission, RetryAfterUnreachedAttemptIsFree)
{
	dispatch_request retry = make_retry_without_budget();

	EXPECT_FALSE(decide(retry).start);
	retry.unreached = true;
	EXPECT_TRUE(decide(retry).start);
}

TEST_F(Admission, RefusalForSpentRetryBudgetHasRetryAfter)
{
	dispatch_decision decision = decide(make_retry_without_budget());

	EXPECT_EQ(decision.reason, REFUSE_RETRY_BUDGET);
	EXPECT_GE(decision.retry_after_ms, 100u);
}

} // namespace
