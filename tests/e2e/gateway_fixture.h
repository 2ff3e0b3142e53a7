/**
 * @file
 * One daemon with a gateway, two endpoints and a route of each kind.
 */
#ifndef TESTS_E2E_GATEWAY_FIXTURE_H
#define TESTS_E2E_GATEWAY_FIXTURE_H

#include <poll.h>

#include <atomic>
#include <chrono>
#include <thread>

#include "gateway_harness.h"

namespace e2e
{

inline const std::vector<RouteSpec> routes = {
	{ "/safe/", "safe", 2 },
	{ "/once/", "unsafe", 1 },
	{ "/flow/", "streaming", 1 },
	{ "/again/", "streaming", 2, true, true },
	{ "/keyed/", "safe", 1, false },
	{ "/short/", "safe", 1, true, false, 400 },
	{ "/short-once/", "unsafe", 1, true, false, 400 },
	{ "/short-flow/", "streaming", 1, true, false, 400 },
};

inline const char accounts[] =
    "{\"name\":\"desk\",\"api_keys\":[\"k1\"],\"priority\":1}";

class Gateway : public ::testing::Test
{
      protected:
	explicit Gateway(const std::string &platform_settings = "",
	    const std::string &listen_settings = "",
	    const std::string &admin_settings = "")
	    : harness(platform_settings, "", listen_settings, admin_settings)
	{
	}

	void start(uint64_t version = 3)
	{
		harness.store.put("config", "main",
		    configuration_json(version, routes, accounts, limits));
		harness.add_endpoint("e1", first_endpoint);
		ASSERT_TRUE(eventually([&] {
			return harness.is_ready() && harness.discovered("e1");
		})) << harness.daemon->log();
	}

	/** Sends a request until one is not refused unrun, as a busy daemon
	 * does. */
	Response send_until_taken()
	{
		Response response;

		EXPECT_TRUE(eventually([&] {
			response = harness.send("POST", "/once/", {}, "b");
			return response.status != 503;
		}));
		return response;
	}

	/** Counts requests and responds to each with a complete response. */
	static ScriptedEndpoint::Script
	count_and_respond(std::atomic<int> *count,
	    const std::string &body = "whole")
	{
		return [count, body](Connection &connection,
			   const std::string &request) {
			(*count)++;
			connection.send_text(response_text(request, body));
		};
	}

	/* before the endpoints, whose scripts use them until they end */
	std::atomic<int> first_request_count{ 0 }, second_request_count{ 0 };
	ScriptedEndpoint first_endpoint, second_endpoint;
	GatewayHarness harness;
	std::string limits = DEFAULT_LIMITS;
};

/** A caller's connection with one request. */
class Caller
{
      public:
	Caller(uint16_t port, const std::string &path, uint32_t number)
	    : Caller(port,
		  "GET " + path +
		      " HTTP/1.1\r\nHost: a.example\r\n"
		      "X-Bamboorudder-Request-Id: c" +
		      std::to_string(number) +
		      "\r\nX-Bamboorudder-Deadline-Ms: 8000\r\n\r\n")
	{
	}

	Caller(uint16_t port, const std::string &text,
	    const std::string &host = "127.0.0.1")
	{
		sockaddr_in address = {};

		fd_ = socket(AF_INET, SOCK_STREAM, 0);
		address.sin_family = AF_INET;
		address.sin_port = htons(port);
		address.sin_addr.s_addr = inet_addr(host.c_str());
		EXPECT_EQ(connect(fd_, reinterpret_cast<sockaddr *>(&address),
			      sizeof(address)),
		    0);
		send_text(text);
	}

	~Caller()
	{
		close(fd_);
	}

	Caller(const Caller &) = delete;
	Caller &operator=(const Caller &) = delete;

	void send_text(const std::string &text) const
	{
		EXPECT_EQ(::send(fd_, text.data(), text.size(), MSG_NOSIGNAL),
		    (ssize_t)text.size());
	}

	/** Sends a body until it is sent, the connection ends, or a flag is
	 * set. */
	void send_until_ended(size_t length,
	    const std::atomic<bool> &ended) const
	{
		const std::string block(65536, 'b');

		while (length > 0 && !ended) {
			ssize_t sent = ::send(fd_, block.data(),
			    std::min(length, block.size()),
			    MSG_NOSIGNAL | MSG_DONTWAIT);

			if (sent >= 0)
				length -= (size_t)sent;
			else if (errno != EAGAIN)
				return;
			else
				std::this_thread::sleep_for(
				    std::chrono::milliseconds(10));
		}
	}

	/** Waits for the first bytes of the response, or the end.
	 * @param timeout_ms 0: for any time */
	std::string receive(uint32_t timeout_ms = 0) const
	{
		const timeval timeout = { timeout_ms / 1000,
			(timeout_ms % 1000) * 1000 };

		setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout,
		    sizeof(timeout));
		return receive_some();
	}

	/** Receives until the connection ends or a time has passed.
	 * @return whether it has ended */
	bool receive_rest(uint32_t timeout_ms, std::string &text) const
	{
		auto until = std::chrono::steady_clock::now() +
		    std::chrono::milliseconds(timeout_ms);

		while (std::chrono::steady_clock::now() < until) {
			pollfd ready = { fd_, POLLIN, 0 };

			if (poll(&ready, 1, 10) == 0)
				continue;
			std::string part = receive_some();
			if (part.empty())
				return true;
			text += part;
		}
		return false;
	}

      private:
	std::string receive_some() const
	{
		char buffer[4096];
		ssize_t count = recv(fd_, buffer, sizeof(buffer), 0);

		return std::string(buffer, count < 0 ? 0 : (size_t)count);
	}

	int fd_;
};

inline std::string
event_stream_head(const std::string &request)
{
	std::string head = response_text(request, "", "200 OK",
	    "Content-Type: text/event-stream\r\n");
	size_t length_start = head.find("Content-Length");

	return head.substr(0, length_start) +
	    "Transfer-Encoding: chunked\r\n\r\n";
}

} // namespace e2e

#endif
