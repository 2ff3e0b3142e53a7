/**
 * @file
 * Feed of a daemon that relies on its peers, before a store of the test.
 */
#ifndef TESTS_E2E_FEED_FIXTURE_H
#define TESTS_E2E_FEED_FIXTURE_H

#include <atomic>
#include <set>

#include "gateway_harness.h"

extern "C" {
/* C++ has no _Atomic; the layout is the same without it, and the test uses no
 * atomic field */
#define _Atomic
#include "platform/feed.h"
#undef _Atomic
}

namespace feed_tests
{

using namespace e2e;

/** Records what a feed passes to its sink. */
struct RecordingSink {
	std::mutex mutex;
	std::set<std::string> endpoints, leaving_endpoints, drained_domains;
	std::atomic<uint64_t> version{ 0 };
	std::atomic<uint64_t> endpoints_version{ 0 };
	/** Latest time at which the configuration was known to be the newest. */
	std::atomic<uint64_t> configuration_as_of_ms{ 0 };
	std::atomic<bool> synced{ false };
};

inline void
on_configuration(void *context, struct config_snapshot *configuration)
{
	static_cast<RecordingSink *>(context)->version = configuration->version;
	config_snapshot_unref(configuration);
}

inline void
on_freshness(void *context, enum resource_kind kind,
    const struct dispatch_freshness *freshness)
{
	RecordingSink *sink = static_cast<RecordingSink *>(context);

	if (kind == RESOURCE_ENDPOINTS)
		sink->endpoints_version = freshness->version;
	else if (kind == RESOURCE_CONFIGURATION)
		sink->configuration_as_of_ms = freshness->as_of_ms;
}

inline void
on_endpoint(void *context, const struct dispatch_endpoint_info *info)
{
	RecordingSink *sink = static_cast<RecordingSink *>(context);
	std::lock_guard<std::mutex> lock(sink->mutex);

	sink->endpoints.insert(info->name);
	if (info->leaving)
		sink->leaving_endpoints.insert(info->name);
	else
		sink->leaving_endpoints.erase(info->name);
}

inline void
on_endpoint_removed(void *context, const char *name)
{
	RecordingSink *sink = static_cast<RecordingSink *>(context);
	std::lock_guard<std::mutex> lock(sink->mutex);

	sink->endpoints.erase(name);
}

inline void
on_domain(void *context, const char *name, bool drained)
{
	RecordingSink *sink = static_cast<RecordingSink *>(context);
	std::lock_guard<std::mutex> lock(sink->mutex);

	if (drained)
		sink->drained_domains.insert(name);
	else
		sink->drained_domains.erase(name);
}

inline void
on_synced(void *context, enum resource_kind kind)
{
	if (kind == RESOURCE_ENDPOINTS)
		static_cast<RecordingSink *>(context)->synced = true;
}

inline const feed_sink_ops ops = { on_configuration, on_freshness, on_endpoint,
	on_endpoint_removed, on_domain, on_synced };

/** Feed of a daemon that relies on its peers to watch the store. */
class Feed : public ::testing::Test
{
      protected:
	explicit Feed(uint32_t spread_permille = 0,
	    bool reads_drained_domains = false)
	    : url(store.url())
	{
		feed_config config = {};

		store.put("config", "main",
		    configuration_json(3, { { "/a/", "safe" } }));
		store.put("servers", "e1",
		    endpoint_entry_json("app", "127.0.0.1:1"));
		config.url = url.c_str();
		config.timings[RESOURCE_CONFIGURATION] = { 300, 2000, 1200 };
		config.timings[RESOURCE_ENDPOINTS] = { 300, 1500, 900 };
		config.timings[RESOURCE_DRAINED_DOMAINS] = { 300, 1500, 900 };
		config.reads_drained_domains = reads_drained_domains;
		config.timeout_ms = 1000;
		config.spread_permille = spread_permille;
		feed_init(&feed, &config, &ops, &sink);
		EXPECT_TRUE(eventually(
		    [&] { return sink.synced && sink.version == 3; }));
		set_watching(false);
		/* the calls that confirm the first reads end in this time */
		std::this_thread::sleep_for(std::chrono::milliseconds(1800));
	}

	~Feed() override
	{
		feed_finish(&feed);
	}

	void set_watching(bool watching, size_t daemons_count = 3)
	{
		const feed_role role = { watching, false, daemons_count };

		feed_set_role(&feed, &role);
	}

	/** Lets peers confirm for a while that the known versions are the
	 * newest. */
	void offer_versions_for(uint32_t duration_ms)
	{
		for (uint32_t i = 0; i < duration_ms; i += 50) {
			offer_versions();
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(50));
		}
	}

	void offer_versions()
	{
		offer_version(RESOURCE_CONFIGURATION, 3);
		offer_version(RESOURCE_ENDPOINTS, store.revision());
	}

	void offer_version(resource_kind kind, uint64_t version)
	{
		dispatch_freshness freshness = { version, feed_clock_ms() };

		feed_offer_freshness(&feed, kind, &freshness);
	}

	bool has_endpoint(const std::string &name)
	{
		std::lock_guard<std::mutex> lock(sink.mutex);

		return sink.endpoints.count(name) > 0;
	}

	bool is_leaving(const std::string &name)
	{
		std::lock_guard<std::mutex> lock(sink.mutex);

		return sink.leaving_endpoints.count(name) > 0;
	}

	bool is_drained(const std::string &domain)
	{
		std::lock_guard<std::mutex> lock(sink.mutex);

		return sink.drained_domains.count(domain) > 0;
	}

	FakeObjectStore store;
	std::string url;
	RecordingSink sink;
	struct feed feed;
};

} // namespace feed_tests

#endif
