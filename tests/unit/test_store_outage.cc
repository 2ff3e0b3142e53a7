#include <gtest/gtest.h>

extern "C" {
#include "core/store_outage.h"
}

namespace
{

class StoreOutage : public ::testing::Test
{
      protected:
	/** Records the calls of this daemon, each 500 ms, until a time.
	 * @param served whether they succeed */
	void call_until(uint64_t until_ms, bool served)
	{
		for (; now_ms < until_ms; now_ms += 500)
			if (served)
				store_outage_record_served(&outage, now_ms);
			else
				store_outage_record_failure(&outage, now_ms);
	}

	bool keeps_missing_entries() const
	{
		return store_outage_keep_until_ms(&outage) > now_ms;
	}

	struct store_outage outage = {};
	uint64_t now_ms = 100000;
};

TEST_F(StoreOutage, MissingEntriesAreGoneAtOnceWhileTheStoreServes)
{
	call_until(110000, true);
	EXPECT_FALSE(keeps_missing_entries());
}

TEST_F(StoreOutage, MissingEntriesAreKeptForAWhileAfterAnOutage)
{
	call_until(101000, true);
	call_until(106000, false);
	EXPECT_FALSE(keeps_missing_entries());
	call_until(107500, true);
	EXPECT_TRUE(keeps_missing_entries());
	call_until(108500, true);
	EXPECT_FALSE(keeps_missing_entries());
}

TEST_F(StoreOutage, MissingEntriesAreGoneAtOnceAfterACutOfThisDaemonAlone)
{
	call_until(101000, true);
	while (now_ms < 110000) {
		store_outage_record_served(&outage, now_ms - 200);
		call_until(now_ms + 500, false);
	}
	call_until(now_ms + 500, true);
	EXPECT_FALSE(keeps_missing_entries());
}

TEST_F(StoreOutage, APeerThatIsServedFirstEndsTheOutage)
{
	call_until(101000, true);
	call_until(106000, false);
	EXPECT_TRUE(store_outage_record_served(&outage, now_ms));
	EXPECT_FALSE(store_outage_record_served(&outage, now_ms + 100));
	/* later calls of this daemon don't extend the time */
	call_until(108000, false);
	EXPECT_FALSE(keeps_missing_entries());
}

TEST_F(StoreOutage, NothingIsKeptAfterASilenceWithoutFailedCalls)
{
	call_until(101000, false);
	call_until(102000, true);
	now_ms = 106000;
	call_until(106500, true);
	EXPECT_FALSE(keeps_missing_entries());
}

TEST_F(StoreOutage, ReportsThatComeInAnyOrderEndNoOutage)
{
	store_outage_record_served(&outage, 105000);
	EXPECT_FALSE(store_outage_record_served(&outage, 101000));
	EXPECT_FALSE(store_outage_record_served(&outage, 0));
	EXPECT_FALSE(store_outage_record_served(&outage, 106900));
}

} // namespace
