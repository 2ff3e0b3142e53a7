#include <gtest/gtest.h>

#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "core/dispatch.h"
#include "core/dispatch_private.h"
#include "core/hash.h"
}

namespace
{

constexpr uint64_t FIRST_ID = 100;

/** Daemons that report to each other over a network without delay. */
class Fleet
{
      public:
	Fleet(size_t count, size_t strong_count)
	{
		for (size_t i = 0; i < count; i++) {
			dispatch_daemon daemon = { FIRST_ID + i, i % 3,
				i < strong_count };
			all.push_back(daemon);
			alive.push_back(true);
		}
		catalog = catalog_new();
		catalog_pool pool = {};
		pool.pool_id = hash_name("service");
		g_array_append_val(catalog->pools, pool);
		for (size_t i = 0; i < count; i++)
			cores.push_back(make_core(i));
		tell_live();
		effects_init(&effects);
	}

	~Fleet()
	{
		effects_finish(&effects);
		for (auto &core : cores)
			dispatch_finish(core.get());
		catalog_unref(catalog);
	}

	Fleet(const Fleet &) = delete;
	Fleet &operator=(const Fleet &) = delete;

	void tell_live()
	{
		std::vector<dispatch_daemon> live;

		for (size_t i = 0; i < all.size(); i++)
			if (alive[i])
				live.push_back(all[i]);
		for (size_t i = 0; i < all.size(); i++)
			if (alive[i])
				dispatch_set_live(cores[i].get(), live.data(),
				    live.size());
	}

	void start_request(size_t i)
	{
		dispatch_ask ask = {};
		dispatch_decision decision;

		ask.pool_id = hash_name("service");
		ask.left_ms = 1000;
		dispatch_decide(cores[i].get(), &ask, now_ms, &decision);
		ASSERT_TRUE(decision.start);
	}

	/** A request that shares a part with others. */
	static dispatch_ask ask_of(uint64_t part_id)
	{
		dispatch_ask ask = {};

		ask.pool_id = hash_name("service");
		ask.left_ms = 1000;
		ask.prompt_tokens = 6000;
		ask.parts_count = 2;
		ask.parts[0] = { part_id, 5000 };
		ask.parts[1] = { ++own_part_id, 1000 };
		return ask;
	}

	void keep(size_t i, uint64_t part_id)
	{
		dispatch_ask ask = ask_of(part_id);

		dispatch_note_kept(cores[i].get(), endpoint(i), &ask, now_ms);
	}

	/** What a daemon believes that has to be read of a shared part. */
	uint64_t unread(size_t i, uint64_t part_id)
	{
		dispatch_ask ask = ask_of(part_id);

		return dispatch_unread_tokens(endpoint(i), &ask, now_ms);
	}

	void run_for(uint64_t duration_ms)
	{
		for (uint64_t end_ms = now_ms + duration_ms; now_ms < end_ms;
		     now_ms += 50)
			for (size_t i = 0; i < cores.size(); i++)
				if (alive[i])
					tick(i);
	}

	/** What a daemon believes that all daemons run. */
	uint32_t believed(size_t i)
	{
		return endpoint(i)->own.running_count +
		    endpoint(i)->others.running_count;
	}

	dispatch_endpoint *endpoint(size_t i)
	{
		uint64_t endpoint_id = hash_name("s1");

		return static_cast<dispatch_endpoint *>(
		    g_hash_table_lookup(cores[i]->endpoints, &endpoint_id));
	}

	static inline uint64_t own_part_id = 1000;

	std::vector<dispatch_daemon> all;
	std::vector<bool> alive;
	std::vector<std::unique_ptr<struct dispatch>> cores;
	std::vector<dispatch_proof> proofs[PROOF_KIND_COUNT] = {
		std::vector<dispatch_proof>(400),
		std::vector<dispatch_proof>(400)
	};
	std::vector<uint64_t> sent = std::vector<uint64_t>(400);
	uint64_t now_ms = 50000;

      private:
	std::unique_ptr<struct dispatch> make_core(size_t i)
	{
		auto core = std::make_unique<struct dispatch>();
		dispatch_config config = {};
		dispatch_listing listing = {};

		config.node_id = all[i].node_id;
		config.domain_id = all[i].domain_id;
		config.report_period_ms = 100;
		config.repeat_window_ms = 10000;
		dispatch_init(core.get(), &config);
		dispatch_set_catalog(core.get(), catalog);
		g_strlcpy(listing.name, "s1", sizeof(listing.name));
		listing.pool_id = hash_name("service");
		listing.slots = 1000;
		dispatch_put_endpoint(core.get(), &listing, now_ms);
		return core;
	}

	void tick(size_t i)
	{
		/* each daemon's own clock of stamps is ahead of the others */
		dispatch_tick(cores[i].get(), now_ms, now_ms + i * 100000,
		    &effects);
		sent[i] += effects.count;
		for (size_t at = 0; at < effects.count; at++)
			deliver(i, effects.items[at]);
		effects_clear(&effects);
	}

	void deliver(size_t from, effect &effect)
	{
		size_t to = (size_t)(effect.to_node_id - FIRST_ID);
		dispatch_proof told[PROOF_KIND_COUNT];

		if (!alive[to])
			return;
		effect.msg.from_node_id = FIRST_ID + from;
		dispatch_handle(cores[to].get(), &effect.msg, now_ms, told);
		for (int kind = 0; kind < PROOF_KIND_COUNT; kind++) {
			dispatch_proof &best = proofs[kind][to];
			if (told[kind].version == 0 ||
			    told[kind].as_of_ms < best.as_of_ms)
				continue;
			best = told[kind];
			dispatch_set_proof(cores[to].get(), (proof_kind)kind,
			    best.version, best.as_of_ms);
		}
	}

	struct catalog *catalog;
	struct effects effects;
};

TEST(Hubs, EveryDaemonLearnsOfAllWork)
{
	for (size_t count : { 1u, 2u, 7u, 9u, 10u, 30u, 76u }) {
		Fleet fleet(count, 6);

		fleet.run_for(500);
		for (size_t i = 0; i < count; i++)
			fleet.start_request(i);
		fleet.run_for(500);
		for (size_t i = 0; i < count; i++)
			EXPECT_EQ(fleet.believed(i), count)
			    << i << " of " << count;
	}
}

TEST(Hubs, EveryDaemonLearnsWhereASharedPartIsKept)
{
	for (size_t count : { 2u, 7u, 30u, 76u }) {
		Fleet fleet(count, 6);

		fleet.run_for(500);
		fleet.keep(count - 1, 5);
		fleet.keep(0, 6);
		EXPECT_EQ(fleet.unread(1 % count, 7), 6000u);
		fleet.run_for(500);
		for (size_t i = 0; i < count; i++) {
			EXPECT_EQ(fleet.unread(i, 5), 1000u) << i;
			EXPECT_EQ(fleet.unread(i, 6), 1000u) << i;
			EXPECT_EQ(fleet.unread(i, 7), 6000u) << i;
			/* told once, not round and round */
			EXPECT_EQ(fleet.cores[i]->kept_news->len, 0u) << i;
		}
		fleet.run_for(10000);
		EXPECT_EQ(fleet.unread(0, 5), 6000u);
	}
}

TEST(Hubs, MessagesOfADaemonDoNotGrowWithTheFleet)
{
	for (size_t count : { 30u, 76u, 370u }) {
		Fleet fleet(count, 8);
		uint64_t most = 0, ordinary = 0;

		fleet.run_for(1000);
		for (size_t i = 0; i < count; i++) {
			most = std::max(most, fleet.sent[i]);
			ordinary += fleet.sent[i] <= 10 ? 1 : 0;
		}
		/* hubs know each other: one for each eight daemons */
		EXPECT_LE(most, 10u * (9 + count / 8 + 30)) << count;
		EXPECT_GE(ordinary, count - std::max<size_t>(9, count / 8))
		    << count;
	}
}

TEST(Hubs, StrongDaemonsAreHubsFirst)
{
	Fleet fleet(76, 6);

	for (size_t i = 0; i < 6; i++)
		EXPECT_TRUE(fleet.cores[i]->is_hub);
}

TEST(Hubs, ALostHubIsPassedOverBeforeItsLossIsKnown)
{
	Fleet fleet(30, 0);
	uint32_t lost = 0;

	fleet.run_for(500);
	for (size_t i = 0; i < 30; i++)
		fleet.start_request(i);
	fleet.run_for(500);
	for (size_t i = 0; i < 30 && lost < 4; i++)
		if (fleet.cores[i]->is_hub) {
			fleet.alive[i] = false;
			lost++;
		}
	/* hubs that are lost too may be tried first */
	fleet.run_for(5000);
	for (size_t i = 0; i < 30; i++)
		if (fleet.alive[i]) {
			EXPECT_EQ(fleet.believed(i), 30u - lost) << i;
		}
	fleet.tell_live();
	fleet.run_for(3500);
	for (size_t i = 0; i < 30; i++)
		if (fleet.alive[i]) {
			EXPECT_EQ(fleet.believed(i), 30u - lost) << i;
		}
}

TEST(Hubs, AProofTravelsInTheReceiversClockAndNeverTooYoung)
{
	Fleet fleet(30, 0);

	fleet.run_for(500);
	dispatch_set_proof(fleet.cores[0].get(), PROOF_CONFIGURATION, 5,
	    fleet.now_ms);
	dispatch_set_proof(fleet.cores[0].get(), PROOF_ENDPOINTS, 77,
	    fleet.now_ms);
	uint64_t proven_ms = fleet.now_ms;
	fleet.run_for(1000);
	for (int kind = 0; kind < PROOF_KIND_COUNT; kind++)
		for (size_t i = 1; i < 30; i++) {
			const dispatch_proof &proof = fleet.proofs[kind][i];
			uint64_t as_of_ms = proof.as_of_ms - i * 100000;
			EXPECT_EQ(proof.version,
			    kind == PROOF_ENDPOINTS ? 77u : 5u)
			    << i;
			EXPECT_LE(as_of_ms, proven_ms) << i;
			EXPECT_GE(as_of_ms + 600, proven_ms) << i;
		}
}

} // namespace
