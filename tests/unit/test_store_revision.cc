#include <gtest/gtest.h>

extern "C" {
#include "common/revision_text.h"
#include "core/store_revision.h"
}

namespace
{

TEST(StoreRevision, ALowNumberAfterARestoreIsLaterThanAHighOneBefore)
{
	EXPECT_LT(store_revision_make(0, 7), store_revision_make(0, 8));
	EXPECT_LT(store_revision_make(0, 90), store_revision_make(1, 8));
	EXPECT_LT(store_revision_make(1, UINT64_MAX),
	    store_revision_make(2, 1));
}

TEST(StoreRevision, HoldsCountAndNumber)
{
	uint64_t revision = store_revision_make(3, 41);

	EXPECT_EQ(store_revision_restores_count(revision), 3u);
	EXPECT_EQ(store_revision_number(revision), 41u);
	EXPECT_EQ(store_revision_make(0, 41), 41u);
}

TEST(StoreRevision, TheTextNamesTheRestores)
{
	char text[REVISION_TEXT_BYTES];

	revision_text_format(store_revision_make(0, 41), text);
	EXPECT_STREQ(text, "41");
	revision_text_format(store_revision_make(UINT32_MAX, UINT64_MAX), text);
	EXPECT_STREQ(text, "1048575:17592186044415");
}

} // namespace
