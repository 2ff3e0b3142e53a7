#include "crash_fleet.h"

using namespace crash_tests;

namespace
{

constexpr uint32_t COLD_PER_1000_S = 12000;
/** In any second: the rate times 1.5, and 5. */
constexpr size_t ALLOWED_COUNT = 23;

/** Daemons before nine engines in three failure domains. */
class DrainedDomains : public ::testing::Test
{
      protected:
	explicit DrainedDomains(size_t daemons_count = 88)
	    : fleet(daemons_count, 9, COLD_PER_1000_S)
	{
		fleet.spread_over_domains();
		fleet.run_for(500);
	}

	void set_drained(size_t daemon, bool drained)
	{
		dispatch_set_domain_drained(fleet.cores[daemon].get(), "z0",
		    drained, fleet.now_ms);
	}

	void set_drained(bool drained)
	{
		for (size_t i = 0; i < fleet.cores.size(); i++)
			set_drained(i, drained);
	}

	/** @return requests that the engines of the domain got */
	size_t drained_requests() const
	{
		size_t count = 0;

		for (size_t e = 0; e < fleet.engines.size(); e += 3)
			count += fleet.engines[e].requests_ms.size();
		return count;
	}

	/** @return number of requests that were started */
	size_t run_requests(uint64_t duration_ms, size_t per_step = 4)
	{
		size_t started_count = 0, daemon = 0;

		for (uint64_t end_ms = fleet.now_ms + duration_ms;
		     fleet.now_ms < end_ms; fleet.step())
			for (size_t k = 0; k < per_step; k++) {
				daemon = (daemon + 5) % fleet.cores.size();
				started_count += fleet
						     .send(daemon,
							 fleet.make_request(
							     20 + k))
						     .start;
			}
		return started_count;
	}

	CrashFleet fleet;
};

TEST_F(DrainedDomains, EndpointsOfADrainedDomainGetNothingAndTheOthersTheRest)
{
	run_requests(1000);
	EXPECT_GT(drained_requests(), 0u);
	set_drained(true);
	size_t before = drained_requests();
	size_t started = run_requests(2000);
	EXPECT_EQ(drained_requests(), before);
	EXPECT_EQ(started, 2000 / STEP_MS * 4);
}

/* Each daemon learns of it at another moment. */
TEST_F(DrainedDomains, ADaemonThatKnowsRefusesThePlacementOfAHubThatDoesNot)
{
	size_t daemon = fleet.cores.size() - 1;

	set_drained(daemon, true);
	size_t before = drained_requests();
	for (int i = 0; i < 60; i++)
		EXPECT_TRUE(
		    fleet.send(daemon, fleet.make_request(20 + i)).start);
	EXPECT_EQ(drained_requests(), before);
}

TEST_F(DrainedDomains, ADaemonThatReachesNoHubKeepsToItsOwnList)
{
	size_t daemon = fleet.cores.size() - 1;

	set_drained(daemon, true);
	fleet.cut_off[daemon] = true;
	size_t before = drained_requests();
	for (int i = 0; i < 20; i++)
		fleet.send(daemon, fleet.make_request(20 + i));
	EXPECT_EQ(drained_requests(), before);
}

TEST_F(DrainedDomains, ARestartedHubSendsNothingThereOnceItHasReadTheList)
{
	set_drained(true);
	size_t before = drained_requests();
	for (size_t i = 0; i < 3; i++) {
		fleet.start_daemon(i);
		set_drained(i, true);
		run_requests(500);
	}
	EXPECT_EQ(drained_requests(), before);
}

TEST_F(DrainedDomains, RequestsAreRefusedAtOnceWhereAllIsDrained)
{
	for (const char *name : { "z0", "z1", "z2" })
		for (auto &core : fleet.cores)
			dispatch_set_domain_drained(core.get(), name, true,
			    fleet.now_ms);
	uint64_t before_ms = fleet.now_ms;
	dispatch_decision decision = fleet.send(40, fleet.make_request(20));
	EXPECT_FALSE(decision.start);
	EXPECT_EQ(decision.reason, REFUSE_NO_ENDPOINT);
	EXPECT_EQ(fleet.now_ms, before_ms);
}

TEST_F(DrainedDomains, AnUnknownDomainChangesNothing)
{
	for (auto &core : fleet.cores)
		dispatch_set_domain_drained(core.get(), "nowhere", true,
		    fleet.now_ms);
	EXPECT_EQ(run_requests(1000), 1000 / STEP_MS * 4);
	EXPECT_GT(drained_requests(), 0u);
}

TEST_F(DrainedDomains, EndpointsThatAreGivenBackCountAsCold)
{
	set_drained(true);
	run_requests(2000);
	set_drained(false);
	uint64_t back_ms = fleet.now_ms;
	for (engine &item : fleet.engines)
		item.returned_ms = back_ms;
	run_requests(COLD_START_MS, 30);
	for (size_t e = 0; e < fleet.engines.size(); e += 3)
		for (uint64_t start_ms : fleet.engines[e].requests_ms) {
			size_t count = 0;
			for (uint64_t sent_ms : fleet.engines[e].requests_ms)
				count += start_ms >= back_ms &&
				    sent_ms >= start_ms &&
				    sent_ms < start_ms + 1000;
			EXPECT_LE(count, ALLOWED_COUNT);
		}
}

} // namespace
