/**
 * @file
 * Daemons before one endpoint, under a virtual clock.
 */
#ifndef TESTS_UNIT_HUBS_FLEET_H
#define TESTS_UNIT_HUBS_FLEET_H

#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

#include "dispatch_network.h"

namespace hubs_tests
{

using dispatch_network::FIRST_ID;
constexpr uint64_t ACCOUNT_ID = 1;
constexpr uint32_t PROMPT_TOKENS = 500;
/** Of the list of endpoints, at the last change of s1 and s2. */
constexpr uint64_t ENTRY_REVISION = 40;

/** Daemons that exchange messages over a network without delay. */
class Fleet : public dispatch_network::Network
{
      public:
	Fleet(size_t count, size_t high_cpu_count, bool engines = false)
	{
		for (size_t i = 0; i < count; i++) {
			dispatch_daemon daemon = { FIRST_ID + i, i % 3,
				i < high_cpu_count };
			daemons.push_back(daemon);
			running.push_back(true);
		}
		configuration = config_snapshot_new();
		config_pool pool = {};
		pool.pool_id = hash_name("service");
		pool.engine = engines;
		pool.kv_capacity_tokens = 100000;
		g_array_append_val(configuration->pools, pool);
		for (size_t i = 0; i < count; i++) {
			cores.push_back(make_core(i));
			delegations.push_back(std::make_unique<delegation>());
			delegation_init(delegations.back().get(),
			    cores.back().get(), i);
		}
		update_daemons();
	}

	~Fleet() override
	{
		config_snapshot_unref(configuration);
	}

	void update_daemons()
	{
		std::vector<dispatch_daemon> live;

		for (size_t i = 0; i < daemons.size(); i++)
			if (running[i])
				live.push_back(daemons[i]);
		for (size_t i = 0; i < daemons.size(); i++)
			if (running[i])
				dispatch_set_daemons(cores[i].get(),
				    live.data(), live.size());
	}

	/** Lets all daemons discover another endpoint, s2. */
	void add_second_endpoint()
	{
		for (auto &core : cores)
			put_endpoint(core.get(), "s2", "127.0.0.1:2");
	}

	/** Starts daemon i again, at a version of the list without s1. */
	void restart_without_first_endpoint(size_t i, uint64_t list_version)
	{
		delegation_finish(delegations[i].get());
		dispatch_finish(cores[i].get());
		cores[i] = make_core(i, "s2", "127.0.0.1:2");
		delegation_init(delegations[i].get(), cores[i].get(),
		    daemons.size() + i);
		dispatch_set_freshness(cores[i].get(), RESOURCE_ENDPOINTS,
		    list_version, now_ms);
		update_daemons();
	}

	/** @return the counters of all requests, at daemon i */
	dispatch_account *account(size_t i)
	{
		return dispatch_get_account(cores[i].get(), ACCOUNT_ID);
	}

	/** @return the id of a new attempt, whose decision was not taken yet */
	uint64_t submit_request(size_t i)
	{
		dispatch_request request = {};

		request.pool_id = hash_name("service");
		request.request_hash = ++last_hash;
		request.account_id = ACCOUNT_ID;
		request.prompt_tokens = PROMPT_TOKENS;
		request.latency_target_ms = 400;
		request.remaining_ms = 1000;
		uint64_t attempt_id = delegation_submit(delegations[i].get(),
		    &request, now_ms, &effects);
		run_effects(i);
		return attempt_id;
	}

	/** @return the id of a new attempt that was placed */
	uint64_t start_request(size_t i)
	{
		uint64_t attempt_id = submit_request(i);
		dispatch_decision decision = {};

		EXPECT_TRUE(delegation_take(delegations[i].get(), attempt_id,
		    &decision));
		EXPECT_TRUE(decision.start);
		return attempt_id;
	}

	void end_request(size_t i, uint64_t attempt_id)
	{
		delegation_end_attempt(delegations[i].get(), attempt_id,
		    OUTCOME_COMPLETE, now_ms, &effects);
		run_effects(i);
	}

	/** Index of the hub of the endpoint, as daemon i knows it. */
	size_t hub_of_endpoint(size_t i)
	{
		dispatch_assign_endpoints(cores[i].get());
		return (size_t)(endpoint(i)->hub_id - FIRST_ID);
	}

	void run_for(uint64_t duration_ms)
	{
		for (uint64_t end_ms = now_ms + duration_ms; now_ms < end_ms;
		     now_ms += 50)
			for (size_t i = 0; i < cores.size(); i++)
				if (running[i])
					tick(i);
	}

	/** Running requests of all daemons, as the hub of the endpoint knows
	 * them. */
	uint32_t known_running_count(size_t i)
	{
		return endpoint(hub_of_endpoint(i))->load.running_count;
	}

	dispatch_endpoint *endpoint(size_t i)
	{
		uint64_t endpoint_id = hash_name("s1");

		return static_cast<dispatch_endpoint *>(
		    g_hash_table_lookup(cores[i]->endpoints, &endpoint_id));
	}

	std::vector<dispatch_daemon> daemons;
	std::vector<bool> running;
	bool loses_events = false;
	uint64_t last_hash = 0;
	/** Daemons read no newer version that they are told of; the newest of
	 * these is kept in freshness. */
	bool keeps_own_copies = false;
	std::vector<dispatch_freshness> freshness[RESOURCE_KIND_COUNT] = {
		std::vector<dispatch_freshness>(400),
		std::vector<dispatch_freshness>(400),
		std::vector<dispatch_freshness>(400)
	};
	std::vector<uint64_t> sent_counts = std::vector<uint64_t>(400);

      private:
	std::unique_ptr<struct dispatch> make_core(size_t i,
	    const char *name = "s1", const char *address = "127.0.0.1:1")
	{
		auto core = std::make_unique<struct dispatch>();
		dispatch_config config = {};

		config.node_id = daemons[i].node_id;
		config.domain_id = daemons[i].domain_id;
		config.report_period_ms = 100;
		config.retry_window_ms = 10000;
		dispatch_init(core.get(), &config);
		dispatch_set_configuration(core.get(), configuration);
		put_endpoint(core.get(), name, address);
		return core;
	}

	void put_endpoint(struct dispatch *core, const char *name,
	    const char *address)
	{
		dispatch_endpoint_info info = {};

		g_strlcpy(info.name, name, sizeof(info.name));
		g_strlcpy(info.address, address, sizeof(info.address));
		info.pool_id = hash_name("service");
		info.slots = 1000;
		info.revision = ENTRY_REVISION;
		dispatch_put_endpoint(core, &info, now_ms);
	}

	void tick(size_t i)
	{
		/* daemon i stamps its reports with a clock that is i * 100 s
		 * ahead of the clock of daemon 0 */
		dispatch_tick(cores[i].get(), now_ms, now_ms + i * 100000,
		    &effects);
		delegation_tick(delegations[i].get(), now_ms, &effects);
		run_effects(i);
	}

	bool carries(size_t from, size_t to, const msg &msg) override
	{
		sent_counts[from]++;
		return running[to] && running[from] &&
		    (msg.type != MSG_ATTEMPT_EVENTS || !loses_events);
	}

	void on_report(size_t to, const dispatch_freshness *reported) override
	{
		for (int kind = 0; kind < RESOURCE_KIND_COUNT; kind++) {
			dispatch_freshness &best = freshness[kind][to];

			if (keeps_own_copies) {
				if (reported[kind].version >= best.version)
					best = reported[kind];
				continue;
			}
			if (reported[kind].version == 0 ||
			    reported[kind].as_of_ms < best.as_of_ms)
				continue;
			best = reported[kind];
			dispatch_set_freshness(cores[to].get(),
			    (resource_kind)kind, best.version, best.as_of_ms);
		}
	}

	struct config_snapshot *configuration;
};

} // namespace hubs_tests

#endif
