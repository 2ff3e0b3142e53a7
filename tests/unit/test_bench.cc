#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "../../bench/service_tracker.h"
#include "../../bench/stream_checker.h"
}

namespace
{

std::string
token(int number, const std::string &id)
{
	return "id: " + std::to_string(number) +
	    "\ndata: {\"choices\":[{\"delta\":{\"content\":\"t" +
	    std::to_string(number) + " \"}}],\"id\":\"" + id + "\"}\n\n";
}

stream_checker
read_stream(const std::string &text, uint64_t expected)
{
	stream_checker checker;

	stream_checker_init(&checker, "me", expected);
	for (char byte : text)
		stream_checker_feed(&checker, &byte, 1);
	return checker;
}

const std::string DONE = "data: [DONE]\n\n";

class ServiceTracker : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		service_tracker_init(&tracker, weights, 2);
		service_tracker_sample(&tracker);
	}
	void TearDown() override
	{
		service_tracker_finish(&tracker);
	}
	/* Adds tokens for both accounts, then takes a sample. */
	void receive(int first, int second)
	{
		for (int i = 0; i < first; i++)
			service_tracker_add_token(&tracker, 0);
		for (int i = 0; i < second; i++)
			service_tracker_add_token(&tracker, 1);
		service_tracker_sample(&tracker);
	}
	double gap()
	{
		uint32_t first, second;

		return service_tracker_gap_tokens(&tracker, &first, &second);
	}

	const uint32_t weights[2] = { 1, 2 };
	::service_tracker tracker;
};

} // namespace

TEST(StreamChecker, AcceptsAllTokensInOrderFollowedByDone)
{
	stream_checker checker = read_stream(token(0, "me") + token(1, "me") +
		DONE,
	    2);

	EXPECT_TRUE(stream_checker_is_complete(&checker));
	EXPECT_FALSE(checker.misdelivered);
}

TEST(StreamChecker, DetectsMissingRepeatedUnfinishedAndMisdeliveredTokens)
{
	stream_checker missing = read_stream(token(0, "me") + DONE, 2);
	stream_checker repeated = read_stream(token(0, "me") + token(0, "me") +
		DONE,
	    2);
	stream_checker unfinished = read_stream(token(0, "me") + token(1, "me"),
	    2);
	stream_checker misdelivered = read_stream(token(0, "me2") + DONE, 1);

	EXPECT_FALSE(stream_checker_is_complete(&missing));
	EXPECT_TRUE(repeated.out_of_order);
	EXPECT_FALSE(stream_checker_is_complete(&repeated));
	EXPECT_FALSE(stream_checker_is_complete(&unfinished));
	EXPECT_TRUE(misdelivered.misdelivered);
}

TEST_F(ServiceTracker, GapIsWeightedAndStartsWhenBothAccountsAreBacklogged)
{
	receive(500, 0);
	service_tracker_add_waiting(&tracker, 0);
	service_tracker_add_waiting(&tracker, 1);
	service_tracker_sample(&tracker);
	EXPECT_EQ(gap(), -1);
	receive(30, 20);
	EXPECT_EQ(gap(), 20);
	receive(0, 40);
	EXPECT_EQ(gap(), 20);
}

TEST_F(ServiceTracker, IdleMomentBetweenSamplesEndsBacklog)
{
	service_tracker_add_waiting(&tracker, 0);
	service_tracker_add_waiting(&tracker, 1);
	service_tracker_sample(&tracker);
	receive(10, 0);
	service_tracker_remove_waiting(&tracker, 1);
	service_tracker_add_waiting(&tracker, 1);
	receive(90, 0);
	EXPECT_EQ(gap(), 10);
}

TEST_F(ServiceTracker, BackloggedAccountWithoutTokensIsStarved)
{
	service_tracker_add_waiting(&tracker, 0);
	service_tracker_add_waiting(&tracker, 1);
	service_tracker_sample(&tracker);
	for (int i = 0; i < 10; i++)
		receive(1, 0);
	EXPECT_EQ(service_tracker_starved_count(&tracker,
		      10 * SERVICE_SAMPLE_PERIOD_US),
	    1u);
	EXPECT_EQ(service_tracker_starved_count(&tracker,
		      11 * SERVICE_SAMPLE_PERIOD_US),
	    0u);
}
