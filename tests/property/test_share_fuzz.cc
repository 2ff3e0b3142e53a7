#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "share_simulation.h"

namespace
{

enum ActionKind {
	SUBMIT,
	BURST,
	WAIT,
	CANCEL,
	SET_ENDPOINT,
	ENDPOINT_FAILURES,
	NETWORK_FAULTS,
	CRASH,
	PAUSE,
	PARTITION,
	DROP_LINK,
	SUSPECT,
	KIND_COUNT
};

struct Action {
	ActionKind kind;
	uint32_t a, b, c;
};

std::ostream &
operator<<(std::ostream &out, const Action &action)
{
	static const char *const names[] = { "submit", "burst", "wait",
		"cancel", "set_endpoint", "endpoint_failures", "network_faults",
		"crash", "pause", "partition", "drop_link", "suspect" };

	return out << names[action.kind] << "(" << action.a << ", " << action.b
		   << ", " << action.c << ")";
}

// Generates an action of any kind before kinds_end.
rc::Gen<Action>
generate_action(ActionKind kinds_end)
{
	auto kind = rc::gen::weightedElement<ActionKind>(
	    { { 8, SUBMIT }, { 8, BURST }, { 8, WAIT }, { 3, CANCEL },
		{ 1, SET_ENDPOINT }, { 1, ENDPOINT_FAILURES },
		{ kinds_end > NETWORK_FAULTS ? 2 : 0, NETWORK_FAULTS },
		{ kinds_end > CRASH ? 1 : 0, CRASH },
		{ kinds_end > PAUSE ? 1 : 0, PAUSE },
		{ kinds_end > PARTITION ? 1 : 0, PARTITION },
		{ kinds_end > DROP_LINK ? 1 : 0, DROP_LINK },
		{ kinds_end > SUSPECT ? 1 : 0, SUSPECT } });
	auto number = rc::gen::inRange<uint32_t>(0, 1000);

	return rc::gen::construct<Action>(kind, number, number, number);
}

void
apply_action(Simulation &simulation, const SimulationConfig &config,
    const Action &action)
{
	uint32_t node = action.a % config.node_count;
	uint32_t account = action.b % config.account_count;

	switch (action.kind) {
	case SUBMIT:
		simulation.submit(node, account,
		    1 + action.c % config.max_tokens);
		break;
	case BURST:
		for (uint32_t i = 0; i < 1 + action.c % 24; i++)
			simulation.submit(node, account,
			    1 + (action.c * (i + 1)) % config.max_tokens);
		break;
	case WAIT:
		simulation.advance(10 + action.c * 2);
		break;
	case CANCEL:
		simulation.cancel(action.c);
		break;
	case NETWORK_FAULTS:
		simulation.set_network_faults(action.a % 30, action.b % 30,
		    action.c % 300);
		break;
	case CRASH:
		simulation.crash(node);
		break;
	case PAUSE:
		simulation.pause(node, 100 + action.c * 4);
		break;
	case PARTITION:
		simulation.partition(action.a % (1u << config.node_count),
		    100 + action.c * 4);
		break;
	case SET_ENDPOINT:
		simulation.set_endpoint(action.a % config.endpoint_count,
		    action.b % 3 != 0, action.b % 3 == 1);
		break;
	case ENDPOINT_FAILURES:
		simulation.fail_next_requests(action.c % 8);
		break;
	case DROP_LINK:
		simulation.drop_link(node, action.b % config.node_count,
		    100 + action.c * 4);
		break;
	case SUSPECT:
		simulation.suspect(node, action.b % config.node_count,
		    100 + action.c * 4);
		break;
	case KIND_COUNT:
		break;
	}
}

struct FuzzCase {
	std::vector<Action> actions;
	uint64_t seed;
	uint32_t extra_slots, waiting_target;
	bool forbid_over_admission;
};

// Applies the actions, then ends all faults and waits for the end of all
// requests. Returns the first violation, or an empty text.
std::string
run_case(const FuzzCase &fuzz_case)
{
	SimulationConfig config;

	config.seed = fuzz_case.seed;
	config.extra_slots = fuzz_case.extra_slots;
	Simulation simulation(config);
	simulation.waiting_target = fuzz_case.waiting_target;
	simulation.forbid_over_admission = fuzz_case.forbid_over_admission;
	for (const Action &action : fuzz_case.actions) {
		apply_action(simulation, config, action);
		if (!simulation.violation.empty())
			return simulation.violation;
	}
	simulation.clear_faults();
	simulation.advance(12000);
	simulation.waiting_target = 0;
	if (simulation.violation.empty() && !simulation.drain(60000))
		return "a request did not end";
	return simulation.violation;
}

void
check_random_actions(ActionKind kinds_end, uint32_t waiting_target)
{
	auto actions = *rc::gen::container<std::vector<Action>>(
	    generate_action(kinds_end));
	auto seed = *rc::gen::arbitrary<uint64_t>();
	auto extra_slots = *rc::gen::inRange<uint32_t>(0, 2);
	std::string violation = run_case(
	    { actions, seed, extra_slots, waiting_target, kinds_end <= CRASH });

	if (!violation.empty())
		RC_FAIL(violation);
}

} // namespace

RC_GTEST_PROP(ShareFuzz, InvariantsHoldWithoutFaults, ())
{
	check_random_actions(NETWORK_FAULTS, 0);
}

RC_GTEST_PROP(ShareFuzz, InvariantsHoldWithNetworkFaults, ())
{
	check_random_actions(CRASH, 0);
}

RC_GTEST_PROP(ShareFuzz, InvariantsHoldWithAllFaults, ())
{
	check_random_actions(KIND_COUNT, 0);
}

RC_GTEST_PROP(ShareFuzz, InvariantsHoldUnderLoadWithoutFaults, ())
{
	check_random_actions(NETWORK_FAULTS, 4);
}

RC_GTEST_PROP(ShareFuzz, InvariantsHoldUnderLoadWithNetworkFaults, ())
{
	check_random_actions(CRASH, 4);
}

RC_GTEST_PROP(ShareFuzz, InvariantsHoldUnderLoadWithAllFaults, ())
{
	check_random_actions(KIND_COUNT, 4);
}

// Found by InvariantsHoldUnderLoadWithAllFaults, seed 1: a daemon that resumed
// after a pause started a request at an endpoint that had been removed from the
// tables during the pause.
TEST(ShareRegression, ResumedDaemonStartsNothingByOutdatedTables)
{
	EXPECT_EQ(run_case(
		      { { { WAIT, 0, 0, 16 }, { PAUSE, 0, 0, 726 },
			    { SET_ENDPOINT, 16, 0, 0 }, { WAIT, 0, 0, 211 },
			    { WAIT, 0, 0, 691 }, { WAIT, 0, 0, 576 } },
			  24710, 0, 4, false }),
	    "");
}

// Found by InvariantsHoldUnderLoadWithoutFaults, seed 9: a grant that was
// returned by a daemon with newer tables doubled the ejection time of the
// endpoint.
TEST(ShareRegression, ReturnedGrantDoesNotProlongAnEjection)
{
	EXPECT_EQ(run_case({ { { ENDPOINT_FAILURES, 0, 0, 3 },
				 { ENDPOINT_FAILURES, 0, 0, 103 },
				 { BURST, 341, 0, 625 }, { SUBMIT, 0, 0, 144 },
				 { WAIT, 0, 0, 511 }, { SUBMIT, 0, 0, 238 },
				 { SET_ENDPOINT, 160, 82, 0 },
				 { WAIT, 0, 0, 696 }, { WAIT, 0, 0, 521 },
				 { WAIT, 0, 0, 481 }, { WAIT, 0, 0, 581 } },
		      1633685563976439, 0, 4, true }),
	    "");
}

// The daemons disagree on the owner for a long time. The competing owners
// supersede each other in turn, with an increasing backoff.
TEST(ShareRegression, CompetingOwnersResyncWithBackoff)
{
	SimulationConfig config;
	Simulation simulation(config);
	uint64_t messages_before;

	for (uint32_t observer = 0; observer < config.node_count; observer++)
		simulation.suspect(observer, (observer + 1) % config.node_count,
		    60000);
	simulation.advance(10000);
	messages_before = simulation.messages;
	simulation.advance(50000);
	// At most two messages per second and daemon without any requests.
	EXPECT_LE(simulation.messages - messages_before,
	    50u * 2 * config.node_count);
	for (int i = 0; i < 20; i++)
		simulation.submit(0, 0, 50);
	EXPECT_TRUE(simulation.drain(30000));
	EXPECT_EQ(simulation.violation, "");
}
