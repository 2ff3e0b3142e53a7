#include <gtest/gtest.h>

#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "core/dispatch.h"
#include "core/dispatch_private.h"
#include "core/hash.h"
}

namespace
{

constexpr uint64_t FIRST_ID = 100;

/** Daemons that exchange load reports over a network without delay. */
class Fleet
{
      public:
	Fleet(size_t count, size_t high_cpu_count)
	{
		for (size_t i = 0; i < count; i++) {
			dispatch_daemon daemon = { FIRST_ID + i, i % 3,
				i < high_cpu_count };
			daemons.push_back(daemon);
			running.push_back(true);
		}
		configuration = config_snapshot_new();
		config_pool pool = {};
		pool.pool_id = hash_name("service");
		g_array_append_val(configuration->pools, pool);
		for (size_t i = 0; i < count; i++)
			cores.push_back(make_core(i));
		update_daemons();
		effects_init(&effects);
	}

	~Fleet()
	{
		effects_finish(&effects);
		for (auto &core : cores)
			dispatch_finish(core.get());
		config_snapshot_unref(configuration);
	}

	Fleet(const Fleet &) = delete;
	Fleet &operator=(const Fleet &) = delete;

	void update_daemons()
	{
		std::vector<dispatch_daemon> live;

		for (size_t i = 0; i < daemons.size(); i++)
			if (running[i])
				live.push_back(daemons[i]);
		for (size_t i = 0; i < daemons.size(); i++)
			if (running[i])
				dispatch_set_daemons(cores[i].get(),
				    live.data(), live.size());
	}

	void start_request(size_t i)
	{
		dispatch_request request = {};
		dispatch_decision decision;

		request.pool_id = hash_name("service");
		request.remaining_ms = 1000;
		dispatch_decide(cores[i].get(), &request, now_ms, &decision);
		ASSERT_TRUE(decision.start);
	}

	/** A request with a shared segment and a segment of its own. */
	static dispatch_request make_request(uint64_t segment_id)
	{
		dispatch_request request = {};

		request.pool_id = hash_name("service");
		request.remaining_ms = 1000;
		request.prompt_tokens = 6000;
		request.segments_count = 2;
		request.segments[0] = { segment_id, 5000 };
		request.segments[1] = { ++own_segment_id, 1000 };
		return request;
	}

	void record_cached_segment(size_t i, uint64_t segment_id)
	{
		dispatch_request request = make_request(segment_id);

		dispatch_cache_record(cores[i].get(), endpoint(i), &request,
		    now_ms);
	}

	/** Tokens that are not cached at the endpoint, as daemon i knows it. */
	uint64_t uncached_tokens(size_t i, uint64_t segment_id)
	{
		dispatch_request request = make_request(segment_id);

		return dispatch_uncached_tokens(endpoint(i), &request, now_ms);
	}

	void run_for(uint64_t duration_ms)
	{
		for (uint64_t end_ms = now_ms + duration_ms; now_ms < end_ms;
		     now_ms += 50)
			for (size_t i = 0; i < cores.size(); i++)
				if (running[i])
					tick(i);
	}

	/** Running requests of all daemons, as daemon i knows them. */
	uint32_t known_running_count(size_t i)
	{
		return endpoint(i)->local.running_count +
		    endpoint(i)->remote.running_count;
	}

	dispatch_endpoint *endpoint(size_t i)
	{
		uint64_t endpoint_id = hash_name("s1");

		return static_cast<dispatch_endpoint *>(
		    g_hash_table_lookup(cores[i]->endpoints, &endpoint_id));
	}

	static inline uint64_t own_segment_id = 1000;

	std::vector<dispatch_daemon> daemons;
	std::vector<bool> running;
	std::vector<std::unique_ptr<struct dispatch>> cores;
	std::vector<dispatch_freshness> freshness[RESOURCE_KIND_COUNT] = {
		std::vector<dispatch_freshness>(400),
		std::vector<dispatch_freshness>(400)
	};
	std::vector<uint64_t> sent_counts = std::vector<uint64_t>(400);
	uint64_t now_ms = 50000;

      private:
	std::unique_ptr<struct dispatch> make_core(size_t i)
	{
		auto core = std::make_unique<struct dispatch>();
		dispatch_config config = {};
		dispatch_endpoint_info info = {};

		config.node_id = daemons[i].node_id;
		config.domain_id = daemons[i].domain_id;
		config.report_period_ms = 100;
		config.retry_window_ms = 10000;
		dispatch_init(core.get(), &config);
		dispatch_set_configuration(core.get(), configuration);
		g_strlcpy(info.name, "s1", sizeof(info.name));
		info.pool_id = hash_name("service");
		info.slots = 1000;
		dispatch_put_endpoint(core.get(), &info, now_ms);
		return core;
	}

	void tick(size_t i)
	{
		/* daemon i stamps its reports with a clock that is i * 100 s
		 * ahead of the clock of daemon 0 */
		dispatch_tick(cores[i].get(), now_ms, now_ms + i * 100000,
		    &effects);
		sent_counts[i] += effects.count;
		for (size_t at = 0; at < effects.count; at++)
			deliver(i, effects.items[at]);
		effects_clear(&effects);
	}

	void deliver(size_t from, effect &effect)
	{
		size_t to = (size_t)(effect.to_node_id - FIRST_ID);
		dispatch_freshness reported[RESOURCE_KIND_COUNT];

		if (!running[to])
			return;
		effect.msg.from_node_id = FIRST_ID + from;
		dispatch_handle_load_report(cores[to].get(), &effect.msg,
		    now_ms, reported);
		for (int kind = 0; kind < RESOURCE_KIND_COUNT; kind++) {
			dispatch_freshness &best = freshness[kind][to];
			if (reported[kind].version == 0 ||
			    reported[kind].as_of_ms < best.as_of_ms)
				continue;
			best = reported[kind];
			dispatch_set_freshness(cores[to].get(),
			    (resource_kind)kind, best.version, best.as_of_ms);
		}
	}

	struct config_snapshot *configuration;
	struct effects effects;
};

TEST(Hubs, EveryDaemonLearnsTotalLoad)
{
	for (size_t count : { 1u, 2u, 7u, 9u, 10u, 30u, 76u }) {
		Fleet fleet(count, 6);

		fleet.run_for(500);
		for (size_t i = 0; i < count; i++)
			fleet.start_request(i);
		fleet.run_for(500);
		for (size_t i = 0; i < count; i++)
			EXPECT_EQ(fleet.known_running_count(i), count)
			    << i << " of " << count;
	}
}

TEST(Hubs, EveryDaemonLearnsWhereSharedSegmentIsCached)
{
	for (size_t count : { 2u, 7u, 30u, 76u }) {
		Fleet fleet(count, 6);

		fleet.run_for(500);
		fleet.record_cached_segment(count - 1, 5);
		fleet.record_cached_segment(0, 6);
		EXPECT_EQ(fleet.uncached_tokens(1 % count, 7), 6000u);
		fleet.run_for(500);
		for (size_t i = 0; i < count; i++) {
			EXPECT_EQ(fleet.uncached_tokens(i, 5), 1000u) << i;
			EXPECT_EQ(fleet.uncached_tokens(i, 6), 1000u) << i;
			EXPECT_EQ(fleet.uncached_tokens(i, 7), 6000u) << i;
			/* announced once, not forwarded in a loop */
			EXPECT_EQ(fleet.cores[i]->cache_updates->len, 0u) << i;
		}
		fleet.run_for(10000);
		EXPECT_EQ(fleet.uncached_tokens(0, 5), 6000u);
	}
}

TEST(Hubs, MessagesPerDaemonDoNotGrowWithFleet)
{
	for (size_t count : { 30u, 76u, 370u }) {
		Fleet fleet(count, 8);
		uint64_t max_sent = 0, non_hubs_count = 0;

		fleet.run_for(1000);
		for (size_t i = 0; i < count; i++) {
			max_sent = std::max(max_sent, fleet.sent_counts[i]);
			non_hubs_count += fleet.sent_counts[i] <= 10 ? 1 : 0;
		}
		/* hubs also report to each other, and there is one hub for each
		 * eight daemons */
		EXPECT_LE(max_sent, 10u * (9 + count / 8 + 30)) << count;
		EXPECT_GE(non_hubs_count,
		    count - std::max<size_t>(9, count / 8))
		    << count;
	}
}

TEST(Hubs, DaemonsWithHighCpuBecomeHubsFirst)
{
	Fleet fleet(76, 6);

	for (size_t i = 0; i < 6; i++)
		EXPECT_TRUE(fleet.cores[i]->is_hub);
}

TEST(Hubs, DaemonsLeaveSilentHubBeforeItIsReportedDown)
{
	Fleet fleet(30, 0);
	uint32_t stopped_hubs_count = 0;

	fleet.run_for(500);
	for (size_t i = 0; i < 30; i++)
		fleet.start_request(i);
	fleet.run_for(500);
	for (size_t i = 0; i < 30 && stopped_hubs_count < 4; i++)
		if (fleet.cores[i]->is_hub) {
			fleet.running[i] = false;
			stopped_hubs_count++;
		}
	/* daemons may first choose another hub that is down */
	fleet.run_for(5000);
	for (size_t i = 0; i < 30; i++)
		if (fleet.running[i]) {
			EXPECT_EQ(fleet.known_running_count(i),
			    30u - stopped_hubs_count)
			    << i;
		}
	fleet.update_daemons();
	fleet.run_for(3500);
	for (size_t i = 0; i < 30; i++)
		if (fleet.running[i]) {
			EXPECT_EQ(fleet.known_running_count(i),
			    30u - stopped_hubs_count)
			    << i;
		}
}

TEST(Hubs, FreshnessIsInReceiversClockAndNeverTooRecent)
{
	Fleet fleet(30, 0);

	fleet.run_for(500);
	dispatch_set_freshness(fleet.cores[0].get(), RESOURCE_CONFIGURATION, 5,
	    fleet.now_ms);
	dispatch_set_freshness(fleet.cores[0].get(), RESOURCE_ENDPOINTS, 77,
	    fleet.now_ms);
	uint64_t confirmed_ms = fleet.now_ms;
	fleet.run_for(1000);
	for (int kind = 0; kind < RESOURCE_KIND_COUNT; kind++)
		for (size_t i = 1; i < 30; i++) {
			const dispatch_freshness &freshness =
			    fleet.freshness[kind][i];
			uint64_t as_of_ms = freshness.as_of_ms - i * 100000;
			EXPECT_EQ(freshness.version,
			    kind == RESOURCE_ENDPOINTS ? 77u : 5u)
			    << i;
			EXPECT_LE(as_of_ms, confirmed_ms) << i;
			EXPECT_GE(as_of_ms + 600, confirmed_ms) << i;
		}
}

} // namespace
