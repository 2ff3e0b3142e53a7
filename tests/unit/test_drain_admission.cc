extern "C" {
#include "core/drain_admission.h"
}

#include <gtest/gtest.h>

namespace
{

constexpr uint64_t SIGNAL_MS = 50000;
constexpr uint32_t GRACE_MS = 8000;
constexpr uint64_t FAR_MS = 60000;

drain_admission
stop(uint32_t grace_ms = GRACE_MS)
{
	drain_admission admission = {};

	drain_admission_begin(&admission, SIGNAL_MS, grace_ms);
	return admission;
}

/** @param at_ms, deadline_ms counted from the signal */
bool
may_begin(const drain_admission &admission, uint64_t at_ms,
    uint64_t deadline_ms)
{
	return drain_admission_may_begin(&admission, SIGNAL_MS + at_ms,
	    SIGNAL_MS + deadline_ms);
}

TEST(DrainAdmission, AnyWorkBeginsWithoutAStop)
{
	drain_admission admission = {};

	EXPECT_TRUE(drain_admission_may_begin(&admission, 9000, UINT64_MAX));
}

/* A message that was read late tells of a later signal. */
TEST(DrainAdmission, TheEarliestSignalOfAStopCounts)
{
	drain_admission admission = stop();

	for (uint64_t late_ms : { 900u, 0u, 300u })
		drain_admission_begin(&admission, SIGNAL_MS + late_ms,
		    GRACE_MS);
	EXPECT_EQ(admission.signal_ms, SIGNAL_MS);
	drain_admission_begin(&admission, SIGNAL_MS - 40, GRACE_MS);
	EXPECT_EQ(admission.signal_ms, SIGNAL_MS - 40);
}

/* The caller is owed a whole answer to what it sends after 3 s. */
TEST(DrainAdmission, WorkThatMayOutlastTheProcessDoesNotBeginLate)
{
	drain_admission admission = stop();

	EXPECT_TRUE(may_begin(admission, 0, FAR_MS));
	EXPECT_TRUE(may_begin(admission, 2500, FAR_MS));
	for (uint64_t at_ms : { 2901u, 2999u, 3001u, 4000u, 6900u })
		EXPECT_FALSE(may_begin(admission, at_ms, FAR_MS)) << at_ms;
}

TEST(DrainAdmission, WorkWhoseDeadlineFitsBeginsLate)
{
	drain_admission admission = stop();
	uint64_t end_ms = drain_admission_end_ms(&admission) - SIGNAL_MS;

	EXPECT_TRUE(may_begin(admission, 4000, end_ms - 100));
	EXPECT_FALSE(may_begin(admission, 4000, end_ms - 99));
	EXPECT_FALSE(may_begin(admission, 4000, end_ms + 1));
	EXPECT_FALSE(drain_admission_may_begin(&admission, SIGNAL_MS + 4000,
	    UINT64_MAX));
}

TEST(DrainAdmission, ALateEventLoopGrantsNoMoreTime)
{
	drain_admission admission = stop();

	for (uint64_t late_ms : { 50u, 500u, 2000u }) {
		EXPECT_EQ(may_begin(admission, 1000 + late_ms, FAR_MS),
		    1000 + late_ms <= DRAIN_ACCEPT_MS);
		EXPECT_FALSE(may_begin(admission, 2601 + late_ms, FAR_MS));
	}
}

TEST(DrainAdmission, NothingBeginsOnceRequestsAreEnded)
{
	for (uint32_t grace_ms : { 1000u, 2000u, 8000u }) {
		drain_admission admission = stop(grace_ms);
		uint64_t end_ms = drain_admission_end_ms(&admission);
		EXPECT_LT(end_ms, SIGNAL_MS + grace_ms);
		EXPECT_FALSE(
		    drain_admission_may_begin(&admission, end_ms, end_ms));
	}
}

/* What is admitted late is not cut before its deadline. */
TEST(DrainAdmission, ARequestOnAPassedConnectionEndsBeforeTheProcess)
{
	for (uint32_t grace_ms : { 0u, 100u, 2000u, 8000u }) {
		drain_admission own = stop(grace_ms), passed = own;
		passed.hop_ms = 200;
		uint64_t end_ms = drain_admission_end_ms(&passed) - SIGNAL_MS;
		uint64_t own_end_ms = drain_admission_end_ms(&own) - SIGNAL_MS;
		EXPECT_EQ(end_ms,
		    own_end_ms - std::min<uint64_t>(own_end_ms, 200));
		if (grace_ms < 8000)
			continue;
		EXPECT_TRUE(may_begin(passed, 4000, end_ms - 100));
		EXPECT_FALSE(may_begin(passed, 4000, end_ms - 99));
	}
}

/* Before its last sixth, a caller is owed what an endpoint still works on. */
TEST(DrainAdmission, RequestsAreNotCutBeforeTheLastSixthOfTheGrace)
{
	for (uint32_t grace_ms = 100; grace_ms <= 60000; grace_ms += 100) {
		drain_admission admission = stop(grace_ms);
		EXPECT_GE(drain_admission_end_ms(&admission) - SIGNAL_MS,
		    (uint64_t)grace_ms * 5 / 6)
		    << grace_ms;
	}
}

} // namespace
