/**
 * @file
 * The core of decisions with pools, endpoints and reports as a test wants them.
 */
#ifndef TESTS_UNIT_DISPATCH_FIXTURE_H
#define TESTS_UNIT_DISPATCH_FIXTURE_H

#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <vector>

extern "C" {
#include "core/dispatch.h"
#include "core/dispatch_private.h"
#include "core/hash.h"
}

namespace dispatch_tests
{

constexpr uint64_t NODE = 7;

class Dispatch : public ::testing::Test
{
      protected:
	Dispatch()
	{
		dispatch_config config = {};

		config.node_id = NODE;
		config.domain_id = hash_name("z1");
		config.report_period_ms = 100;
		config.repeat_percent = 20;
		config.repeat_slack_count = 8;
		config.repeat_window_ms = 10000;
		dispatch_init(&dispatch, &config);
		effects_init(&effects);
		catalog = catalog_new();
		add_pool("engines", true);
		add_pool("service", false);
		dispatch_set_catalog(&dispatch, catalog);
	}

	~Dispatch() override
	{
		effects_finish(&effects);
		dispatch_finish(&dispatch);
		catalog_unref(catalog);
	}

	void add_pool(const char *name, bool engine)
	{
		catalog_pool pool = {};

		pool.pool_id = hash_name(name);
		g_strlcpy(pool.name, name, sizeof(pool.name));
		pool.engine = engine;
		pool.memory_tokens = engine ? 100000 : 0;
		g_array_append_val(catalog->pools, pool);
	}

	void add(const char *name, const char *pool = "engines",
	    uint32_t slots = 8, uint64_t born_ms = 1, bool leaving = false,
	    const char *domain = "z1")
	{
		dispatch_listing listing = {};

		g_strlcpy(listing.name, name, sizeof(listing.name));
		g_strlcpy(listing.address, "127.0.0.1:1",
		    sizeof(listing.address));
		listing.pool_id = hash_name(pool);
		listing.domain_id = hash_name(domain);
		listing.slots = slots;
		listing.born_ms = born_ms;
		listing.leaving = leaving;
		dispatch_put_endpoint(&dispatch, &listing, now_ms);
	}

	dispatch_ask ask(uint32_t prompt_tokens = 1000, uint64_t account_id = 1)
	{
		dispatch_ask ask = {};

		ask.pool_id = hash_name("engines");
		ask.account_id = account_id;
		ask.request_hash = ++hash;
		ask.prompt_tokens = prompt_tokens;
		ask.answer_tokens = 100;
		ask.aim_ms = 400;
		ask.left_ms = 12000;
		return ask;
	}

	dispatch_decision decide(const dispatch_ask &ask)
	{
		dispatch_decision decision;

		dispatch_decide(&dispatch, &ask, now_ms, &decision);
		return decision;
	}

	dispatch_ask ask_service()
	{
		dispatch_ask plain = ask(0, 0);

		plain.pool_id = hash_name("service");
		return plain;
	}

	/** Repeats requests of a pool until the budget is spent. */
	uint32_t repeats_allowed(const char *pool)
	{
		dispatch_ask again = ask(0, 0);
		uint32_t count = 0;

		again.pool_id = hash_name(pool);
		again.tried_ids[again.tried_count++] = hash_name("s1");
		while (count < 1000) {
			dispatch_decision decision = decide(again);
			if (!decision.start)
				break;
			dispatch_done(&dispatch, decision.seq, OUTCOME_WHOLE,
			    now_ms, nullptr);
			count++;
		}
		return count;
	}

	/** A repeat at the service, whose budget of repeats is spent. */
	dispatch_ask repeat_without_budget()
	{
		dispatch_ask again = ask_service();

		add("s1", "service", 100);
		add("s2", "service", 100);
		repeats_allowed("service");
		again.tried_ids[again.tried_count++] = hash_name("s1");
		return again;
	}

	/** Runs one request that ends in a way.
	 * @param first_token_ms time that its first token takes */
	void run(dispatch_outcome outcome, const dispatch_ask &ask,
	    uint64_t first_token_ms = 0)
	{
		dispatch_decision decision = decide(ask);

		ASSERT_TRUE(decision.start);
		now_ms += first_token_ms;
		dispatch_first(&dispatch, decision.seq, now_ms);
		dispatch_done(&dispatch, decision.seq, outcome, now_ms,
		    nullptr);
	}

	void tick_for(uint64_t duration_ms)
	{
		for (uint64_t end_ms = now_ms + duration_ms; now_ms < end_ms;
		     now_ms += 50) {
			dispatch_tick(&dispatch, now_ms, now_ms, &effects);
			effects_clear(&effects);
		}
	}

	struct dispatch_account *account_of(uint64_t account_id)
	{
		return dispatch_account(&dispatch, account_id);
	}

	/** A peer reports what it runs at an endpoint. */
	void report(uint64_t node_id, const char *endpoint,
	    uint32_t running_count, uint32_t reading_tokens)
	{
		load_endpoint load = { hash_name(endpoint), running_count,
			reading_tokens, 0 };
		msg msg = {};

		msg.u.load.endpoints = &load;
		msg.u.load.endpoints_count = 1;
		hear(node_id, &msg);
	}

	/** A peer tells that an endpoint has got a part to read. */
	void keep(uint64_t node_id, const char *endpoint, uint64_t part_id)
	{
		load_kept kept = { hash_name(endpoint), part_id };
		msg msg = {};

		msg.u.load.kept = &kept;
		msg.u.load.kept_count = 1;
		hear(node_id, &msg);
	}

	void hear(uint64_t node_id, msg *msg)
	{
		dispatch_proof proofs[PROOF_KIND_COUNT];

		msg->type = MSG_LOAD;
		msg->from_node_id = node_id;
		dispatch_handle(&dispatch, msg, now_ms, proofs);
	}

	struct dispatch dispatch;
	struct effects effects;
	struct catalog *catalog;
	uint64_t now_ms = 1000000;
	uint64_t hash = 0;
};

} // namespace dispatch_tests

#endif
