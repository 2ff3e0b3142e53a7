/**
 * @file
 * What the soak runs: daemons as processes behind fault proxies, endpoints that
 * remember what they ran, and callers that remember what they were told.
 */
#ifndef TESTS_SOAK_WORLD_H
#define TESTS_SOAK_WORLD_H

#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <vector>

#include "fault_proxy.h"
#include "gateway_harness.h"

namespace soak
{

using Random = std::mt19937_64;

/** What callers were told and endpoints ran, by request id. */
class Ledger
{
      public:
	struct Entry {
		uint32_t runs = 0;
		uint32_t status = 0; /**< 0: no whole answer */
		bool repeatable = false;
		bool key_held = false; /**< still when it was answered */
		bool after_revoked = false; /**< ran with a key long gone */
		std::string body;
	};

	void ran(const std::string &id, bool after_revoked)
	{
		std::lock_guard<std::mutex> lock(mutex_);
		Entry &entry = entries_[id];

		entry.runs++;
		entry.after_revoked |= after_revoked;
	}

	void told(const std::string &id, const Entry &answer)
	{
		std::lock_guard<std::mutex> lock(mutex_);
		Entry &entry = entries_[id];

		entry.status = answer.status;
		entry.body = answer.body;
		entry.repeatable = answer.repeatable;
		entry.key_held = answer.key_held;
	}

	std::map<std::string, Entry> take()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		return entries_;
	}

      private:
	std::mutex mutex_;
	std::map<std::string, Entry> entries_;
};

/** Keys come and go; a key may still run for a while after it was taken away. */
class Keys
{
      public:
	/** @return a key of the configuration now and of the one before */
	std::string current()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		return "k" + std::to_string(number_ - 1);
	}

	/** Whether the newest configuration holds a key. */
	bool holds(const std::string &key)
	{
		std::lock_guard<std::mutex> lock(mutex_);

		return std::stoull(key.substr(1)) + 1 >= number_;
	}

	/** @return the keys of the next configuration */
	std::string next()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		number_++;
		return "\"k" + std::to_string(number_ - 1) + "\",\"k" +
		    std::to_string(number_) + "\"";
	}

	/** Notes that the keys before the last two are gone. */
	void acknowledged()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		if (number_ >= 2)
			gone_at_[number_ - 2] =
			    std::chrono::steady_clock::now();
	}

	bool is_long_gone(uint64_t number, uint32_t bound_ms)
	{
		std::lock_guard<std::mutex> lock(mutex_);
		auto found = gone_at_.lower_bound(number);

		return found != gone_at_.end() &&
		    std::chrono::steady_clock::now() >
		    found->second + std::chrono::milliseconds(bound_ms);
	}

      private:
	std::mutex mutex_;
	uint64_t number_ = 0;
	std::map<uint64_t, std::chrono::steady_clock::time_point> gone_at_;
};

/** An endpoint that misbehaves for some ids. */
class Endpoint : public Acceptor
{
      public:
	Endpoint(std::string name, Ledger *ledger, uint64_t seed)
	    : name_(std::move(name)), ledger_(ledger), seed_(seed)
	{
		start();
	}

	~Endpoint() override
	{
		stop();
	}

	/** Whether the key that a request was sent with is long gone, by its
	 * id. */
	std::function<bool(const std::string &)> key_is_old;

      private:
	static std::string header(const std::string &request,
	    const std::string &name)
	{
		size_t at = request.find("\r\n" + name + ": ");

		if (at == std::string::npos)
			return "";
		at += name.size() + 4;
		return request.substr(at, request.find("\r\n", at) - at);
	}

	std::string events(const std::string &request, bool whole) const
	{
		std::string head = e2e::response_text(request, "", "200 OK",
		    "Content-Type: text/event-stream\r\n");
		std::string text = head.substr(0, head.find("Content-Length")) +
		    "Transfer-Encoding: chunked\r\n\r\n";

		for (int i = 1; i <= (whole ? 3 : 2); i++)
			text += "10\r\nid: " + std::to_string(i) + "\ndata: x" +
			    std::to_string(i) + "\n\n\r\n";
		return whole ? text + "0\r\n\r\n" : text;
	}

	void answer(e2e::Peer &peer, const std::string &request,
	    const std::string &id, uint64_t way)
	{
		bool stream = request.find(" /flow/") != std::string::npos;

		if (way < 3) {
			peer.send_text("HTTP/1.1 503 Full\r\n"
				       "X-Bamboorudder-Not-Executed: 1\r\n"
				       "Content-Length: 0\r\n\r\n");
			return;
		}
		ledger_->ran(id, key_is_old && key_is_old(id));
		if (way < 6)
			return;
		if (way < 9)
			peer.send_text(e2e::response_text(request, "bad",
			    "500 Internal Server Error"));
		else if (stream)
			peer.send_text(events(request, way >= 12));
		else if (way < 12)
			peer.send_text(e2e::response_text(request, "of:" + id)
					   .substr(0, 60));
		else
			peer.send_text(e2e::response_text(request, "of:" + id));
	}

	void serve(int fd) override
	{
		e2e::Peer peer(fd);
		timeval limit = { 2, 0 };
		std::string request, id;

		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		request = peer.read_request();
		id = header(request, "X-Bamboorudder-Request-Id");
		if (!id.empty() &&
		    header(request, "X-Bamboorudder-Expect-Replica") == name_)
			answer(peer, request, id,
			    std::hash<std::string>()(
				id + name_ + std::to_string(seed_)) %
				100);
		close(fd);
	}

	std::string name_;
	Ledger *ledger_;
	uint64_t seed_;
};

/** One daemon, its own way to the store, and its process. */
struct Daemon {
	uint16_t listen_port, readiness_port, admin_port, peer_port;
	std::string settings_path, log_path;
	std::unique_ptr<FaultProxy> store;
	std::unique_ptr<e2e::Process> process;
	std::mutex mutex; /**< one signal at a time */
};

} // namespace soak

#endif
