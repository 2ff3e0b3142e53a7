#include "crash_fleet.h"

using namespace crash_tests;

namespace
{

constexpr uint32_t PER_1000_S = 12000;
constexpr cold_pace_rule RULE = { PER_1000_S, COLD_START_MS, 1500, 5000 };
/** In any second: the rate times the factor, and the slack. */
constexpr size_t ALLOWED_COUNT = 12 * 3 / 2 + 5;
constexpr uint64_t COUNTED_WINDOW_MS = 1000;

/** More requests than cold engines take, from daemons that are not left out. */
void
run_flood(CrashFleet &fleet, uint64_t duration_ms, size_t left_out = SIZE_MAX)
{
	size_t per_step = 2 * fleet.engines.size();
	size_t daemon = 0;

	for (uint64_t end_ms = fleet.now_ms + duration_ms;
	     fleet.now_ms < end_ms; fleet.step())
		for (size_t k = 0; k < per_step; k++) {
			daemon = (daemon + 1) % fleet.cores.size();
			if (daemon != left_out)
				fleet.send(daemon, fleet.make_request(20 + k));
		}
}

/** Most requests that an engine got in a second while it was cold. */
size_t
most_while_cold(const engine &item)
{
	size_t most = 0;

	for (uint64_t start_ms : item.requests_ms) {
		size_t count = 0;
		for (uint64_t sent_ms : item.requests_ms)
			count += start_ms >= item.returned_ms &&
			    sent_ms < item.returned_ms + COLD_START_MS &&
			    sent_ms >= start_ms &&
			    sent_ms < start_ms + COUNTED_WINDOW_MS;
		most = std::max(most, count);
	}
	return most;
}

size_t
most_while_cold(const CrashFleet &fleet)
{
	size_t most = 0;

	for (const engine &item : fleet.engines)
		if (item.returned_ms > 0)
			most = std::max(most, most_while_cold(item));
	return most;
}

TEST(ColdPace, LetsTheRateAndABoundedBurstPass)
{
	cold_pace pace = {};
	std::vector<uint64_t> passed_ms;

	cold_pace_extend(&pace, 5000, 1000);
	for (uint64_t now_ms = 1000; now_ms < 5000; now_ms++)
		while (cold_pace_wait_ms(&pace, &RULE, now_ms) == 0) {
			cold_pace_take(&pace);
			passed_ms.push_back(now_ms);
		}
	EXPECT_NEAR((double)passed_ms.size(), 4 * 12, 2);
	/* idle time is saved up to a bound */
	cold_pace_extend(&pace, 30000, 5000);
	size_t burst = 0;
	while (cold_pace_wait_ms(&pace, &RULE, 20000) == 0) {
		cold_pace_take(&pace);
		burst++;
	}
	EXPECT_LE(burst + 12, ALLOWED_COUNT);
	EXPECT_GE(burst, 2u);
}

TEST(ColdPace, IsNotKeptForWarmEndpointsAndPoolsWithoutARate)
{
	const cold_pace_rule none = { 0, 0, 1000, 0 };
	cold_pace pace = {};

	EXPECT_EQ(cold_pace_wait_ms(&pace, &RULE, 1000), 0u);
	cold_pace_extend(&pace, 2000, 1000);
	cold_pace_take(&pace);
	EXPECT_GT(cold_pace_wait_ms(&pace, &RULE, 1000), 0u);
	EXPECT_EQ(cold_pace_wait_ms(&pace, &none, 1000), 0u);
	EXPECT_EQ(cold_pace_wait_ms(&pace, &RULE, 2000), 0u);
}

TEST(ColdPace, ASilentFailureCountsAsARestartAndALostResponseDoesNot)
{
	cold_pace lost = {}, silent = {};

	cold_pace_record_failure(&lost, &RULE, 990, 1000);
	cold_pace_record_response(&lost, &RULE, 990, 1050);
	EXPECT_FALSE(cold_pace_in_force(&lost, &RULE, 1050));
	cold_pace_record_failure(&silent, &RULE, 600, 1000);
	EXPECT_TRUE(cold_pace_in_force(&silent, &RULE, 60000));
	cold_pace_record_response(&silent, &RULE, 600, 60000);
	EXPECT_TRUE(cold_pace_in_force(&silent, &RULE, 62999));
	EXPECT_FALSE(cold_pace_in_force(&silent, &RULE, 63000));
}

/* A quarter of the engines comes back at once; their entries come later. */
TEST(ColdPace, IsKeptWhileEnginesRestartBeforeTheirEntriesChange)
{
	for (size_t daemons_count : { 1u, 3u, 9u, 88u })
		for (uint64_t entry_delay_ms : { 0u, 400u, 2000u }) {
			CrashFleet fleet(daemons_count, 8, PER_1000_S);

			run_flood(fleet, 2000);
			for (size_t e = 0; e < 2; e++)
				fleet.restart_unseen(fleet.engines[e], 2000,
				    entry_delay_ms);
			run_flood(fleet, 9000);
			EXPECT_LE(most_while_cold(fleet), ALLOWED_COUNT)
			    << daemons_count << " daemons, entries after "
			    << entry_delay_ms << " ms";
			EXPECT_GE(most_while_cold(fleet), 6u)
			    << daemons_count << " daemons, entries after "
			    << entry_delay_ms << " ms";
		}
}

TEST(ColdPace, IsKeptWhenAllEnginesOfADomainComeBackAndAHubRestarts)
{
	for (size_t daemons_count : { 3u, 88u }) {
		CrashFleet fleet(daemons_count, 6, PER_1000_S);

		run_flood(fleet, 1000);
		for (engine &item : fleet.engines)
			fleet.restart_unseen(item, 2000, 600);
		run_flood(fleet, 3000);
		for (size_t i = 0; i < 3; i++) {
			fleet.start_daemon(i);
			run_flood(fleet, 700);
		}
		EXPECT_LE(most_while_cold(fleet), ALLOWED_COUNT)
		    << daemons_count;
	}
}

TEST(ColdPace, IsKeptWhileOneDaemonIsCutOff)
{
	for (size_t daemons_count : { 3u, 88u }) {
		CrashFleet fleet(daemons_count, 8, PER_1000_S);
		size_t cut_off = daemons_count - 1;

		run_flood(fleet, 1000);
		fleet.cut_off[cut_off] = true;
		for (size_t e = 0; e < 2; e++)
			fleet.restart_unseen(fleet.engines[e], 2000, 0);
		run_flood(fleet, 6000);
		EXPECT_LE(most_while_cold(fleet), ALLOWED_COUNT)
		    << daemons_count;
	}
}

TEST(ColdPace, CallersAreToldWhenAColdEngineTakesRequests)
{
	CrashFleet fleet(1, 1, PER_1000_S);

	run_flood(fleet, 1000);
	fleet.restart_unseen(fleet.engines[0], 1000, 0);
	run_flood(fleet, 1500);
	dispatch_decision decision;
	size_t sent_count = 0;
	do {
		decision = fleet.send(0, fleet.make_request(20));
	} while (decision.start && ++sent_count < ALLOWED_COUNT);
	EXPECT_FALSE(decision.start);
	EXPECT_EQ(decision.reason, REFUSE_ENDPOINT_LIMIT);
	EXPECT_GT(decision.retry_after_ms, 0u);
	EXPECT_LE(decision.retry_after_ms, 700u);
}

} // namespace
