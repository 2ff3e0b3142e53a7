#include <gtest/gtest.h>

#include "members_net.h"

namespace
{

/* The owner of a pool must be replaced within 3 s after it crashes. */
constexpr uint64_t REMOVAL_MAX_MS = 3000;
/* Limit on the control traffic of one daemon: 17 KB a second. */
constexpr uint64_t TRAFFIC_MAX_BYTES_PER_S = 17000;

} // namespace

TEST(Members, JoinThroughSeedsReachesAllMembers)
{
	MembersNet net(8);

	EXPECT_GE(net.run_until([&] { return net.all_see_live(8); }, 3000), 0);
}

TEST(Members, RemovesACrashedMemberWithinTheLimit)
{
	for (size_t crashed_index = 0; crashed_index < 8; crashed_index++) {
		MembersNet net(8);
		ASSERT_GE(net.run_until([&] { return net.all_see_live(8); },
			      3000),
		    0);
		net.run_ms(1000 + 70 * crashed_index);
		net.kill(crashed_index);
		EXPECT_GE(net.run_until([&] { return net.all_see_live(7); },
			      REMOVAL_MAX_MS),
		    0)
		    << "crashed_index " << crashed_index;
	}
}

TEST(Members, KeepsAllMembersWhenSingleLinksAreCut)
{
	MembersNet net(8);

	net.run_ms(3000);
	net.is_link_cut = [](size_t from, size_t to) { return from + to == 3; };
	net.run_ms(20000);
	EXPECT_TRUE(net.all_see_live(8));
	for (const auto &node : net.nodes)
		EXPECT_EQ(node.down_count, 0u);
}

TEST(Members, KeepsAMemberThatPausesBriefly)
{
	MembersNet net(8);

	net.run_ms(3000);
	net.pause(5, true);
	net.run_ms(1000);
	net.pause(5, false);
	net.run_ms(5000);
	EXPECT_TRUE(net.all_see_live(8));
	for (const auto &node : net.nodes)
		EXPECT_EQ(node.down_count, 0u);
}

TEST(Members, RemovesAPausedMemberAndReadmitsIt)
{
	MembersNet net(8);

	net.run_ms(3000);
	net.pause(5, true);
	net.run_ms(REMOVAL_MAX_MS);
	EXPECT_TRUE(net.all_see_live(7));
	net.run_ms(10000);
	net.pause(5, false);
	EXPECT_GE(net.run_until([&] { return net.all_see_live(8); }, 5000), 0);
}

TEST(Members, MergesAHealedPartitionWithoutFurtherRemovals)
{
	MembersNet net(8);
	std::vector<uint64_t> down_counts;

	net.run_ms(3000);
	net.is_link_cut = [](size_t from, size_t to) {
		return (from < 4) != (to < 4);
	};
	net.run_ms(10000);
	for (size_t i = 0; i < 8; i++)
		EXPECT_EQ(net.live_count(i), 4u);
	for (const auto &node : net.nodes)
		down_counts.push_back(node.down_count);
	net.is_link_cut = [](size_t, size_t) { return false; };
	EXPECT_GE(net.run_until([&] { return net.all_see_live(8); }, 10000), 0);
	net.run_ms(10000);
	EXPECT_TRUE(net.all_see_live(8));
	for (size_t i = 0; i < 8; i++)
		EXPECT_EQ(net.nodes[i].down_count, down_counts[i]);
}

TEST(Members, RestartDiscardsTheStateOfTheEarlierProcess)
{
	MembersNet net(8);

	net.run_ms(3000);
	members_set_versions(&net.nodes[2].core, 7, 9);
	net.run_ms(3000);
	EXPECT_EQ(net.member_seen_by(6, 2)->routes_version, 7u);
	net.kill(2);
	net.start(2, 5000);
	EXPECT_GE(net.run_until(
		      [&] {
			      for (size_t i = 0; i < 8; i++)
				      if (net.member_seen_by(i, 2)
					      ->incarnation != 5000)
					      return false;
			      return net.all_see_live(8);
		      },
		      5000),
	    0);
	EXPECT_EQ(net.member_seen_by(6, 2)->routes_version, 0u);
	for (size_t i = 0; i < 8; i++)
		EXPECT_EQ(net.nodes[i].down_count, i == 2 ? 0u : 1u);
}

TEST(Members, ReadmitsARestartedMemberWhoseClockIsBehind)
{
	MembersNet net(8);

	net.run_ms(3000);
	net.kill(2);
	net.start(2, 10);
	EXPECT_GE(net.run_until(
		      [&] {
			      return net.nodes[2].core.config.self.incarnation >
				  1002 &&
				  net.all_see_live(8);
		      },
		      5000),
	    0);
	net.run_ms(5000);
	EXPECT_TRUE(net.all_see_live(8));
}

TEST(Members, AppliesLeavingAndShutdownAnnouncementsAtOnce)
{
	MembersNet net(8);

	net.run_ms(3000);
	members_leave(&net.nodes[4].core, net.effects_list());
	net.apply_effects(4);
	net.run_ms(5 * STEP_MS);
	EXPECT_TRUE(net.all_see_live(7));
	EXPECT_TRUE(member_is_up(net.member_seen_by(0, 4)));
	members_announce_shutdown(&net.nodes[4].core, net.effects_list());
	net.apply_effects(4);
	net.kill(4);
	net.run_ms(5 * STEP_MS);
	for (size_t i = 0; i < 8; i++)
		EXPECT_EQ(net.member_seen_by(i, 4)->state,
		    i == 4 ? net.member_seen_by(4, 4)->state : MEMBER_DOWN);
}

TEST(Members, RejectsAHeartbeatWithTheAddressOfAnotherMember)
{
	MembersNet net(3);
	msg message = {};

	net.run_ms(2000);
	message.type = MSG_HEARTBEAT;
	message.from_node_id = net.id(1);
	message.from_incarnation = 1001;
	gossip_make_update(&net.nodes[2].core.config.self,
	    &message.u.heartbeat.self);
	message.u.heartbeat.self.incarnation = 1001;
	EXPECT_FALSE(members_handle_message(&net.nodes[0].core, &message,
	    net.now_ms, net.effects_list()));
}

TEST(Members, RejectsSendersWithAnOldIncarnationOrUnknownId)
{
	MembersNet net(3);
	msg message = {};

	net.run_ms(2000);
	message.type = MSG_SLOT_REQUEST;
	message.from_node_id = net.id(1);
	message.from_incarnation = 1000;
	EXPECT_FALSE(members_verify_sender(&net.nodes[0].core, &message,
	    net.now_ms, net.effects_list()));
	message.from_incarnation = 1001;
	EXPECT_TRUE(members_verify_sender(&net.nodes[0].core, &message,
	    net.now_ms, net.effects_list()));
	message.from_node_id = 12345;
	EXPECT_FALSE(members_verify_sender(&net.nodes[0].core, &message,
	    net.now_ms, net.effects_list()));
}

TEST(Members, TrafficPerMemberIsIndependentOfTheFleetSize)
{
	std::vector<double> bytes_per_s;

	for (size_t count : { 8u, 64u, 370u }) {
		MembersNet net(count);
		net.connect_all();
		net.run_ms(1000);
		uint64_t before_bytes = net.sent_bytes();
		net.run_ms(3000);
		bytes_per_s.push_back(
		    (double)(net.sent_bytes() - before_bytes) / 3 /
		    (double)count);
		printf("members=%zu sent_bytes_per_s=%.0f\n", count,
		    bytes_per_s.back());
	}
	EXPECT_LT(bytes_per_s[2], TRAFFIC_MAX_BYTES_PER_S / 2);
	EXPECT_LT(bytes_per_s[2], bytes_per_s[0] * 1.25);
}

TEST(Members, RemovesACrashedMemberOfALargeFleetWithinTheLimit)
{
	constexpr size_t COUNT = 370;
	MembersNet net(COUNT);

	net.connect_all();
	net.run_ms(500);
	net.kill(100);
	int64_t elapsed_ms =
	    net.run_until([&] { return net.all_see_live(COUNT - 1); },
		REMOVAL_MAX_MS);
	printf("crash of 1 member of %zu: removed by all after %lld ms\n",
	    COUNT, (long long)elapsed_ms);
	EXPECT_GE(elapsed_ms, 0);
}

TEST(Members, LargeFleetSpreadsVersionsAndRemovesAFailedDomain)
{
	constexpr size_t COUNT = 370, DOMAINS = 4;
	MembersNet net(COUNT, DOMAINS);
	size_t remaining_count = 0;
	auto all_versions_known = [&] {
		for (size_t by = 0; by < COUNT; by += 37)
			for (size_t i = 0; i < COUNT; i++)
				if (net.member_seen_by(by, i)->routes_version !=
				    2)
					return false;
		return true;
	};

	net.connect_all();
	uint64_t before_bytes = net.sent_bytes();
	for (auto &node : net.nodes)
		members_set_versions(&node.core, 2, 1);
	int64_t elapsed_ms = net.run_until(all_versions_known, 20000);
	printf("versions of %zu members known to all after %lld ms, "
	       "%.0f bytes/s sent by each\n",
	    COUNT, (long long)elapsed_ms,
	    (double)(net.sent_bytes() - before_bytes) / COUNT * 1000 /
		(double)elapsed_ms);
	EXPECT_GE(elapsed_ms, 0);
	for (size_t i = 0; i < COUNT; i++)
		if (i % DOMAINS == 1)
			net.kill(i);
		else
			remaining_count++;
	before_bytes = net.sent_bytes();
	elapsed_ms =
	    net.run_until([&] { return net.all_see_live(remaining_count); },
		20000);
	printf("crash of a domain of %zu members: removed by all after %lld "
	       "ms, %.0f bytes/s sent by each\n",
	    COUNT - remaining_count, (long long)elapsed_ms,
	    (double)(net.sent_bytes() - before_bytes) /
		(double)remaining_count * 1000 / (double)elapsed_ms);
	EXPECT_GE(elapsed_ms, 0);
	for (size_t i = 0; i < COUNT; i++)
		EXPECT_EQ(net.nodes[i].down_count,
		    net.nodes[i].running ? COUNT - remaining_count : 0);
}

TEST(Members, ReplacesWatchersThatLoseThePlatform)
{
	constexpr size_t COUNT = 64;
	MembersNet net(COUNT);
	auto watchers = [&] {
		std::vector<size_t> list;
		for (size_t i = 0; i < COUNT; i++)
			if (members_is_watcher(&net.nodes[i].core))
				list.push_back(i);
		return list;
	};

	net.connect_all();
	std::vector<size_t> first_watchers = watchers();
	EXPECT_GE(first_watchers.size(), 4u);
	EXPECT_LE(first_watchers.size(), 5u);
	for (size_t i : first_watchers)
		members_set_platform_lost(&net.nodes[i].core, true);
	net.run_ms(5000);
	std::vector<size_t> second_watchers = watchers();
	EXPECT_GE(second_watchers.size(), 4u);
	EXPECT_LE(second_watchers.size(), 5u);
	for (size_t i : second_watchers)
		EXPECT_EQ(std::count(first_watchers.begin(),
			      first_watchers.end(), i),
		    0);
}

TEST(Members, ChoosesTwoWatchersInASingleFailureDomain)
{
	MembersNet net(8, 1);
	size_t count = 0;

	net.run_ms(5000);
	for (const auto &node : net.nodes)
		count += members_is_watcher(&node.core);
	EXPECT_EQ(count, 2u);
}
