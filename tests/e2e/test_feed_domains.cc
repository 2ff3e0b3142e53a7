#include "feed_fixture.h"

using namespace e2e;
using namespace feed_tests;

namespace
{

/** Time in which a change has to reach a daemon, whatever happened to the
 * store. */
constexpr uint32_t DOMAINS_AGE_MS = 5000;

class FeedDomains : public Feed
{
      protected:
	FeedDomains() : Feed(0, true)
	{
	}

	void drain(const std::string &domain, const std::string &spec = "{}")
	{
		store.put("evacuations", domain, spec);
	}

	bool becomes_drained(const std::string &domain, bool drained = true)
	{
		return eventually([&] { return is_drained(domain) == drained; },
		    DOMAINS_AGE_MS);
	}
};

TEST_F(FeedDomains, AWatcherSeesThatADomainIsDrainedAndGivenBack)
{
	set_watching(true);
	drain("z1");
	EXPECT_TRUE(becomes_drained("z1"));
	store.remove("evacuations", "z1");
	EXPECT_TRUE(becomes_drained("z1", false));
}

TEST_F(FeedDomains, ADaemonThatDoesNotWatchHearsOfItFromItsPeers)
{
	drain("z1");
	offer_version(RESOURCE_DRAINED_DOMAINS, store.revision());
	EXPECT_TRUE(eventually([&] { return is_drained("z1"); }, 1000));
}

TEST_F(FeedDomains, ADaemonWhosePeersConfirmNothingReadsTheStoreItself)
{
	drain("z1");
	EXPECT_TRUE(becomes_drained("z1"));
}

TEST_F(FeedDomains, ADrainIsSeenAfterAnOutageAndAfterALossOfHistory)
{
	set_watching(true);
	store.fail_with(503);
	std::this_thread::sleep_for(std::chrono::milliseconds(500));
	drain("z1");
	store.compact();
	store.fail_with(0);
	EXPECT_TRUE(becomes_drained("z1"));
}

/* A copy that can't be confirmed still says what is drained. */
TEST_F(FeedDomains, ADomainStaysDrainedWhileTheStoreIsDown)
{
	set_watching(true);
	drain("z1");
	ASSERT_TRUE(becomes_drained("z1"));
	store.fail_with(FakeObjectStore::SILENT);
	std::this_thread::sleep_for(std::chrono::milliseconds(1500));
	EXPECT_TRUE(is_drained("z1"));
	store.fail_with(0);
}

TEST_F(FeedDomains, AnObjectThatMakesNoSenseDrainsItsDomainAlone)
{
	set_watching(true);
	drain("z1", "[7]");
	drain("nowhere", "\"text\"");
	EXPECT_TRUE(becomes_drained("z1"));
	EXPECT_TRUE(becomes_drained("nowhere"));
	EXPECT_FALSE(is_drained("z2"));
	EXPECT_TRUE(has_endpoint("e1"));
}

TEST_F(Feed, DrainedDomainsAreNotReadUnlessAsked)
{
	set_watching(true);
	offer_version(RESOURCE_DRAINED_DOMAINS, store.revision());
	std::this_thread::sleep_for(std::chrono::milliseconds(500));
	EXPECT_EQ(store.call_count("evacuations"), 0u);
}

} // namespace
