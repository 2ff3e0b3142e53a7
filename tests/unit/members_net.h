/**
 * @file
 * Simulated network of membership cores with a virtual clock. Messages are
 * encoded, decoded and delivered to the receiver's inbox.
 */
#ifndef TESTS_UNIT_MEMBERS_NET_H
#define TESTS_UNIT_MEMBERS_NET_H

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "common/codec.h"
#include "core/gossip.h"
#include "core/members.h"
}

constexpr uint64_t STEP_MS = 10;

struct Node {
	members core;
	bool running = false; /* started and not paused */
	bool dead = false;
	uint64_t up_count = 0, down_count = 0, sent_bytes = 0;
	std::deque<msg> inbox;
};

class MembersNet
{
      public:
	explicit MembersNet(size_t count, size_t domains = 4)
	    : domains_(domains), nodes(count)
	{
		bytes_ = g_byte_array_new();
		effects_init(&effects_);
		for (size_t i = 0; i < count; i++)
			start(i, 1000 + i);
	}
	~MembersNet()
	{
		for (auto &node : nodes) {
			drop_inbox(node);
			members_finish(&node.core);
		}
		effects_finish(&effects_);
		g_byte_array_free(bytes_, TRUE);
	}
	MembersNet(const MembersNet &) = delete;
	MembersNet &operator=(const MembersNet &) = delete;

	/* Starts a node with the first three nodes as its seeds. */
	void start(size_t index, uint64_t incarnation)
	{
		members_config config = {};
		Node &node = nodes[index];

		if (node.core.peers != nullptr)
			members_finish(&node.core);
		snprintf(config.self.address, sizeof(config.self.address),
		    "10.0.%zu.%zu:7000", index / 250, index % 250);
		snprintf(config.self.domain, sizeof(config.self.domain), "d%zu",
		    index % domains_);
		config.self.incarnation = incarnation;
		config.heartbeat_period_ms = 500;
		config.down_after_ms = 2000;
		members_init(&node.core, &config);
		index_of_[node.core.config.self.node_id] = index;
		for (size_t i = 0; i < 3; i++)
			members_add_seed(&node.core,
			    ("10.0.0." + std::to_string(i) + ":7000").c_str());
		node.running = true;
		node.dead = false;
		drop_inbox(node);
	}

	/* Makes all nodes known to each other, without queued updates. */
	void connect_all()
	{
		for (auto &node : nodes) {
			for (const auto &other : nodes) {
				member_update update;
				gossip_make_update(&other.core.config.self,
				    &update);
				gossip_apply_update(&node.core, &update, now_ms,
				    &effects_);
			}
			effects_clear(&effects_);
			node.core.joined = true;
			node.core.config.self.update_sends_remaining = 0;
			for (guint i = 0; i < node.core.peers->len; i++)
				g_array_index(node.core.peers, member, i)
				    .update_sends_remaining = 0;
		}
	}

	void kill(size_t index)
	{
		nodes[index].running = false;
		nodes[index].dead = true;
	}

	void pause(size_t index, bool paused)
	{
		nodes[index].running = !paused;
	}

	void run_ms(uint64_t duration_ms)
	{
		for (uint64_t end = now_ms + duration_ms; now_ms < end;)
			step();
	}

	/* Runs until a condition holds. Returns the elapsed time in ms, or -1
	 * if the limit was exceeded. */
	int64_t run_until(const std::function<bool()> &condition,
	    uint64_t limit_ms)
	{
		uint64_t begin_ms = now_ms;

		while (!condition()) {
			if (now_ms - begin_ms >= limit_ms)
				return -1;
			step();
		}
		return (int64_t)(now_ms - begin_ms);
	}

	size_t live_count(size_t index) const
	{
		uint64_t ids[MEMBERS_MAX_COUNT];

		return members_list_live(&nodes[index].core, ids,
		    MEMBERS_MAX_COUNT);
	}

	/* Returns whether each running node sees this number of live nodes. */
	bool all_see_live(size_t count) const
	{
		for (size_t i = 0; i < nodes.size(); i++)
			if (nodes[i].running && live_count(i) != count)
				return false;
		return true;
	}

	uint64_t id(size_t index) const
	{
		return nodes[index].core.config.self.node_id;
	}

	const member *member_seen_by(size_t observer, size_t index) const
	{
		return members_find(&nodes[observer].core, id(index));
	}

	uint64_t sent_bytes() const
	{
		uint64_t total_bytes = 0;

		for (const auto &node : nodes)
			total_bytes += node.sent_bytes;
		return total_bytes;
	}

	void apply_effects(size_t from)
	{
		for (size_t i = 0; i < effects_.count; i++)
			apply_effect(from, effects_.items[i]);
		effects_clear(&effects_);
	}

	effects *effects_list()
	{
		return &effects_;
	}

      private:
	size_t domains_;

      public:
	std::vector<Node> nodes;
	/* whether messages from the first to the second node are lost */
	std::function<bool(size_t, size_t)> is_link_cut = [](size_t, size_t) {
		return false;
	};
	uint64_t now_ms = 1;

      private:
	static void drop_inbox(Node &node)
	{
		for (auto &message : node.inbox)
			codec_release(&message);
		node.inbox.clear();
	}

	void apply_effect(size_t from, effect &item)
	{
		Node &node = nodes[from];

		if (item.type == EFFECT_MEMBER_UP)
			node.up_count++;
		if (item.type == EFFECT_MEMBER_DOWN)
			node.down_count++;
		if (item.type != EFFECT_SEND)
			return;
		item.msg.from_node_id = id(from);
		item.msg.from_incarnation = node.core.config.self.incarnation;
		g_byte_array_set_size(bytes_, 0);
		codec_encode(&item.msg, bytes_);
		node.sent_bytes += bytes_->len;
		auto to = index_of_.find(item.to_node_id);
		if (to == index_of_.end() || nodes[to->second].dead ||
		    is_link_cut(from, to->second))
			return;
		std::deque<msg> &inbox = nodes[to->second].inbox;
		inbox.emplace_back();
		if (!codec_decode(bytes_->data, bytes_->len, &inbox.back()))
			inbox.pop_back();
	}

	void step()
	{
		now_ms += STEP_MS;
		for (size_t i = 0; i < nodes.size(); i++) {
			Node &node = nodes[i];
			size_t count = node.inbox.size();
			if (!node.running)
				continue;
			for (; count > 0; count--) {
				msg &message = node.inbox.front();
				members_handle_message(&node.core, &message,
				    now_ms, &effects_);
				codec_release(&message);
				node.inbox.pop_front();
				apply_effects(i);
			}
			if ((now_ms / STEP_MS + i) % 5 == 0) {
				members_tick(&node.core, now_ms, &effects_);
				apply_effects(i);
			}
		}
	}

	std::map<uint64_t, size_t> index_of_;
	effects effects_;
	GByteArray *bytes_;
};

#endif
