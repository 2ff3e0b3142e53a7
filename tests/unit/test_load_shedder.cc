#include <gtest/gtest.h>

#include <vector>

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

TEST(LoadShedder, AFloodFromOneAccountDoesNotLoseWhatTheDaemonCouldServe)
{
	/* a refusal costs 100 us; a served request 300 us, and 10 us for each
	 * of the next 15 windows; the rest of the daemon 1.2 ms a window */
	constexpr uint32_t WINDOWS = 200, STREAM_WINDOWS = 15;
	constexpr uint32_t FLOOD_PER_WINDOW = 26;
	Daemon daemon;
	std::vector<uint32_t> returning(WINDOWS + 30), ending(WINDOWS + 30);
	uint64_t backlog_us = 0, streams = 0;
	uint32_t served = 0, seq = 0;

	for (uint32_t window = 0; window < WINDOWS; window++) {
		backlog_us += 1200 + streams * 10;
		for (uint32_t i = 0; i < FLOOD_PER_WINDOW + returning[window];
		     i++) {
			uint64_t hash = hash_bytes(&seq, sizeof(seq));
			bool first = i < FLOOD_PER_WINDOW;
			seq++;
			if (!load_shedder_rejects(&daemon.shedder,
				HEAVY_ACCOUNT, hash)) {
				backlog_us += 300;
				served++;
				streams++;
				ending[window + STREAM_WINDOWS]++;
				continue;
			}
			backlog_us += 100;
			if (first)
				returning[window + 1 +
				    load_shedder_retry_after_ms(&daemon.shedder,
					hash) /
					LOAD_SHEDDER_WINDOW_MS]++;
		}
		streams -= ending[window];
		load_shedder_end_window(&daemon.shedder,
		    backlog_us < Daemon::WINDOW_US
			? (uint32_t)((Daemon::WINDOW_US - backlog_us) * 100 /
			      Daemon::WINDOW_US)
			: 0);
		backlog_us -= MIN(backlog_us, Daemon::WINDOW_US);
	}
	EXPECT_GE(served, WINDOWS * FLOOD_PER_WINDOW / 2);
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
