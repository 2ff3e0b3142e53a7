// Differential tests: the same generated requests under fair queueing and under
// the baseline order and policy.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "share_simulation.h"

namespace
{

struct Arrival {
	uint32_t node, account, tokens, wait_ms;
};

std::ostream &
operator<<(std::ostream &out, const Arrival &arrival)
{
	return out << "{" << arrival.node << ", " << arrival.account << ", "
		   << arrival.tokens << ", " << arrival.wait_ms << "}";
}

std::vector<Arrival>
generate_arrivals(const SimulationConfig &config)
{
	auto arrival = rc::gen::construct<Arrival>(rc::gen::inRange<uint32_t>(0,
						       config.node_count),
	    rc::gen::inRange<uint32_t>(0, config.account_count),
	    rc::gen::inRange<uint32_t>(1, config.max_tokens + 1),
	    rc::gen::inRange<uint32_t>(0, 120));

	return *rc::gen::container<std::vector<Arrival>>(arrival);
}

void
run_arrivals(Simulation &simulation, const std::vector<Arrival> &arrivals)
{
	for (const Arrival &arrival : arrivals) {
		simulation.submit(arrival.node, arrival.account,
		    arrival.tokens);
		simulation.advance(arrival.wait_ms);
	}
	RC_ASSERT(simulation.drain(120000));
	RC_ASSERT(simulation.violation == "");
}

// Indices of the requests in the order of their start times.
std::vector<size_t>
request_start_order(const Simulation &simulation)
{
	std::vector<size_t> order;

	for (size_t i = 0; i < simulation.requests.size(); i++)
		order.push_back(i);
	std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
		return simulation.requests[a].started_ms <
		    simulation.requests[b].started_ms;
	});
	return order;
}

} // namespace

RC_GTEST_PROP(ShareDiff, SingleAccountIsServedInFifoOrder, ())
{
	SimulationConfig vtc_config;

	vtc_config.node_count = 1;
	vtc_config.account_count = 1;
	SimulationConfig fifo_config = vtc_config;
	fifo_config.order = &fair_fifo;
	auto arrivals = generate_arrivals(vtc_config);
	Simulation vtc(vtc_config), fifo(fifo_config);
	run_arrivals(vtc, arrivals);
	run_arrivals(fifo, arrivals);
	RC_ASSERT(request_start_order(vtc) == request_start_order(fifo));
	for (size_t i = 0; i < arrivals.size(); i++)
		RC_ASSERT(
		    vtc.requests[i].started_ms == fifo.requests[i].started_ms);
}

RC_GTEST_PROP(ShareDiff, PoliciesServeTheSameWithoutContention, ())
{
	SimulationConfig fleet_config;

	fleet_config.slots = 200;
	SimulationConfig baseline_config = fleet_config;
	baseline_config.policy = &entry_naive;
	auto arrivals = generate_arrivals(fleet_config);
	Simulation fleet(fleet_config), baseline(baseline_config);
	run_arrivals(fleet, arrivals);
	run_arrivals(baseline, arrivals);
	RC_ASSERT(fleet.served == baseline.served);
	RC_ASSERT(fleet.started == baseline.started);
	for (const Request &request : fleet.requests)
		RC_ASSERT(request.started_ms <= request.submitted_ms + 20);
}

RC_GTEST_PROP(ShareDiff, OrdersServeAllRequestsWithinTheSlots, ())
{
	SimulationConfig vtc_config;
	SimulationConfig fifo_config = vtc_config;

	fifo_config.order = &fair_fifo;
	auto arrivals = generate_arrivals(vtc_config);
	Simulation vtc(vtc_config), fifo(fifo_config);
	vtc.forbid_over_admission = fifo.forbid_over_admission = true;
	run_arrivals(vtc, arrivals);
	run_arrivals(fifo, arrivals);
	RC_ASSERT(vtc.served == fifo.served);
}

// One account sends many requests before another one starts. The service gap
// stays within its bound with the virtual token counter, but not in
// first-in-first-out order.
TEST(ShareDiff, FloodKeepsTheGapBoundWithVtcButNotWithFifo)
{
	SimulationConfig config;
	const fair_gap gap = { 6, 20, 1, 0 };

	config.account_count = 2;
	config.max_tokens = 20;
	config.waiting_max = 1000;
	config.seed = 7;
	for (const fair_ops *order : { &fair_vtc, &fair_fifo }) {
		config.order = order;
		Simulation simulation(config);
		for (int i = 0; i < 400; i++)
			simulation.submit(0, 0, 20);
		for (int i = 0; i < 100; i++)
			simulation.submit(1, 1, 20);
		simulation.advance(8000);
		EXPECT_EQ(simulation.violation, "");
		if (order == &fair_vtc)
			EXPECT_LE(simulation.gap_max,
			    fair_gap_bound_tokens(&gap));
		else
			EXPECT_GT(simulation.gap_max,
			    fair_gap_bound_tokens(&gap));
	}
}

// Short requests of one account wait while long requests of another account
// occupy all slots.
TEST(ShareDiff, ExtraSlotsShortenTheWaitOfAnAccountBelowItsFairShare)
{
	uint64_t wait_ms[2] = { 0, 0 };

	for (uint32_t extra_slots : { 0u, 1u }) {
		SimulationConfig config;
		config.account_count = 2;
		config.max_tokens = 400;
		config.extra_slots = extra_slots;
		Simulation simulation(config);
		for (int i = 0; i < 30; i++)
			simulation.submit(0, 0, 400);
		simulation.advance(500);
		for (int i = 0; i < 20; i++) {
			simulation.submit(1, 1, 5);
			simulation.advance(300);
		}
		for (const Request &request : simulation.requests)
			if (request.account == 1 && request.started_ms != 0)
				wait_ms[extra_slots] =
				    std::max(wait_ms[extra_slots],
					request.started_ms -
					    request.submitted_ms);
		EXPECT_EQ(simulation.violation, "");
	}
	EXPECT_GT(wait_ms[0], 1000u);
	EXPECT_LE(wait_ms[1], 100u);
}
