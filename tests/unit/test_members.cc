#include <gtest/gtest.h>

#include "members_net.h"

namespace
{

/* A pool's owner is to be replaced within 3 s of its end. */
constexpr uint64_t REPLACE_MAX_MS = 3000;
/* A daemon's control traffic stays under 17 KB a second. */
constexpr uint64_t CONTROL_MAX_BYTES_PER_S = 17000;

} // namespace

TEST(Members, AllFindEachOtherThroughSeeds)
{
	MembersNet net(8);

	EXPECT_GE(net.until([&] { return net.all_see(8); }, 3000), 0);
}

TEST(Members, ACrashedMemberIsRemovedInTime)
{
	for (size_t crashed = 0; crashed < 8; crashed++) {
		MembersNet net(8);
		ASSERT_GE(net.until([&] { return net.all_see(8); }, 3000), 0);
		net.run_ms(1000 + 70 * crashed);
		net.kill(crashed);
		EXPECT_GE(net.until([&] { return net.all_see(7); },
			      REPLACE_MAX_MS),
		    0)
		    << "crashed " << crashed;
	}
}

TEST(Members, ACutLinkRemovesNobody)
{
	MembersNet net(8);

	net.run_ms(3000);
	net.cut = [](size_t from, size_t to) { return from + to == 3; };
	net.run_ms(20000);
	EXPECT_TRUE(net.all_see(8));
	for (const auto &node : net.nodes)
		EXPECT_EQ(node.down_count, 0u);
}

TEST(Members, AShortPauseRemovesNobody)
{
	MembersNet net(8);

	net.run_ms(3000);
	net.pause(5, true);
	net.run_ms(1000);
	net.pause(5, false);
	net.run_ms(5000);
	EXPECT_TRUE(net.all_see(8));
	for (const auto &node : net.nodes)
		EXPECT_EQ(node.down_count, 0u);
}

TEST(Members, APausedMemberIsRemovedAndComesBack)
{
	MembersNet net(8);

	net.run_ms(3000);
	net.pause(5, true);
	net.run_ms(REPLACE_MAX_MS);
	EXPECT_TRUE(net.all_see(7));
	net.run_ms(10000);
	net.pause(5, false);
	EXPECT_GE(net.until([&] { return net.all_see(8); }, 5000), 0);
}

TEST(Members, AHealedPartitionJoinsWithoutFurtherLoss)
{
	MembersNet net(8);
	std::vector<uint64_t> down_counts;

	net.run_ms(3000);
	net.cut = [](size_t from, size_t to) { return (from < 4) != (to < 4); };
	net.run_ms(10000);
	for (size_t i = 0; i < 8; i++)
		EXPECT_EQ(net.live_count(i), 4u);
	for (const auto &node : net.nodes)
		down_counts.push_back(node.down_count);
	net.cut = [](size_t, size_t) { return false; };
	EXPECT_GE(net.until([&] { return net.all_see(8); }, 10000), 0);
	net.run_ms(10000);
	EXPECT_TRUE(net.all_see(8));
	for (size_t i = 0; i < 8; i++)
		EXPECT_EQ(net.nodes[i].down_count, down_counts[i]);
}

TEST(Members, ARestartDropsTheEarlierProcess)
{
	MembersNet net(8);

	net.run_ms(3000);
	members_set_versions(&net.nodes[2].core, 7, 9);
	net.run_ms(3000);
	EXPECT_EQ(net.seen(6, 2)->routes_version, 7u);
	net.kill(2);
	net.start(2, 5000);
	EXPECT_GE(net.until(
		      [&] {
			      for (size_t i = 0; i < 8; i++)
				      if (net.seen(i, 2)->incarnation != 5000)
					      return false;
			      return net.all_see(8);
		      },
		      5000),
	    0);
	EXPECT_EQ(net.seen(6, 2)->routes_version, 0u);
	for (size_t i = 0; i < 8; i++)
		EXPECT_EQ(net.nodes[i].down_count, i == 2 ? 0u : 1u);
}

TEST(Members, ARestartWithItsClockBehindIsTakenIn)
{
	MembersNet net(8);

	net.run_ms(3000);
	net.kill(2);
	net.start(2, 10);
	EXPECT_GE(net.until(
		      [&] {
			      return net.nodes[2].core.config.self.incarnation >
				  1002 &&
				  net.all_see(8);
		      },
		      5000),
	    0);
	net.run_ms(5000);
	EXPECT_TRUE(net.all_see(8));
}

TEST(Members, ALeaveIsTakenAtOnceAndAnEndTakesNoSuspicion)
{
	MembersNet net(8);

	net.run_ms(3000);
	members_leave(&net.nodes[4].core, net.list());
	net.carry_out(4);
	net.run_ms(5 * STEP_MS);
	EXPECT_TRUE(net.all_see(7));
	EXPECT_TRUE(member_is_up(net.seen(0, 4)));
	members_announce_shutdown(&net.nodes[4].core, net.list());
	net.carry_out(4);
	net.kill(4);
	net.run_ms(5 * STEP_MS);
	for (size_t i = 0; i < 8; i++)
		EXPECT_EQ(net.seen(i, 4)->state,
		    i == 4 ? net.seen(4, 4)->state : MEMBER_DOWN);
}

TEST(Members, ALiarAboutItsAddressIsRejected)
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
	    net.now_ms, net.list()));
}

TEST(Members, MessagesOfAnEarlierProcessAreDropped)
{
	MembersNet net(3);
	msg message = {};

	net.run_ms(2000);
	message.type = MSG_SLOT_REQUEST;
	message.from_node_id = net.id(1);
	message.from_incarnation = 1000;
	EXPECT_FALSE(members_verify_sender(&net.nodes[0].core, &message,
	    net.now_ms, net.list()));
	message.from_incarnation = 1001;
	EXPECT_TRUE(members_verify_sender(&net.nodes[0].core, &message,
	    net.now_ms, net.list()));
	message.from_node_id = 12345;
	EXPECT_FALSE(members_verify_sender(&net.nodes[0].core, &message,
	    net.now_ms, net.list()));
}

TEST(Members, ControlBytesStayConstantAsTheFleetGrows)
{
	std::vector<double> bytes_per_s;

	for (size_t count : { 8u, 64u, 370u }) {
		MembersNet net(count);
		net.introduce_all();
		net.run_ms(1000);
		uint64_t before_bytes = net.sent_bytes();
		net.run_ms(3000);
		bytes_per_s.push_back(
		    (double)(net.sent_bytes() - before_bytes) / 3 /
		    (double)count);
		printf("members=%zu sent_bytes_per_s=%.0f\n", count,
		    bytes_per_s.back());
	}
	EXPECT_LT(bytes_per_s[2], CONTROL_MAX_BYTES_PER_S / 2);
	EXPECT_LT(bytes_per_s[2], bytes_per_s[0] * 1.25);
}

TEST(Members, ACrashInALargeFleetIsSeenInTime)
{
	constexpr size_t COUNT = 370;
	MembersNet net(COUNT);

	net.introduce_all();
	net.run_ms(500);
	net.kill(100);
	int64_t took_ms = net.until([&] { return net.all_see(COUNT - 1); },
	    REPLACE_MAX_MS);
	printf("one of %zu lost: removed everywhere after %lld ms\n", COUNT,
	    (long long)took_ms);
	EXPECT_GE(took_ms, 0);
}

TEST(Members, ALargeFleetConfirmsVersionsAndLosesADomain)
{
	constexpr size_t COUNT = 370, DOMAINS = 4;
	MembersNet net(COUNT, DOMAINS);
	size_t left = 0;
	auto confirmed = [&] {
		for (size_t by = 0; by < COUNT; by += 37)
			for (size_t i = 0; i < COUNT; i++)
				if (net.seen(by, i)->routes_version != 2)
					return false;
		return true;
	};

	net.introduce_all();
	uint64_t before_bytes = net.sent_bytes();
	for (auto &node : net.nodes)
		members_set_versions(&node.core, 2, 1);
	int64_t took_ms = net.until(confirmed, 20000);
	printf("confirmations of %zu after %lld ms, %.0f bytes/s sent by "
	       "each\n",
	    COUNT, (long long)took_ms,
	    (double)(net.sent_bytes() - before_bytes) / COUNT * 1000 /
		(double)took_ms);
	EXPECT_GE(took_ms, 0);
	for (size_t i = 0; i < COUNT; i++)
		if (i % DOMAINS == 1)
			net.kill(i);
		else
			left++;
	before_bytes = net.sent_bytes();
	took_ms = net.until([&] { return net.all_see(left); }, 20000);
	printf("domain of %zu lost: removed everywhere after %lld ms, %.0f "
	       "bytes/s sent by each\n",
	    COUNT - left, (long long)took_ms,
	    (double)(net.sent_bytes() - before_bytes) / (double)left * 1000 /
		(double)took_ms);
	EXPECT_GE(took_ms, 0);
	for (size_t i = 0; i < COUNT; i++)
		EXPECT_EQ(net.nodes[i].down_count,
		    net.nodes[i].running ? COUNT - left : 0);
}

TEST(Members, FewWatchAndOthersStepInForThoseCutOff)
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

	net.introduce_all();
	std::vector<size_t> first = watchers();
	EXPECT_GE(first.size(), 4u);
	EXPECT_LE(first.size(), 5u);
	for (size_t i : first)
		members_set_platform_lost(&net.nodes[i].core, true);
	net.run_ms(5000);
	std::vector<size_t> second = watchers();
	EXPECT_GE(second.size(), 4u);
	EXPECT_LE(second.size(), 5u);
	for (size_t i : second)
		EXPECT_EQ(std::count(first.begin(), first.end(), i), 0);
}

TEST(Members, AFleetOfOneDomainHasTwoWatchers)
{
	MembersNet net(8, 1);
	size_t count = 0;

	net.run_ms(5000);
	for (const auto &node : net.nodes)
		count += members_is_watcher(&node.core);
	EXPECT_EQ(count, 2u);
}
