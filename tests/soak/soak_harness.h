/**
 * @file
 * Parts of the soak: daemon processes behind fault proxies, endpoints that fail
 * some requests, and a record of what endpoints ran and callers received.
 */
#ifndef TESTS_SOAK_SOAK_HARNESS_H
#define TESTS_SOAK_SOAK_HARNESS_H

#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <vector>

#include "fault_proxy.h"
#include "gateway_harness.h"

namespace soak
{

using Random = std::mt19937_64;
using Clock = std::chrono::steady_clock;

/** Executions at endpoints and responses to callers, by request id. */
class RequestLog
{
      public:
	struct Entry {
		uint32_t runs = 0;
		uint32_t status = 0; /**< 0 if no complete response */
		bool idempotent = false;
		bool key_was_valid = false; /**< when the response came */
		std::string key; /**< empty if the route needs none */
		std::string body;
		Clock::time_point sent_at, last_run_at;
	};

	void record_sent(const std::string &id, const std::string &key)
	{
		std::lock_guard<std::mutex> lock(mutex_);
		Entry &entry = entries_[id];

		entry.key = key;
		entry.sent_at = Clock::now();
	}

	void record_run(const std::string &id)
	{
		std::lock_guard<std::mutex> lock(mutex_);
		Entry &entry = entries_[id];

		entry.runs++;
		entry.last_run_at = Clock::now();
	}

	void record_response(const std::string &id, const Entry &response)
	{
		std::lock_guard<std::mutex> lock(mutex_);
		Entry &entry = entries_[id];

		entry.status = response.status;
		entry.body = response.body;
		entry.idempotent = response.idempotent;
		entry.key_was_valid = response.key_was_valid;
	}

	std::map<std::string, Entry> entries()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		return entries_;
	}

      private:
	std::mutex mutex_;
	std::map<std::string, Entry> entries_;
};

/** Collects a response; a callback of libcurl. */
inline size_t
append_body(char *bytes, size_t size, size_t count, void *context)
{
	static_cast<std::string *>(context)->append(bytes, size * count);
	return size * count;
}

/** @return whether a body is the whole response to a request */
inline bool
is_complete(const std::string &id, const std::string &body)
{
	return body == "of:" + id ||
	    body ==
	    "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\n"
	    "id: 3\ndata: x3\n\n";
}

/**
 * Keys of an account, replaced with each configuration. A daemon may accept a
 * revoked key for revoke_ms.
 */
class KeyRotation
{
      public:
	/** @return the key that the last two configurations have in common */
	std::string current()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		return "k" + std::to_string(newest_number_ - 1);
	}

	/** @return a key that a configuration has had, up to age older than
	 * the current one */
	std::string former(uint64_t age)
	{
		std::lock_guard<std::mutex> lock(mutex_);

		return "k" +
		    std::to_string(
			newest_number_ - 1 - std::min(age, newest_number_ - 2));
	}

	/** Whether the newest configuration contains a key. */
	bool is_valid(const std::string &key)
	{
		std::lock_guard<std::mutex> lock(mutex_);

		return std::stoull(key.substr(1)) + 1 >= newest_number_;
	}

	/** @return the keys of the next configuration, as JSON strings */
	std::string rotate()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		newest_number_++;
		return "\"k" + std::to_string(newest_number_ - 1) + "\",\"k" +
		    std::to_string(newest_number_) + "\"";
	}

	/** Records that the store has a configuration without older keys. */
	void record_stored()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		if (newest_number_ >= 2)
			revoked_at_[newest_number_ - 2] = Clock::now();
	}

	/** @return when the first configuration without a key was stored,
	 * nothing while the newest has it */
	std::optional<Clock::time_point> revoked_at(const std::string &key)
	{
		std::lock_guard<std::mutex> lock(mutex_);
		auto found = revoked_at_.find(std::stoull(key.substr(1)));

		if (found == revoked_at_.end())
			return std::nullopt;
		return found->second;
	}

      private:
	std::mutex mutex_;
	uint64_t newest_number_ = 0;
	std::map<uint64_t, Clock::time_point> revoked_at_;
};

/** An endpoint that fails a part of the requests, chosen by their ids. */
class FaultyEndpoint : public TcpServer
{
      public:
	FaultyEndpoint(std::string name, RequestLog *request_log, uint64_t seed)
	    : name_(std::move(name)), request_log_(request_log), seed_(seed)
	{
		start();
	}

	~FaultyEndpoint() override
	{
		stop();
	}

	/** Starts again as a new process, under the same name. */
	void restart()
	{
		born_ms_++;
	}

	/** @return the entry in the store, behind a proxy's address */
	std::string entry(const std::string &address,
	    const std::string &phase) const
	{
		std::string text = e2e::endpoint_entry_json("app", address,
		    phase);
		size_t at = text.find(BORN);

		return text.replace(at, strlen(BORN),
		    "\"born\":" + std::to_string(born_ms_) + "}");
	}

      private:
	static std::string header_value(const std::string &request,
	    const std::string &name)
	{
		size_t at = request.find("\r\n" + name + ": ");

		if (at == std::string::npos)
			return "";
		at += name.size() + 4;
		return request.substr(at, request.find("\r\n", at) - at);
	}

	std::string event_stream(const std::string &request,
	    bool complete) const
	{
		std::string head = e2e::response_text(request, "", "200 OK",
		    "Content-Type: text/event-stream\r\n");
		std::string text = head.substr(0, head.find("Content-Length")) +
		    "Transfer-Encoding: chunked\r\n\r\n";

		for (int i = 1; i <= (complete ? 3 : 2); i++)
			text += "10\r\nid: " + std::to_string(i) + "\ndata: x" +
			    std::to_string(i) + "\n\n\r\n";
		return complete ? text + "0\r\n\r\n" : text;
	}

	/** The selector, 0 to 99, chooses the response or a failure. */
	void respond(e2e::Connection &connection, const std::string &request,
	    const std::string &id, uint64_t selector)
	{
		bool stream = request.find(" /flow/") != std::string::npos;

		if (selector < 3) {
			connection.send_text(
			    "HTTP/1.1 503 Full\r\n"
			    "X-Bamboorudder-Not-Executed: 1\r\n"
			    "Content-Length: 0\r\n\r\n");
			return;
		}
		request_log_->record_run(id);
		if (selector < 6)
			return;
		if (selector < 9)
			connection.send_text(e2e::response_text(request, "bad",
			    "500 Internal Server Error"));
		else if (stream)
			connection.send_text(
			    event_stream(request, selector >= 12));
		else if (selector < 12)
			connection.send_text(
			    e2e::response_text(request, "of:" + id)
				.substr(0, 60));
		else
			connection.send_text(
			    e2e::response_text(request, "of:" + id));
	}

	void serve(int fd) override
	{
		e2e::Connection connection(fd);
		timeval limit = { 2, 0 };
		std::string request, id;

		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		request = connection.read_request();
		id = header_value(request, "X-Bamboorudder-Request-Id");
		if (!id.empty() &&
		    header_value(request, "X-Bamboorudder-Expect-Replica") ==
			name_)
			respond(connection, request, id,
			    std::hash<std::string>()(
				id + name_ + std::to_string(seed_)) %
				100);
		close(fd);
	}

	static constexpr char BORN[] = "\"born\":5}";

	std::string name_;
	RequestLog *request_log_;
	uint64_t seed_, born_ms_ = 5;
};

/** A daemon process and its proxy to the store. */
struct Daemon {
	uint16_t listen_port, readiness_port, admin_port;
	std::string peer_address, settings_path, log_path;
	std::unique_ptr<FaultProxy> store_proxy;
	std::unique_ptr<e2e::Process> process;
	std::mutex mutex; /**< held while a fault of the process lasts */

	uint32_t taken_before_count = 0; /**< by processes that have ended */

	/** @return the connections that it took from others */
	uint32_t taken_count() const
	{
		static const char name[] =
		    "\nbamboorudder_handoffs_taken_total ";
		std::string text = e2e::send_request("GET",
		    "http://127.0.0.1:" + std::to_string(admin_port) +
			"/metrics")
				       .body;
		size_t at = text.find(name);

		if (at == std::string::npos)
			return taken_before_count;
		return taken_before_count +
		    (uint32_t)std::stoul(text.substr(at + strlen(name)));
	}
};

} // namespace soak

#endif
