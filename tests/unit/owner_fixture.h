/**
 * @file
 * The owner of a pool with one endpoint, and helpers for the messages that it
 * gets from the nodes and sends to them.
 */
#ifndef TESTS_UNIT_OWNER_FIXTURE_H
#define TESTS_UNIT_OWNER_FIXTURE_H

#include <gtest/gtest.h>

#include <cstring>
#include <vector>

extern "C" {
#include "core/hash.h"
#include "core/owner.h"
}

namespace owner_tests
{

constexpr uint64_t NODE = 11, OTHER_NODE = 12, POOL = 21;
constexpr uint64_t ACCOUNT_A = 31, ACCOUNT_B = 32;

inline report_item
running_item(uint64_t seq)
{
	return { ACCOUNT_A, seq, 41, 0, 1, 10, REPORT_RUNNING };
}

inline report_item
waiting_item(uint64_t seq)
{
	return { ACCOUNT_A, seq, 0, 0, 0, 10, REPORT_WAITING };
}

class OwnerTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		const uint64_t live[] = { NODE, OTHER_NODE };
		// the times: sync_timeout, grant_settle, report_period
		const owner_config config = { NODE, POOL, &fair_vtc, 100, 50,
			50 };

		endpoints[0].endpoint_id = 41;
		pool_row.pool_id = POOL;
		pool_row.slots_per_endpoint = 2;
		pool_row.estimate_tokens = 10;
		pool_row.request_max_tokens = 100;
		pool_row.endpoints = endpoints;
		pool_row.endpoint_count = 1;
		tables.pools = &pool_row;
		tables.pool_count = 1;
		effects_init(&effects);
		owner_init(&owner, &config, 1000, 0, live, 2, &effects);
		owner_set_tables(&owner, &tables, 0, &effects);
	}

	void TearDown() override
	{
		owner_finish(&owner);
		effects_finish(&effects);
	}

	void request_slot(uint64_t node, uint64_t seq, uint64_t account,
	    uint64_t now_ms)
	{
		msg message = {};

		message.type = MSG_SLOT_REQUEST;
		message.from_node_id = node;
		message.u.slot_request.pool_id = POOL;
		message.u.slot_request.seq = seq;
		message.u.slot_request.account_id = account;
		message.u.slot_request.estimate_tokens = 10;
		owner_handle(&owner, &message, now_ms, &effects);
	}

	void send_done(uint64_t node, uint64_t seq, uint64_t tokens,
	    uint64_t now_ms, done_outcome outcome = DONE_COMPLETE)
	{
		msg message = {};

		message.type = MSG_DONE;
		message.from_node_id = node;
		message.u.done.pool_id = POOL;
		message.u.done.seq = seq;
		message.u.done.tokens = tokens;
		message.u.done.send_seq = ++send_seq;
		message.u.done.outcome = (uint8_t)outcome;
		owner_handle(&owner, &message, now_ms, &effects);
	}

	void return_grant(uint64_t node, uint64_t seq, uint64_t endpoint,
	    uint64_t now_ms, uint64_t grant_seq)
	{
		msg message = {};

		message.type = MSG_CANCEL;
		message.from_node_id = node;
		message.u.cancel = { POOL, seq, ++send_seq, endpoint,
			grant_seq };
		owner_handle(&owner, &message, now_ms, &effects);
	}

	size_t take_sent_count(msg_type type)
	{
		size_t found = 0;

		for (size_t i = 0; i < effects.count; i++)
			found += effects.items[i].msg.type == type;
		effects_clear(&effects);
		return found;
	}

	const fair_account *account(uint64_t id)
	{
		return fair_queue_account(&owner.queue,
		    fair_queue_account_index(&owner.queue, id));
	}

	void send_report(uint64_t node, std::vector<report_item> items,
	    uint64_t now_ms, uint64_t seq_max = 1000, uint64_t incarnation = 0)
	{
		msg message = {};

		message.type = MSG_REQUEST_REPORT;
		message.from_node_id = node;
		message.u.request_report.pool_id = POOL;
		message.u.request_report.items = items.data();
		message.u.request_report.item_count = (uint32_t)items.size();
		message.u.request_report.send_seq = ++send_seq;
		message.u.request_report.full = 1;
		message.u.request_report.seq_max = seq_max;
		message.from_incarnation = incarnation;
		owner_handle(&owner, &message, now_ms, &effects);
	}

	std::vector<uint64_t> take_grants()
	{
		std::vector<uint64_t> seqs;

		for (size_t i = 0; i < effects.count; i++)
			if (effects.items[i].msg.type == MSG_GRANT)
				seqs.push_back(
				    effects.items[i].msg.u.grant.seq);
		effects_clear(&effects);
		return seqs;
	}

	uint64_t send_seq = 0;
	struct owner owner;
	struct effects effects;
	struct tables tables = {};
	struct pool pool_row = {};
	struct endpoint endpoints[1] = {};
};

} // namespace owner_tests

#endif
