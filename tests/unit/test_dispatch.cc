#include "dispatch_fixture.h"

using namespace dispatch_tests;

namespace
{

TEST_F(Dispatch, RefusesRequestIfPoolHasNoUsableEndpoint)
{
	dispatch_decision decision = decide(make_request());

	EXPECT_FALSE(decision.start);
	EXPECT_EQ(decision.reason, REFUSE_NO_ENDPOINT);
	add_endpoint("e1", "engines", 8, 1, true);
	EXPECT_FALSE(decide(make_request()).start);
	dispatch_set_configuration(&dispatch, nullptr);
	EXPECT_FALSE(decide(make_request()).start);
}

TEST_F(Dispatch, PrefersEndpointWithFewerTokensToPrefill)
{
	add_endpoint("e1");
	add_endpoint("e2");
	dispatch_decision large = decide(make_request(9000));
	for (int i = 0; i < 4; i++) {
		dispatch_decision small = decide(make_request(1000));
		ASSERT_TRUE(small.start);
		EXPECT_NE(small.endpoint_id, large.endpoint_id);
	}
}

TEST_F(Dispatch, IncludesAttemptsOfOtherDaemons)
{
	add_endpoint("e1");
	add_endpoint("e2");
	report_load(8, "e1", 3, 9000);
	EXPECT_STREQ(decide(make_request()).name, "e2");
	report_load(9, "e2", 3, 90000);
	EXPECT_STREQ(decide(make_request()).name, "e1");
}

TEST_F(Dispatch, AttemptsOfASilentDaemonExpire)
{
	add_endpoint("e1");
	report_load(8, "e1", 3, 9000);
	EXPECT_EQ(g_hash_table_size(dispatch.attempts), 3u);
	tick_for(3000);
	EXPECT_EQ(g_hash_table_size(dispatch.attempts), 0u);
	EXPECT_EQ(decide(make_request()).forecast.backlog_ms, 0u);
}

TEST_F(Dispatch, PrefersEngineWithCachedSharedSegment)
{
	dispatch_request first = make_request(6000), second;

	add_endpoint("e1");
	add_endpoint("e2");
	add_endpoint("e3");
	first.segments[0] = { 11, 5000 };
	first.segments[1] = { 12, 1000 };
	first.segments_count = 2;
	dispatch_decision decision = decide(first);
	begin(decision.seq);
	second = first;
	second.segments[1].segment_id = 13;
	dispatch_decision second_decision = decide(second);
	EXPECT_EQ(second_decision.endpoint_id, decision.endpoint_id);
	EXPECT_LT(second_decision.forecast.prefill_ms,
	    decision.forecast.prefill_ms + 1);
}

TEST_F(Dispatch, ForgetsCachedSegmentsAfterProcessRestart)
{
	dispatch_request first = make_request(6000);

	add_endpoint("e1");
	first.segments[0] = { 11, 5000 };
	first.segments[1] = { 12, 1000 };
	first.segments_count = 2;
	run(OUTCOME_COMPLETE, first);
	EXPECT_LT(decide(first).forecast.prefill_ms, 10u);
	add_endpoint("e1", "engines", 8, 2);
	EXPECT_GT(decide(first).forecast.prefill_ms, 10u);
}

TEST_F(Dispatch, AProcessThatLeavesIsNotTakenBackByALateHeartbeat)
{
	add_endpoint("e1", "engines", 8, 5, true);
	add_endpoint("e1", "engines", 8, 5, false);
	EXPECT_FALSE(decide(make_request()).start);
	dispatch_remove_endpoint(&dispatch, "e1");
	add_endpoint("e1", "engines", 8, 5, false);
	EXPECT_FALSE(decide(make_request()).start);
	/* its next process is another */
	add_endpoint("e1", "engines", 8, 6, false);
	EXPECT_TRUE(decide(make_request()).start);
}

TEST_F(Dispatch, AnEntryThatIsOlderThanTheKnownOneChangesNothing)
{
	add_endpoint("e1", "engines", 8, 0, true, "z1", 7);
	add_endpoint("e1", "engines", 8, 0, false, "z1", 6);
	EXPECT_FALSE(decide(make_request()).start);
	add_endpoint("e1", "engines", 8, 0, false, "z1", 8);
	EXPECT_TRUE(decide(make_request()).start);
}

TEST_F(Dispatch, FirstTokenDelayOfShortPromptsDoesNotLowerPrefillSpeed)
{
	add_endpoint("e1");
	for (int i = 0; i < 100; i++)
		run(OUTCOME_COMPLETE, make_request(100), 90);
	EXPECT_LE(decide(make_request(10000)).forecast.prefill_ms, 10000u / 50);
}

TEST_F(Dispatch, LearnsSlowPrefillSpeed)
{
	add_endpoint("e1");
	for (int i = 0; i < 100; i++)
		run(OUTCOME_COMPLETE, make_request(10000), 830);
	EXPECT_NEAR(decide(make_request(10000)).forecast.prefill_ms, 800u, 40u);
}

TEST_F(Dispatch, EnginesAreNotSlowForTheLagOfABusyDaemon)
{
	dispatch_request large = make_request(10000);

	add_endpoint("e1");
	for (int i = 0; i < 100; i++)
		run(OUTCOME_COMPLETE, large, 230);
	uint64_t duration_ms = dispatch.mean_duration_ms;
	dispatch_set_daemon_busy(&dispatch, true);
	for (int i = 0; i < 100; i++) {
		run(OUTCOME_COMPLETE, large, 1500);
		run(OUTCOME_COMPLETE, make_request(100), 1500);
	}
	EXPECT_NEAR(decide(large).forecast.prefill_ms, 200u, 10u);
	EXPECT_EQ(dispatch.mean_duration_ms, duration_ms);
}

TEST_F(Dispatch, EjectsFailingEndpointThenSendsOneProbeRequest)
{
	dispatch_request request = make_request(0, 0);

	request.pool_id = hash_name("service");
	add_endpoint("s1", "service", 4);
	for (int i = 0; i < 4; i++)
		run(OUTCOME_BROKEN, request);
	add_endpoint("s2", "service", 4);
	for (int i = 0; i < 8; i++)
		EXPECT_STREQ(decide(request).name, "s2");
	now_ms += 10000;
	/* only one probe request runs at a time */
	uint32_t tried = 0;
	for (int i = 0; i < 8; i++)
		tried += std::string(decide(request).name) == "s1";
	EXPECT_EQ(tried, 1u);
}

TEST_F(Dispatch, UsesEjectedEndpointIfThereIsNoOther)
{
	dispatch_request request = make_request(0, 0);

	request.pool_id = hash_name("service");
	add_endpoint("s1", "service", 4);
	for (int i = 0; i < 6; i++)
		run(OUTCOME_FAILED, request);
	EXPECT_TRUE(decide(request).start);
}

TEST_F(Dispatch, SkipsEndpointsAlreadyTried)
{
	dispatch_request retry = make_request();

	add_endpoint("e1");
	add_endpoint("e2");
	retry.tried_ids[retry.tried_count++] = hash_name("e1");
	EXPECT_STREQ(decide(retry).name, "e2");
	retry.tried_ids[retry.tried_count++] = hash_name("e2");
	EXPECT_FALSE(decide(retry).start);
}

TEST_F(Dispatch, ReportsAccountsToEachOtherHub)
{
	const dispatch_daemon live[] = { { NODE, 1, true }, { 8, 1, true },
		{ 9, 1, true } };

	add_endpoint("e1");
	dispatch_set_daemons(&dispatch, live, 3);
	ASSERT_TRUE(decide(make_request(3000)).start);
	dispatch_tick(&dispatch, now_ms, now_ms, &effects);
	ASSERT_EQ(effects.count, 2u);
	const msg_report *report = &effects.items[0].msg.u.report;
	ASSERT_EQ(report->accounts_count, 1u);
	EXPECT_GT(report->accounts[0].asked_tokens, 3000u);
}

TEST_F(Dispatch, ForgetsRemovedEndpointAfterItsLastAttempt)
{
	add_endpoint("e1");
	dispatch_decision decision = decide(make_request());
	dispatch_remove_endpoint(&dispatch, "e1");
	EXPECT_FALSE(decide(make_request()).start);
	end(decision.seq, OUTCOME_COMPLETE);
	EXPECT_EQ(g_hash_table_size(dispatch.endpoints), 0u);
}

/* A daemon that leaves as the last one is in no list of live ones. */
TEST_F(Dispatch, DecidesByItselfWithoutALiveDaemon)
{
	const dispatch_daemon self[] = { { NODE, 1, true } };

	add_endpoint("e1");
	for (size_t count : { 1u, 0u, 1u, 0u }) {
		dispatch_set_daemons(&dispatch, self, count);
		dispatch_decision decision = decide(make_request(3000));
		EXPECT_TRUE(decision.start) << count;
		end(decision.seq, OUTCOME_COMPLETE);
		dispatch_tick(&dispatch, now_ms, now_ms, &effects);
		EXPECT_EQ(effects.count, 0u) << count;
	}
}

/* One that leaves while others live decides on nothing. */
TEST_F(Dispatch, LeavesTheDecisionsToTheOnlyOtherDaemon)
{
	const dispatch_daemon other[] = { { 8, 1, true } };

	add_endpoint("e1");
	dispatch_set_daemons(&dispatch, other, 1);
	EXPECT_FALSE(dispatch.is_hub);
	ASSERT_EQ(dispatch.hub_ids->len, 1u);
	EXPECT_EQ(g_array_index(dispatch.hub_ids, uint64_t, 0), 8u);
}

} // namespace
