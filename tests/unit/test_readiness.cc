#include <gtest/gtest.h>

extern "C" {
#include "core/readiness.h"
}

namespace
{

class Readiness : public ::testing::Test
{
      protected:
	Readiness()
	{
		readiness_init(&readiness);
	}

	void end_window(const readiness_load &load)
	{
		now_ms += READINESS_WINDOW_MS;
		readiness_end_window(&readiness, &load, now_ms);
	}

	/** @return how long the daemon is not ready while it is idle */
	uint64_t recover()
	{
		uint64_t start_ms = now_ms;

		while (!readiness.ready && now_ms < start_ms + 60000)
			end_window(IDLE);
		return now_ms - start_ms;
	}

	static constexpr readiness_load IDLE = { 80, 0, 0, 0 };
	/* one account sends most requests; two in five are shed */
	static constexpr readiness_load FLOOD = { 15, 200, 80, 900 };
	struct readiness readiness;
	uint64_t now_ms = 1000000;
};

TEST_F(Readiness, StaysReadyWhileTheDaemonKeepsUp)
{
	const readiness_load busy = { 15, 200, 20, 900 };

	for (int window = 0; window < 100; window++)
		end_window(busy);
	EXPECT_TRUE(readiness.ready);
}

TEST_F(Readiness, ADaemonThatShedsAFloodDoesNotStayReadyForIt)
{
	end_window(FLOOD);
	EXPECT_FALSE(readiness.ready);
	EXPECT_EQ(readiness_diverts_in_ms(&readiness, now_ms + 500), 1500u);
	EXPECT_EQ(recover(), 3000u);
}

TEST_F(Readiness, AFloodDoesNotReturnAgainAndAgainToADaemonThatIsTooSmall)
{
	uint64_t recovery_ms[5];

	for (uint64_t &ms : recovery_ms) {
		end_window(FLOOD);
		EXPECT_FALSE(readiness.ready);
		ms = recover();
	}
	EXPECT_EQ(recovery_ms[0], 3000u);
	EXPECT_EQ(recovery_ms[1], 6000u);
	EXPECT_EQ(recovery_ms[4], 12000u);
	for (int window = 0; window < 30; window++)
		end_window(IDLE);
	end_window(FLOOD);
	EXPECT_EQ(recover(), 3000u);
}

/* More daemons out of rotation would only add to the load of the others. */
TEST_F(Readiness, LoadFromManyAccountsDoesNotLengthenTheRecovery)
{
	const readiness_load overload = { 5, 200, 80, 300 };

	for (int i = 0; i < 5; i++) {
		end_window(overload);
		EXPECT_FALSE(readiness.ready);
		EXPECT_EQ(recover(), 3000u);
	}
}

TEST_F(Readiness, CallersOfAFloodAreToldToReturnOnceOthersTakeIt)
{
	end_window(FLOOD);
	for (uint64_t hash : { 1u, 999u, 123456u }) {
		EXPECT_GE(readiness_retry_after_ms(&readiness, hash, now_ms),
		    2000u);
		EXPECT_LE(readiness_retry_after_ms(&readiness, hash, now_ms),
		    3000u);
		EXPECT_LE(readiness_retry_after_ms(&readiness, hash,
			      now_ms + 2000),
		    100u);
	}
}

} // namespace
