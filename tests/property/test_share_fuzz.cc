#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "share_world.h"

namespace
{

enum Kind {
	SUBMIT,
	BURST,
	WAIT,
	CANCEL,
	ENDPOINT,
	FAILURES,
	NOISE,
	CRASH,
	PAUSE,
	PARTITION,
	KIND_COUNT
};

struct Action {
	Kind kind;
	uint32_t a, b, c;
};

std::ostream &
operator<<(std::ostream &out, const Action &action)
{
	static const char *const names[] = { "submit", "burst", "wait",
		"cancel", "endpoint", "failures", "noise", "crash", "pause",
		"partition" };

	return out << names[action.kind] << "(" << action.a << ", " << action.b
		   << ", " << action.c << ")";
}

// Any action of a kind before end.
rc::Gen<Action>
any_action(Kind end)
{
	auto kind = rc::gen::weightedElement<Kind>({ { 8, SUBMIT },
	    { 8, BURST }, { 8, WAIT }, { 3, CANCEL }, { 1, ENDPOINT },
	    { 1, FAILURES }, { end > NOISE ? 2 : 0, NOISE },
	    { end > CRASH ? 1 : 0, CRASH }, { end > PAUSE ? 1 : 0, PAUSE },
	    { end > PARTITION ? 1 : 0, PARTITION } });
	auto number = rc::gen::inRange<uint32_t>(0, 1000);

	return rc::gen::construct<Action>(kind, number, number, number);
}

void
perform(World &world, const WorldConfig &config, const Action &action)
{
	uint32_t node = action.a % config.node_count;
	uint32_t account = action.b % config.account_count;

	switch (action.kind) {
	case SUBMIT:
		world.submit(node, account, 1 + action.c % config.max_tokens);
		break;
	case BURST:
		for (uint32_t i = 0; i < 1 + action.c % 24; i++)
			world.submit(node, account,
			    1 + (action.c * (i + 1)) % config.max_tokens);
		break;
	case WAIT:
		world.advance(10 + action.c * 2);
		break;
	case CANCEL:
		world.cancel(action.c);
		break;
	case NOISE:
		world.set_noise(action.a % 30, action.b % 30, action.c % 300);
		break;
	case CRASH:
		world.crash(node);
		break;
	case PAUSE:
		world.pause(node, 100 + action.c * 4);
		break;
	case PARTITION:
		world.partition(action.a % (1u << config.node_count),
		    100 + action.c * 4);
		break;
	case ENDPOINT:
		world.set_endpoint(action.a % config.endpoint_count,
		    action.b % 3 != 0, action.b % 3 == 1);
		break;
	case FAILURES:
		world.fail_next(action.c % 8);
		break;
	case KIND_COUNT:
		break;
	}
}

struct Case {
	std::vector<Action> actions;
	uint64_t seed;
	uint32_t extra_slots, refill_to;
	bool is_strict;
};

// Performs the actions, then ends all faults and lets the work drain.
// Returns the first violation, or an empty text.
std::string
replay(const Case &test)
{
	WorldConfig config;

	config.seed = test.seed;
	config.extra_slots = test.extra_slots;
	World world(config);
	world.refill_to = test.refill_to;
	world.is_strict = test.is_strict;
	for (const Action &action : test.actions) {
		perform(world, config, action);
		if (!world.fault.empty())
			return world.fault;
	}
	world.calm();
	world.advance(12000);
	world.refill_to = 0;
	if (world.fault.empty() && !world.drains(60000))
		return "a request was forgotten";
	return world.fault;
}

void
run(Kind end, uint32_t refill_to)
{
	auto actions = *rc::gen::container<std::vector<Action>>(
	    any_action(end));
	auto seed = *rc::gen::arbitrary<uint64_t>();
	auto extra_slots = *rc::gen::inRange<uint32_t>(0, 2);
	std::string fault = replay(
	    { actions, seed, extra_slots, refill_to, end <= CRASH });

	if (!fault.empty())
		RC_FAIL(fault);
}

} // namespace

RC_GTEST_PROP(ShareFuzz, HoldsWithoutFaults, ())
{
	run(NOISE, 0);
}

RC_GTEST_PROP(ShareFuzz, HoldsWithLostDoubledAndCrossedMessages, ())
{
	run(CRASH, 0);
}

RC_GTEST_PROP(ShareFuzz, HoldsThroughAllFaults, ())
{
	run(KIND_COUNT, 0);
}

RC_GTEST_PROP(ShareFuzz, HoldsUnderLoadWithoutFaults, ())
{
	run(NOISE, 4);
}

RC_GTEST_PROP(ShareFuzz, HoldsUnderLoadWithCrossedMessages, ())
{
	run(CRASH, 4);
}

RC_GTEST_PROP(ShareFuzz, HoldsUnderLoadThroughAllFaults, ())
{
	run(KIND_COUNT, 4);
}

// Found by HoldsUnderLoadThroughAllFaults, seed 1: the daemon woke and started
// work by tables that had changed during its pause.
TEST(ShareCases, DaemonThatWakesUsesNoOldTables)
{
	EXPECT_EQ(replay({ { { WAIT, 0, 0, 16 }, { PAUSE, 0, 0, 726 },
			       { ENDPOINT, 16, 0, 0 }, { WAIT, 0, 0, 211 },
			       { WAIT, 0, 0, 691 }, { WAIT, 0, 0, 576 } },
		      24710, 0, 4, false }),
	    "");
}

// Found by HoldsUnderLoadWithoutFaults, seed 9: a grant that a daemon with
// newer tables gave back doubled the ejection of the endpoint.
TEST(ShareCases, GrantGivenBackDoesNotProlongAnEjection)
{
	EXPECT_EQ(replay({ { { FAILURES, 0, 0, 3 }, { FAILURES, 0, 0, 103 },
			       { BURST, 341, 0, 625 }, { SUBMIT, 0, 0, 144 },
			       { WAIT, 0, 0, 511 }, { SUBMIT, 0, 0, 238 },
			       { ENDPOINT, 160, 82, 0 }, { WAIT, 0, 0, 696 },
			       { WAIT, 0, 0, 521 }, { WAIT, 0, 0, 481 },
			       { WAIT, 0, 0, 581 } },
		      1633685563976439, 0, 4, true }),
	    "");
}
