// The faults, the virtual clock and the invariants of the simulation.
#include "share_simulation.h"

#include <algorithm>
#include <cmath>
#include <cstring>

void
Simulation::tick(uint32_t index)
{
	Node &node = *nodes[index];

	if (!node.alive || node.paused_until_ms > now_ms)
		return;
	if (node.tables_due_ms != 0 && now_ms >= node.tables_due_ms)
		update_tables(index);
	if (node.view_due_ms != 0 && now_ms >= node.view_due_ms) {
		node.view_due_ms = 0;
		update_view(index);
	}
	if (now_ms < node.tick_due_ms)
		return;
	node.tick_due_ms = now_ms + TICK_MS;
	entry_tick(&node.entry, now_ms, &node.effects);
	if (node.owner)
		owner_tick(node.owner.get(), now_ms, &node.effects);
	run_effects(index);
}

// Submits requests until each account has enough waiting ones. All requests of
// account 0 are submitted at one node.
void
Simulation::refill()
{
	for (uint32_t i = 0; i < config.account_count; i++)
		if (waiting_count(i) < waiting_target)
			submit(i == 0 ? 0 : random(config.node_count), i,
			    1 + random(config.max_tokens));
}

void
Simulation::advance(uint64_t ms)
{
	for (uint64_t end_ms = now_ms + ms; now_ms < end_ms;) {
		now_ms += STEP_MS;
		for (auto &node : nodes)
			if (node->paused_until_ms != 0 &&
			    node->paused_until_ms <= now_ms) {
				node->paused_until_ms = 0;
				last_fault_ms = std::max(last_fault_ms, now_ms);
				schedule_view_updates();
			}
		for (size_t i = 0; i < view_changes_ms.size(); i++)
			if (view_changes_ms[i] <= now_ms) {
				view_changes_ms[i] = view_changes_ms.back();
				view_changes_ms.pop_back();
				schedule_view_updates();
			}
		if (partition_end_ms != 0 && now_ms >= partition_end_ms)
			partition(0, 0);
		refill();
		deliver();
		for (uint32_t i = 0; i < nodes.size(); i++)
			tick(i);
		run_engines();
		check();
	}
}

void
Simulation::set_network_faults(uint32_t drop, uint32_t duplicate,
    uint32_t delay_ms)
{
	drop_pct = drop;
	duplicate_pct = duplicate;
	delay_max_ms = std::max(2u, delay_ms);
	last_fault_ms = std::max(last_fault_ms, now_ms);
}

void
Simulation::crash(uint32_t node_index)
{
	if (!nodes[node_index]->alive)
		return;
	for (size_t i : open_requests)
		if (requests[i].node == node_index &&
		    requests[i].state <= RUNNING)
			requests[i].state = CRASHED;
	stop_node(node_index);
	start_node(node_index);
	last_fault_ms = std::max(last_fault_ms, now_ms);
	schedule_view_updates();
}

void
Simulation::allow_divergence(uint64_t ms)
{
	divergent_until_ms = std::max(divergent_until_ms,
	    now_ms + ms + SETTLE_MS);
	last_fault_ms = std::max(last_fault_ms, now_ms + ms);
}

void
Simulation::drop_link(uint32_t from, uint32_t to, uint64_t ms)
{
	link_down_until_ms[{ from, to }] = now_ms + ms;
	allow_divergence(ms);
}

void
Simulation::suspect(uint32_t observer, uint32_t target, uint64_t ms)
{
	suspect_until_ms[{ observer, target }] = now_ms + ms;
	nodes[observer]->view_due_ms = now_ms + 1;
	view_changes_ms.push_back(now_ms + ms);
	allow_divergence(ms + VIEW_LAG_MAX_MS);
}

void
Simulation::pause(uint32_t node, uint64_t ms)
{
	nodes[node]->paused_until_ms = now_ms + ms;
	allow_divergence(ms);
	schedule_view_updates();
}

void
Simulation::partition(uint32_t group_mask, uint64_t ms)
{
	for (uint32_t i = 0; i < nodes.size(); i++)
		nodes[i]->group = (group_mask >> i) & 1;
	partition_end_ms = group_mask == 0 ? 0 : now_ms + ms;
	allow_divergence(ms);
	schedule_view_updates();
}

void
Simulation::set_endpoint(uint32_t i, bool listed, bool leaving)
{
	bool unavailable = !listed || leaving;

	endpoint_rows[i] = { listed, leaving };
	if (!unavailable)
		endpoint_unavailable_since_ms[i] = 0;
	else if (endpoint_unavailable_since_ms[i] == 0)
		endpoint_unavailable_since_ms[i] = now_ms;
	for (auto &node : nodes)
		node->tables_due_ms = now_ms + 1 + random(1000);
	last_fault_ms = std::max(last_fault_ms, now_ms + 1000);
}

void
Simulation::clear_faults()
{
	set_network_faults(0, 0, 2);
	failures_left = 0;
	link_down_until_ms.clear();
	suspect_until_ms.clear();
	partition(0, 0);
	for (auto &node : nodes)
		if (node->paused_until_ms > now_ms)
			node->paused_until_ms = now_ms;
	for (uint32_t i = 0; i < config.endpoint_count; i++)
		set_endpoint(i, true, false);
}

bool
Simulation::drain(uint64_t ms)
{
	for (uint64_t end_ms = now_ms + ms;
	     now_ms < end_ms && !open_requests.empty();)
		advance(100);
	return open_requests.empty();
}

uint32_t
Simulation::running_count() const
{
	uint32_t count = 0;

	for (size_t i : open_requests)
		count += requests[i].state == RUNNING;
	return count;
}

uint32_t
Simulation::waiting_count(uint32_t account) const
{
	uint32_t count = 0;

	for (size_t i : open_requests)
		count += requests[i].state == WAITING &&
		    requests[i].account == account &&
		    nodes[requests[i].node]->paused_until_ms <= now_ms;
	return count;
}

// Free slots of the endpoints that accept new work.
uint64_t
Simulation::free_slots() const
{
	std::vector<uint32_t> running(config.endpoint_count, 0);
	uint64_t free = 0;

	for (size_t i : open_requests)
		if (requests[i].state == RUNNING)
			running[requests[i].endpoint_id - endpoint_id(0)]++;
	for (uint32_t i = 0; i < config.endpoint_count; i++)
		if (endpoint_rows[i].first && !endpoint_rows[i].second &&
		    now_ms >= ejected_until_ms[i] && running[i] < config.slots)
			free += config.slots - running[i];
	return free;
}

uint64_t
Simulation::started_in_fallback() const
{
	uint64_t count = 0;

	for (const auto &node : nodes)
		count += node->alive ? node->entry.fallback_starts_count : 0;
	return count;
}

// No endpoint runs more requests than it has slots. This holds as long as there
// is one owner and no daemon has failed.
void
Simulation::check_admission()
{
	std::vector<uint32_t> running(config.endpoint_count, 0);

	for (size_t i : open_requests)
		if (requests[i].state == RUNNING &&
		    ++running[requests[i].endpoint_id - endpoint_id(0)] >
			config.slots + config.extra_slots)
			record_violation(
			    "an endpoint runs more requests than slots");
}

uint64_t
Simulation::max_slots() const
{
	return (uint64_t)config.endpoint_count *
	    (config.slots + config.extra_slots);
}

void
Simulation::check()
{
	uint64_t running = running_count(), waiting = 0;
	bool is_fault_free = drop_pct == 0 && delay_max_ms <= 2 &&
	    now_ms > last_fault_ms + SETTLE_MS;

	for (uint32_t i = 0; i < config.account_count; i++)
		waiting += waiting_count(i);
	if (running > max_slots())
		over_admission_max = std::max(over_admission_max,
		    running - max_slots());
	if (forbid_over_admission && started_in_fallback() == 0)
		check_admission();
	if (running > 3 * max_slots() + nodes.size())
		record_violation("over-admission exceeds its bound");
	if (!is_fault_free || waiting == 0 || free_slots() == 0)
		idle_since_ms = now_ms;
	else if (now_ms > idle_since_ms + IDLE_MAX_MS)
		record_violation("a slot is free while requests are waiting");
	check_gap();
}

// The service gap between any two accounts over the time in which both are
// continuously backlogged stays within its bound.
void
Simulation::check_gap()
{
	bool is_divergent = now_ms < divergent_until_ms;

	for (uint32_t first = 0; first < config.account_count; first++)
		for (uint32_t second = first + 1; second < config.account_count;
		     second++) {
			BackloggedPair &pair =
			    pairs[first * config.account_count + second];
			fair_gap gap = { max_slots(), config.max_tokens,
				std::min(weights[first], weights[second]),
				owner_changes - pair.owner_changes };
			double distance;

			if (is_divergent || waiting_count(first) == 0 ||
			    waiting_count(second) == 0) {
				pair.active = false;
				continue;
			}
			if (!pair.active)
				pair = { true, service(first), service(second),
					owner_changes };
			distance = std::fabs(
			    (service(first) - pair.first_service) -
			    (service(second) - pair.second_service));
			gap_max = std::max(gap_max, (uint64_t)distance);
			if (config.order == &fair_vtc &&
			    config.policy == &entry_fleet &&
			    distance > (double)fair_gap_bound_tokens(&gap))
				record_violation(
				    "the service gap exceeds its bound");
		}
}
