#include "crash_fleet.h"

extern "C" {
#include "platform/wire.h"
}

using namespace crash_tests;

namespace
{

/** Time after which a limit must be kept. */
constexpr uint64_t STABLE_WINDOW_MS = 3000;
constexpr uint64_t COUNTED_WINDOW_MS = 4000;

void
set_limits(CrashFleet &fleet, uint32_t per_1000_s)
{
	for (engine &item : fleet.engines)
		item.limit_per_1000_s = per_1000_s;
}

/** Requests at daemons from the first one on, more than the engines take.
 * @return number of requests that were sent to engines */
size_t
run_flood(CrashFleet &fleet, uint64_t duration_ms, size_t first_daemon = 0)
{
	size_t sent_count = 0;

	for (uint64_t end_ms = fleet.now_ms + duration_ms;
	     fleet.now_ms < end_ms; fleet.step())
		for (size_t i = first_daemon; i < fleet.cores.size(); i++)
			for (int k = 0; k < 3; k++)
				sent_count +=
				    fleet.send(i, fleet.make_request(20 + k))
					.start;
	return sent_count;
}

/** Most requests that an engine got in COUNTED_WINDOW_MS, later than a time. */
size_t
most_requests(const CrashFleet &fleet, uint64_t from_ms)
{
	size_t most = 0;

	for (const engine &item : fleet.engines)
		for (uint64_t start_ms : item.requests_ms) {
			size_t count = 0;
			for (uint64_t sent_ms : item.requests_ms)
				count += start_ms >= from_ms &&
				    sent_ms >= start_ms &&
				    sent_ms < start_ms + COUNTED_WINDOW_MS;
			most = std::max(most, count);
		}
	return most;
}

size_t
allowed_requests(uint32_t per_1000_s)
{
	return (size_t)(per_1000_s / 1000.0 * 1.5 * COUNTED_WINDOW_MS / 1000) +
	    5;
}

TEST(EndpointLimit, IsKeptByTheWholeFleetAndUsed)
{
	for (size_t daemons_count : { 1u, 2u, 7u, 30u, 76u })
		for (uint32_t per_1000_s :
		    { 300u, 1700u, 5600u, 9200u, 30000u }) {
			CrashFleet fleet(daemons_count, 4);

			fleet.run_for(500);
			set_limits(fleet, per_1000_s);
			run_flood(fleet, STABLE_WINDOW_MS);
			uint64_t from_ms = fleet.now_ms;
			size_t sent = run_flood(fleet, 12000);
			EXPECT_LE(most_requests(fleet, from_ms),
			    allowed_requests(per_1000_s))
			    << daemons_count << " daemons, " << per_1000_s;
			EXPECT_GE(sent, 4 * 12 * per_1000_s / 1000 / 2)
			    << daemons_count << " daemons, " << per_1000_s;
		}
}

TEST(EndpointLimit, IsKeptWhileDaemonsRestartAndAreCutOff)
{
	constexpr uint32_t PER_1000_S = 5600;
	CrashFleet fleet(7, 4);

	fleet.run_for(500);
	set_limits(fleet, PER_1000_S);
	run_flood(fleet, STABLE_WINDOW_MS);
	uint64_t from_ms = fleet.now_ms;
	for (size_t i : { 2u, 4u }) {
		fleet.start_daemon(i);
		run_flood(fleet, 2000, 1);
		fleet.cut_off[i + 1] = true;
		run_flood(fleet, 3000);
		fleet.cut_off[i + 1] = false;
		run_flood(fleet, 2000);
	}
	EXPECT_LE(most_requests(fleet, from_ms), allowed_requests(PER_1000_S));
}

/* Limits, not backlogs, turn requests away here. */
TEST(EndpointLimit, AnAccountWithFewerRequestsGetsItsShareOfLimitedEngines)
{
	for (size_t daemons_count : { 1u, 7u, 76u }) {
		CrashFleet fleet(daemons_count, 4);
		size_t started[2] = { 0, 0 };

		fleet.run_for(500);
		set_limits(fleet, 3000);
		run_flood(fleet, STABLE_WINDOW_MS);
		for (int i = 0; i < 160; i++, fleet.step())
			for (size_t k = 0; k < 10; k++) {
				dispatch_request request = fleet.make_request(
				    20 + k);
				size_t account = k == i % 10u;
				request.account_id = 11 + account;
				started[account] += fleet
							.send(k % daemons_count,
							    request)
							.start;
			}
		EXPECT_GE(2 * started[1], started[0]) << daemons_count;
	}
}

TEST(EndpointLimit, EndsWhenTheEndpointNamesItNoLonger)
{
	for (size_t daemons_count : { 1u, 7u, 76u }) {
		CrashFleet fleet(daemons_count, 4);

		fleet.run_for(500);
		set_limits(fleet, 2000);
		run_flood(fleet, 6000);
		set_limits(fleet, 0);
		run_flood(fleet, STABLE_WINDOW_MS);
		for (size_t i = 0; i < daemons_count; i++)
			for (const engine &item : fleet.engines) {
				uint64_t id = hash_name(item.name.c_str());
				auto *endpoint =
				    static_cast<dispatch_endpoint *>(
					g_hash_table_lookup(fleet.cores[i]
								->endpoints,
					    &id));
				EXPECT_FALSE(
				    endpoint_limit_in_force(&endpoint->limit,
					fleet.now_ms))
				    << i;
			}
	}
}

TEST(EndpointLimit, CallersAreToldWhenAnEndpointTakesRequestsAgain)
{
	CrashFleet fleet(1, 1);

	fleet.run_for(500);
	set_limits(fleet, 2000);
	run_flood(fleet, 2000);
	dispatch_decision decision = fleet.send(0, fleet.make_request(20));
	EXPECT_FALSE(decision.start);
	EXPECT_EQ(decision.reason, REFUSE_ENDPOINT_LIMIT);
	EXPECT_GT(decision.retry_after_ms, 0u);
	EXPECT_LE(decision.retry_after_ms, 700u);
	fleet.run_for(decision.retry_after_ms);
	EXPECT_TRUE(fleet.send(0, fleet.make_request(20)).start);
}

TEST(EndpointLimit, AResponseFromBeforeTheLimitDoesNotEndIt)
{
	CrashFleet fleet(1, 1);

	fleet.run_for(500);
	for (int i = 0; i < 4; i++)
		fleet.send(0, fleet.make_request(20 + i));
	fleet.run_for(100);
	uint64_t seq = fleet.attempts.back().seq;
	dispatch_record_limit(fleet.cores[0].get(), seq, 2000, fleet.now_ms);
	fleet.run_for(500);
	uint64_t id = hash_name("e0");
	auto *endpoint = static_cast<dispatch_endpoint *>(
	    g_hash_table_lookup(fleet.cores[0]->endpoints, &id));
	EXPECT_TRUE(endpoint_limit_in_force(&endpoint->limit, fleet.now_ms));
}

TEST(EndpointLimit, AnEngineThatIsSilentForLongIsTriedAgain)
{
	CrashFleet fleet(7, 1);

	fleet.run_for(500);
	set_limits(fleet, 300);
	run_flood(fleet, 4000);
	set_limits(fleet, 0);
	fleet.attempts.clear();
	fleet.run_for(60000);
	for (size_t i = 0; i < 7; i++)
		EXPECT_TRUE(fleet.send(i, fleet.make_request(20)).start) << i;
}

TEST(EndpointLimit, IsADecimalNumberOfRequestsASecond)
{
	const struct {
		const char *text;
		uint32_t per_1000_s;
	} cases[] = { { "5.6", 5600 }, { "7", 7000 }, { "0.001", 100 },
		{ "0", 100 }, { "1e30", 100000000 }, { "", 0 }, { "x", 0 },
		{ "5 per s", 0 }, { "-3", 0 }, { "nan", 0 }, { "6.5 ", 6500 } };

	for (const auto &item : cases) {
		wire_response response = {};
		wire_parse_response_header(&response, "server-limit",
		    item.text);
		EXPECT_EQ(response.limit_per_1000_s, item.per_1000_s)
		    << item.text;
	}
}

} // namespace
