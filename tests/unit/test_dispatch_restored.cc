#include "dispatch_fixture.h"

extern "C" {
#include "core/store_revision.h"
}

using namespace dispatch_tests;

namespace
{

/** The store gives out revision 90, is restored, and gives out 41. */
class DispatchRestored : public Dispatch
{
      protected:
	void put(const char *name, uint32_t restores_count, uint64_t number,
	    bool leaving = false)
	{
		add_endpoint(name, "engines", 8, 1, leaving, "z1",
		    store_revision_make(restores_count, number));
	}

	bool may_send_to(const char *name)
	{
		const dispatch_endpoint *endpoint = find_endpoint(name);

		return endpoint != nullptr &&
		    dispatch_may_send_to(&dispatch, endpoint, now_ms);
	}
};

TEST_F(DispatchRestored, AnEndpointThatLeavesAtALowerRevisionGetsNoRequests)
{
	put("e1", 0, 90);
	put("e1", 1, 41, true);
	EXPECT_FALSE(may_send_to("e1"));
}

TEST_F(DispatchRestored, AnEntryFromBeforeTheRestoreIsOlderThanOneAfterIt)
{
	put("e1", 1, 41, true);
	put("e1", 0, 90);
	EXPECT_FALSE(may_send_to("e1"));
}

TEST_F(DispatchRestored, TheCopysEntryDoesNotUndoThatAnEndpointLeaves)
{
	put("e1", 0, 40);
	put("e1", 0, 90, true);
	put("e1", 1, 40);
	EXPECT_FALSE(may_send_to("e1"));
}

TEST_F(DispatchRestored, AListFromBeforeTheRestoreCoversNoLaterRevision)
{
	dispatch_set_freshness(&dispatch, RESOURCE_ENDPOINTS,
	    store_revision_make(0, 90), now_ms);
	EXPECT_FALSE(
	    dispatch_list_covers(&dispatch, store_revision_make(1, 41)));
	EXPECT_TRUE(
	    dispatch_list_covers(&dispatch, store_revision_make(0, 41)));
}

} // namespace
