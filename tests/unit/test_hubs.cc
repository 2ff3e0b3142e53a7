#include <gtest/gtest.h>

#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "core/delegation.h"
#include "core/dispatch.h"
#include "core/dispatch_private.h"
#include "core/hash.h"
}

namespace
{

constexpr uint64_t FIRST_ID = 100;

/** Daemons that exchange messages over a network without delay. */
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
		effects_init(&effects);
		for (size_t i = 0; i < count; i++) {
			cores.push_back(make_core(i));
			delegations.push_back(std::make_unique<delegation>());
			delegation_init(delegations.back().get(),
			    cores.back().get(), i);
		}
		update_daemons();
	}

	~Fleet()
	{
		effects_finish(&effects);
		for (auto &item : delegations)
			delegation_finish(item.get());
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

	/** @return the id of a new attempt, whose decision was not taken yet */
	uint64_t submit_request(size_t i)
	{
		dispatch_request request = {};

		request.pool_id = hash_name("service");
		request.request_hash = ++last_hash;
		request.remaining_ms = 1000;
		uint64_t attempt_id = delegation_submit(delegations[i].get(),
		    &request, now_ms, &effects);
		run_effects(i);
		return attempt_id;
	}

	/** @return the id of a new attempt that was placed */
	uint64_t start_request(size_t i)
	{
		uint64_t attempt_id = submit_request(i);
		dispatch_decision decision = {};

		EXPECT_TRUE(delegation_take(delegations[i].get(), attempt_id,
		    &decision));
		EXPECT_TRUE(decision.start);
		return attempt_id;
	}

	void end_request(size_t i, uint64_t attempt_id)
	{
		delegation_end_attempt(delegations[i].get(), attempt_id,
		    OUTCOME_COMPLETE, now_ms, &effects);
		run_effects(i);
	}

	/** Index of the hub of the endpoint, as daemon i knows it. */
	size_t hub_of_endpoint(size_t i)
	{
		dispatch_assign_endpoints(cores[i].get());
		return (size_t)(endpoint(i)->hub_id - FIRST_ID);
	}

	void run_for(uint64_t duration_ms)
	{
		for (uint64_t end_ms = now_ms + duration_ms; now_ms < end_ms;
		     now_ms += 50)
			for (size_t i = 0; i < cores.size(); i++)
				if (running[i])
					tick(i);
	}

	/** Running requests of all daemons, as the hub of the endpoint knows
	 * them. */
	uint32_t known_running_count(size_t i)
	{
		return endpoint(hub_of_endpoint(i))->load.running_count;
	}

	dispatch_endpoint *endpoint(size_t i)
	{
		uint64_t endpoint_id = hash_name("s1");

		return static_cast<dispatch_endpoint *>(
		    g_hash_table_lookup(cores[i]->endpoints, &endpoint_id));
	}

	std::vector<dispatch_daemon> daemons;
	std::vector<bool> running;
	std::vector<std::unique_ptr<struct dispatch>> cores;
	std::vector<std::unique_ptr<delegation>> delegations;
	bool loses_events = false;
	uint64_t last_hash = 0;
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
		g_strlcpy(info.address, "127.0.0.1:1", sizeof(info.address));
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
		delegation_tick(delegations[i].get(), now_ms, &effects);
		run_effects(i);
	}

	/** Delivers the messages among the effects, and those that follow. */
	void run_effects(size_t i)
	{
		struct effects own = effects;

		effects_init(&effects);
		for (size_t at = 0; at < own.count; at++)
			if (own.items[at].type == EFFECT_SEND)
				deliver(i, own.items[at]);
		effects_finish(&own);
	}

	void deliver(size_t from, effect &effect)
	{
		size_t to = (size_t)(effect.to_node_id - FIRST_ID);
		dispatch_freshness reported[RESOURCE_KIND_COUNT];

		sent_counts[from]++;
		if (!running[to] || !running[from])
			return;
		effect.msg.from_node_id = FIRST_ID + from;
		if (effect.msg.type == MSG_PLACE_REQUEST)
			dispatch_handle_place_request(cores[to].get(),
			    &effect.msg, now_ms, &effects);
		else if (effect.msg.type == MSG_PLACEMENT)
			delegation_handle_placement(delegations[to].get(),
			    &effect.msg, now_ms, &effects);
		else if (effect.msg.type == MSG_ATTEMPT_EVENTS && !loses_events)
			dispatch_handle_attempt_events(cores[to].get(),
			    &effect.msg, now_ms, &effects);
		else if (effect.msg.type == MSG_RUNNING_ATTEMPTS)
			dispatch_handle_running_attempts(cores[to].get(),
			    &effect.msg, now_ms);
		run_effects(to);
		if (effect.msg.type != MSG_REPORT)
			return;
		dispatch_handle_report(cores[to].get(), &effect.msg, now_ms,
		    reported);
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

TEST(Hubs, TheHubOfAnEndpointKnowsItsWholeLoad)
{
	for (size_t count : { 1u, 2u, 7u, 9u, 10u, 30u, 76u }) {
		Fleet fleet(count, 6);
		std::vector<uint64_t> attempts;

		fleet.run_for(500);
		for (size_t i = 0; i < count; i++)
			attempts.push_back(fleet.start_request(i));
		/* at once, not with the next report */
		for (size_t i = 0; i < count; i++)
			EXPECT_EQ(fleet.known_running_count(i), count)
			    << i << " of " << count;
		fleet.run_for(3000);
		EXPECT_EQ(fleet.known_running_count(0), count);
		for (size_t i = 0; i < count; i++)
			fleet.end_request(i, attempts[i]);
		fleet.run_for(100);
		EXPECT_EQ(fleet.known_running_count(0), 0u) << count;
	}
}

TEST(Hubs, TheNextHubTakesOverTheAttemptsOfOneThatIsGone)
{
	Fleet fleet(30, 6);

	fleet.run_for(500);
	size_t hub = fleet.hub_of_endpoint(0);
	for (size_t i = 0; i < 30; i++)
		fleet.start_request(i);
	fleet.running[hub] = false;
	fleet.update_daemons();
	fleet.run_for(200);
	size_t other = hub == 0 ? 1 : 0;
	EXPECT_NE(fleet.hub_of_endpoint(other), hub);
	EXPECT_EQ(fleet.known_running_count(other), 29u);
}

TEST(Hubs, RequestsAreDecidedWithoutAHubThatDoesNotAnswer)
{
	Fleet fleet(30, 6);
	uint64_t attempt_id;
	dispatch_decision decision = {};

	fleet.run_for(500);
	size_t hub = fleet.hub_of_endpoint(0), other = hub == 0 ? 1 : 0;
	fleet.running[hub] = false;
	attempt_id = fleet.submit_request(other);
	EXPECT_FALSE(delegation_take(fleet.delegations[other].get(), attempt_id,
	    &decision));
	fleet.run_for(200);
	ASSERT_TRUE(delegation_take(fleet.delegations[other].get(), attempt_id,
	    &decision));
	EXPECT_TRUE(decision.start);
	/* the next one does not wait for it */
	fleet.start_request(other);
}

TEST(Hubs, AHubForgetsAttemptsWhoseEndItWasNotTold)
{
	Fleet fleet(30, 6);

	fleet.run_for(500);
	size_t hub = fleet.hub_of_endpoint(0), other = hub == 0 ? 1 : 0;
	fleet.loses_events = true;
	fleet.end_request(other, fleet.start_request(other));
	fleet.run_for(100);
	EXPECT_EQ(fleet.known_running_count(0), 1u);
	fleet.run_for(3000);
	EXPECT_EQ(fleet.known_running_count(0), 0u);
}

TEST(Hubs, AnAnswerThatComesTooLateLeavesNoAttemptBehind)
{
	Fleet fleet(30, 6);
	struct effects late;
	msg answer = {};

	fleet.run_for(500);
	size_t hub = fleet.hub_of_endpoint(0), other = hub == 0 ? 1 : 0;
	fleet.running[hub] = false;
	uint64_t attempt_id = fleet.submit_request(other);
	fleet.run_for(200);
	fleet.running[hub] = true;
	answer.type = MSG_PLACEMENT;
	answer.from_node_id = FIRST_ID + hub;
	answer.u.placement.attempt_id = attempt_id;
	answer.u.placement.endpoint_id = hash_name("s1");
	answer.u.placement.start = 1;
	effects_init(&late);
	delegation_handle_placement(fleet.delegations[other].get(), &answer,
	    fleet.now_ms, &late);
	EXPECT_EQ(late.count, 0u);
	delegation_tick(fleet.delegations[other].get(), fleet.now_ms, &late);
	bool released = false;
	for (size_t i = 0; i < late.count; i++) {
		const msg &sent = late.items[i].msg;
		if (late.items[i].to_node_id != FIRST_ID + hub ||
		    sent.type != MSG_ATTEMPT_EVENTS)
			continue;
		for (uint32_t k = 0; k < sent.u.attempt_events.count; k++)
			released |= sent.u.attempt_events.items[k].kind ==
				ATTEMPT_ENDED &&
			    sent.u.attempt_events.items[k].attempt_id ==
				attempt_id;
	}
	EXPECT_TRUE(released);
	effects_finish(&late);
}

TEST(Hubs, AnEndpointThatThisDaemonCannotReachIsLeftOut)
{
	Fleet fleet(10, 6);
	dispatch_endpoint_info info = {};

	g_strlcpy(info.name, "s2", sizeof(info.name));
	info.pool_id = hash_name("service");
	info.slots = 1000;
	for (auto &core : fleet.cores)
		dispatch_put_endpoint(core.get(), &info, fleet.now_ms);
	fleet.run_for(500);
	dispatch_record_reached(fleet.cores[9].get(), hash_name("s1"), false,
	    fleet.now_ms);
	for (int i = 0; i < 20; i++) {
		uint64_t attempt_id = fleet.submit_request(9);
		dispatch_decision decision = {};
		ASSERT_TRUE(delegation_take(fleet.delegations[9].get(),
		    attempt_id, &decision));
		if (decision.start) {
			EXPECT_STREQ(decision.name, "s2");
		}
	}
}

/* The hub may be cut off from the store. */
TEST(Hubs, NothingIsSentToAnEndpointThatIsGoneThoughItsHubDoesNotKnow)
{
	Fleet fleet(10, 6);
	dispatch_endpoint_info info = {};

	g_strlcpy(info.name, "s2", sizeof(info.name));
	g_strlcpy(info.address, "127.0.0.1:2", sizeof(info.address));
	info.pool_id = hash_name("service");
	info.slots = 1000;
	for (auto &core : fleet.cores)
		dispatch_put_endpoint(core.get(), &info, fleet.now_ms);
	fleet.run_for(500);
	size_t hub = fleet.hub_of_endpoint(0), other = hub == 0 ? 1 : 0;
	dispatch_remove_endpoint(fleet.cores[other].get(), "s1");
	for (int i = 0; i < 20; i++) {
		uint64_t attempt_id = fleet.submit_request(other);
		dispatch_decision decision = {};
		ASSERT_TRUE(delegation_take(fleet.delegations[other].get(),
		    attempt_id, &decision));
		EXPECT_TRUE(decision.start);
		EXPECT_STREQ(decision.name, "s2");
	}
}

TEST(Hubs, EndpointsOfASmallPoolShareAHubAndThoseOfALargeOneAreSpread)
{
	for (size_t endpoints_count : { 3u, 20u, 140u, 600u }) {
		Fleet fleet(81, 9);
		std::map<uint64_t, size_t> counts;

		for (size_t e = 0; e < endpoints_count; e++) {
			dispatch_endpoint_info info = {};
			std::string name = "x" + std::to_string(e);
			g_strlcpy(info.name, name.c_str(), sizeof(info.name));
			info.pool_id = hash_name("engines");
			for (size_t i : { 0u, 80u })
				dispatch_put_endpoint(fleet.cores[i].get(),
				    &info, fleet.now_ms);
		}
		for (size_t i : { 0u, 80u })
			dispatch_assign_endpoints(fleet.cores[i].get());
		for (size_t e = 0; e < endpoints_count; e++) {
			uint64_t id = hash_name(
			    ("x" + std::to_string(e)).c_str());
			uint64_t hubs[2];
			for (size_t k = 0; k < 2; k++)
				hubs[k] = static_cast<dispatch_endpoint *>(
				    g_hash_table_lookup(fleet.cores[k * 80]
							    ->endpoints,
					&id))
					      ->hub_id;
			/* daemons agree without messages */
			EXPECT_EQ(hubs[0], hubs[1]);
			counts[hubs[0]]++;
		}
		if (endpoints_count <= 20) {
			EXPECT_EQ(counts.size(), 1u);
		}
		for (const auto &entry : counts)
			EXPECT_LE(entry.second,
			    std::max<size_t>(48, endpoints_count / 9 * 2))
			    << endpoints_count;
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
		 * 24 daemons */
		EXPECT_LE(max_sent, 10u * (9 + count / 24 + 30)) << count;
		EXPECT_GE(non_hubs_count,
		    count - std::max<size_t>(9, count / 24))
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
	for (size_t i = 0; i < 30 && stopped_hubs_count < 4; i++)
		if (fleet.cores[i]->is_hub) {
			fleet.running[i] = false;
			stopped_hubs_count++;
		}
	/* daemons may first choose another hub that is down */
	fleet.run_for(5000);
	for (size_t i = 0; i < 30; i++)
		if (fleet.running[i]) {
			EXPECT_LE(dispatch_peers_age_ms(fleet.cores[i].get(),
				      fleet.now_ms),
			    700u)
			    << i;
			EXPECT_GT(g_hash_table_size(fleet.cores[i]->peers), 0u)
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
