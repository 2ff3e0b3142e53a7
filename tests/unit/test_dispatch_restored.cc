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

	void put_process(uint64_t start_ms, uint32_t restores_count,
	    uint64_t number)
	{
		add_endpoint("e1", "engines", 8, start_ms, false, "z1",
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

TEST_F(DispatchRestored, AnEndpointThatWasRemovedIsNotBackWithTheCopy)
{
	put("e1", 0, 40);
	dispatch_remove_endpoint(&dispatch, "e1");
	put("e1", 1, 40);
	EXPECT_FALSE(may_send_to("e1"));
	EXPECT_FALSE(decide(make_request()).start);
}

TEST_F(DispatchRestored, AnEndpointThatRenewsItsEntryIsBackAtOnce)
{
	put("e1", 0, 40);
	dispatch_remove_endpoint(&dispatch, "e1");
	put("e1", 1, 40);
	put("e1", 1, 41);
	EXPECT_TRUE(may_send_to("e1"));
	EXPECT_TRUE(decide(make_request()).start);
}

TEST_F(DispatchRestored, AnEndpointWhoseEntryStaysIsBackAfterSomeTime)
{
	put("e1", 0, 40);
	dispatch_remove_endpoint(&dispatch, "e1");
	put("e1", 1, 40);
	now_ms += 3000;
	put("e1", 2, 40);
	EXPECT_FALSE(may_send_to("e1"));
	now_ms += 4000;
	EXPECT_TRUE(may_send_to("e1"));
	EXPECT_TRUE(decide(make_request()).start);
}

TEST_F(DispatchRestored, AnEndpointThatStayedIsInUseAllTheTime)
{
	put("e1", 0, 40);
	put("e1", 1, 40);
	EXPECT_TRUE(may_send_to("e1"));
	EXPECT_TRUE(decide(make_request()).start);
}

TEST_F(DispatchRestored,
    AnEndpointThatChangedBeforeItWasRemovedGetsNothingFromTheCopy)
{
	put("e1", 0, 40);
	put("e1", 0, 60);
	dispatch_remove_endpoint(&dispatch, "e1");
	put("e1", 1, 40);
	EXPECT_FALSE(may_send_to("e1"));
}

TEST_F(DispatchRestored, ACopyDoesNotBringTheFormerProcessBack)
{
	put_process(100, 0, 40);
	put_process(200, 0, 60);
	put_process(100, 1, 40);
	EXPECT_EQ(find_endpoint("e1")->info.process_start_ms, 200u);
}

TEST_F(DispatchRestored, ACopyDoesNotBringTheProcessBeforeAGoneOneBack)
{
	put_process(100, 0, 40);
	put_process(200, 0, 60);
	dispatch_remove_endpoint(&dispatch, "e1");
	put_process(100, 1, 40);
	EXPECT_FALSE(may_send_to("e1"));
}

} // namespace
