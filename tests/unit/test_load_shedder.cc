#include <gtest/gtest.h>

extern "C" {
#include "core/hash.h"
#include "core/load_shedder.h"
}

namespace
{

constexpr uint64_t HEAVY_ACCOUNT = 1;

/** A daemon with limited processor time in each window. */
class Daemon
{
      public:
	Daemon()
	{
		load_shedder_init(&shedder);
	}
	~Daemon()
	{
		load_shedder_finish(&shedder);
	}
	Daemon(const Daemon &) = delete;
	Daemon &operator=(const Daemon &) = delete;

	/** Sends requests in the current window. @return number of rejected
	 * requests */
	uint32_t send(uint64_t account_id, uint32_t count)
	{
		uint32_t rejected_count = 0;

		for (uint32_t i = 0; i < count; i++) {
			uint64_t hash = hash_bytes(&seq, sizeof(seq));
			seq++;
			bool rejected = load_shedder_rejects(&shedder,
			    account_id, hash);
			used_us += rejected ? REJECTED_US : SERVED_US;
			rejected_count += rejected;
		}
		return rejected_count;
	}

	void end_window()
	{
		uint64_t idle_us = used_us < WINDOW_US ? WINDOW_US - used_us
						       : 0;

		overrun_us = used_us > WINDOW_US ? used_us - WINDOW_US : 0;
		load_shedder_end_window(&shedder,
		    (uint32_t)(idle_us * 100 / WINDOW_US));
		used_us = 0;
	}

	static constexpr uint64_t WINDOW_US = 12000; /**< 0.12 of a core */
	static constexpr uint64_t SERVED_US = 350;
	static constexpr uint64_t REJECTED_US = 80;
	struct load_shedder shedder = {};
	uint64_t used_us = 0, overrun_us = 0;
	uint64_t seq = 0;
};

} // namespace

TEST(LoadShedder, RejectsNothingWhileDaemonKeepsUp)
{
	Daemon daemon;

	for (int window = 0; window < 100; window++) {
		EXPECT_EQ(daemon.send(HEAVY_ACCOUNT, 20), 0u);
		daemon.end_window();
	}
}

TEST(LoadShedder, RejectsPartOfFloodUntilDaemonKeepsUp)
{
	Daemon daemon;
	uint32_t late_windows = 0, served = 0;

	for (int window = 0; window < 100; window++) {
		served += 60 - daemon.send(HEAVY_ACCOUNT, 60);
		daemon.end_window();
		late_windows += window >= 10 && daemon.overrun_us > 2000;
	}
	EXPECT_LE(late_windows, 5u);
	/* the daemon does not leave the processor idle instead */
	EXPECT_GT(served, 100 * 15u);
}

TEST(LoadShedder, NeverRejectsAccountsBelowEqualPart)
{
	Daemon daemon;
	uint32_t others_rejected = 0;

	for (int window = 0; window < 100; window++) {
		daemon.send(HEAVY_ACCOUNT, 60);
		for (uint64_t account = 2; account < 6; account++)
			others_rejected += daemon.send(account, 1);
		daemon.end_window();
	}
	EXPECT_GT(daemon.shedder.reject_permille, 0u);
	EXPECT_EQ(others_rejected, 0u);
}

TEST(LoadShedder, StreamPeriodIsLongerWhileProcessorIsBusy)
{
	Daemon daemon;

	daemon.send(HEAVY_ACCOUNT, 10);
	daemon.end_window();
	EXPECT_EQ(load_shedder_stream_period_ms(&daemon.shedder, 120), 30u);
	daemon.send(HEAVY_ACCOUNT, 30);
	daemon.end_window();
	EXPECT_EQ(load_shedder_stream_period_ms(&daemon.shedder, 120), 60u);
	daemon.end_window();
	EXPECT_EQ(load_shedder_stream_period_ms(&daemon.shedder, 120), 30u);
	EXPECT_EQ(load_shedder_stream_period_ms(&daemon.shedder, 1), 1u);
}

TEST(LoadShedder, StopsRejectingSoonAfterFlood)
{
	Daemon daemon;

	for (int window = 0; window < 20; window++) {
		daemon.send(HEAVY_ACCOUNT, 100);
		daemon.end_window();
	}
	EXPECT_GT(daemon.shedder.reject_permille, 500u);
	for (int window = 0; window < 20; window++)
		daemon.end_window();
	EXPECT_EQ(daemon.send(HEAVY_ACCOUNT, 20), 0u);
	EXPECT_LE(g_hash_table_size(daemon.shedder.request_counts), 1u);
}
