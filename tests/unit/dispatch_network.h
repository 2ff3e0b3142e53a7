/**
 * @file
 * Deciding parts of daemons that exchange messages without delay, under a virtual
 * clock.
 */
#ifndef TESTS_UNIT_DISPATCH_NETWORK_H
#define TESTS_UNIT_DISPATCH_NETWORK_H

#include <memory>
#include <vector>

extern "C" {
#include "core/delegation.h"
#include "core/dispatch.h"
#include "core/dispatch_private.h"
#include "core/hash.h"
}

namespace dispatch_network
{

/** node_id of daemon 0; those of the others follow. */
constexpr uint64_t FIRST_ID = 100;

class Network
{
      public:
	Network()
	{
		effects_init(&effects);
	}

	virtual ~Network()
	{
		effects_finish(&effects);
		for (auto &item : delegations)
			delegation_finish(item.get());
		for (auto &core : cores)
			dispatch_finish(core.get());
	}

	Network(const Network &) = delete;
	Network &operator=(const Network &) = delete;

	std::vector<std::unique_ptr<struct dispatch>> cores;
	std::vector<std::unique_ptr<delegation>> delegations;
	uint64_t now_ms = 50000;

      protected:
	/** @return whether a message arrives */
	virtual bool carries(size_t from, size_t to, const msg &msg) = 0;

	/** Called after a report was handled.
	 * @param reported what it says of each kind of resource */
	virtual void on_report(size_t, const dispatch_freshness *)
	{
	}

	/** Delivers the messages among the effects of a daemon, and those that
	 * follow. */
	void run_effects(size_t i)
	{
		struct effects own = effects;

		effects_init(&effects);
		for (size_t at = 0; at < own.count; at++)
			if (own.items[at].type == EFFECT_SEND)
				deliver(i, own.items[at]);
		effects_finish(&own);
	}

	struct effects effects;

      private:
	void deliver(size_t from, effect &effect)
	{
		size_t to = (size_t)(effect.to_node_id - FIRST_ID);

		if (!carries(from, to, effect.msg))
			return;
		effect.msg.from_node_id = FIRST_ID + from;
		handle(to, effect.msg);
		run_effects(to);
	}

	void handle(size_t to, const msg &msg)
	{
		struct dispatch *core = cores[to].get();
		dispatch_freshness reported[RESOURCE_KIND_COUNT];

		if (msg.type == MSG_REPORT) {
			dispatch_handle_report(core, &msg, now_ms, reported);
			on_report(to, reported);
		} else if (msg.type == MSG_CRASH_RECORDS)
			dispatch_handle_crash_records(core, &msg, now_ms);
		else if (msg.type == MSG_ENDPOINT_LIMITS)
			dispatch_handle_endpoint_limits(core, &msg, now_ms);
		else if (msg.type == MSG_PLACE_REQUEST)
			dispatch_handle_place_request(core, &msg, now_ms,
			    &effects);
		else if (msg.type == MSG_PLACEMENT)
			delegation_handle_placement(delegations[to].get(), &msg,
			    now_ms, &effects);
		else if (msg.type == MSG_ATTEMPT_EVENTS)
			dispatch_handle_attempt_events(core, &msg, now_ms,
			    &effects);
		else if (msg.type == MSG_RUNNING_ATTEMPTS)
			dispatch_handle_running_attempts(core, &msg, now_ms);
	}
};

} // namespace dispatch_network

#endif
