#include "crash_fleet.h"

#include <algorithm>

using namespace crash_tests;

namespace
{

/** Time within which daemons in touch must know of a deadly segment. */
constexpr uint64_t STABLE_WINDOW_MS = 3000;
constexpr size_t SENT_LATER_MAX_COUNT = 3;
constexpr uint64_t SUBJECTS_COUNT = 40;

struct traffic_counts {
	size_t sound_sent = 0;
	size_t sound_started = 0;
	/** of these, requests of the subject that deadly ones have, too */
	size_t subject_sent = 0;
	size_t subject_started = 0;
};

/** Requests of one route, of which each eighth holds the deadly segment. */
traffic_counts
run_traffic(CrashFleet &fleet, uint64_t duration_ms, uint64_t deadly_subject)
{
	traffic_counts counts;
	uint64_t number = 0;

	for (uint64_t end_ms = fleet.now_ms + duration_ms;
	     fleet.now_ms < end_ms; fleet.step())
		for (int i = 0; i < 2; i++, number++) {
			size_t daemon = number * 7919 % fleet.cores.size();
			uint64_t subject = 10 + number % SUBJECTS_COUNT;

			if (number % 8 == 0) {
				fleet.send(daemon,
				    fleet.make_request(deadly_subject,
					{ DEADLY_SEGMENT }));
				continue;
			}
			bool started = fleet
					   .send(daemon,
					       fleet.make_request(subject))
					   .start;
			counts.sound_sent++;
			counts.sound_started += started;
			if (subject == deadly_subject) {
				counts.subject_sent++;
				counts.subject_started += started;
			}
		}
	return counts;
}

TEST(CrashSuspects, ASegmentThatCrashesEnginesStopsReachingThem)
{
	for (size_t daemons_count : { 1u, 7u, 30u, 76u }) {
		CrashFleet fleet(daemons_count, 18);

		fleet.run_for(500);
		fleet.deadly_segments = { DEADLY_SEGMENT };
		run_traffic(fleet, 20000, 11);
		EXPECT_LE(fleet.deadly_sent_after_fifth_crash(STABLE_WINDOW_MS),
		    SENT_LATER_MAX_COUNT)
		    << daemons_count << " daemons, " << fleet.crashes_ms.size()
		    << " crashes";
	}
}

/** Lets a deadly segment be found, and waits until all daemons block it. */
void
find_deadly_segment(CrashFleet &fleet)
{
	fleet.run_for(500);
	fleet.deadly_segments = { DEADLY_SEGMENT };
	run_traffic(fleet, 10000, 11);
}

TEST(CrashSuspects, SoundRequestsWithTheOtherSegmentsAreServed)
{
	for (size_t daemons_count : { 1u, 7u, 76u }) {
		CrashFleet fleet(daemons_count, 18);

		find_deadly_segment(fleet);
		traffic_counts counts = run_traffic(fleet, 10000, 11);
		EXPECT_GE(counts.sound_started * 100, counts.sound_sent * 95)
		    << daemons_count << " daemons";
		EXPECT_GE(counts.subject_started * 100,
		    counts.subject_sent * 95)
		    << daemons_count << " daemons";
	}
}

TEST(CrashSuspects, TwoDeadlySegmentsAreBothBlocked)
{
	constexpr uint64_t OTHER_SEGMENT = 667;
	CrashFleet fleet(7, 18);

	find_deadly_segment(fleet);
	fleet.deadly_segments = { DEADLY_SEGMENT, OTHER_SEGMENT };
	fleet.crashes_ms.clear();
	fleet.deadly_sent_ms.clear();
	for (int i = 0; i < 200; i++) {
		fleet.send(i % 7, fleet.make_request(30, { OTHER_SEGMENT }));
		run_traffic(fleet, 100, 11);
	}
	EXPECT_LE(fleet.deadly_sent_after_fifth_crash(STABLE_WINDOW_MS),
	    SENT_LATER_MAX_COUNT);
	EXPECT_LE(fleet.crashes_ms.size(), 8u);
}

/* Callers repeat a request under other ids and at other daemons; only the last
 * segment of its prompt is its own. */
TEST(CrashSuspects, ARepeatedRequestThatCrashesEnginesIsSentNoFurther)
{
	constexpr uint64_t DEADLY_REQUEST = 4242;

	for (size_t daemons_count : { 1u, 7u, 76u }) {
		CrashFleet fleet(daemons_count, 18);
		size_t started = 0;

		fleet.run_for(500);
		fleet.deadly_segments = { DEADLY_REQUEST };
		run_traffic(fleet, 2000, 11);
		for (size_t i = 0; i < 50; i++) {
			started += fleet
				       .send(i * 31 % daemons_count,
					   fleet.make_request(11, {},
					       DEADLY_REQUEST))
				       .start;
			fleet.run_for(400);
		}
		/* two crashes, and one trial */
		EXPECT_LE(started, 3u) << daemons_count << " daemons";
		traffic_counts counts = run_traffic(fleet, 3000, 11);
		EXPECT_GE(counts.sound_started * 100, counts.sound_sent * 95)
		    << daemons_count << " daemons";
	}
}

TEST(CrashSuspects, ARestartedDaemonLearnsOfDeadlySegments)
{
	for (size_t daemons_count : { 7u, 76u }) {
		CrashFleet fleet(daemons_count, 18);

		find_deadly_segment(fleet);
		for (size_t i : { size_t(0), daemons_count - 1 }) {
			fleet.start_daemon(i);
			fleet.run_for(STABLE_WINDOW_MS);
			EXPECT_EQ(fleet
				      .send(i,
					  fleet.make_request(11,
					      { DEADLY_SEGMENT }))
				      .reason,
			    REFUSE_CRASH_SUSPECT)
			    << i << " of " << daemons_count;
		}
	}
}

TEST(CrashSuspects, ADaemonThatWasCutOffLearnsOfDeadlySegments)
{
	CrashFleet fleet(7, 18);

	fleet.run_for(500);
	fleet.cut_off[3] = true;
	find_deadly_segment(fleet);
	fleet.cut_off[3] = false;
	fleet.run_for(STABLE_WINDOW_MS);
	EXPECT_EQ(fleet.send(3, fleet.make_request(11, { DEADLY_SEGMENT }))
		      .reason,
	    REFUSE_CRASH_SUSPECT);
}

TEST(CrashSuspects, ASegmentBeforeADeadlyOneIsNotBlocked)
{
	CrashFleet fleet(7, 18);

	fleet.run_for(500);
	fleet.deadly_segments = { DEADLY_SEGMENT };
	for (int i = 0; i < 100; i++) {
		fleet.send(i % 7, fleet.make_request(11, { DEADLY_SEGMENT }));
		fleet.run_for(100);
		EXPECT_TRUE(fleet.send(i % 7, fleet.make_request(50)).start);
		/* no response to the subject begins, so nothing clears it */
		dispatch_request request = fleet.make_request(11);
		suspect_verdict verdict;
		dispatch_check_suspects(fleet.cores[i % 7].get(), &request,
		    fleet.now_ms, &verdict);
		EXPECT_FALSE(verdict.refuse) << i;
	}
	EXPECT_LE(fleet.deadly_sent_after_fifth_crash(STABLE_WINDOW_MS),
	    SENT_LATER_MAX_COUNT);
}

TEST(CrashSuspects, ADeadlySegmentBeforeManyOthersIsBlocked)
{
	CrashFleet fleet(7, 18);

	fleet.run_for(500);
	fleet.deadly_segments = { DEADLY_SEGMENT };
	for (uint64_t i = 0; i < 100; i++) {
		fleet.send(i % 7,
		    fleet.make_request(DEADLY_SEGMENT, { 1000 + i }));
		fleet.run_for(100);
	}
	EXPECT_LE(fleet.deadly_sent_after_fifth_crash(STABLE_WINDOW_MS),
	    SENT_LATER_MAX_COUNT);
}

TEST(CrashSuspects, ACallerOfABlockedSegmentIsToldHowLong)
{
	CrashFleet fleet(7, 18);

	find_deadly_segment(fleet);
	dispatch_decision decision = fleet.send(0,
	    fleet.make_request(11, { DEADLY_SEGMENT }));
	EXPECT_EQ(decision.reason, REFUSE_CRASH_SUSPECT);
	EXPECT_GE(decision.retry_after_ms, 40000u);
	EXPECT_EQ(decision.rejection_hold_ms, 0u);
}

TEST(CrashSuspects, CrashesOfManyEnginesBlockNoSoundSegment)
{
	for (size_t daemons_count : { 1u, 7u, 76u }) {
		CrashFleet fleet(daemons_count, 18);

		fleet.run_for(500);
		for (int round = 0; round < 3; round++) {
			run_traffic(fleet, 1000, 0);
			for (int i = 0; i < 6; i++)
				fleet.crash("e" + std::to_string(i));
			run_traffic(fleet, 3000, 0);
		}
		traffic_counts counts = run_traffic(fleet, 3000, 0);
		EXPECT_GE(counts.sound_started * 100, counts.sound_sent * 98)
		    << daemons_count << " daemons";
	}
}

TEST(CrashSuspects, AnEngineThatResetsSomeRequestsHasNotCrashed)
{
	CrashFleet fleet(1, 3);
	size_t lost_count = 0;

	fleet.run_for(500);
	for (int i = 0; i < 40; i++) {
		for (uint64_t k = 0; k < 12; k++)
			fleet.send(0, fleet.make_request(20 + k));
		fleet.run_for(50);
		for (const char *name : { "e0", "e1", "e2" }) {
			bool lost = false, first = true;
			fleet.lose_attempts(hash_name(name),
			    [&](const attempt &item) {
				    bool chosen = !first && !lost &&
					!item.begun;
				    first = false;
				    lost |= chosen;
				    return chosen;
			    });
			lost_count += lost;
		}
		fleet.run_for(600);
	}
	EXPECT_GT(lost_count, 100u);
	EXPECT_EQ(g_hash_table_size(fleet.cores[0]->crash_suspects.suspects),
	    0u);
}

TEST(CrashSuspects, AWrongSuspicionIsLiftedByFewTrials)
{
	constexpr uint64_t SUBJECT = 500;
	CrashFleet fleet(7, 18);
	size_t started = 0, sent = 0;

	fleet.run_for(500);
	for (const char *name : { "e0", "e1", "e2" }) {
		/* the only requests with the subject are at engines that
		 * crash */
		fleet.send(0, fleet.make_request(SUBJECT));
		fleet.crash(name);
	}
	for (engine &item : fleet.engines)
		fleet.lose_attempts(hash_name(item.name.c_str()),
		    [](const attempt &) { return true; });
	fleet.run_for(400);
	for (; started == 0 && sent < 100; sent++) {
		started += fleet.send(sent % 7, fleet.make_request(SUBJECT))
			       .start;
		fleet.run_for(100);
	}
	EXPECT_LT(sent, 40u);
	fleet.run_for(500);
	for (size_t i = 0; i < 7; i++)
		EXPECT_TRUE(fleet.send(i, fleet.make_request(SUBJECT)).start)
		    << i;
}

TEST(CrashSuspects, ARetryDoesNotCarryABlockedSegmentOn)
{
	CrashFleet fleet(7, 18);

	find_deadly_segment(fleet);
	dispatch_request retry = fleet.make_request(11, { DEADLY_SEGMENT });
	retry.tried_ids[retry.tried_count++] = hash_name("e0");
	EXPECT_EQ(fleet.send(0, retry).reason, REFUSE_CRASH_SUSPECT);
}

TEST(CrashSuspects, MergedRecordsAgreeInAnyOrder)
{
	crash_record records[] = {
		{ 5, { 1 }, 1, 0, 0, 100, 2, false },
		{ 5, { 2, 3 }, 2, 0, 0, 50, 1, false },
		{ 5, { 2 }, 1, 1, 0, 10, 0, false },
		{ 5, { 4 }, 1, 0, 1, 5, 0, false },
		{ 5, { 4, 6 }, 2, 2, 1, 5, 0, false },
	};
	int order[] = { 0, 1, 2, 3, 4 };

	do {
		crash_suspects suspects;
		uint64_t segment_id = 5;

		crash_suspects_init(&suspects);
		for (int i : order)
			crash_suspects_merge(&suspects, &records[i], 100000);
		auto *suspect = static_cast<struct suspect *>(
		    g_hash_table_lookup(suspects.suspects, &segment_id));
		ASSERT_NE(suspect, nullptr);
		EXPECT_EQ(suspect->record.epoch, 1u);
		EXPECT_EQ(suspect->record.crashes_count, 2u);
		EXPECT_EQ(suspect->record.failed_trials_count, 2u);
		crash_suspects_finish(&suspects);
	} while (std::next_permutation(order, order + 5));
}

TEST(CrashSuspects, RecordsAreBoundedAndForgotten)
{
	crash_suspects suspects;
	uint64_t now_ms = 100000;

	crash_suspects_init(&suspects);
	for (uint64_t id = 1; id <= 5000; id++)
		crash_suspects_record_crash(&suspects, id, &id, 1, 0, now_ms);
	EXPECT_LE(g_hash_table_size(suspects.suspects), 1024u);
	GArray *records = g_array_new(FALSE, FALSE, sizeof(crash_record));
	crash_suspects_collect(&suspects, now_ms + 3600000, records);
	EXPECT_EQ(g_hash_table_size(suspects.suspects), 0u);
	EXPECT_EQ(records->len, 0u);
	g_array_free(records, TRUE);
	crash_suspects_finish(&suspects);
}

} // namespace
