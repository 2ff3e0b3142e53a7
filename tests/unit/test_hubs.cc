#include "hubs_fleet.h"

#include <map>
#include <set>

using namespace hubs_tests;

namespace
{

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

	fleet.add_second_endpoint();
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

/** Names of the endpoints that 20 requests at a daemon are sent to. */
std::set<std::string>
endpoints_used(Fleet &fleet, size_t daemon)
{
	std::set<std::string> names;

	for (int i = 0; i < 20; i++) {
		uint64_t attempt_id = fleet.submit_request(daemon);
		dispatch_decision decision = {};
		EXPECT_TRUE(delegation_take(fleet.delegations[daemon].get(),
		    attempt_id, &decision));
		EXPECT_TRUE(decision.start);
		names.insert(decision.name);
	}
	return names;
}

/* The hub may be cut off from the store. */
TEST(Hubs, NothingIsSentToAnEndpointThatIsGoneThoughItsHubDoesNotKnow)
{
	Fleet fleet(10, 6);

	fleet.add_second_endpoint();
	fleet.run_for(500);
	size_t hub = fleet.hub_of_endpoint(0), other = hub == 0 ? 1 : 0;
	dispatch_remove_endpoint(fleet.cores[other].get(), "s1");
	EXPECT_EQ(endpoints_used(fleet, other), std::set<std::string>{ "s2" });
}

/** The same at a daemon that starts with a list without s1, which its hub has. */
std::set<std::string>
endpoints_used_after_restart(uint64_t list_version)
{
	Fleet fleet(10, 6);

	fleet.add_second_endpoint();
	fleet.run_for(500);
	size_t hub = fleet.hub_of_endpoint(0), other = hub == 0 ? 1 : 0;
	fleet.restart_without_first_endpoint(other, list_version);
	return endpoints_used(fleet, other);
}

TEST(Hubs, NothingIsSentToAnEndpointThatWentBeforeTheDaemonStarted)
{
	EXPECT_EQ(endpoints_used_after_restart(ENTRY_REVISION + 1),
	    std::set<std::string>{ "s2" });
}

TEST(Hubs, AnEndpointThatOnlyItsHubHasDiscoveredYetIsUsed)
{
	EXPECT_EQ(endpoints_used_after_restart(ENTRY_REVISION - 1).count("s1"),
	    1u);
}

TEST(Hubs, ARequestThatAHubIsAskedAgainForIsCountedOnceForItsAccount)
{
	Fleet fleet(10, 6, true);

	fleet.add_second_endpoint();
	fleet.run_for(500);
	size_t hub = fleet.hub_of_endpoint(0), other = hub == 0 ? 1 : 0;
	dispatch_remove_endpoint(fleet.cores[other].get(), "s1");
	for (uint32_t i = 1; i <= 4; i++) {
		fleet.submit_request(other);
		EXPECT_EQ(fleet.account(hub)->asked_tokens, i * PROMPT_TOKENS);
		EXPECT_EQ(fleet.account(hub)->served_tokens, i * PROMPT_TOKENS);
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
	const uint64_t versions[RESOURCE_KIND_COUNT] = { 5, 77, 9 };
	for (int kind = 0; kind < RESOURCE_KIND_COUNT; kind++)
		dispatch_set_freshness(fleet.cores[0].get(),
		    (resource_kind)kind, versions[kind], fleet.now_ms);
	uint64_t confirmed_ms = fleet.now_ms;
	fleet.run_for(1000);
	for (int kind = 0; kind < RESOURCE_KIND_COUNT; kind++)
		for (size_t i = 1; i < 30; i++) {
			const dispatch_freshness &freshness =
			    fleet.freshness[kind][i];
			uint64_t as_of_ms = freshness.as_of_ms - i * 100000;
			EXPECT_EQ(freshness.version, versions[kind]) << i;
			EXPECT_LE(as_of_ms, confirmed_ms) << i;
			EXPECT_GE(as_of_ms + 600, confirmed_ms) << i;
		}
}

/* review/8: a hub that is cut off from the store told its followers of its own copy
 * alone, though the other hubs had told it of a newer version. */
TEST(Hubs, AHubWithAnOlderConfigurationNamesTheNewestThatItHasHeardOf)
{
	constexpr uint64_t OLDER = 5, NEWER = 6;
	constexpr size_t COUNT = 30;
	Fleet fleet(COUNT, 0);
	auto freshness_of = [&](size_t i) {
		return fleet.freshness[RESOURCE_CONFIGURATION][i];
	};
	size_t cut = 0;

	fleet.keeps_own_copies = true;
	fleet.run_for(500);
	while (!fleet.cores[cut]->is_hub)
		cut++;
	for (size_t i = 0; i < COUNT; i++)
		dispatch_set_freshness(fleet.cores[i].get(),
		    RESOURCE_CONFIGURATION,
		    fleet.cores[i]->is_hub && i != cut ? NEWER : OLDER,
		    fleet.now_ms + i * 100000);
	uint64_t newer_ms = fleet.now_ms;
	fleet.run_for(1000);
	for (size_t i = 0; i < COUNT; i++) {
		if (fleet.cores[i]->is_hub)
			continue;
		EXPECT_EQ(freshness_of(i).version, NEWER) << i;
		/* what a hub has only heard of confirms nothing */
		if (freshness_of(i).as_of_ms != 0) {
			EXPECT_LE(freshness_of(i).as_of_ms - i * 100000,
			    newer_ms)
			    << i;
		}
	}
}

/** Daemons 1 and 2 of a fleet, seen from a process of daemon 1. */
class EchoingPeer
{
      public:
	explicit EchoingPeer(uint64_t incarnation)
	{
		dispatch_config config = {};
		dispatch_daemon daemons[] = { { 1, 0, false },
			{ 2, 0, false } };

		config.node_id = 1;
		config.incarnation = incarnation;
		config.report_period_ms = 100;
		dispatch_init(&core, &config);
		dispatch_set_daemons(&core, daemons, 2);
		effects_init(&effects);
	}

	~EchoingPeer()
	{
		effects_finish(&effects);
		dispatch_finish(&core);
	}

	EchoingPeer(const EchoingPeer &) = delete;
	EchoingPeer &operator=(const EchoingPeer &) = delete;

	/** @return the stamp of the report that daemon 1 sends */
	uint64_t send_at(uint64_t clock_ms)
	{
		uint64_t stamp = 0;

		dispatch_tick(&core, clock_ms, clock_ms, &effects);
		for (size_t i = 0; i < effects.count; i++)
			if (effects.items[i].type == EFFECT_SEND &&
			    effects.items[i].msg.type == MSG_REPORT)
				stamp = effects.items[i].msg.u.report.stamp;
		effects_clear(&effects);
		return stamp;
	}

	/** @return when version 3 was the newest, by a report of daemon 2 that
	 * confirmed it age_ms before */
	uint64_t confirmed_by(uint64_t echo, uint32_t age_ms)
	{
		dispatch_freshness freshness[RESOURCE_KIND_COUNT];
		msg report = {};

		report.type = MSG_REPORT;
		report.from_node_id = 2;
		report.u.report.echo = echo;
		report.u.report.freshness[RESOURCE_CONFIGURATION] = { 3,
			age_ms };
		dispatch_handle_report(&core, &report, core.stamp_ms,
		    freshness);
		return freshness[RESOURCE_CONFIGURATION].as_of_ms;
	}

	struct dispatch core;
	struct effects effects;
};

/* review/1: after a loss of power the clock begins again. */
TEST(Hubs, AnEchoOfAnEarlierProcessConfirmsNothing)
{
	EchoingPeer earlier(1), later(2);
	uint64_t stamp = earlier.send_at(50000);

	EXPECT_EQ(earlier.confirmed_by(stamp, 100), 49900u);
	later.send_at(1000);
	EXPECT_EQ(later.confirmed_by(stamp, 100), 0u);
	/* also once the new clock has passed the moment */
	uint64_t own_stamp = later.send_at(60000);
	EXPECT_EQ(later.confirmed_by(stamp, 100), 0u);
	EXPECT_EQ(later.confirmed_by(own_stamp, 100), 59900u);
	EXPECT_EQ(later.confirmed_by(own_stamp + 1000, 100), 0u);
	EXPECT_EQ(later.confirmed_by(0, 100), 0u);
}

} // namespace
