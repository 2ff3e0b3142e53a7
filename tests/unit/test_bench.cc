#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "../../bench/share.h"
#include "../../bench/stream.h"
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

stream
read_stream(const std::string &text, uint64_t expected)
{
	stream stream;

	stream_init(&stream, "me", expected);
	for (char byte : text)
		stream_feed(&stream, &byte, 1);
	return stream;
}

const std::string DONE = "data: [DONE]\n\n";

class Share : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		share_init(&share, weights, 2);
		share_sample(&share);
	}
	void TearDown() override
	{
		share_finish(&share);
	}
	/* One sample in which the accounts receive these tokens. */
	void receive(int first, int second)
	{
		for (int i = 0; i < first; i++)
			share_add_token(&share, 0);
		for (int i = 0; i < second; i++)
			share_add_token(&share, 1);
		share_sample(&share);
	}
	double gap()
	{
		uint32_t first, second;

		return share_gap_tokens(&share, &first, &second);
	}

	const uint32_t weights[2] = { 1, 2 };
	::share share;
};

} // namespace

TEST(BenchStream, AWholeAnswerIsWhole)
{
	stream stream = read_stream(token(0, "me") + token(1, "me") + DONE, 2);

	EXPECT_TRUE(stream_is_whole(&stream));
	EXPECT_FALSE(stream.crossed);
}

TEST(BenchStream, FaultyAnswersAreTold)
{
	stream missing = read_stream(token(0, "me") + DONE, 2);
	stream doubled = read_stream(token(0, "me") + token(0, "me") + DONE, 2);
	stream open = read_stream(token(0, "me") + token(1, "me"), 2);
	stream crossed = read_stream(token(0, "me2") + DONE, 1);

	EXPECT_FALSE(stream_is_whole(&missing));
	EXPECT_TRUE(doubled.disordered);
	EXPECT_FALSE(stream_is_whole(&doubled));
	EXPECT_FALSE(stream_is_whole(&open));
	EXPECT_TRUE(crossed.crossed);
}

TEST_F(Share, TheGapIsByWeightAndSinceBothAreBacklogged)
{
	receive(500, 0);
	share_add_waiting(&share, 0);
	share_add_waiting(&share, 1);
	share_sample(&share);
	EXPECT_EQ(gap(), -1);
	receive(30, 20);
	EXPECT_EQ(gap(), 20);
	receive(0, 40);
	EXPECT_EQ(gap(), 20);
}

TEST_F(Share, AnIdleMomentBetweenSamplesEndsABacklog)
{
	share_add_waiting(&share, 0);
	share_add_waiting(&share, 1);
	share_sample(&share);
	receive(10, 0);
	share_remove_waiting(&share, 1);
	share_add_waiting(&share, 1);
	receive(90, 0);
	EXPECT_EQ(gap(), 10);
}

TEST_F(Share, AnAccountWithoutTokensStarves)
{
	share_add_waiting(&share, 0);
	share_add_waiting(&share, 1);
	share_sample(&share);
	for (int i = 0; i < 10; i++)
		receive(1, 0);
	EXPECT_EQ(share_starved_count(&share, 10 * SHARE_SAMPLE_US), 1u);
	EXPECT_EQ(share_starved_count(&share, 11 * SHARE_SAMPLE_US), 0u);
}
