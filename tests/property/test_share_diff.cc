// The chosen order and policy beside their naive rivals, over the same
// generated requests.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "share_world.h"

namespace
{

struct Wish {
	uint32_t node, account, tokens, wait_ms;
};

std::ostream &
operator<<(std::ostream &out, const Wish &wish)
{
	return out << "{" << wish.node << ", " << wish.account << ", "
		   << wish.tokens << ", " << wish.wait_ms << "}";
}

std::vector<Wish>
any_wishes(const WorldConfig &config)
{
	auto wish = rc::gen::construct<Wish>(rc::gen::inRange<uint32_t>(0,
						 config.node_count),
	    rc::gen::inRange<uint32_t>(0, config.account_count),
	    rc::gen::inRange<uint32_t>(1, config.max_tokens + 1),
	    rc::gen::inRange<uint32_t>(0, 120));

	return *rc::gen::container<std::vector<Wish>>(wish);
}

void
play(World &world, const std::vector<Wish> &wishes)
{
	for (const Wish &wish : wishes) {
		world.submit(wish.node, wish.account, wish.tokens);
		world.advance(wish.wait_ms);
	}
	RC_ASSERT(world.drains(120000));
	RC_ASSERT(world.fault == "");
}

// Requests in the order of their starts, by their place in the input.
std::vector<size_t>
starts(const World &world)
{
	std::vector<size_t> order;

	for (size_t i = 0; i < world.requests.size(); i++)
		order.push_back(i);
	std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
		return world.requests[a].started_ms <
		    world.requests[b].started_ms;
	});
	return order;
}

} // namespace

RC_GTEST_PROP(ShareDiff, OneAccountIsServedAsFirstComeFirstServed, ())
{
	WorldConfig vtc_config;

	vtc_config.node_count = 1;
	vtc_config.account_count = 1;
	WorldConfig fifo_config = vtc_config;
	fifo_config.fair = &fair_fifo;
	auto wishes = any_wishes(vtc_config);
	World vtc(vtc_config), fifo(fifo_config);
	play(vtc, wishes);
	play(fifo, wishes);
	RC_ASSERT(starts(vtc) == starts(fifo));
	for (size_t i = 0; i < wishes.size(); i++)
		RC_ASSERT(
		    vtc.requests[i].started_ms == fifo.requests[i].started_ms);
}

RC_GTEST_PROP(ShareDiff, WithSlotsForAllEveryPolicyServesTheSame, ())
{
	WorldConfig fleet_config;

	fleet_config.slots = 200;
	WorldConfig naive_config = fleet_config;
	naive_config.policy = &entry_naive;
	auto wishes = any_wishes(fleet_config);
	World fleet(fleet_config), naive(naive_config);
	play(fleet, wishes);
	play(naive, wishes);
	RC_ASSERT(fleet.served == naive.served);
	RC_ASSERT(fleet.started == naive.started);
	for (const Request &request : fleet.requests)
		RC_ASSERT(request.started_ms <= request.submitted_ms + 20);
}

RC_GTEST_PROP(ShareDiff, EveryOrderServesAllWorkAndKeepsToTheSlots, ())
{
	WorldConfig vtc_config;
	WorldConfig fifo_config = vtc_config;

	fifo_config.fair = &fair_fifo;
	auto wishes = any_wishes(vtc_config);
	World vtc(vtc_config), fifo(fifo_config);
	vtc.is_strict = fifo.is_strict = true;
	play(vtc, wishes);
	play(fifo, wishes);
	RC_ASSERT(vtc.served == fifo.served);
}

// A flood by one account, first of all to arrive: first-come-first-served
// passes the bound that the virtual token counter keeps.
TEST(ShareDiff, FloodKeepsWithinTheBoundWhereTheNaiveOrderDoesNot)
{
	WorldConfig config;
	const fair_gap gap = { 6, 20, 1, 0 };

	config.account_count = 2;
	config.max_tokens = 20;
	config.waiting_max = 1000;
	config.seed = 7;
	for (const fair_ops *order : { &fair_vtc, &fair_fifo }) {
		config.fair = order;
		World world(config);
		for (int i = 0; i < 400; i++)
			world.submit(0, 0, 20);
		for (int i = 0; i < 100; i++)
			world.submit(1, 1, 20);
		world.advance(8000);
		EXPECT_EQ(world.fault, "");
		if (order == &fair_vtc)
			EXPECT_LE(world.gap_max, fair_gap_bound_tokens(&gap));
		else
			EXPECT_GT(world.gap_max, fair_gap_bound_tokens(&gap));
	}
}

// Short requests of a small account beside long ones that hold every slot.
TEST(ShareDiff, ExtraSlotsShortenTheWaitOfAnAccountBelowItsShare)
{
	uint64_t wait_ms[2] = { 0, 0 };

	for (uint32_t extra_slots : { 0u, 1u }) {
		WorldConfig config;
		config.account_count = 2;
		config.max_tokens = 400;
		config.extra_slots = extra_slots;
		World world(config);
		for (int i = 0; i < 30; i++)
			world.submit(0, 0, 400);
		world.advance(500);
		for (int i = 0; i < 20; i++) {
			world.submit(1, 1, 5);
			world.advance(300);
		}
		for (const Request &request : world.requests)
			if (request.account == 1 && request.started_ms != 0)
				wait_ms[extra_slots] =
				    std::max(wait_ms[extra_slots],
					request.started_ms -
					    request.submitted_ms);
		EXPECT_EQ(world.fault, "");
	}
	EXPECT_GT(wait_ms[0], 1000u);
	EXPECT_LE(wait_ms[1], 100u);
}
