#include "feed_fixture.h"

using namespace e2e;
using namespace feed_tests;

namespace
{

/** Feed of a watcher whose store keeps a copy when it holds version 3 and e1. */
class FeedRestored : public Feed
{
      protected:
	FeedRestored()
	{
		set_watching(true);
		store.keep_copy();
	}

	void put_configuration(uint64_t version)
	{
		store.put("config", "main",
		    configuration_json(version, { { "/a/", "safe" } }));
	}

	void put_endpoint(const std::string &name,
	    const std::string &phase = "ready")
	{
		store.put("servers", name,
		    endpoint_entry_json("app", "127.0.0.1:1", phase));
	}

	void make_changes(uint32_t count)
	{
		for (uint32_t i = 0; i < count; i++)
			store.put("other", "o", "{}");
	}

	/** Waits until all watches go on from the store's newest revision. */
	void wait_until_seen()
	{
		std::this_thread::sleep_for(std::chrono::milliseconds(700));
	}

	void cut_off()
	{
		store.fail_with(503);
		EXPECT_TRUE(
		    eventually([&] { return feed_is_failing(&feed); }, 5000));
		std::this_thread::sleep_for(std::chrono::milliseconds(200));
	}

	/** @return whether the configuration is confirmed for a time after one
	 * that is given */
	bool confirms_after(uint64_t after_ms, uint32_t within_ms)
	{
		return eventually(
		    [&] { return sink.configuration_as_of_ms > after_ms; },
		    within_ms);
	}

	/** Restores the store after lost changes, and makes others while this
	 * daemon is cut off. */
	void restore_and_change(uint32_t lost_count, uint32_t changes_count)
	{
		make_changes(lost_count);
		wait_until_seen();
		cut_off();
		store.restore();
		put_endpoint("e1", "draining");
		put_configuration(4);
		make_changes(changes_count - 2);
		store.fail_with(0);
	}

	void expect_changes_arrive()
	{
		EXPECT_TRUE(eventually([&] { return is_leaving("e1"); }, 2500));
		EXPECT_TRUE(eventually([&] { return sink.version == 4; }, 500));
	}
};

TEST_F(FeedRestored, FewerChangesThanWereLostArrive)
{
	restore_and_change(6, 3);
	expect_changes_arrive();
}

TEST_F(FeedRestored, AsManyChangesAsWereLostArrive)
{
	restore_and_change(6, 6);
	expect_changes_arrive();
}

TEST_F(FeedRestored, MoreChangesThanWereLostArrive)
{
	restore_and_change(6, 22);
	expect_changes_arrive();
}

TEST_F(FeedRestored, ChangesAfterTwoRestoresWithinOneCutArrive)
{
	make_changes(6);
	wait_until_seen();
	cut_off();
	store.restore();
	make_changes(12);
	store.restore();
	put_endpoint("e1", "draining");
	put_configuration(4);
	make_changes(8);
	store.fail_with(0);
	expect_changes_arrive();
}

TEST_F(FeedRestored, ChangesAfterEachOfTwoRestoresArrive)
{
	restore_and_change(6, 22);
	expect_changes_arrive();
	store.keep_copy();
	make_changes(6);
	wait_until_seen();
	cut_off();
	store.restore();
	put_endpoint("e2");
	put_configuration(5);
	make_changes(12);
	store.fail_with(0);
	EXPECT_TRUE(eventually([&] { return has_endpoint("e2"); }, 2500));
	EXPECT_TRUE(eventually([&] { return sink.version == 5; }, 500));
}

TEST_F(FeedRestored, AListThatStraddlesARestoreStartsAgain)
{
	put_endpoint("e2");
	put_endpoint("e3");
	store.keep_copy();
	make_changes(6);
	wait_until_seen();
	store.page_size = 2;
	store.restore_before_next_page("e1",
	    endpoint_entry_json("app", "127.0.0.1:1", "draining"), 20);
	store.compact();
	EXPECT_TRUE(eventually([&] { return is_leaving("e1"); }, 2500));
}

TEST_F(FeedRestored, APeerThatHeardOfARestoreMakesTheDaemonListAnew)
{
	make_changes(6);
	wait_until_seen();
	set_watching(false);
	offer_versions_for(600);
	store.restore();
	put_endpoint("e1", "draining");
	make_changes(12);
	offer_version(RESOURCE_ENDPOINTS,
	    store_revision_make(1, store.revision()));
	EXPECT_TRUE(eventually([&] { return is_leaving("e1"); }, 700));
}

TEST_F(FeedRestored, AStaleAnswerFromBeforeTheRestoreIsNotUsed)
{
	make_changes(6);
	wait_until_seen();
	set_watching(false);
	offer_versions_for(600);
	store.serve_stale(true);
	store.restore();
	put_endpoint("e1", "draining");
	offer_version(RESOURCE_ENDPOINTS,
	    store_revision_make(1, store.revision()));
	EXPECT_TRUE(eventually([&] { return is_leaving("e1"); }, 2500));
	store.serve_stale(false);
	put_endpoint("e2");
	offer_version(RESOURCE_ENDPOINTS,
	    store_revision_make(1, store.revision()));
	EXPECT_TRUE(eventually([&] { return has_endpoint("e2"); }, 700));
}

TEST_F(FeedRestored, AnEndpointThatTheRestoreLostIsKeptWhileItIsWrittenAgain)
{
	put_endpoint("e2");
	wait_until_seen();
	store.restore();
	std::this_thread::sleep_for(std::chrono::milliseconds(1000));
	EXPECT_TRUE(has_endpoint("e2"));
	EXPECT_TRUE(eventually([&] { return !has_endpoint("e2"); }, 2500));
}

TEST_F(FeedRestored, ALostConfigurationThatWasNotSeenLeavesTheOldOneUnconfirmed)
{
	cut_off();
	put_configuration(4);
	store.restore();
	uint64_t restored_ms = feed_clock_ms();
	store.fail_with(0);
	EXPECT_FALSE(confirms_after(restored_ms, 1200));
	put_configuration(4);
	EXPECT_TRUE(eventually([&] { return sink.version == 4; }, 500));
	EXPECT_TRUE(confirms_after(restored_ms, 2500));
}

TEST_F(FeedRestored, AStoreThatLacksTheConfigurationInForceDoesNotConfirmIt)
{
	put_configuration(4);
	EXPECT_TRUE(eventually([&] { return sink.version == 4; }));
	cut_off();
	store.restore();
	uint64_t restored_ms = feed_clock_ms();
	store.fail_with(0);
	EXPECT_FALSE(confirms_after(restored_ms, 4000));
	EXPECT_EQ(sink.version, 4u);
	put_configuration(4);
	EXPECT_TRUE(confirms_after(restored_ms, 2500));
}

TEST_F(FeedRestored, ADaemonThatStartsAfterARestoreDoesNotConfirmAtOnce)
{
	RecordingSink newcomer_sink;
	struct feed newcomer;
	feed_config config = feed.config;

	store.restore();
	uint64_t started_ms = feed_clock_ms();
	feed_init(&newcomer, &config, &ops, &newcomer_sink);
	EXPECT_TRUE(eventually([&] { return newcomer_sink.version == 3; }));
	std::this_thread::sleep_for(std::chrono::milliseconds(500));
	EXPECT_EQ(newcomer_sink.configuration_as_of_ms, 0u);
	EXPECT_TRUE(feed_is_behind(&newcomer));
	EXPECT_TRUE(eventually(
	    [&] { return newcomer_sink.configuration_as_of_ms > started_ms; },
	    4000));
	EXPECT_FALSE(feed_is_behind(&newcomer));
	feed_finish(&newcomer);
}

TEST_F(FeedRestored, AStoreThatRefusesAfterARestoreIsNotConfirmedOnItsReturn)
{
	cut_off();
	put_configuration(4);
	store.restore();
	std::this_thread::sleep_for(std::chrono::milliseconds(2500));
	uint64_t served_ms = feed_clock_ms();
	store.fail_with(0);
	EXPECT_FALSE(confirms_after(served_ms, 1200));
}

TEST_F(FeedRestored, ADaemonWhosePeersConfirmIsNotBehindForLong)
{
	put_configuration(4);
	EXPECT_TRUE(eventually([&] { return sink.version == 4; }));
	wait_until_seen();
	set_watching(false);
	store.restore();
	make_changes(1);
	offer_version(RESOURCE_ENDPOINTS,
	    store_revision_make(1, store.revision()));
	std::this_thread::sleep_for(std::chrono::milliseconds(500));
	EXPECT_TRUE(feed_is_behind(&feed));
	put_configuration(4);
	for (int i = 0; i < 160; i++) {
		offer_version(RESOURCE_CONFIGURATION, 4);
		std::this_thread::sleep_for(std::chrono::milliseconds(50));
	}
	EXPECT_FALSE(feed_is_behind(&feed));
}

TEST_F(FeedRestored, ASecondRestoreExtendsTheTimeForLostEntries)
{
	put_endpoint("e2");
	wait_until_seen();
	store.restore();
	std::this_thread::sleep_for(std::chrono::milliseconds(1400));
	EXPECT_TRUE(has_endpoint("e2"));
	store.restore();
	std::this_thread::sleep_for(std::chrono::milliseconds(1000));
	EXPECT_TRUE(has_endpoint("e2"));
}

TEST_F(FeedRestored, AConfigurationWrittenAgainAfterTwoSecondsIsAwaited)
{
	cut_off();
	put_configuration(4);
	store.restore();
	uint64_t restored_ms = feed_clock_ms();
	store.fail_with(0);
	while (feed_clock_ms() < restored_ms + 2200)
		std::this_thread::sleep_for(std::chrono::milliseconds(5));
	EXPECT_LE(sink.configuration_as_of_ms, restored_ms);
}

} // namespace
