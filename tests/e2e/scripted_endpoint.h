/**
 * @file
 * An endpoint in the test process that sends arbitrary bytes, for HTTP errors
 * that the stand-ins don't produce.
 */
#ifndef TESTS_E2E_SCRIPTED_ENDPOINT_H
#define TESTS_E2E_SCRIPTED_ENDPOINT_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace e2e
{

/** A connection from the daemon to a scripted endpoint. */
class Connection
{
      public:
	explicit Connection(int fd) : fd_(fd)
	{
	}

	/** Reads the head, and bytes that come with it. */
	std::string read_head()
	{
		std::string text;

		while (text.find("\r\n\r\n") == std::string::npos)
			if (!read_more(&text))
				break;
		return text;
	}

	/** Reads the head and as many body bytes as it announces. */
	std::string read_request()
	{
		std::string text = read_head();
		size_t end = text.find("\r\n\r\n");

		if (end == std::string::npos)
			return text;
		size_t at = text.find("Content-Length: ");
		size_t length = at > end ? 0 : std::stoul(text.substr(at + 16));
		while (text.size() < end + 4 + length)
			if (!read_more(&text))
				return text;
		return text;
	}

	bool send_text(const std::string &text)
	{
		size_t sent = 0;

		while (sent < text.size()) {
			ssize_t count = ::send(fd_, text.data() + sent,
			    text.size() - sent, MSG_NOSIGNAL);
			if (count <= 0)
				return false;
			sent += (size_t)count;
		}
		return true;
	}

	/** Lets the connection end by a reset instead of its end. */
	void end_by_reset()
	{
		linger reset = { 1, 0 };

		setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	}

      private:
	bool read_more(std::string *text)
	{
		char buffer[4096];
		ssize_t count = recv(fd_, buffer, sizeof(buffer), 0);

		if (count > 0)
			text->append(buffer, (size_t)count);
		return count > 0;
	}

	int fd_;
};

/** Runs a script for the first request of each connection, then closes it. A
 * script may run until the endpoint is destroyed, so it must not refer to locals
 * of a test. */
class ScriptedEndpoint
{
      public:
	using Script = std::function<void(Connection &, const std::string &)>;

	ScriptedEndpoint()
	{
		sockaddr_in address = {};
		socklen_t length = sizeof(address);

		fd_ = socket(AF_INET, SOCK_STREAM, 0);
		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		bind(fd_, reinterpret_cast<sockaddr *>(&address),
		    sizeof(address));
		listen(fd_, 64);
		getsockname(fd_, reinterpret_cast<sockaddr *>(&address),
		    &length);
		port_ = ntohs(address.sin_port);
		thread_ = std::thread([this] { accept_connections(); });
	}

	~ScriptedEndpoint()
	{
		stopping_ = true;
		thread_.join();
		for (auto &worker : workers_)
			worker.join();
		close(fd_);
	}

	/** Runs scripts when the head has come, while the body is still being
	 * sent into a small window. */
	void answer_early()
	{
		int32_t window_bytes = 4096;

		setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &window_bytes,
		    sizeof(window_bytes));
		early_ = true;
	}

	ScriptedEndpoint(const ScriptedEndpoint &) = delete;
	ScriptedEndpoint &operator=(const ScriptedEndpoint &) = delete;

	std::string address() const
	{
		return "127.0.0.1:" + std::to_string(port_);
	}

	void set_script(const Script &script)
	{
		std::lock_guard<std::mutex> lock(mutex_);
		script_ = script;
		requests_.clear();
	}

	std::vector<std::string> requests()
	{
		std::lock_guard<std::mutex> lock(mutex_);
		return requests_;
	}

      private:
	void accept_connections()
	{
		while (!stopping_) {
			pollfd item = { fd_, POLLIN, 0 };
			if (poll(&item, 1, 50) != 1)
				continue;
			int fd = accept(fd_, nullptr, nullptr);
			int one = 1;
			timeval limit = { 1, 0 };
			setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one,
			    sizeof(one));
			setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit,
			    sizeof(limit));
			workers_.emplace_back([this, fd] { serve(fd); });
		}
	}

	void serve(int fd)
	{
		Connection connection(fd);
		std::string request = early_ ? connection.read_head()
					     : connection.read_request();
		Script script;

		{
			std::lock_guard<std::mutex> lock(mutex_);
			if (!request.empty())
				requests_.push_back(request);
			script = script_;
		}
		if (!request.empty() && script)
			script(connection, request);
		close(fd);
	}

	int fd_;
	uint16_t port_;
	std::atomic<bool> stopping_{ false };
	std::atomic<bool> early_{ false };
	std::mutex mutex_;
	Script script_;
	std::vector<std::string> requests_;
	std::vector<std::thread> workers_;
	std::thread thread_;
};

inline std::string
http_chunk(const std::string &text)
{
	char size[16];

	snprintf(size, sizeof(size), "%zx\r\n", text.size());
	return size + text + "\r\n";
}

} // namespace e2e

#endif
