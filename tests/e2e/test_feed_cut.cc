#include "feed_fixture.h"

using namespace e2e;
using namespace feed_tests;

namespace
{

/** Feed of a watcher that is cut off from the store when e1 goes, until just after
 * one of its calls. */
class FeedAfterACut : public Feed
{
      protected:
	FeedAfterACut()
	{
		store.put("servers", "e2",
		    endpoint_entry_json("app", "127.0.0.1:2"));
		offer_versions_for(300);
		set_watching(true);
		store.fail_with(503);
		EXPECT_TRUE(
		    eventually([&] { return feed_is_failing(&feed); }, 5000));
	}

	/** Ends the cut. The daemon's next call is as late as it can be. */
	void end_cut()
	{
		uint32_t calls_before = store.call_count("servers");

		EXPECT_TRUE(eventually([&] {
			return store.call_count("servers") > calls_before;
		}));
		store.fail_with(0);
	}

	/** Lets peers report. @return whether e1 is gone once the daemon counts
	 * as in touch */
	bool e1_goes_in_touch()
	{
		return eventually(
		    [&] {
			    offer_versions();
			    return !has_endpoint("e1");
		    },
		    STABLE_WINDOW_MS);
	}

	static constexpr uint32_t CUT_MS = 4000;
	/** Daemons count as in touch with the store so long after a cut. */
	static constexpr uint32_t STABLE_WINDOW_MS = 3000;
};

TEST_F(FeedAfterACut, AnEndpointThatLeftUnseenIsGoneOnceTheDaemonIsInTouch)
{
	offer_versions_for(CUT_MS);
	store.remove("servers", "e1");
	store.compact();
	end_cut();
	EXPECT_TRUE(e1_goes_in_touch());
	EXPECT_TRUE(has_endpoint("e2"));
}

TEST_F(FeedAfterACut, AfterASilentCutAnEndpointThatLeftUnseenIsGoneInTouch)
{
	store.fail_with(FakeObjectStore::SILENT);
	offer_versions_for(CUT_MS);
	store.remove("servers", "e1");
	end_cut();
	EXPECT_TRUE(e1_goes_in_touch());
	EXPECT_TRUE(has_endpoint("e2"));
}

/* Without peers, each missing entry may be one that is written again. */
TEST_F(FeedAfterACut, AMissingEndpointIsKeptForAWhileButGoneInTouch)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(CUT_MS));
	store.remove("servers", "e1");
	store.remove("servers", "e2");
	store.compact();
	end_cut();
	uint64_t returned_ms = feed_clock_ms();
	std::this_thread::sleep_for(std::chrono::milliseconds(1500));
	EXPECT_TRUE(has_endpoint("e1"));
	EXPECT_TRUE(has_endpoint("e2"));
	store.put("servers", "e2", endpoint_entry_json("app", "127.0.0.1:2"));
	EXPECT_TRUE(eventually([&] { return !has_endpoint("e1"); },
	    (uint32_t)(returned_ms + STABLE_WINDOW_MS - feed_clock_ms())));
	EXPECT_TRUE(has_endpoint("e2"));
}

} // namespace
