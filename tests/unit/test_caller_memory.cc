#include <gtest/gtest.h>

#include <memory>
#include <vector>

extern "C" {
#include "core/caller_memory.h"
}

namespace
{

constexpr uint64_t KB = 1024, MB = 1024 * KB;
constexpr uint64_t CONNECTION_BYTES = 48 * KB, MAX_BYTES = 40 * MB;
constexpr uint32_t CONNECTIONS_MAX_COUNT = 800;

class CallerMemory : public ::testing::Test
{
      protected:
	CallerMemory()
	{
		caller_memory_init(&memory, MAX_BYTES, CONNECTIONS_MAX_COUNT);
	}

	~CallerMemory() override
	{
		caller_memory_finish(&memory);
	}

	/** A connection that makes others give way, or itself. */
	caller_holder *connect()
	{
		holders.push_back(std::make_unique<caller_holder>());
		caller_holder *holder = holders.back().get();
		caller_memory_join(&memory, holder, now_ms);
		caller_memory_set(&memory, holder, CALLER_MEMORY_CONNECTION,
		    CONNECTION_BYTES);
		make_room();
		return holder;
	}

	void hold(caller_holder *holder, caller_memory_part part,
	    uint64_t bytes)
	{
		caller_memory_set(&memory, holder, part, bytes);
		make_room();
	}

	void make_room()
	{
		caller_holder *victim;

		while ((victim = caller_memory_victim(&memory, now_ms)) !=
		    nullptr) {
			caller_memory_leave(&memory, victim);
			evicted.push_back(victim);
		}
	}

	bool was_evicted(const caller_holder *holder) const
	{
		for (const caller_holder *item : evicted)
			if (item == holder)
				return true;
		return false;
	}

	caller_memory memory;
	std::vector<std::unique_ptr<caller_holder>> holders;
	std::vector<caller_holder *> evicted;
	uint64_t now_ms = 1000;
};

TEST_F(CallerMemory, CountsAllParts)
{
	caller_holder *first = connect(), *second = connect();

	hold(first, CALLER_MEMORY_BODY, 3 * MB);
	hold(second, CALLER_MEMORY_RESPONSE, 2 * MB);
	hold(first, CALLER_MEMORY_BODY, 1 * MB);
	EXPECT_EQ(caller_memory_used_bytes(&memory),
	    2 * CONNECTION_BYTES + 3 * MB);
	caller_memory_leave(&memory, first);
	EXPECT_EQ(caller_memory_used_bytes(&memory), CONNECTION_BYTES + 2 * MB);
	caller_memory_leave(&memory, second);
	EXPECT_EQ(caller_memory_used_bytes(&memory), 0u);
}

/* A crowd of bodies that stop short of their end, then ordinary requests. */
TEST_F(CallerMemory, OrdinaryRequestsFindRoomBesideBodiesThatDoNotEnd)
{
	for (int i = 0; i < 64; i++) {
		caller_holder *holder = connect();
		for (uint64_t bytes = 0; bytes < 4 * MB && !was_evicted(holder);
		     bytes += 256 * KB) {
			now_ms += 5;
			hold(holder, CALLER_MEMORY_BODY, bytes);
		}
		EXPECT_LE(caller_memory_used_bytes(&memory), MAX_BYTES);
	}
	now_ms += 500;
	size_t crowd_evicted = evicted.size();
	for (int i = 0; i < 1000; i++) {
		now_ms++;
		caller_holder *ordinary = connect();
		hold(ordinary, CALLER_MEMORY_BODY, 72 * KB);
		EXPECT_FALSE(was_evicted(ordinary)) << i;
		caller_memory_serve(ordinary);
		if (i >= 10)
			caller_memory_leave(&memory,
			    holders[holders.size() - 11].get());
	}
	EXPECT_GT(crowd_evicted, 50u);
	EXPECT_LE(caller_memory_used_bytes(&memory), MAX_BYTES);
}

/* Heads without end hold a connection each. */
TEST_F(CallerMemory, OrdinaryRequestsFindRoomBesideHeadsThatDoNotEnd)
{
	for (int i = 0; i < 2000; i++) {
		now_ms++;
		connect();
	}
	EXPECT_LE(memory.holders->len, CONNECTIONS_MAX_COUNT);
	caller_holder *ordinary = connect();
	now_ms += 3;
	hold(ordinary, CALLER_MEMORY_BODY, 72 * KB);
	EXPECT_FALSE(was_evicted(ordinary));
}

TEST_F(CallerMemory, WhoWaitsForTheDaemonDoesNotGiveWay)
{
	caller_holder *served = connect(), *slow = connect();

	hold(served, CALLER_MEMORY_BODY, 30 * MB);
	caller_memory_serve(served);
	now_ms += 5000;
	hold(slow, CALLER_MEMORY_BODY, 20 * MB);
	EXPECT_FALSE(was_evicted(served));
	EXPECT_TRUE(was_evicted(slow));
}

TEST_F(CallerMemory, IsOverWithoutAVictimIfAllWaitForTheDaemon)
{
	caller_holder *first = connect(), *second = connect();

	caller_memory_serve(first);
	caller_memory_serve(second);
	hold(first, CALLER_MEMORY_BODY, 30 * MB);
	hold(second, CALLER_MEMORY_RESPONSE, 20 * MB);
	EXPECT_TRUE(caller_memory_is_over(&memory));
	EXPECT_TRUE(evicted.empty());
}

/* The largest body, a few bytes each second, on a calm instance. */
TEST_F(CallerMemory, ASlowCallerWithinTheLimitsIsLeftAloneInCalm)
{
	caller_holder *slow = connect();

	for (uint64_t bytes = 0; bytes <= 4 * MB; bytes += 4 * KB) {
		now_ms += 10000;
		hold(slow, CALLER_MEMORY_BODY, bytes);
		caller_holder *other = connect();
		hold(other, CALLER_MEMORY_BODY, 72 * KB);
		caller_memory_leave(&memory, other);
	}
	EXPECT_FALSE(was_evicted(slow));
}

TEST_F(CallerMemory, UnreadResponsesGiveWayToo)
{
	std::vector<caller_holder *> unread;

	for (int i = 0; i < 30; i++) {
		unread.push_back(connect());
		caller_memory_serve(unread.back());
		hold(unread.back(), CALLER_MEMORY_RESPONSE, 1 * MB);
		caller_memory_wait(unread.back(), now_ms);
	}
	now_ms += 2000;
	caller_holder *body = connect();
	hold(body, CALLER_MEMORY_BODY, 12 * MB);
	EXPECT_FALSE(was_evicted(body));
	EXPECT_TRUE(was_evicted(unread.front()));
}

} // namespace
