// Simulation of entry daemons and queue owners that exchange encoded messages
// over an in-memory network under a virtual clock. It checks invariants that
// are derived only from slots, accounts and requests.
#ifndef TESTS_PROPERTY_SHARE_SIMULATION_H
#define TESTS_PROPERTY_SHARE_SIMULATION_H

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

extern "C" {
#include "common/codec.h"
#include "core/entry.h"
#include "core/hash.h"
#include "core/owner.h"
}

constexpr uint64_t POOL = 21, STEP_MS = 10, TICK_MS = 50;
constexpr uint64_t VIEW_LAG_MIN_MS = 100, VIEW_LAG_MAX_MS = 800;
// Maximum times that a slot stays free while requests are waiting, and that an
// endpoint gets new requests after it started to leave.
constexpr uint64_t IDLE_MAX_MS = 1500, LEAVING_MAX_MS = 3000;
constexpr uint64_t SETTLE_MS = 3000;

inline uint64_t
node_id(uint32_t index)
{
	return 1000 + index;
}

inline uint64_t
account_id(uint32_t index)
{
	return 31 + index;
}

inline uint64_t
endpoint_id(uint32_t index)
{
	return 41 + index;
}

struct SimulationConfig {
	uint64_t seed = 1;
	uint32_t node_count = 4;
	uint32_t account_count = 3;
	uint32_t endpoint_count = 3;
	uint32_t slots = 2;
	uint32_t extra_slots = 0;
	uint32_t max_tokens = 100;
	uint32_t waiting_max = 64;
	const fair_ops *order = &fair_vtc;
	const entry_ops *policy = &entry_fleet;
};

enum RequestState { WAITING, RUNNING, ENDED, REFUSED, CRASHED };

struct Request {
	uint32_t node, account;
	uint64_t seq, endpoint_id, submitted_ms, started_ms, target_tokens,
	    tokens;
	RequestState state;
};

class Simulation
{
      public:
	explicit Simulation(const SimulationConfig &config);
	~Simulation();
	Simulation(const Simulation &) = delete;
	Simulation &operator=(const Simulation &) = delete;

	void submit(uint32_t node, uint32_t account, uint32_t tokens);
	void cancel(uint32_t pick);
	void advance(uint64_t ms);
	void set_network_faults(uint32_t drop_pct, uint32_t duplicate_pct,
	    uint32_t delay_max_ms);
	void crash(uint32_t node);
	void pause(uint32_t node, uint64_t ms);
	void partition(uint32_t group_mask, uint64_t ms);
	// Marks the link from one daemon to another as down and allows
	// divergence. The views stay the same, and deliver() does not drop the
	// messages of the link.
	void drop_link(uint32_t from, uint32_t to, uint64_t ms);
	// Removes a live daemon from the membership view of another one.
	void suspect(uint32_t observer, uint32_t target, uint64_t ms);
	void set_endpoint(uint32_t index, bool listed, bool leaving);
	void fail_next_requests(uint32_t count)
	{
		failures_left += count;
	}
	void clear_faults();
	// Waits for the end of all requests. Returns false on a timeout.
	bool drain(uint64_t ms);

	uint32_t running_count() const;
	uint32_t waiting_count(uint32_t account) const;
	uint64_t max_slots() const;
	uint64_t started_in_fallback() const;
	double service(uint32_t account) const
	{
		return (double)served[account] / weights[account];
	}

	// Number of waiting requests of each account that refill() maintains.
	uint32_t waiting_target = 0;
	bool forbid_over_admission = false;
	std::string violation; // the first one, or empty
	uint64_t now_ms = 1000000;
	uint64_t gap_max = 0, over_admission_max = 0, messages = 0, bytes = 0;
	uint64_t started = 0, refused = 0;
	std::vector<Request> requests;
	std::vector<uint64_t> served;
	std::vector<uint32_t> weights;
	std::vector<uint64_t> start_order; // accounts of started requests

      private:
	struct Node {
		struct entry entry;
		bool alive = false;
		uint64_t incarnation = 0, paused_until_ms = 0, tick_due_ms = 0,
			 view_due_ms = 0, tables_due_ms = 0;
		uint32_t group = 0;
		std::vector<uint64_t> view;
		std::vector<std::pair<uint64_t, uint64_t>> view_incarnations;
		std::unique_ptr<struct owner> owner;
		struct effects effects;
		struct tables tables;
		struct pool pool_row;
		std::vector<struct endpoint> endpoints;
		std::vector<struct route> routes;
	};
	struct Packet {
		uint64_t due_ms, to, from;
		std::vector<uint8_t> bytes;
	};

	void record_violation(const std::string &text);
	void start_node(uint32_t index);
	void stop_node(uint32_t index);
	void schedule_view_updates();
	void update_view(uint32_t index);
	void update_tables(uint32_t index);
	void update_owner(Node &node);
	void run_effects(uint32_t index);
	void dispatch(Node &node, const msg &message);
	void send(uint32_t from, uint64_t to, msg &message);
	void deliver();
	void tick(uint32_t index);
	void refill();
	void record_failure(uint64_t id);
	void run_engines();
	uint64_t free_slots() const;
	void check();
	void check_gap();
	void check_admission();
	void on_start(uint32_t index, const effect &effect);
	void on_refuse(uint32_t index, const effect &effect);
	Request *find(uint32_t node, uint64_t seq);
	void allow_divergence(uint64_t ms);
	bool reachable(uint32_t a, uint32_t b) const;
	uint32_t random(uint32_t end)
	{
		return end == 0 ? 0 : (uint32_t)(rng() % end);
	}

	SimulationConfig config;
	std::mt19937_64 rng;
	std::vector<std::unique_ptr<Node>> nodes;
	std::vector<uint64_t> view_changes_ms; // when suspicions end
	std::vector<Packet> packets;
	std::map<std::pair<uint32_t, uint32_t>, uint64_t> link_down_until_ms,
	    suspect_until_ms;
	std::vector<std::pair<bool, bool>> endpoint_rows; // listed, leaving
	std::vector<uint64_t> endpoint_unavailable_since_ms, ejected_until_ms;
	std::vector<uint32_t> failures;
	std::map<std::pair<uint32_t, uint64_t>, size_t> request_index;
	std::vector<size_t> open_requests; // indices, waiting or running
	uint32_t drop_pct = 0, duplicate_pct = 0, delay_max_ms = 2;
	uint32_t failures_left = 0;
	// Until then, the daemons may not agree on one reachable owner.
	uint64_t divergent_until_ms = 0;
	uint64_t partition_end_ms = 0, last_fault_ms = 0, idle_since_ms = 0,
		 next_incarnation = 1;
	uint32_t owner_changes = 0;
	struct BackloggedPair {
		bool active = false;
		double first_service = 0, second_service = 0;
		uint32_t owner_changes = 0;
	};
	std::vector<BackloggedPair> pairs;
};

#endif
