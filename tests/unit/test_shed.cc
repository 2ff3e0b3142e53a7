#include <gtest/gtest.h>

extern "C" {
#include "core/hash.h"
#include "core/shed.h"
}

namespace
{

constexpr uint64_t HOT = 1;

/** A daemon that can serve or refuse so much in a span. */
class Daemon
{
      public:
	Daemon()
	{
		shed_init(&shed);
	}
	~Daemon()
	{
		shed_finish(&shed);
	}
	Daemon(const Daemon &) = delete;
	Daemon &operator=(const Daemon &) = delete;

	/** One span of requests. @return how many of them were shed */
	uint32_t send(uint64_t account_id, uint32_t count)
	{
		uint32_t shed_count = 0;

		for (uint32_t i = 0; i < count; i++) {
			uint64_t hash = hash_bytes(&seq, sizeof(seq));
			seq++;
			bool refused = shed_take(&shed, account_id, hash);
			used_us += refused ? SHED_US : SERVED_US;
			shed_count += refused;
		}
		return shed_count;
	}

	void end_span()
	{
		uint64_t left_us = used_us < SPAN_US ? SPAN_US - used_us : 0;

		overrun_us = used_us > SPAN_US ? used_us - SPAN_US : 0;
		shed_tick(&shed, (uint32_t)(left_us * 100 / SPAN_US));
		used_us = 0;
	}

	static constexpr uint64_t SPAN_US = 12000; /**< 0.12 of a core */
	static constexpr uint64_t SERVED_US = 350;
	static constexpr uint64_t SHED_US = 80;
	struct shed shed = {};
	uint64_t used_us = 0, overrun_us = 0;
	uint64_t seq = 0;
};

} // namespace

TEST(Shed, ADaemonThatKeepsUpShedsNothing)
{
	Daemon daemon;

	for (int span = 0; span < 100; span++) {
		EXPECT_EQ(daemon.send(HOT, 20), 0u);
		daemon.end_span();
	}
}

TEST(Shed, AFloodIsShedUntilTheDaemonKeepsUp)
{
	Daemon daemon;
	uint32_t late_spans = 0, served = 0;

	for (int span = 0; span < 100; span++) {
		served += 60 - daemon.send(HOT, 60);
		daemon.end_span();
		late_spans += span >= 10 && daemon.overrun_us > 2000;
	}
	EXPECT_LE(late_spans, 5u);
	/* the processor is not left idle either */
	EXPECT_GT(served, 100 * 15u);
}

TEST(Shed, OtherAccountsAreLeftAlone)
{
	Daemon daemon;
	uint32_t others_shed = 0;

	for (int span = 0; span < 100; span++) {
		daemon.send(HOT, 60);
		for (uint64_t account = 2; account < 6; account++)
			others_shed += daemon.send(account, 1);
		daemon.end_span();
	}
	EXPECT_GT(daemon.shed.permille, 0u);
	EXPECT_EQ(others_shed, 0u);
}

TEST(Shed, StreamsArePassedOnLessOftenWhileTheProcessorIsBusy)
{
	Daemon daemon;

	daemon.send(HOT, 10);
	daemon.end_span();
	EXPECT_EQ(shed_stream_period_ms(&daemon.shed, 120), 30u);
	daemon.send(HOT, 30);
	daemon.end_span();
	EXPECT_EQ(shed_stream_period_ms(&daemon.shed, 120), 60u);
	daemon.end_span();
	EXPECT_EQ(shed_stream_period_ms(&daemon.shed, 120), 30u);
	EXPECT_EQ(shed_stream_period_ms(&daemon.shed, 1), 1u);
}

TEST(Shed, ItEndsSoonAfterTheFlood)
{
	Daemon daemon;

	for (int span = 0; span < 20; span++) {
		daemon.send(HOT, 100);
		daemon.end_span();
	}
	EXPECT_GT(daemon.shed.permille, 500u);
	for (int span = 0; span < 20; span++)
		daemon.end_span();
	EXPECT_EQ(daemon.send(HOT, 20), 0u);
	EXPECT_LE(g_hash_table_size(daemon.shed.counts), 1u);
}
