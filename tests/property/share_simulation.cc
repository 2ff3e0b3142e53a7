#include "share_simulation.h"

#include <algorithm>
#include <cmath>
#include <cstring>

Simulation::Simulation(const SimulationConfig &config)
    : config(config), rng(config.seed)
{
	served.assign(config.account_count, 0);
	for (uint32_t i = 0; i < config.account_count; i++)
		weights.push_back(i % 2 + 1);
	endpoint_rows.assign(config.endpoint_count, { true, false });
	endpoint_unavailable_since_ms.assign(config.endpoint_count, 0);
	ejected_until_ms.assign(config.endpoint_count, 0);
	failures.assign(config.endpoint_count, 0);
	pairs.resize(config.account_count * config.account_count);
	last_fault_ms = std::max(last_fault_ms, now_ms);
	for (uint32_t i = 0; i < config.node_count; i++) {
		nodes.push_back(std::make_unique<Node>());
		start_node(i);
	}
	for (uint32_t i = 0; i < config.node_count; i++)
		update_view(i);
	advance(SETTLE_MS);
}

Simulation::~Simulation()
{
	for (uint32_t i = 0; i < nodes.size(); i++)
		if (nodes[i]->alive)
			stop_node(i);
}

void
Simulation::record_violation(const std::string &text)
{
	if (violation.empty())
		violation = text + " at " + std::to_string(now_ms) + " ms";
}

void
Simulation::start_node(uint32_t index)
{
	Node &node = *nodes[index];
	entry_config entry_settings = {};

	node.incarnation = next_incarnation++;
	entry_settings.node_id = node_id(index);
	entry_settings.seq_first = node.incarnation << 20;
	entry_settings.ops = config.policy;
	entry_settings.order = config.order;
	entry_settings.report_period_ms = 500;
	entry_settings.fallback_after_ms = 1500;
	entry_init(&node.entry, &entry_settings);
	effects_init(&node.effects);
	node.alive = true;
	node.paused_until_ms = 0;
	node.tick_due_ms = now_ms + random(TICK_MS);
	update_tables(index);
	update_view(index);
}

void
Simulation::stop_node(uint32_t index)
{
	Node &node = *nodes[index];

	if (node.owner) {
		owner_finish(node.owner.get());
		node.owner.reset();
	}
	entry_finish(&node.entry);
	effects_finish(&node.effects);
	node.alive = false;
}

bool
Simulation::reachable(uint32_t a, uint32_t b) const
{
	return nodes[a]->alive && nodes[b]->alive &&
	    nodes[a]->group == nodes[b]->group;
}

void
Simulation::schedule_view_updates()
{
	for (auto &node : nodes)
		node->view_due_ms = now_ms + VIEW_LAG_MIN_MS +
		    random(VIEW_LAG_MAX_MS - VIEW_LAG_MIN_MS);
}

void
Simulation::update_view(uint32_t index)
{
	Node &node = *nodes[index];
	std::vector<std::pair<uint64_t, uint64_t>> previous =
	    node.view_incarnations;

	node.view.clear();
	node.view_incarnations.clear();
	for (uint32_t i = 0; i < nodes.size(); i++)
		if (i == index ||
		    (reachable(index, i) &&
			nodes[i]->paused_until_ms <= now_ms &&
			now_ms >= suspect_until_ms[{ index, i }]))
			node.view.push_back(node_id(i));
	for (uint64_t id : node.view)
		node.view_incarnations.push_back(
		    { id, nodes[id - node_id(0)]->incarnation });
	entry_set_members(&node.entry, node.view.data(), node.view.size(),
	    now_ms, &node.effects);
	update_owner(node);
	// A member that is no longer in the view, or has another incarnation,
	// has failed.
	for (const auto &member : previous)
		if (node.owner &&
		    std::find(node.view_incarnations.begin(),
			node.view_incarnations.end(),
			member) == node.view_incarnations.end())
			owner_node_down(node.owner.get(), member.first, now_ms,
			    &node.effects);
	run_effects(index);
}

void
Simulation::update_owner(Node &node)
{
	bool is_owner = entry_pool_owner_id(&node.entry, POOL) ==
	    node.entry.config.node_id;

	if (!is_owner && node.owner) {
		owner_finish(node.owner.get());
		node.owner.reset();
	}
	if (is_owner && !node.owner && config.policy == &entry_fleet) {
		owner_config settings = {};
		settings.node_id = node.entry.config.node_id;
		settings.pool_id = POOL;
		settings.order = config.order;
		settings.sync_timeout_ms = 800;
		settings.grant_settle_ms = 400;
		settings.report_period_ms = 500;
		node.owner = std::make_unique<struct owner>();
		// The coarse clock makes equal epochs of two owners likely.
		owner_init(node.owner.get(), &settings,
		    std::max(now_ms / 2000,
			entry_epoch_seen(&node.entry, POOL) + 1),
		    now_ms, node.view.data(), node.view.size(), &node.effects);
		owner_changes++;
	}
	if (node.owner)
		owner_set_tables(node.owner.get(), &node.tables, now_ms,
		    &node.effects);
}

void
Simulation::update_tables(uint32_t index)
{
	Node &node = *nodes[index];

	node.tables_due_ms = 0;
	node.endpoints.clear();
	for (uint32_t i = 0; i < config.endpoint_count; i++) {
		struct endpoint endpoint = {};
		endpoint.endpoint_id = endpoint_id(i);
		endpoint.leaving = endpoint_rows[i].second;
		if (endpoint_rows[i].first)
			node.endpoints.push_back(endpoint);
	}
	node.pool_row = {};
	node.pool_row.pool_id = POOL;
	node.pool_row.slots_per_endpoint = config.slots;
	node.pool_row.extra_slots_per_endpoint = config.extra_slots;
	node.pool_row.estimate_tokens = config.max_tokens / 3;
	node.pool_row.request_max_tokens = config.max_tokens;
	node.pool_row.endpoints = node.endpoints.data();
	node.pool_row.endpoint_count = (uint32_t)node.endpoints.size();
	node.routes.assign(config.account_count, {});
	for (uint32_t i = 0; i < config.account_count; i++) {
		node.routes[i].account_id = account_id(i);
		node.routes[i].pool_id = POOL;
		node.routes[i].weight = weights[i];
		node.routes[i].waiting_max_count = config.waiting_max;
	}
	node.tables = {};
	node.tables.pools = &node.pool_row;
	node.tables.pool_count = 1;
	node.tables.routes = node.routes.data();
	node.tables.route_count = config.account_count;
	entry_set_tables(&node.entry, &node.tables, now_ms, &node.effects);
	if (!node.view.empty())
		update_owner(node);
	run_effects(index);
}

void
Simulation::send(uint32_t from, uint64_t to, msg &message)
{
	GByteArray *encoded = g_byte_array_new();
	Packet packet = { 0, to, node_id(from), {} };
	uint32_t copies = 1;

	codec_encode(&message, encoded);
	packet.bytes.assign(encoded->data, encoded->data + encoded->len);
	g_byte_array_free(encoded, TRUE);
	messages++;
	bytes += packet.bytes.size();
	if (random(100) < drop_pct)
		copies = 0;
	else if (random(100) < duplicate_pct)
		copies = 2;
	for (uint32_t i = 0; i < copies; i++) {
		packet.due_ms = now_ms + 1 + random(delay_max_ms);
		packets.push_back(packet);
	}
}

void
Simulation::dispatch(Node &node, const msg &message)
{
	switch (message.type) {
	case MSG_SYNC:
	case MSG_GRANT:
	case MSG_REFUSE:
		entry_handle(&node.entry, &message, now_ms, &node.effects);
		break;
	default:
		if (node.owner)
			owner_handle(node.owner.get(), &message, now_ms,
			    &node.effects);
		break;
	}
}

void
Simulation::run_effects(uint32_t index)
{
	Node &node = *nodes[index];

	for (size_t i = 0; i < node.effects.count; i++) {
		struct effect effect = node.effects.items[i];

		if (effect.type == EFFECT_START)
			on_start(index, effect);
		else if (effect.type == EFFECT_REFUSE)
			on_refuse(index, effect);
		if (effect.type != EFFECT_SEND)
			continue;
		effect.msg.from_node_id = node_id(index);
		effect.msg.from_incarnation = node.incarnation;
		if (effect.to_node_id == node_id(index))
			dispatch(node, effect.msg);
		else
			send(index, effect.to_node_id, effect.msg);
	}
	effects_clear(&node.effects);
}

void
Simulation::deliver()
{
	std::vector<Packet> due;

	for (size_t i = 0; i < packets.size();) {
		uint32_t to = (uint32_t)(packets[i].to - node_id(0));
		if (packets[i].due_ms > now_ms ||
		    nodes[to]->paused_until_ms > now_ms) {
			i++;
			continue;
		}
		due.push_back(std::move(packets[i]));
		packets[i] = std::move(packets.back());
		packets.pop_back();
	}
	for (const Packet &packet : due) {
		uint32_t to = (uint32_t)(packet.to - node_id(0));
		uint32_t from = (uint32_t)(packet.from - node_id(0));
		msg message;

		if (!nodes[to]->alive || nodes[to]->group != nodes[from]->group)
			continue;
		if (!codec_decode(packet.bytes.data(), packet.bytes.size(),
			&message)) {
			record_violation("a message could not be decoded");
			continue;
		}
		dispatch(*nodes[to], message);
		run_effects(to);
		codec_release(&message);
	}
}

Request *
Simulation::find(uint32_t node, uint64_t seq)
{
	auto found = request_index.find({ node, seq });

	return found == request_index.end() ? nullptr
					    : &requests[found->second];
}

void
Simulation::on_start(uint32_t index, const effect &effect)
{
	Request *request = find(index, effect.seq);
	uint32_t endpoint = (uint32_t)(effect.endpoint_id - endpoint_id(0));

	if (request == nullptr || request->state != WAITING) {
		record_violation(
		    "a request was started twice or after its end");
		return;
	}
	if (endpoint >= config.endpoint_count) {
		record_violation("a request was started at no endpoint");
		return;
	}
	if (endpoint_unavailable_since_ms[endpoint] != 0 &&
	    now_ms > endpoint_unavailable_since_ms[endpoint] + LEAVING_MAX_MS)
		record_violation("a leaving endpoint got a new request");
	request->state = RUNNING;
	request->endpoint_id = effect.endpoint_id;
	request->started_ms = now_ms;
	start_order.push_back(request->account);
	started++;
}

void
Simulation::on_refuse(uint32_t index, const effect &effect)
{
	Request *request = find(index, effect.seq);

	if (request == nullptr || request->state != WAITING) {
		record_violation(
		    "a request was refused twice or after its start");
		return;
	}
	request->state = REFUSED;
	refused++;
}

void
Simulation::submit(uint32_t node_index, uint32_t account, uint32_t tokens)
{
	Node &node = *nodes[node_index];
	struct entry_request_params params = {};
	Request request = { node_index, account, 0, 0, now_ms, 0, tokens, 0,
		WAITING };

	if (!node.alive || node.paused_until_ms > now_ms)
		return;
	params.pool_id = POOL;
	params.account_id = account_id(account);
	params.prefix_hash = 1 + tokens % 7;
	params.deadline_ms = UINT64_MAX;
	params.estimate_tokens = config.max_tokens / 3;
	params.waiting_max_count = config.waiting_max;
	request.seq = ::entry_submit(&node.entry, &params, now_ms,
	    &node.effects);
	request_index[{ node_index, request.seq }] = requests.size();
	open_requests.push_back(requests.size());
	requests.push_back(request);
	run_effects(node_index);
}

void
Simulation::cancel(uint32_t pick)
{
	if (open_requests.empty())
		return;
	Request &request = requests[open_requests[pick % open_requests.size()]];
	Node &node = *nodes[request.node];

	if (request.state != WAITING || node.paused_until_ms > now_ms)
		return;
	request.state = ENDED;
	entry_cancel(&node.entry, request.seq, &node.effects);
	run_effects(request.node);
}

// Records until when the owner may eject the endpoint: the ejection gets longer
// with each failure.
void
Simulation::record_failure(uint64_t id)
{
	uint32_t i = (uint32_t)(id - endpoint_id(0));

	failures[i] = std::min(failures[i] + 1, 5u);
	ejected_until_ms[i] = now_ms + (1000u << failures[i]) + SETTLE_MS;
}

// Generates one token for each running request per step.
void
Simulation::run_engines()
{
	for (size_t i = 0; i < open_requests.size();) {
		Request &request = requests[open_requests[i]];
		Node &node = *nodes[request.node];

		if (request.state == RUNNING) {
			if (request.tokens < request.target_tokens) {
				request.tokens++;
				served[request.account]++;
			}
			if (node.paused_until_ms <= now_ms)
				entry_progress(&node.entry, request.seq,
				    request.tokens);
			if (request.tokens == request.target_tokens &&
			    node.paused_until_ms <= now_ms) {
				enum done_outcome outcome = DONE_COMPLETE;
				if (failures_left > 0) {
					failures_left--;
					outcome = random(2) == 0 ? DONE_FAILED
								 : DONE_REFUSED;
					record_failure(request.endpoint_id);
				}
				request.state = ENDED;
				entry_done(&node.entry, request.seq,
				    request.tokens, outcome, &node.effects);
				run_effects(request.node);
			}
		}
		if (requests[open_requests[i]].state > RUNNING) {
			open_requests[i] = open_requests.back();
			open_requests.pop_back();
		} else
			i++;
	}
}
