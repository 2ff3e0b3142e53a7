#include <gtest/gtest.h>

extern "C" {
#include "core/store_restore.h"
}

namespace
{

class StoreRestore : public ::testing::Test
{
      protected:
	store_restore_order hear(uint32_t count, uint64_t now_ms,
	    bool served = true)
	{
		return store_restore_hear(&restore, count, served, now_ms);
	}

	bool is_settling(uint64_t now_ms) const
	{
		return now_ms < restore.settled_ms;
	}

	struct store_restore restore = {};
};

TEST_F(StoreRestore, AStoreThatWasNeverRestoredIsSettled)
{
	EXPECT_EQ(hear(0, 1000), STORE_RESTORE_SAME);
	EXPECT_EQ(hear(0, 2000), STORE_RESTORE_SAME);
	EXPECT_FALSE(is_settling(1000));
}

TEST_F(StoreRestore, ARestoreSettlesOnceFromItsFirstNews)
{
	hear(0, 1000);
	EXPECT_EQ(hear(1, 5000), STORE_RESTORE_NEWER);
	EXPECT_EQ(hear(1, 6000), STORE_RESTORE_SAME);
	EXPECT_TRUE(is_settling(5000 + STORE_SETTLE_MS - 1));
	EXPECT_FALSE(is_settling(5000 + STORE_SETTLE_MS));
}

TEST_F(StoreRestore, TwoRestoresInOneStepSettleFromTheSecond)
{
	hear(0, 1000);
	hear(1, 5000);
	EXPECT_EQ(hear(3, 6000), STORE_RESTORE_NEWER);
	EXPECT_TRUE(is_settling(6000 + STORE_SETTLE_MS - 1));
}

TEST_F(StoreRestore, AnAnswerFromBeforeARestoreIsOlder)
{
	hear(0, 1000);
	hear(2, 5000);
	EXPECT_EQ(hear(1, 5100), STORE_RESTORE_OLDER);
	EXPECT_EQ(hear(2, 5200), STORE_RESTORE_SAME);
}

TEST_F(StoreRestore, TheFirstCountMayBeOfARestoreJustBefore)
{
	EXPECT_EQ(hear(2, 5000), STORE_RESTORE_SAME);
	EXPECT_TRUE(is_settling(5000));
	EXPECT_FALSE(is_settling(5000 + STORE_SETTLE_MS));
}

TEST_F(StoreRestore, AStoreThatRefusesHasNotBegunToSettle)
{
	hear(0, 1000);
	EXPECT_EQ(hear(1, 5000, false), STORE_RESTORE_NEWER);
	EXPECT_TRUE(is_settling(60000));
	EXPECT_EQ(restore.rewritten_ms, UINT64_MAX);
	hear(1, 9000);
	hear(1, 9500, false);
	EXPECT_TRUE(is_settling(9000 + STORE_SETTLE_MS - 1));
	EXPECT_FALSE(is_settling(9000 + STORE_SETTLE_MS));
	EXPECT_EQ(restore.rewritten_ms, 9000 + STORE_REWRITE_MS);
}

} // namespace
